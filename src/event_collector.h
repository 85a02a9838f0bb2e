/// Receives the timeline events of all processes, as lines of JSON over TCP.
#pragma once

#include "metrics.h"

#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace magnolia {

/// Parses one event from a line; unknown fields are ignored. Errors: frame_invalid.
[[nodiscard]] result<timeline_event> read_event_line(std::string_view line);

/// Listener of magnolia-timeline. Limits the number of connections and the length of a line, and
/// closes a connection that sends anything but event lines. Not thread-safe; used on the context's
/// thread.
class event_collector {
public:
    using handler = std::function<void(timeline_event)>;

    /// @param on_event  called with each received event, on the context's thread.
    event_collector(boost::asio::io_context& context, metrics_registry& metrics, handler on_event);
    ~event_collector();
    event_collector(const event_collector&) = delete;
    event_collector& operator=(const event_collector&) = delete;

    /// Opens the listener. Errors: connection.
    [[nodiscard]] result<void> listen(const endpoint& local);
    /// Port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
