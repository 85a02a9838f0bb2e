/// Gossip between gateways over UDP: each gateway sends every other one the jobs that it placed on
/// engines and what it learned about them. A datagram holds one message. Lost ones are repaired by
/// the next digest (anti-entropy). Gateways discover each other through objects in the platform's
/// store and through the datagrams that they receive.
#pragma once

#include <magnolia/error.h>
#include <magnolia/schema.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>

namespace magnolia {

/// Sends and receives messages and tracks by their placement updates which gateways are alive.
/// Owned by the gateway. Not thread-safe: all calls and handlers run on the thread of the I/O
/// context.
class peer_gossip {
public:
    struct handlers {
        /// A message arrived.
        std::function<void(const peer_message& message,
                           const boost::asio::ip::udp::endpoint& sender)>
            on_message;
        /// The gateway process with this origin id was replaced by a restarted one, or nothing
        /// arrived from it within the peer timeout.
        std::function<void(std::uint64_t origin)> on_peer_lost;
        /// The first datagram of a gateway process arrived, or the first one after a timeout.
        std::function<void(const boost::asio::ip::udp::endpoint& peer)> on_peer_discovered;
    };

    peer_gossip(boost::asio::io_context& context, handlers on);

    /// Binds the socket to the address and starts to receive. Errors: connection.
    [[nodiscard]] result<void> open(const endpoint& address);
    /// Adds a gateway to send to. Ignores unreadable addresses, the gateway's own address, and
    /// peers beyond the limit.
    void add_peer(const endpoint& address);
    /// Sends to every known peer. Send failures are logged; the next digest repairs the loss.
    void send(const peer_message& message);
    /// Sends to one peer only.
    void send_to(const peer_message& message, const boost::asio::ip::udp::endpoint& peer);
    /// Reports peers from which nothing arrived within the peer timeout as lost.
    void expire_silent_peers(time_point now);
    /// Peers that were ever listed or seen, without this gateway.
    [[nodiscard]] std::size_t known_peers() const { return peers_.size(); }
    /// Whether a peer has this IP address.
    [[nodiscard]] bool knows(const std::string& address) const;
    /// Peers that are not timed out, without this gateway.
    [[nodiscard]] std::size_t live_peers() const;

private:
    struct peer_state {
        time_point last_seen{};
        /// Random id of the peer's process; 0 while no datagram has arrived or after a timeout.
        std::uint64_t origin = 0;
    };

    void transmit(const std::string& frame, const boost::asio::ip::udp::endpoint& peer);
    void receive();
    void on_datagram(std::size_t size);
    /// Records that the sender of the datagram in `buffer_` is alive; false if it is one peer too
    /// many.
    bool track_sender(const placement_update& update);

    boost::asio::ip::udp::socket socket_;
    handlers handlers_;
    std::map<boost::asio::ip::udp::endpoint, peer_state> peers_;
    boost::asio::ip::udp::endpoint local_address_;
    /// Source address of the datagram in `buffer_`.
    boost::asio::ip::udp::endpoint sender_;
    std::array<std::uint8_t, 65536> buffer_{};
};

} // namespace magnolia
