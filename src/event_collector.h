/// Listener that takes time line events of all processes as lines of JSON.
#pragma once

#include "metrics.h"

#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace magnolia {

/// One event from a line. Errors: frame_invalid.
[[nodiscard]] result<timeline_event> read_event_line(std::string_view line);

/// Accepts a bounded number of connections with lines of bounded length; a connection that sends
/// anything else is closed. Used on the context's thread.
class event_collector {
public:
    using handler = std::function<void(timeline_event)>;

    event_collector(boost::asio::io_context& context, metrics_registry& metrics, handler on_event);
    ~event_collector();
    event_collector(const event_collector&) = delete;
    event_collector& operator=(const event_collector&) = delete;

    /// Opens the listener. Errors: connection.
    [[nodiscard]] result<void> listen(const endpoint& local);
    [[nodiscard]] std::uint16_t port() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
