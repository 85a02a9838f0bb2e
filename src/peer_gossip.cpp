#include "peer_gossip.h"

#include "log.h"
#include "peer_codec.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

using boost::asio::ip::udp;

/// Size of the length field before a frame, bytes.
constexpr std::size_t frame_length_bytes = 4;
/// Time without a datagram after which a gateway counts as lost and its jobs are dropped: five
/// lost digests in a row.
constexpr auto peer_timeout = std::chrono::milliseconds{2500};
/// Maximum number of peers. Bounds the peer table, since any received update can add a peer.
constexpr std::size_t max_peers = 1024;

const logger& log_of() {
    static const logger log{"peers"};
    return log;
}

} // namespace

peer_gossip::peer_gossip(boost::asio::io_context& context, handlers on)
    : socket_{context}, handlers_{std::move(on)} {}

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
        return fail(error_code::connection, address.address + ":" + std::to_string(address.port) +
                                                "/udp: " + failure.message());
    }
    receive();
    return {};
}

void peer_gossip::add_peer(const endpoint& address) {
    boost::system::error_code failure;
    const udp::endpoint peer_address{boost::asio::ip::make_address(address.address, failure),
                                     address.port};
    if (!failure && peer_address != local_address_ && peers_.size() < max_peers) {
        peers_.try_emplace(peer_address);
    }
}

void peer_gossip::send(const peer_message& message) {
    std::string frame;
    if (const auto framed = append_frame(message, frame); !framed) {
        return log_of().error("message not encoded, dropped: " + to_string(framed.error()));
    }
    for (const auto& address : peers_ | std::views::keys) {
        transmit(frame, address);
    }
}

void peer_gossip::send_to(const peer_message& message, const udp::endpoint& peer) {
    std::string frame;
    if (const auto framed = append_frame(message, frame); !framed) {
        return log_of().error("message not encoded, dropped: " + to_string(framed.error()));
    }
    transmit(frame, peer);
}

void peer_gossip::transmit(const std::string& frame, const udp::endpoint& peer) {
    boost::system::error_code failure;
    socket_.send_to(boost::asio::buffer(frame), peer, 0, failure);
    if (failure) {
        log_of().debug("message not sent to " + peer.address().to_string() + ": " +
                       failure.message());
    }
}

void peer_gossip::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
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
    if (size <= frame_length_bytes) {
        return;
    }
    const auto frame =
        read_frame(std::span{buffer_}.subspan(frame_length_bytes, size - frame_length_bytes));
    if (!frame || !frame->message) {
        return log_of().warn("ignored an unreadable datagram from " +
                             sender_.address().to_string());
    }
    const auto* update = std::get_if<placement_update>(&*frame->message);
    if (update == nullptr || track_sender(*update)) {
        handlers_.on_message(*frame->message, sender_);
    }
}

bool peer_gossip::track_sender(const placement_update& update) {
    if (peers_.size() >= max_peers && !peers_.contains(sender_)) {
        return false;
    }
    auto& peer = peers_[sender_];
    if (peer.origin != update.origin) {
        const bool is_restart = peer.origin != 0;
        const auto previous_origin = std::exchange(peer.origin, update.origin);
        log_of().info("gateway discovered or restarted, sends it a snapshot of the active jobs: " +
                      update.sender);
        if (is_restart) {
            handlers_.on_peer_lost(previous_origin);
        }
        handlers_.on_peer_discovered(sender_);
    }
    peer.last_seen = steady_now();
    return true;
}

void peer_gossip::expire_silent_peers(time_point now) {
    for (auto& [address, peer] : peers_) {
        if (peer.origin != 0 && now - peer.last_seen > peer_timeout) {
            log_of().info("gateway timed out, its placements are dropped: " +
                          address.address().to_string());
            handlers_.on_peer_lost(std::exchange(peer.origin, 0));
        }
    }
}

bool peer_gossip::knows(const std::string& address) const {
    return std::ranges::any_of(peers_ | std::views::keys, [&](const auto& peer) {
        return peer.address().to_string() == address;
    });
}

std::size_t peer_gossip::live_peers() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_ | std::views::values, [](const auto& peer) { return peer.origin != 0; }));
}

} // namespace magnolia
