/// Carries out commands on engines and tells what comes of them. One thread.
#pragma once

#include "engine_http.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace magnolia {

/// How an engine is reached; another protocol is one more alternative.
using engine_backend = std::variant<http_engine>;

/// Load of an engine, or why it could not be asked.
struct engine_load_report {
    engine_handle engine;
    result<engine_load> load;
};

struct engine_client_settings {
    /// Owner of the memory that it reserves; its epoch is the origin of each request.
    std::string owner;
    /// Time between two questions for the load of an engine; zero for none.
    std::chrono::milliseconds load_interval{500};
    /// Most questions for load a second, over all engines; the interval grows to keep it.
    std::uint32_t max_load_queries_per_s = 200;
    std::chrono::milliseconds connect_timeout{1000};
    /// Longest silence of an engine in a stream or before an answer.
    std::chrono::milliseconds inactivity_timeout{5000};
    /// Longest time of calls that are not streams.
    std::chrono::milliseconds call_timeout{5000};
    /// Kept connections per engine.
    std::size_t max_idle = 32;
};

/// Takes an event; false if it has no room. The event is then offered again, and the engines'
/// streams wait.
using engine_event_sink = std::function<bool(engine_event& event)>;

using engine_report_sink = std::function<void(const engine_load_report& report)>;

/// Client of all engines. Every member is called on the context's thread, and every sink is; no
/// sink is called from inside a member.
///
/// Each engine_start, engine_prefill_part, engine_reserve and engine_release gets exactly one last
/// event: finished, part_ready, reserved, released or failed; none after an engine_cancel of its
/// attempt. An attempt has at most one start or part at a time on an engine.
class engine_client {
public:
    engine_client(boost::asio::io_context& context, engine_client_settings settings);
    ~engine_client();

    void set_event_sink(engine_event_sink sink);
    void set_report_sink(engine_report_sink sink);

    /// Adds an engine or changes how it is reached; attempts under way go on.
    void put_engine(engine_handle engine, engine_backend backend);
    /// Attempts under way go on; new ones fail with not_run.
    void remove_engine(engine_handle engine);

    void submit(const engine_command& command);

    /// Sends an order once. Errors: fenced; connection and others, after which the order may have
    /// taken effect.
    void order(const engine_order& order, std::function<void(result<void>)> done);
    void status(engine_handle engine, std::function<void(result<engine_status>)> done);
    /// Reservations that the engine holds, of every owner.
    void memory(engine_handle engine, std::function<void(result<std::vector<held_memory>>)> done);

    /// Streams under way.
    [[nodiscard]] std::size_t active_streams() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
