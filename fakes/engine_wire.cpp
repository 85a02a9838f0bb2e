#include "engine_wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace magnolia::fakes {
namespace {

using nlohmann::json;

constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;

template <class Enum>
Enum enum_named(const json& name, Enum last) {
    for (unsigned index = 0; index <= static_cast<unsigned>(last); ++index) {
        if (name == to_string(static_cast<Enum>(index))) {
            return static_cast<Enum>(index);
        }
    }
    throw std::out_of_range{name.dump()};
}

std::uint64_t number_of(std::string_view text, int base) {
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    if (const auto read = std::from_chars(text.data(), end, value, base); read.ptr != end) {
        throw std::out_of_range{std::string{text}};
    }
    return value;
}

/// Reads "ORIGIN-SEQUENCE/NUMBER".
attempt_id read_attempt(const std::string& text) {
    const auto dash = text.find('-');
    const auto slash = text.find('/');
    if (dash == std::string::npos || slash == std::string::npos) {
        throw std::out_of_range{text};
    }
    const std::string_view view{text};
    return {{number_of(view.substr(0, dash), 16),
             number_of(view.substr(dash + 1, slash - dash - 1), 16)},
            static_cast<std::uint32_t>(number_of(view.substr(slash + 1), 10))};
}

std::string attempt_text(const attempt_id& id) {
    return to_string(id.request) + "/" + std::to_string(id.number);
}

duration scaled(const json& milliseconds, double time_scale) {
    return duration{static_cast<std::int64_t>(milliseconds.get<double>() * 1000 * time_scale)};
}

std::int64_t unscaled(duration time, double time_scale) {
    return static_cast<std::int64_t>(static_cast<double>(time.count()) / 1000 / time_scale);
}

std::vector<kv_part> read_parts(const json& list, const engine_finder& find) {
    std::vector<kv_part> parts;
    std::ranges::transform(list, std::back_inserter(parts), [&find](const json& item) {
        return kv_part{find(item.at("engine").get_ref<const std::string&>()), item.at("name"),
                       item.at("first_token"), item.at("token_count")};
    });
    return parts;
}

engine_start read_start(const json& in, const std::string& body, const engine_finder& find,
                        double time_scale) {
    engine_start command;
    const auto prompt_bytes = in.at("prompt_bytes").get<std::size_t>();
    if (prompt_bytes > body.size()) {
        throw std::out_of_range{"prompt_bytes"};
    }
    command.id = read_attempt(in.at("attempt"));
    command.model = in.at("model");
    command.adapter = in.at("adapter");
    command.prompt = std::make_shared<const std::string>(body, 0, prompt_bytes);
    command.prefix_answer = body.substr(prompt_bytes);
    command.resume_offset = in.at("resume_offset");
    command.max_generated_tokens = in.at("max_generated_tokens");
    command.urgency = enum_named(in.at("urgency"), urgency_level::background);
    command.time_left = scaled(in.at("time_left_ms"), time_scale);
    command.reservation = in.at("reservation");
    command.parts = read_parts(in.at("parts"), find);
    return command;
}

engine_prefill_part read_prefill(const json& in, const std::string& body, const engine_finder& find,
                                 double time_scale) {
    return {read_attempt(in.at("attempt")),
            {},
            in.at("reservation"),
            in.at("model"),
            std::make_shared<const std::string>(body),
            in.at("first_token"),
            in.at("token_count"),
            read_parts(in.at("parts"), find),
            scaled(in.at("time_left_ms"), time_scale)};
}

result<engine_command> read_body(const http_request& request, const json& in,
                                 const engine_finder& find, double time_scale) {
    const auto path = target_path(request.target);
    if (path == "/v1/start") {
        return read_start(in, request.body, find, time_scale);
    }
    if (path == "/v1/prefill") {
        return read_prefill(in, request.body, find, time_scale);
    }
    if (path == "/v1/cancel") {
        return engine_cancel{read_attempt(in.at("attempt")), {}};
    }
    if (path == "/v1/reserve") {
        return engine_reserve{read_attempt(in.at("attempt")),
                              {},
                              in.at("reservation"),
                              in.at("tokens"),
                              scaled(in.at("expiry_ms"), time_scale)};
    }
    if (path == "/v1/release") {
        return engine_release{read_attempt(in.at("attempt")), {}, in.at("reservation")};
    }
    return fail(error_code::not_found, std::string{path});
}

json fields(const engine_accepted& value) {
    return {{"kind", "accepted"},
            {"prompt_tokens", value.prompt_tokens},
            {"cached_tokens", value.cached_tokens}};
}

json fields(const engine_tokens& value) {
    return {
        {"kind", "tokens"}, {"offset", value.offset}, {"count", value.count}, {"text", value.text}};
}

json fields(const engine_finished& value) {
    return {{"kind", "finished"},
            {"prompt_tokens", value.prompt_tokens},
            {"generated_tokens", value.generated_tokens}};
}

json fields(const engine_part_ready& value) {
    return {{"kind", "part"},
            {"name", value.part.name},
            {"first_token", value.part.first_token},
            {"token_count", value.part.token_count}};
}

json fields(const engine_failed& value) {
    return {{"kind", "failed"},
            {"error", to_string(value.failure.code)},
            {"subject", value.failure.subject},
            {"ran", value.certainty != run_certainty::not_run},
            {"leaving", value.is_leaving}};
}

json fields(const engine_reserved&) {
    return json::object();
}

json fields(const engine_released&) {
    return json::object();
}

json items_json(const std::vector<loaded_item>& items) {
    auto list = json::array();
    for (const auto& item : items) {
        list.push_back({{"name", item.name}, {"version", item.version}, {"ready", item.is_ready}});
    }
    return list;
}

/// Runs a reader over the fields of a call. Errors: bad_request.
template <class T, class Reader>
result<T> read_call(const http_request& request, Reader reader) {
    try {
        const auto in = json::parse(find_header(request.headers, "engine-call"));
        return reader(in);
    } catch (const json::exception& failure) {
        return fail(error_code::bad_request, failure.what());
    } catch (const std::out_of_range& failure) {
        return fail(error_code::bad_request, failure.what());
    }
}

order_kind read_kind(const json& name) {
    static constexpr std::array names{"load_model",     "unload_model", "load_adapter",
                                      "unload_adapter", "set_role",     "drain",
                                      "undrain"};
    const auto found =
        std::ranges::find_if(names, [&name](const char* value) { return name == value; });
    if (found == names.end()) {
        throw std::out_of_range{name.dump()};
    }
    return static_cast<order_kind>(found - names.begin());
}

} // namespace

