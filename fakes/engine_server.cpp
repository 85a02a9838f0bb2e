#include "engine_server.h"

#include "fake_control.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace magnolia::fakes {
namespace {

using nlohmann::json;

/// Interval of the lines that report that an engine still works on an attempt.
constexpr std::chrono::milliseconds keep_alive_interval{1000};
constexpr http_server_limits server_limits{.max_body_bytes = config::max_body_bytes,
                                           .max_total_body_bytes = std::size_t{1} << 30U};

bool is_final_event(const engine_event& event) {
    return std::holds_alternative<engine_finished>(event) ||
           std::holds_alternative<engine_part_ready>(event) ||
           std::holds_alternative<engine_failed>(event);
}

bool is_streaming_command(const engine_command& command) {
    return std::holds_alternative<engine_start>(command) ||
           std::holds_alternative<engine_prefill_part>(command);
}

} // namespace

/// An engine with its listener, timer and open streams.
struct engine_server::served_engine {
    served_engine(boost::asio::io_context& context, engine_model_settings settings,
                  part_directory& parts)
        : model{std::move(settings), parts}, timer{context} {}

    engine_model model;
    std::unique_ptr<http_server> server;
    boost::asio::steady_timer timer;
    std::map<attempt_id, http_responder> streams;
    engine_faults faults;
    bool is_paused = false;
    /// Requests that arrived during a pause.
    std::vector<std::pair<http_request, http_responder>> deferred_requests;
    /// Stays the same after a crash and restart.
    std::uint16_t port = 0;
};

engine_server::engine_server(boost::asio::io_context& context, engine_server_settings settings)
    : context_{context}, settings_{std::move(settings)}, keep_alive_timer_{context},
      started_{steady_now()} {
    for (auto& engine : settings_.engines) {
        engine.self = engine_handle{static_cast<std::uint32_t>(engines_.size())};
        auto& added =
            *engines_.emplace_back(std::make_unique<served_engine>(context, engine, parts_));
        added.server = std::make_unique<http_server>(
            context, server_limits, [this, &added](const http_request& request, const auto& reply) {
                handle(added, request, reply);
            });
    }
    control_ = std::make_unique<http_server>(
        context, server_limits,
        [this](const http_request& request, const auto& reply) { handle_control(request, reply); });
}

engine_server::~engine_server() = default;

result<void> engine_server::listen() {
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const auto port = settings_.first_port == 0 ? 0 : settings_.first_port + index;
        const endpoint where{settings_.address, static_cast<std::uint16_t>(port)};
        if (auto opened = engines_[index]->server->listen(where); !opened) {
            return opened;
        }
        engines_[index]->port = engines_[index]->server->port();
    }
    send_keep_alives();
    return control_->listen({settings_.address, settings_.control_port});
}

std::uint16_t engine_server::port(std::size_t engine) const {
    return engines_.at(engine)->port;
}

std::uint16_t engine_server::control_port() const {
    return control_->port();
}

const engine_model& engine_server::model(std::size_t engine) const {
    return engines_.at(engine)->model;
}

time_point engine_server::now() const {
    const auto elapsed = static_cast<double>((steady_now() - started_).count());
    return time_point{duration{static_cast<std::int64_t>(elapsed * settings_.time_scale)}};
}

engine_handle engine_server::find_engine(std::string_view address) const {
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (address == settings_.address + ":" + std::to_string(port(index))) {
            return engine_handle{static_cast<std::uint32_t>(index)};
        }
    }
    return {};
}

