#include "engine_wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace magnolia::fakes {
namespace {

using nlohmann::json;

constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;

/// Returns the enumerator with a name, up to and including `last`; throws std::out_of_range.
template <class Enum>
Enum parse_enum(const json& name, Enum last) {
    for (unsigned index = 0; index <= static_cast<unsigned>(last); ++index) {
        if (name == to_string(static_cast<Enum>(index))) {
            return static_cast<Enum>(index);
        }
    }
    throw std::out_of_range{name.dump()};
}

/// Parses a complete text as a number; throws std::out_of_range.
std::uint64_t parse_number(std::string_view text, int base) {
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    if (const auto read = std::from_chars(text.data(), end, value, base); read.ptr != end) {
        throw std::out_of_range{std::string{text}};
    }
    return value;
}

/// Parses "ORIGIN-SEQUENCE/NUMBER"; ORIGIN and SEQUENCE are hexadecimal.
attempt_id parse_attempt(const std::string& text) {
    const auto dash = text.find('-');
    const auto slash = text.find('/');
    if (dash == std::string::npos || slash == std::string::npos) {
        throw std::out_of_range{text};
    }
    const std::string_view view{text};
    return {{parse_number(view.substr(0, dash), 16),
             parse_number(view.substr(dash + 1, slash - dash - 1), 16)},
            static_cast<std::uint32_t>(parse_number(view.substr(slash + 1), 10))};
}

std::string attempt_text(const attempt_id& id) {
    return to_string(id.request) + "/" + std::to_string(id.number);
}

/// Converts real milliseconds of the protocol to virtual time.
duration to_virtual_time(const json& milliseconds, double time_scale) {
    return duration{static_cast<std::int64_t>(milliseconds.get<double>() * 1000 * time_scale)};
}

/// Converts virtual time to real milliseconds.
std::int64_t to_real_ms(duration time, double time_scale) {
    return static_cast<std::int64_t>(static_cast<double>(time.count()) / 1000 / time_scale);
}

std::vector<kv_part> parse_parts(const json& list, const engine_finder& find) {
    std::vector<kv_part> parts;
    std::ranges::transform(list, std::back_inserter(parts), [&find](const json& item) {
        return kv_part{find(item.at("engine").get_ref<const std::string&>()), item.at("name"),
                       item.at("first_token"), item.at("token_count")};
    });
    return parts;
}

engine_start parse_start(const json& in, const std::string& body, const engine_finder& find,
                         double time_scale) {
    engine_start command;
    const auto prompt_bytes = in.at("prompt_bytes").get<std::size_t>();
    if (prompt_bytes > body.size()) {
        throw std::out_of_range{"prompt_bytes"};
    }
    command.id = parse_attempt(in.at("attempt"));
    command.model = in.at("model");
    command.adapter = in.at("adapter");
    command.prompt = std::make_shared<const std::string>(body, 0, prompt_bytes);
    command.prefix_answer = body.substr(prompt_bytes);
    command.resume_offset = in.at("resume_offset");
    command.max_generated_tokens = in.at("max_generated_tokens");
    command.urgency = parse_enum(in.at("urgency"), urgency_level::background);
    command.time_left = to_virtual_time(in.at("time_left_ms"), time_scale);
    command.reservation = in.at("reservation");
    command.parts = parse_parts(in.at("parts"), find);
    return command;
}

engine_prefill_part parse_prefill(const json& in, const std::string& body,
                                  const engine_finder& find, double time_scale) {
    return {parse_attempt(in.at("attempt")),
            {},
            in.at("reservation"),
            in.at("model"),
            std::make_shared<const std::string>(body),
            in.at("first_token"),
            in.at("token_count"),
            parse_parts(in.at("parts"), find),
            to_virtual_time(in.at("time_left_ms"), time_scale)};
}

result<engine_command> parse_body(const http_request& request, const json& in,
                                  const engine_finder& find, double time_scale) {
    const auto path = target_path(request.target);
    if (path == "/v1/start") {
        return parse_start(in, request.body, find, time_scale);
    }
    if (path == "/v1/prefill") {
        return parse_prefill(in, request.body, find, time_scale);
    }
    if (path == "/v1/cancel") {
        return engine_cancel{parse_attempt(in.at("attempt")), {}};
    }
    if (path == "/v1/reserve") {
        return engine_reserve{parse_attempt(in.at("attempt")),
                              {},
                              in.at("reservation"),
                              in.at("tokens"),
                              to_virtual_time(in.at("expiry_ms"), time_scale)};
    }
    if (path == "/v1/release") {
        return engine_release{parse_attempt(in.at("attempt")), {}, in.at("reservation")};
    }
    return fail(error_code::not_found, std::string{path});
}

json event_fields(const engine_accepted& value) {
    return {{"kind", "accepted"},
            {"prompt_tokens", value.prompt_tokens},
            {"cached_tokens", value.cached_tokens}};
}

json event_fields(const engine_tokens& value) {
    return {
        {"kind", "tokens"}, {"offset", value.offset}, {"count", value.count}, {"text", value.text}};
}

json event_fields(const engine_finished& value) {
    return {{"kind", "finished"},
            {"prompt_tokens", value.prompt_tokens},
            {"generated_tokens", value.generated_tokens}};
}

json event_fields(const engine_part_ready& value) {
    return {{"kind", "part"},
            {"name", value.part.name},
            {"first_token", value.part.first_token},
            {"token_count", value.part.token_count}};
}

json event_fields(const engine_failed& value) {
    return {{"kind", "failed"},
            {"error", to_string(value.failure.code)},
            {"subject", value.failure.subject},
            {"ran", value.certainty != run_certainty::not_run},
            {"leaving", value.is_leaving}};
}

json event_fields(const engine_reserved&) {
    return json::object();
}

json event_fields(const engine_released&) {
    return json::object();
}

json items_json(const std::vector<loaded_item>& items) {
    auto list = json::array();
    for (const auto& item : items) {
        list.push_back({{"name", item.name}, {"version", item.version}, {"ready", item.is_ready}});
    }
    return list;
}

/// Parses the engine-call header as JSON and passes it to `parser`. Errors: bad_request.
template <class T, class Parser>
result<T> parse_call(const http_request& request, Parser parser) {
    try {
        const auto in = json::parse(find_header(request.headers, "engine-call"));
        return parser(in);
    } catch (const json::exception& failure) {
        return fail(error_code::bad_request, failure.what());
    } catch (const std::out_of_range& failure) {
        return fail(error_code::bad_request, failure.what());
    }
}

order_kind parse_order_kind(const json& name) {
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

result<received_command> parse_command(const http_request& request, const engine_finder& find,
                                       double time_scale) {
    return parse_call<received_command>(request, [&](const json& in) -> result<received_command> {
        auto command = parse_body(request, in, find, time_scale);
        if (!command) {
            return tl::unexpected{command.error()};
        }
        return received_command{std::move(*command), {in.at("owner"), in.at("epoch")}};
    });
}

result<engine_order> parse_order(const http_request& request) {
    return parse_call<engine_order>(request, [](const json& in) -> result<engine_order> {
        return engine_order{{},
                            parse_order_kind(in.at("kind")),
                            in.at("name"),
                            in.at("version"),
                            parse_enum(in.at("role"), engine_role::long_prompts),
                            in.at("fencing")};
    });
}

attempt_id attempt_of(const engine_event& event) {
    return std::visit([](const auto& value) { return value.id; }, event);
}

std::string event_line(const engine_event& event) {
    auto line = std::visit([](const auto& value) { return event_fields(value); }, event);
    line["attempt"] = attempt_text(attempt_of(event));
    return line.dump() + "\n";
}

std::string keep_alive_line(const attempt_id& id) {
    return json{{"kind", "waiting"}, {"attempt", attempt_text(id)}}.dump() + "\n";
}

http_response refusal_response(const error& failure) {
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
            {"age_ms", to_real_ms(load.age, time_scale)},
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

json memory_json(const std::vector<held_memory>& reservations, double time_scale) {
    auto list = json::array();
    for (const auto& item : reservations) {
        list.push_back({{"reservation", item.reservation},
                        {"owner", item.owner.name},
                        {"epoch", item.owner.epoch},
                        {"tokens", item.tokens},
                        {"expires_in_ms", to_real_ms(item.expires_in, time_scale)}});
    }
    return list;
}

json counts_json(const engine_model& engine, time_point now) {
    const auto& counts = engine.counts();
    json executions = json::object();
    for (const auto& [request, count] : counts.executions) {
        executions[to_string(request)] = count;
    }
    json memory_by_owner = json::object();
    for (const auto& item : engine.list_reservations(now)) {
        const auto owner = item.owner.name + "/" + std::to_string(item.owner.epoch);
        memory_by_owner[owner] = memory_by_owner.value(owner, 0U) + item.tokens;
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
            {"memory_by_owner", memory_by_owner},
            {"used_memory_tokens", engine.settings().memory_tokens - load.free_memory_tokens},
            {"running", load.running_requests},
            {"waiting", load.waiting_requests}};
}

} // namespace magnolia::fakes
