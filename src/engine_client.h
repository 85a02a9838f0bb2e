/// Client of the model engines: executes commands, streams answers, and polls load reports.
#pragma once

#include "engine_http.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace magnolia {

/// Protocol and address of an engine; another protocol is added as another alternative.
using engine_backend = std::variant<http_engine>;

/// Result of a load query to an engine.
struct engine_load_report {
    engine_handle engine;
    result<engine_load> load;
};

/// Identity, timing and limits of engine_client.
struct engine_client_settings {
    /// Owner name of its reservations; their epoch is the origin of the request.
    std::string owner;
    /// Interval between load queries to one engine; zero disables them.
    std::chrono::milliseconds load_interval{500};
    /// Maximum rate of load queries over all engines; the interval grows to respect it.
    std::uint32_t max_load_queries_per_s = 200;
    std::chrono::milliseconds connect_timeout{1000};
    /// Maximum time without data in a stream or before an answer.
    std::chrono::milliseconds inactivity_timeout{5000};
    /// Total timeout of calls that are not streams.
    std::chrono::milliseconds call_timeout{5000};
    /// Maximum idle keep-alive connections per engine.
    std::size_t max_idle = 32;
};

/// Receives an event. Returns false if it has no capacity: the event is then delivered again later,
/// and reading from the streams is paused until it is accepted.
using engine_event_sink = std::function<bool(engine_event& event)>;

using engine_report_sink = std::function<void(const engine_load_report& report)>;

/// Client of all engines of an entry. All members and sinks are called on the thread of the I/O
/// context; no sink is called from inside a member function.
///
/// Each engine_start, engine_prefill_part, engine_reserve and engine_release results in exactly one
/// final event: finished, part_ready, reserved, released or failed; none after an engine_cancel of
/// its attempt. An attempt has at most one start or prefill part at a time on an engine.
class engine_client {
public:
    engine_client(boost::asio::io_context& context, engine_client_settings settings);
    ~engine_client();

    void set_event_sink(engine_event_sink sink);
    void set_report_sink(engine_report_sink sink);

    /// Adds an engine or updates its address; attempts in progress continue.
    void put_engine(engine_handle engine, engine_backend backend);
    /// Attempts in progress continue; new ones fail with not_run.
    void remove_engine(engine_handle engine);

    /// Executes a command; its results arrive at the event sink.
    void submit(const engine_command& command);

    /// Sends an order once. Errors: fenced; connection and others, after which the order may have
    /// taken effect.
    void order(const engine_order& order, std::function<void(result<void>)> done);
    /// Queries the state of an engine.
    void status(engine_handle engine, std::function<void(result<engine_status>)> done);
    /// Reservations held by the engine, of every owner.
    void memory(engine_handle engine, std::function<void(result<std::vector<held_memory>>)> done);

    /// Number of open streams.
    [[nodiscard]] std::size_t active_streams() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
