/// Datagrams between gateways over UDP. A datagram holds one message, which names its sender. Lost
/// ones are repaired by later ones: digests of placements, updates of the membership.
#pragma once

#include <magnolia/error.h>
#include <magnolia/schema.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace magnolia {

/// Sent and received since the start.
struct gossip_traffic {
    std::uint64_t datagrams_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t datagrams_in = 0;
    std::uint64_t bytes_in = 0;
};

/// Sends and receives messages by the names of hosts. Owned by the gateway. Not thread-safe: all
/// calls and handlers run on the thread of the I/O context.
class peer_gossip {
public:
    /// A message arrived.
    using message_handler =
        std::function<void(const std::string& sender, const peer_message& message)>;

    /// @param host  name of this gateway, the sender of its messages.
    peer_gossip(boost::asio::io_context& context, std::string host, message_handler on_message);

    /// Binds the socket to the address and starts to receive. Errors: connection.
    [[nodiscard]] result<void> open(const endpoint& address);
    /// Sets the address of a host, unless one is known: that from which its last message came is
    /// newer than any list. Ignores unreadable addresses and hosts beyond the limit.
    void add_address(const std::string& host, const endpoint& address);
    /// Sends to each of these hosts whose address is known. Failures are logged.
    void send(peer_message message, std::span<const std::string> hosts);
    /// Whether a known host has this IP address.
    [[nodiscard]] bool knows(const std::string& address) const { return ips_.contains(address); }
    /// Address of the host; empty if it is unknown.
    [[nodiscard]] std::optional<endpoint> address_of(const std::string& host) const;
    [[nodiscard]] const gossip_traffic& traffic() const { return traffic_; }

private:
    using udp_endpoint = boost::asio::ip::udp::endpoint;

    void transmit(const std::string& frame, const udp_endpoint& peer);
    void receive();
    void on_datagram(std::size_t size);
    /// Records the address of a host; false if it is one host too many.
    bool record_address(const std::string& host, const udp_endpoint& address);

    boost::asio::ip::udp::socket socket_;
    std::string host_;
    message_handler on_message_;
    std::map<std::string, udp_endpoint, std::less<>> addresses_;
    /// IP addresses of all hosts that were ever known.
    std::set<std::string> ips_;
    udp_endpoint local_address_;
    /// Source address of the datagram in `buffer_`.
    udp_endpoint source_;
    std::array<std::uint8_t, 65536> buffer_{};
    gossip_traffic traffic_;
};

} // namespace magnolia
