/// Datagrams between gateways: each tells all others what it placed on engines. Lost ones are made
/// good by the next digest, which tells recent placements again and which work is still under way.
/// Gateways find each other through objects in the platform's store, and through the datagrams that
/// reach them.
#pragma once

#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>

namespace magnolia {

class placement_gossip {
public:
    struct handlers {
        std::function<void(const placement_update&)> on_update;
        /// A start of a gateway has not been last_seen for the silence limit.
        std::function<void(std::uint64_t origin)> on_peer_lost;
        /// A gateway, or a new start of one, was last_seen for the first time.
        std::function<void(const boost::asio::ip::udp::endpoint& peer)> on_peer_discovered;
    };

    placement_gossip(boost::asio::io_context& context, handlers on);

    /// Errors: connection.
    [[nodiscard]] result<void> open(const endpoint& address);
    void add_peer(const endpoint& address);
    /// Sends to every peer; failures are counted and otherwise ignored.
    void send(const placement_update& update);
    void send_to(const placement_update& update, const boost::asio::ip::udp::endpoint& peer);
    /// Forgets the work of peers that have fallen silent.
    void expire_silent_peers(time_point now);
    /// Peers that were ever known, this gateway not counted.
    [[nodiscard]] std::size_t known_peers() const { return peers_.size(); }
    [[nodiscard]] std::size_t live_peers() const;

private:
    struct peer_state {
        time_point last_seen{};
        std::uint64_t origin = 0;
    };

    void transmit(const std::string& frame, const boost::asio::ip::udp::endpoint& peer);
    void receive();
    void on_datagram(std::size_t size);

    boost::asio::ip::udp::socket socket_;
    handlers handlers_;
    std::map<boost::asio::ip::udp::endpoint, peer_state> peers_;
    boost::asio::ip::udp::endpoint local_address_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<std::uint8_t, 65536> buffer_{};
};

} // namespace magnolia
