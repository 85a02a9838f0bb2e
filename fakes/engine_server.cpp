#include "engine_server.h"

#include "fake_control.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace magnolia::fakes {
namespace {

using nlohmann::json;

/// Time between two lines that say that an attempt is still worked on.
constexpr std::chrono::milliseconds keep_alive_interval{1000};
constexpr http_server_limits server_limits{.max_body_bytes = config::max_body_bytes,
                                           .max_total_body_bytes = std::size_t{1} << 30U};

bool is_last(const engine_event& event) {
    return std::holds_alternative<engine_finished>(event) ||
           std::holds_alternative<engine_part_ready>(event) ||
           std::holds_alternative<engine_failed>(event);
}

bool is_stream(const engine_command& command) {
    return std::holds_alternative<engine_start>(command) ||
           std::holds_alternative<engine_prefill_part>(command);
}

} // namespace

struct engine_server::host {
    host(boost::asio::io_context& context, engine_model_settings settings, part_directory& parts)
        : model{std::move(settings), parts}, timer{context} {}

    engine_model model;
    std::unique_ptr<http_server> server;
    boost::asio::steady_timer timer;
    std::map<attempt_id, http_responder> streams;
    engine_faults faults;
    bool is_paused = false;
    /// Requests that came during a pause.
    std::vector<std::pair<http_request, http_responder>> held;
    /// Kept over a crash.
    std::uint16_t port = 0;
};

engine_server::engine_server(boost::asio::io_context& context, engine_server_settings settings)
    : context_{context}, settings_{std::move(settings)}, keep_alive_{context},
      started_{steady_now()} {
    for (auto& engine : settings_.engines) {
        engine.self = engine_handle{static_cast<std::uint32_t>(hosts_.size())};
        auto& added = *hosts_.emplace_back(std::make_unique<host>(context, engine, parts_));
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
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        const auto port = settings_.first_port == 0 ? 0 : settings_.first_port + index;
        const endpoint where{settings_.address, static_cast<std::uint16_t>(port)};
        if (auto opened = hosts_[index]->server->listen(where); !opened) {
            return opened;
        }
        hosts_[index]->port = hosts_[index]->server->port();
    }
    keep_alive();
    return control_->listen({settings_.address, settings_.control_port});
}

std::uint16_t engine_server::port(std::size_t engine) const {
    return hosts_.at(engine)->port;
}

std::uint16_t engine_server::control_port() const {
    return control_->port();
}

const engine_model& engine_server::model(std::size_t engine) const {
    return hosts_.at(engine)->model;
}

time_point engine_server::now() const {
    const auto passed = static_cast<double>((steady_now() - started_).count());
    return time_point{duration{static_cast<std::int64_t>(passed * settings_.time_scale)}};
}

engine_handle engine_server::find(std::string_view address) const {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (address == settings_.address + ":" + std::to_string(port(index))) {
            return engine_handle{static_cast<std::uint32_t>(index)};
        }
    }
    return {};
}

void engine_server::handle(host& engine, const http_request& request,
                           const http_responder& responder) {
    if (!engine.model.is_up()) {
        responder.abort();
        return;
    }
    if (engine.is_paused) {
        // A paused process reads late what came meanwhile, though the peer may have given up.
        engine.held.emplace_back(request, responder);
        return;
    }
    pump(engine);
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
        const auto order = read_order(request);
        const auto taken = order ? engine.model.apply_order(*order, now())
                                 : result<void>{tl::unexpected{order.error()}};
        if (use_one(engine.faults.lost_answers)) {
            responder.abort();
        } else {
            responder.send(taken ? json_response(200, "{}") : refusal(taken.error()));
        }
        schedule(engine);
    } else {
        responder.send(refusal({error_code::not_found, std::string{path}, {}}));
    }
}

