/// TCP relay that delays every byte, for links between availability zones on one machine.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace magnolia::fakes {

/// One link, from a listener to a target.
struct delay_link_settings {
    endpoint listen;
    endpoint target;
    /// One way, in each direction.
    duration delay{0};
    /// Added at random for each piece of data, 0 to this; pieces keep their order.
    duration spread{0};
    std::uint64_t seed = 1;
};

/// Bytes that one direction of a connection holds back at most; reading stops beyond it.
inline constexpr std::size_t max_buffered_bytes = std::size_t{8} << 20U;

/// Listener and connections of one link. Used on the context's thread.
class delay_link {
public:
    delay_link(boost::asio::io_context& context, delay_link_settings settings);
    ~delay_link();
    delay_link(const delay_link&) = delete;
    delay_link& operator=(const delay_link&) = delete;

    /// Errors: connection.
    [[nodiscard]] result<void> listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Closes all connections; while cut, new ones are closed at once.
    void set_partitioned(bool is_partitioned);

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia::fakes
