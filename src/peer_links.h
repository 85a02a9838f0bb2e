/// TCP connections to the other entries: opened on demand, closed when idle, bounded in number and
/// in unsent bytes.
#pragma once

#include "io_thread.h"

#include <magnolia/error.h>

#include <memory>
#include <span>

namespace magnolia {

/// IP address and port of a member's peer listener.
struct peer_address {
    std::string member;
    std::string address;
    std::uint16_t port = 0;
};

/// Received message. The sender's name, zone and boot are those of the hello message of the
/// connection.
struct peer_delivery {
    std::string from;
    std::string zone;
    /// Random number that identifies the run of the sender's process.
    std::uint64_t boot = 0;
    peer_message message;
};

/// Traffic and failure counters: totals since the start, except `open`.
struct link_counters {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t frames_in = 0;
    std::uint64_t frames_out = 0;
    /// Outgoing messages that were dropped: no address or connection for the member, a full send
    /// buffer, a message too long for a frame, or a connection that broke before their write began.
    std::uint64_t dropped = 0;
    /// Connections closed because of a malformed frame or a message before the hello.
    std::uint64_t invalid = 0;
    /// Connections that are open now.
    std::uint64_t open = 0;
};

/// Bounds and timeouts of the connections.
struct link_options {
    /// Connections; the least recently used one is closed for a new one.
    std::size_t max_links = 192;
    /// Queued bytes of one connection above which further messages are dropped.
    std::size_t max_unsent_bytes = std::size_t{2} << 20U;
    std::chrono::milliseconds idle_timeout{30000};
    /// Time in which a connection must be established and its hello received.
    std::chrono::milliseconds connect_timeout{1000};
    /// Bounds of the backoff between two attempts to connect to a member.
    std::chrono::milliseconds min_backoff{50};
    std::chrono::milliseconds max_backoff{5000};
};

/// Sends messages to and receives messages from the other entries. Messages on one connection are
/// delivered in order and at most once; the sender gets no notice of a lost message, so protocols
/// have to time out and retry. All I/O is done on the owner's thread; send(), set_members() and
/// counters() may be called on any thread.
class peer_links {
public:
    /// @param owner    runs all I/O on its thread; must outlive this object.
    /// @param self     hello message that is sent first on each connection.
    /// @param seed     seed of the backoff jitter.
    /// @param deliver  called on the owner's thread with each received message; should only pass
    ///                 it on to another thread.
    peer_links(io_thread& owner, hello_message self, std::uint64_t seed,
               std::function<void(peer_delivery)> deliver, link_options options = {});
    /// Closes all connections. The owner must have been stopped.
    ~peer_links();

    /// Opens the listener and returns its port. To be called before the owner is started.
    /// Errors: connection.
    [[nodiscard]] result<std::uint16_t> listen(const endpoint& where);

    /// Replaces the addresses of the members that send() can connect to. Errors: ring_full.
    [[nodiscard]] result<void> set_members(std::vector<peer_address> members);

    /// Queues a message for a member and opens a connection if there is none. A message that cannot
    /// be sent later is dropped and counted. Errors: ring_full.
    [[nodiscard]] result<void> send(std::string member, peer_message message);

    [[nodiscard]] link_counters counters() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
