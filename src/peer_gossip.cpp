#include "peer_gossip.h"

#include "log.h"
#include "peer_codec.h"
#include "port_wait.h"

#include <boost/asio/ip/address.hpp>

namespace magnolia {
namespace {

using boost::asio::ip::udp;

/// Size of the length field before a frame, bytes.
constexpr std::size_t frame_length_bytes = 4;
/// Maximum number of hosts. Bounds the tables, since any datagram can add one.
constexpr std::size_t max_hosts = 4096;
/// Maximum length of a host's name, in bytes. Names are kept, and a datagram could be one of 64 KB.
constexpr std::size_t max_name_bytes = 256;

const logger& log_of() {
    static const logger log{"peers"};
    return log;
}

/// Name of the sender that a message states; null for messages that are not sent as datagrams.
std::string* sender_of(peer_message& message) {
    return std::visit(
        [](auto& item) -> std::string* {
            if constexpr (requires { item.sender; }) {
                return &item.sender;
            } else {
                return nullptr;
            }
        },
        message);
}

} // namespace

peer_gossip::peer_gossip(boost::asio::io_context& context, std::string host,
                         message_handler on_message)
    : socket_{context}, host_{std::move(host)}, on_message_{std::move(on_message)} {}

result<void> peer_gossip::open(const endpoint& address) {
    boost::system::error_code failure;
    local_address_ = {boost::asio::ip::make_address(address.address, failure), address.port};
    if (!failure) {
        socket_.open(local_address_.protocol(), failure);
    }
    if (!failure) {
        socket_.bind(local_address_, failure);
    }
    if (!failure) {
        socket_.non_blocking(true, failure);
    }
    if (failure) {
        boost::system::error_code ignored;
        socket_.close(ignored);
        return tl::unexpected{
            listen_failure(address.address + ":" + std::to_string(address.port) + "/udp", failure)};
    }
    receive();
    return {};
}

void peer_gossip::add_address(const std::string& host, const endpoint& address) {
    boost::system::error_code failure;
    const udp_endpoint peer{boost::asio::ip::make_address(address.address, failure), address.port};
    if (!failure && host != host_ && !addresses_.contains(host)) {
        record_address(host, peer);
    }
}

bool peer_gossip::record_address(const std::string& host, const udp_endpoint& address) {
    const auto found = addresses_.find(host);
    if (found != addresses_.end() && found->second == address) {
        return true;
    }
    if (found == addresses_.end() && addresses_.size() >= max_hosts) {
        return false;
    }
    addresses_[host] = address;
    if (ips_.size() >= max_hosts) {
        // Hosts that were replaced leave their addresses behind.
        ips_.clear();
        for (const auto& [name, known] : addresses_) {
            ips_.insert(known.address().to_string());
        }
    }
    ips_.insert(address.address().to_string());
    return true;
}

std::optional<endpoint> peer_gossip::address_of(const std::string& host) const {
    const auto found = addresses_.find(host);
    return found == addresses_.end()
               ? std::nullopt
               : std::optional{endpoint{found->second.address().to_string(), found->second.port()}};
}

void peer_gossip::send(peer_message message, std::span<const std::string> hosts) {
    if (auto* sender = sender_of(message)) {
        *sender = host_;
    }
    std::string frame;
    if (const auto framed = append_frame(message, frame); !framed) {
        return log_of().error("message not encoded, dropped: " + to_string(framed.error()));
    }
    for (const auto& host : hosts) {
        if (const auto found = addresses_.find(host); found != addresses_.end()) {
            transmit(frame, found->second);
        }
    }
}

void peer_gossip::transmit(const std::string& frame, const udp_endpoint& peer) {
    boost::system::error_code failure;
    socket_.send_to(boost::asio::buffer(frame), peer, 0, failure);
    if (failure) {
        return log_of().debug("message not sent to " + peer.address().to_string() + ": " +
                              failure.message());
    }
    ++traffic_.datagrams_out;
    traffic_.bytes_out += frame.size();
}

void peer_gossip::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), source_,
                               [this](const boost::system::error_code& failure, std::size_t size) {
                                   if (failure == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!failure) {
                                       on_datagram(size);
                                   }
                                   receive();
                               });
}

void peer_gossip::on_datagram(std::size_t size) {
    ++traffic_.datagrams_in;
    traffic_.bytes_in += size;
    if (size <= frame_length_bytes) {
        return;
    }
    auto frame =
        read_frame(std::span{buffer_}.subspan(frame_length_bytes, size - frame_length_bytes));
    if (!frame || !frame->message) {
        return log_of().warn("ignored an unreadable datagram from " +
                             source_.address().to_string());
    }
    const auto* sender = sender_of(*frame->message);
    if (sender == nullptr || sender->empty() || *sender == host_) {
        return;
    }
    if (sender->size() > max_name_bytes) {
        return log_of().warn("ignored a datagram with a name of " + std::to_string(sender->size()) +
                             " bytes from " + source_.address().to_string());
    }
    if (record_address(*sender, source_)) {
        on_message_(*sender, *frame->message);
    }
}

} // namespace magnolia