void engine_server::handle(served_engine& engine, const http_request& request,
                           const http_responder& responder) {
    if (!engine.model.is_up()) {
        responder.abort();
        return;
    }
    if (engine.is_paused) {
        // A paused process handles the requests after it resumes, even if the caller has timed out.
        engine.deferred_requests.emplace_back(request, responder);
        return;
    }
    advance_and_deliver(engine);
    const auto path = target_path(request.target);
    const auto scale = settings_.time_scale;
    if (request.method == "POST" && path != "/v1/order") {
        handle_command(engine, request, responder);
    } else if (path == "/v1/load") {
        responder.send(json_response(200, load_json(engine.model.load(now()), scale).dump()));
    } else if (path == "/v1/status") {
        responder.send(json_response(200, status_json(engine.model.status()).dump()));
    } else if (path == "/v1/memory") {
        responder.send(
            json_response(200, memory_json(engine.model.list_reservations(now()), scale).dump()));
    } else if (path == "/v1/cache") {
        const auto after = query_parameter(request.target, "after");
        std::uint64_t sequence = 0;
        std::from_chars(after.data(), after.data() + after.size(), sequence);
        json list = json::array();
        for (const auto& event : engine.model.cache_events(sequence, now())) {
            list.push_back(
                {{"sequence", event.sequence}, {"block", event.block}, {"added", event.added}});
        }
        responder.send(json_response(200, list.dump()));
    } else if (path == "/v1/order") {
        const auto order = parse_order(request);
        const auto applied = order ? engine.model.apply_order(*order, now())
                                   : result<void>{tl::unexpected{order.error()}};
        if (consume_fault(engine.faults.lost_answers)) {
            responder.abort();
        } else {
            responder.send(applied ? json_response(200, "{}") : refusal_response(applied.error()));
        }
        schedule_timer(engine);
    } else {
        responder.send(refusal_response({error_code::not_found, std::string{path}, {}}));
    }
}

void engine_server::handle_command(served_engine& engine, const http_request& request,
                                   const http_responder& responder) {
    const auto received = parse_command(
        request, [this](std::string_view address) { return find_engine(address); },
        settings_.time_scale);
    if (!received) {
        responder.send(refusal_response(received.error()));
        return;
    }
    const auto& command = received->command;
    const auto id = std::visit([](const auto& value) { return value.id; }, command);
    if (consume_fault(engine.faults.refusals)) {
        responder.send(refusal_response({error_code::overloaded, {}, {}}));
        return;
    }
    if (consume_fault(engine.faults.vague_refusals)) {
        responder.send(json_response(503, "{}"));
        return;
    }
    const auto applied = engine.model.submit(command, received->owner, now());
    if (consume_fault(engine.faults.lost_answers)) {
        responder.abort();
    } else if (!applied) {
        responder.send(refusal_response(applied.error()));
    } else if (is_streaming_command(command)) {
        open_stream(engine, id, responder);
    } else {
        responder.send(json_response(200, "{}"));
    }
    advance_and_deliver(engine);
}

void engine_server::open_stream(served_engine& engine, const attempt_id& id,
                                const http_responder& responder) {
    const auto cancel = [this, &engine, id] {
        engine.streams.erase(id);
        if (engine.model.is_up()) {
            static_cast<void>(engine.model.submit(engine_cancel{id, {}}, {}, now()));
        }
    };
    if (responder.is_closed()) {
        cancel();
        return;
    }
    responder.start(200, {{"content-type", "application/x-ndjson"}});
    responder.on_disconnect(cancel);
    engine.streams.insert_or_assign(id, responder);
}

void engine_server::advance_and_deliver(served_engine& engine) {
    const auto events = engine.model.advance(now());
    std::ranges::for_each(events, [&](const engine_event& event) { deliver(engine, event); });
    schedule_timer(engine);
}

void engine_server::deliver(served_engine& engine, const engine_event& event) {
    const auto found = engine.streams.find(attempt_of(event));
    if (found == engine.streams.end()) {
        return;
    }
    const auto responder = found->second;
    const bool is_tokens = std::holds_alternative<engine_tokens>(event);
    if (is_tokens && consume_fault(engine.faults.missing_lines)) {
        return;
    }
    if (is_tokens && consume_fault(engine.faults.crossed_lines)) {
        auto crossed = std::get<engine_tokens>(event);
        ++crossed.id.request.sequence;
        responder.write(event_line(crossed));
    }
    const auto line = event_line(event);
    responder.write(line);
    if (is_tokens && consume_fault(engine.faults.repeated_lines)) {
        responder.write(line);
    }
    if (is_final_event(event)) {
        engine.streams.erase(found);
        responder.finish();
    } else if (is_tokens && consume_fault(engine.faults.broken_streams)) {
        responder.abort();
    }
}