void engine_server::handle_command(host& engine, const http_request& request,
                                   const http_responder& responder) {
    const auto received = read_command(
        request, [this](std::string_view address) { return find(address); }, settings_.time_scale);
    if (!received) {
        responder.send(refusal(received.error()));
        return;
    }
    const auto& command = received->command;
    const auto id = std::visit([](const auto& value) { return value.id; }, command);
    if (use_one(engine.faults.refusals)) {
        responder.send(refusal({error_code::overloaded, {}, {}}));
        return;
    }
    if (use_one(engine.faults.vague_refusals)) {
        responder.send(json_response(503, "{}"));
        return;
    }
    const auto taken = engine.model.submit(command, received->owner, now());
    if (use_one(engine.faults.lost_answers)) {
        responder.abort();
    } else if (!taken) {
        responder.send(refusal(taken.error()));
    } else if (is_stream(command)) {
        open_stream(engine, id, responder);
    } else {
        responder.send(json_response(200, "{}"));
    }
    pump(engine);
}

void engine_server::open_stream(host& engine, const attempt_id& id,
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

void engine_server::pump(host& engine) {
    const auto events = engine.model.advance(now());
    std::ranges::for_each(events, [&](const engine_event& event) { deliver(engine, event); });
    schedule(engine);
}

void engine_server::deliver(host& engine, const engine_event& event) {
    const auto found = engine.streams.find(attempt_of(event));
    if (found == engine.streams.end()) {
        return;
    }
    const auto responder = found->second;
    const bool is_tokens = std::holds_alternative<engine_tokens>(event);
    if (is_tokens && use_one(engine.faults.missing_lines)) {
        return;
    }
    if (is_tokens && use_one(engine.faults.crossed_lines)) {
        auto other = std::get<engine_tokens>(event);
        ++other.id.request.sequence;
        responder.write(line_of(other));
    }
    const auto line = line_of(event);
    responder.write(line);
    if (is_tokens && use_one(engine.faults.repeated_lines)) {
        responder.write(line);
    }
    if (is_last(event)) {
        engine.streams.erase(found);
        responder.finish();
    } else if (is_tokens && use_one(engine.faults.broken_streams)) {
        responder.abort();
    }
}

void engine_server::schedule(host& engine) {
    const auto due = engine.model.next_due();
    if (due == time_point::max()) {
        engine.timer.cancel();
        return;
    }
    const auto passed = static_cast<double>(due.time_since_epoch().count()) / settings_.time_scale;
    const auto real = started_ + duration{static_cast<std::int64_t>(passed) + 1};
    engine.timer.expires_at(std::chrono::steady_clock::time_point{real.time_since_epoch()});
    engine.timer.async_wait([this, &engine](const auto& failure) {
        if (!failure) {
            pump(engine);
        }
    });
}

void engine_server::keep_alive() {
    for (const auto& engine : hosts_) {
        for (const auto& [id, responder] : engine->streams) {
            if (!engine->is_paused) {
                responder.write(waiting_line(id));
            }
        }
    }
    keep_alive_.expires_after(keep_alive_interval);
    keep_alive_.async_wait([this](const auto& failure) {
        if (!failure) {
            keep_alive();
        }
    });
}

result<void> engine_server::apply_fault(std::size_t engine, std::string_view fault,
                                        std::uint32_t count) {
    if (engine >= hosts_.size()) {
        return fail(error_code::not_found, std::to_string(engine));
    }
    auto& target = *hosts_[engine];
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
    pump(target);
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
        for (const auto& [request, responder] : std::exchange(target.held, {})) {
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
    schedule(target);
    return {};
}

void engine_server::handle_control(const http_request& request, const http_responder& responder) {
    const auto path = target_path(request.target);
    if (request.method == "GET" && path == "/control/counts") {
        json list = json::array();
        for (const auto& engine : hosts_) {
            list.push_back(counts_json(engine->model, now()));
        }
        responder.send(json_response(200, list.dump()));
        return;
    }
    const auto order = read_fault(request, "engine");
    const auto applied = apply_fault(order.target, order.fault, order.count);
    responder.send(applied ? json_response(200, "{}") : error_response(applied.error()));
}

} // namespace magnolia::fakes
