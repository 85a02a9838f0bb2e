/// HTTP front end of the simulated engines of one process, with a control listener for fault
/// injection and counters.
#pragma once

#include "engine_wire.h"
#include "http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace magnolia::fakes {

struct engine_server_settings {
    std::string address = "127.0.0.1";
    /// Port of the first engine; the others use the following ports. 0 lets the operating system
    /// choose each port.
    std::uint16_t first_port = 0;
    /// Port of the control listener.
    std::uint16_t control_port = 0;
    std::vector<engine_model_settings> engines;
    /// Virtual seconds per real second.
    double time_scale = 1;
};

/// Injected faults of an engine. Each count is the number of commands or lines that the fault still
/// applies to.
struct engine_faults {
    /// Commands that run but whose connection closes before the answer.
    std::uint32_t lost_answers = 0;
    /// Additional lines that carry the ID of another attempt.
    std::uint32_t crossed_lines = 0;
    /// Token lines that are sent twice.
    std::uint32_t repeated_lines = 0;
    /// Token lines that are left out.
    std::uint32_t missing_lines = 0;
    /// Streams whose connection closes after their next token line.
    std::uint32_t broken_streams = 0;
    /// Commands that are refused with the statement that nothing ran.
    std::uint32_t refusals = 0;
    /// Commands that are refused without that statement.
    std::uint32_t vague_refusals = 0;
};

/// Runs all engines of the process in real time, scaled to their virtual clock. Used by fake-engine
/// and tests; all calls must be made on the context's thread.
class engine_server {
public:
    engine_server(boost::asio::io_context& context, engine_server_settings settings);
    ~engine_server();

    /// Opens all listeners. Errors: connection.
    [[nodiscard]] result<void> listen();
    [[nodiscard]] std::uint16_t port(std::size_t engine) const;
    [[nodiscard]] std::uint16_t control_port() const;

    /// Injects a fault by its name: crash, restart, pause, resume, drain, undrain, or a field of
    /// engine_faults with a count. Errors: not_found.
    [[nodiscard]] result<void> apply_fault(std::size_t engine, std::string_view fault,
                                           std::uint32_t count);
    [[nodiscard]] const engine_model& model(std::size_t engine) const;
    /// Returns the current virtual time.
    [[nodiscard]] time_point now() const;

private:
    struct served_engine;

    void handle(served_engine& engine, const http_request& request,
                const http_responder& responder);
    void handle_command(served_engine& engine, const http_request& request,
                        const http_responder& responder);
    void open_stream(served_engine& engine, const attempt_id& id, const http_responder& responder);
    void handle_control(const http_request& request, const http_responder& responder);
    /// Simulates an engine up to now, sends its events and sets its timer.
    void advance_and_deliver(served_engine& engine);
    /// Sends an event to the stream of its attempt, with injected faults applied.
    void deliver(served_engine& engine, const engine_event& event);
    /// Sets the timer to the next state change of an engine.
    void schedule_timer(served_engine& engine);
    /// Sends a keep-alive line on all streams, periodically.
    void send_keep_alives();
    [[nodiscard]] engine_handle find_engine(std::string_view address) const;

    boost::asio::io_context& context_;
    engine_server_settings settings_;
    part_directory parts_;
    std::vector<std::unique_ptr<served_engine>> engines_;
    std::unique_ptr<http_server> control_;
    boost::asio::steady_timer keep_alive_timer_;
    time_point started_;
};

} // namespace magnolia::fakes
