/// TCP relay that delays all data; simulates the links between availability zones on one machine.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace magnolia::fakes {

/// Settings of one link from a listener to a target.
struct delay_link_settings {
    endpoint listen;
    endpoint target;
    /// Delay of each direction.
    duration delay{0};
    /// Random extra delay of each chunk of data (jitter), 0 to this value; chunks keep their order.
    duration spread{0};
    /// Seed of the random delays.
    std::uint64_t seed = 1;
};

/// Maximum number of buffered bytes per direction of a connection; reading pauses at this limit.
inline constexpr std::size_t max_buffered_bytes = std::size_t{8} << 20U;

/// Faults of a link.
enum class link_fault : std::uint8_t {
    none,
    /// A partition: open connections go silent, and new ones are not answered.
    hang,
    /// Open connections are reset, and new ones are refused.
    reset,
    /// Open connections work, and new ones are refused.
    refuse_new,
};

/// One link: a listener that relays each accepted connection to the target. Used by fake-link and
/// tests; all calls must be made on the context's thread.
class delay_link {
public:
    delay_link(boost::asio::io_context& context, delay_link_settings settings);
    ~delay_link();
    delay_link(const delay_link&) = delete;
    delay_link& operator=(const delay_link&) = delete;

    /// Starts to accept connections. Errors: connection.
    [[nodiscard]] result<void> listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Simulates a network partition: closes all connections, and new ones at once until it ends.
    void set_partitioned(bool is_partitioned);
    /// Begins a fault, which lasts until the next call. Errors: connection, if the port is taken
    /// when the link listens again.
    [[nodiscard]] result<void> set_fault(link_fault fault);
    /// Drops all further bytes of the open connections without closing them; new ones work.
    void silence_connections();

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia::fakes
