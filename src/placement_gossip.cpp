#include "placement_gossip.h"

#include "log.h"
#include "peer_codec.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

using boost::asio::ip::udp;

/// Bytes of the length before a frame.
constexpr std::size_t frame_length_bytes = 4;
/// Silence after which a gateway's work is forgotten: five lost digests in a row.
constexpr auto silence_limit = std::chrono::milliseconds{2500};
/// Most gateways that are sent to.
constexpr std::size_t max_peers = 1024;

const logger& log_of() {
    static const logger log{"peers"};
    return log;
}

} // namespace

placement_gossip::placement_gossip(boost::asio::io_context& context, handlers on)
    : socket_{context}, on_{std::move(on)} {}

result<void> placement_gossip::open(const endpoint& where) {
    boost::system::error_code failure;
    self_ = {boost::asio::ip::make_address(where.address, failure), where.port};
    if (!failure) {
        socket_.open(self_.protocol(), failure);
    }
    if (!failure) {
        socket_.bind(self_, failure);
    }
    if (!failure) {
        socket_.non_blocking(true, failure);
    }
    if (failure) {
        return fail(error_code::connection, where.address + ":" + std::to_string(where.port) +
                                                "/udp: " + failure.message());
    }
    receive();
    return {};
}

void placement_gossip::add_peer(const endpoint& where) {
    boost::system::error_code failure;
    const udp::endpoint peer_address{boost::asio::ip::make_address(where.address, failure),
                                     where.port};
    if (!failure && peer_address != self_ && peers_.size() < max_peers) {
        peers_.try_emplace(peer_address);
    }
}

void placement_gossip::send(const placement_update& news) {
    std::string frame;
    if (const auto framed = append_frame(news, frame); !framed) {
        return log_of().error("news not sent: " + to_string(framed.error()));
    }
    for (const auto& address : peers_ | std::views::keys) {
        transmit(frame, address);
    }
}

void placement_gossip::send_to(const placement_update& news, const udp::endpoint& peer) {
    std::string frame;
    if (const auto framed = append_frame(news, frame); !framed) {
        return log_of().error("news not sent: " + to_string(framed.error()));
    }
    transmit(frame, peer);
}

void placement_gossip::transmit(const std::string& frame, const udp::endpoint& peer) {
    boost::system::error_code failure;
    socket_.send_to(boost::asio::buffer(frame), peer, 0, failure);
    if (failure) {
        log_of().debug("news to " + peer.address().to_string() + ": " + failure.message());
    }
}

void placement_gossip::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_,
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

void placement_gossip::on_datagram(std::size_t size) {
    if (size <= frame_length_bytes) {
        return;
    }
    const auto frame =
        read_frame(std::span{buffer_}.subspan(frame_length_bytes, size - frame_length_bytes));
    if (!frame || !frame->message) {
        return log_of().warn("unreadable datagram from " + from_.address().to_string());
    }
    const auto* news = std::get_if<placement_update>(&*frame->message);
    if (news == nullptr) {
        return;
    }
    if (peers_.size() >= max_peers && !peers_.contains(from_)) {
        return;
    }
    auto& known = peers_[from_];
    if (known.origin != news->origin) {
        const bool is_restart = known.origin != 0;
        const auto former = std::exchange(known.origin, news->origin);
        log_of().info("hears " + news->sender);
        if (is_restart) {
            on_.on_peer_lost(former);
        }
        on_.on_peer_discovered(from_);
    }
    known.heard = steady_now();
    on_.on_update(*news);
}

void placement_gossip::expire_silent_peers(time_point now) {
    for (auto& [address, known] : peers_) {
        if (known.origin != 0 && now - known.heard > silence_limit) {
            log_of().info("no longer hears " + address.address().to_string());
            on_.on_peer_lost(std::exchange(known.origin, 0));
        }
    }
}

std::size_t placement_gossip::live_peers() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_ | std::views::values, [](const auto& known) { return known.origin != 0; }));
}

} // namespace magnolia