void engine_server::schedule_timer(served_engine& engine) {
    const auto due = engine.model.next_due();
    if (due == time_point::max()) {
        engine.timer.cancel();
        return;
    }
    const auto elapsed = static_cast<double>(due.time_since_epoch().count()) / settings_.time_scale;
    const auto real_due = started_ + duration{static_cast<std::int64_t>(elapsed) + 1};
    engine.timer.expires_at(std::chrono::steady_clock::time_point{real_due.time_since_epoch()});
    engine.timer.async_wait([this, &engine](const auto& failure) {
        if (!failure) {
            advance_and_deliver(engine);
        }
    });
}

void engine_server::send_keep_alives() {
    for (const auto& engine : engines_) {
        for (const auto& [id, responder] : engine->streams) {
            if (!engine->is_paused) {
                responder.write(keep_alive_line(id));
            }
        }
    }
    keep_alive_timer_.expires_after(keep_alive_interval);
    keep_alive_timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            send_keep_alives();
        }
    });
}

result<void> engine_server::apply_fault(std::size_t engine, std::string_view fault,
                                        std::uint32_t count) {
    if (engine >= engines_.size()) {
        return fail(error_code::not_found, std::to_string(engine));
    }
    auto& target = *engines_[engine];
    auto& faults = target.faults;
    const std::map<std::string_view, std::uint32_t*> counted{
        {"lost_answers", &faults.lost_answers},     {"crossed_lines", &faults.crossed_lines},
        {"repeated_lines", &faults.repeated_lines}, {"missing_lines", &faults.missing_lines},
        {"broken_streams", &faults.broken_streams}, {"refusals", &faults.refusals},
        {"vague_refusals", &faults.vague_refusals}};
    if (const auto found = counted.find(fault); found != counted.end()) {
        *found->second = count;
        return {};
    }
    advance_and_deliver(target);
    if (fault == "crash") {
        target.model.crash(now());
        const auto streams = std::exchange(target.streams, {});
        for (const auto& [id, responder] : streams) {
            responder.abort();
        }
        target.server->close();
    } else if (fault == "restart") {
        target.model.restart(now());
        return target.server->listen({settings_.address, target.port});
    } else if (fault == "pause") {
        target.model.pause(now());
        target.is_paused = true;
    } else if (fault == "resume") {
        target.model.resume(now());
        target.is_paused = false;
        for (const auto& [request, responder] : std::exchange(target.deferred_requests, {})) {
            handle(target, request, responder);
        }
    } else if (fault == "drain") {
        target.model.drain();
    } else if (fault == "undrain") {
        static_cast<void>(target.model.apply_order(
            {{}, order_kind::undrain, {}, {}, {}, target.model.status().fencing}, now()));
    } else {
        return fail(error_code::not_found, std::string{fault});
    }
    schedule_timer(target);
    return {};
}

void engine_server::handle_control(const http_request& request, const http_responder& responder) {
    const auto path = target_path(request.target);
    if (request.method == "GET" && path == "/control/counts") {
        json list = json::array();
        for (const auto& engine : engines_) {
            list.push_back(counts_json(engine->model, now()));
        }
        responder.send(json_response(200, list.dump()));
        return;
    }
    const auto injection = parse_fault(request, "engine");
    const auto applied = apply_fault(injection.target, injection.fault, injection.count);
    responder.send(applied ? json_response(200, "{}") : error_response(applied.error()));
}

} // namespace magnolia::fakes