result<received_command> read_command(const http_request& request, const engine_finder& find,
                                      double time_scale) {
    return read_call<received_command>(request, [&](const json& in) -> result<received_command> {
        auto command = read_body(request, in, find, time_scale);
        if (!command) {
            return tl::unexpected{command.error()};
        }
        return received_command{std::move(*command), {in.at("owner"), in.at("epoch")}};
    });
}

result<engine_order> read_order(const http_request& request) {
    return read_call<engine_order>(request, [](const json& in) -> result<engine_order> {
        return engine_order{{},
                            read_kind(in.at("kind")),
                            in.at("name"),
                            in.at("version"),
                            enum_named(in.at("role"), engine_role::long_prompts),
                            in.at("fencing")};
    });
}

attempt_id attempt_of(const engine_event& event) {
    return std::visit([](const auto& value) { return value.id; }, event);
}

std::string line_of(const engine_event& event) {
    auto line = std::visit([](const auto& value) { return fields(value); }, event);
    line["attempt"] = attempt_text(attempt_of(event));
    return line.dump() + "\n";
}

std::string waiting_line(const attempt_id& id) {
    return json{{"kind", "waiting"}, {"attempt", attempt_text(id)}}.dump() + "\n";
}

http_response refusal(const error& failure) {
    const auto status =
        failure.code == error_code::too_large ? status_too_large : status_unavailable;
    return json_response(status, json{{"error", to_string(failure.code)},
                                      {"subject", failure.subject},
                                      {"ran", false},
                                      {"leaving", failure.code == error_code::backend_refused}}
                                     .dump());
}

json load_json(const engine_load& load, double time_scale) {
    return {{"running", load.running_requests},
            {"waiting", load.waiting_requests},
            {"pending_prefill_tokens", load.pending_prefill_tokens},
            {"free_memory_tokens", load.free_memory_tokens},
            {"age_ms", unscaled(load.age, time_scale)},
            {"state", to_string(load.state)}};
}

json status_json(const engine_status& status) {
    return {{"boot", status.boot},
            {"models", items_json(status.models)},
            {"adapters", items_json(status.adapters)},
            {"role", to_string(status.role)},
            {"state", to_string(status.state)},
            {"fencing", status.fencing}};
}

json memory_json(const std::vector<held_memory>& held, double time_scale) {
    auto list = json::array();
    for (const auto& item : held) {
        list.push_back({{"reservation", item.reservation},
                        {"owner", item.owner.name},
                        {"epoch", item.owner.epoch},
                        {"tokens", item.tokens},
                        {"expires_in_ms", unscaled(item.expires_in, time_scale)}});
    }
    return list;
}

json counts_json(const engine_model& engine, time_point now) {
    const auto& counts = engine.counts();
    json executions = json::object();
    for (const auto& [request, count] : counts.executions) {
        executions[to_string(request)] = count;
    }
    json held = json::object();
    for (const auto& item : engine.list_reservations(now)) {
        const auto owner = item.owner.name + "/" + std::to_string(item.owner.epoch);
        held[owner] = held.value(owner, 0U) + item.tokens;
    }
    const auto load = engine.current_load();
    return {{"engine", engine.settings().name},
            {"up", engine.is_up()},
            {"executions", executions},
            {"tokens_delivered", counts.tokens_delivered},
            {"prefilled_tokens", counts.prefilled_tokens},
            {"refused", counts.refused},
            {"orders_taken", counts.orders_taken},
            {"orders_fenced", counts.orders_fenced},
            {"stale_orders_taken", counts.stale_orders_taken},
            {"memory_by_owner", held},
            {"used_memory_tokens", engine.settings().memory_tokens - load.free_memory_tokens},
            {"running", load.running_requests},
            {"waiting", load.waiting_requests}};
}

} // namespace magnolia::fakes
