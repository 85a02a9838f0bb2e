/// Engines of one process behind HTTP listeners, with a control listener for faults and counts.
#pragma once

#include "engine_wire.h"
#include "http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace magnolia::fakes {

struct engine_server_settings {
    std::string address = "127.0.0.1";
    /// Port of the first engine; the others follow. 0 lets the system choose each.
    std::uint16_t first_port = 0;
    /// Port of the control listener.
    std::uint16_t control_port = 0;
    std::vector<engine_model_settings> engines;
    /// Virtual seconds in a second.
    double time_scale = 1;
};

/// What the next answers of an engine suffer; each count is used up one by one.
struct engine_faults {
    /// Commands that run and whose connection breaks before the answer.
    std::uint32_t lost_answers = 0;
    /// Lines that carry another attempt's id.
    std::uint32_t crossed_lines = 0;
    std::uint32_t repeated_lines = 0;
    std::uint32_t missing_lines = 0;
    /// Streams that break after their next line.
    std::uint32_t broken_streams = 0;
    /// Commands refused with proof that nothing ran.
    std::uint32_t refusals = 0;
    /// Commands refused without such proof.
    std::uint32_t vague_refusals = 0;
};

/// All engines. Used on the context's thread.
class engine_server {
public:
    engine_server(boost::asio::io_context& context, engine_server_settings settings);
    ~engine_server();

    /// Opens every listener. Errors: connection.
    [[nodiscard]] result<void> listen();
    [[nodiscard]] std::uint16_t port(std::size_t engine) const;
    [[nodiscard]] std::uint16_t control_port() const;

    /// Applies a fault by its name: crash, restart, pause, resume, drain, undrain, or a field of
    /// engine_faults with a count. Errors: not_found.
    [[nodiscard]] result<void> apply_fault(std::size_t engine, std::string_view fault,
                                           std::uint32_t count);
    [[nodiscard]] const engine_model& model(std::size_t engine) const;
    [[nodiscard]] time_point now() const;

private:
    struct served_engine;

    void handle(served_engine& engine, const http_request& request,
                const http_responder& responder);
    void handle_command(served_engine& engine, const http_request& request,
                        const http_responder& responder);
    void open_stream(served_engine& engine, const attempt_id& id, const http_responder& responder);
    void handle_control(const http_request& request, const http_responder& responder);
    void advance_and_deliver(served_engine& engine);
    void deliver(served_engine& engine, const engine_event& event);
    void schedule_timer(served_engine& engine);
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
