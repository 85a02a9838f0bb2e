/// Connections to the other entries: opened on demand, closed when idle, bounded in number and in
/// unsent bytes.
#pragma once

#include "io_thread.h"

#include <magnolia/error.h>

#include <memory>
#include <span>

namespace magnolia {

/// Address of a member's peer listener.
struct peer_address {
    std::string member;
    std::string address;
    std::uint16_t port = 0;
};

/// Message from another member, named by the hello of its connection.
struct peer_delivery {
    std::string from;
    std::string zone;
    /// Random number of the sender's start.
    std::uint64_t boot = 0;
    peer_message message;
};

/// Totals since the start.
struct link_counters {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t frames_in = 0;
    std::uint64_t frames_out = 0;
    /// Messages given up: unknown member, full buffer, or a connection that broke.
    std::uint64_t dropped = 0;
    /// Connections closed for a malformed frame.
    std::uint64_t invalid = 0;
    /// Connections open now.
    std::uint64_t open = 0;
};

/// Bounds and times of the connections.
struct link_options {
    std::size_t max_links = 192;
    /// Unsent bytes of one connection; what comes beyond is dropped.
    std::size_t max_unsent_bytes = std::size_t{2} << 20U;
    std::chrono::milliseconds idle_timeout{30000};
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds min_backoff{50};
    std::chrono::milliseconds max_backoff{5000};
};

/// Messages to and from other members. Delivery is at most once and in order on one connection;
/// loss is told only by silence.
class peer_links {
public:
    /// @param owner    duty whose thread does all the work; it outlives this object's use.
    /// @param self     sent first on each connection.
    /// @param seed     seed of the backoff's jitter.
    /// @param deliver  called on the owner's thread; hands the message to another duty's inbox.
    peer_links(io_thread& owner, hello_message self, std::uint64_t seed,
               std::function<void(peer_delivery)> deliver, link_options options = {});
    /// The owner must have been stopped.
    ~peer_links();

    /// Opens the listener, before the owner is started; returns its port. Errors: connection.
    [[nodiscard]] result<std::uint16_t> listen(const endpoint& where);

    /// Replaces the addresses that send() may use. Any thread. Errors: ring_full.
    [[nodiscard]] result<void> set_members(std::vector<peer_address> members);

    /// Sends a message, opening a connection if there is none. Any thread. Errors: ring_full.
    [[nodiscard]] result<void> send(std::string member, peer_message message);

    [[nodiscard]] link_counters counters() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
