#include "engine_http.h"

#include "json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia {
namespace {

using nlohmann::json;

/// Header field with the fields of the call as JSON; the body holds only text.
constexpr auto call_header = "engine-call";

std::string dump(const json& value) {
    return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::int64_t milliseconds(duration time) {
    return std::chrono::ceil<std::chrono::milliseconds>(time).count();
}

duration from_milliseconds(const json& value) {
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

json fields_of(const attempt_id& id, const memory_owner& owner) {
    return {{"attempt", to_string(id)}, {"owner", owner.name}, {"epoch", owner.epoch}};
}

json encode_parts(const std::vector<kv_part>& parts, const engine_namer& namer) {
    auto list = json::array();
    for (const auto& part : parts) {
        list.push_back({{"engine", namer(part.engine)},
                        {"name", part.name},
                        {"first_token", part.first_token},
                        {"token_count", part.token_count}});
    }
    return list;
}

http_request post(std::string target, const json& fields, std::string body = {}) {
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers = {{call_header, dump(fields)}};
    request.body = std::move(body);
    return request;
}

/// Parses an enumeration value by name; false if none of the values up to `last` has the name.
template <class Enum>
bool read_name(const json& in, Enum last, Enum& value) {
    for (unsigned index = 0; index <= static_cast<unsigned>(last); ++index) {
        if (in == to_string(static_cast<Enum>(index))) {
            value = static_cast<Enum>(index);
            return true;
        }
    }
    return false;
}

error read_error(const json& in, error_code fallback) {
    error failure{fallback, in.value("subject", std::string{}),
                  std::chrono::milliseconds{in.value("retry_after_ms", 0)}};
    if (const auto found = in.find("error"); found != in.end()) {
        read_name(*found, error_code::internal, failure.code);
    }
    return failure;
}

/// Parses JSON text with a reader. Errors: frame_invalid.
template <class T, class Reader>
result<T> decode(std::string_view text, Reader reader) {
    try {
        const auto in = parse_json(text);
        if (in.is_discarded()) {
            return fail(error_code::frame_invalid, "JSON");
        }
        return reader(in);
    } catch (const json::exception& failure) {
        return fail(error_code::frame_invalid, failure.what());
    }
}

engine_failed read_failed(const json& in, const attempt_id& id, engine_handle engine) {
    const bool ran = in.value("ran", true);
    return {id,
            engine,
            {},
            read_error(in, error_code::backend_failed),
            ran ? run_certainty::ran : run_certainty::not_run,
            in.value("leaving", false)};
}

result<engine_line> read_line(const json& in, const attempt_id& id, std::string_view id_text,
                              engine_handle engine) {
    if (in.at("attempt").get_ref<const std::string&>() != id_text) {
        return fail(error_code::frame_invalid, "line of another attempt");
    }
    const auto& kind = in.at("kind").get_ref<const std::string&>();
    if (kind == "tokens") {
        return engine_tokens{id, in.at("offset"), in.at("count"), in.at("text")};
    }
    if (kind == "accepted") {
        return engine_accepted{id, in.at("prompt_tokens"), in.at("cached_tokens")};
    }
    if (kind == "finished") {
        return engine_finished{id, in.at("prompt_tokens"), in.at("generated_tokens")};
    }
    if (kind == "part") {
        return engine_part_ready{
            id, {engine, in.at("name"), in.at("first_token"), in.at("token_count")}};
    }
    if (kind == "failed") {
        return read_failed(in, id, engine);
    }
    return engine_keepalive{};
}

std::vector<loaded_item> read_items(const json& list) {
    std::vector<loaded_item> items;
    std::ranges::transform(list, std::back_inserter(items), [](const json& item) {
        return loaded_item{item.at("name"), item.at("version"), item.at("ready")};
    });
    return items;
}

std::string_view name_of(order_kind kind) {
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    case order_kind::set_role:
        return "set_role";
    case order_kind::drain:
        return "drain";
    case order_kind::undrain:
        return "undrain";
    }
    return "invalid";
}

} // namespace

std::string to_string(const attempt_id& id) {
    return to_string(id.request) + "/" + std::to_string(id.number);
}

http_request encode(const engine_start& command, const memory_owner& owner,
                    const engine_namer& namer) {
    auto fields = fields_of(command.id, owner);
    fields["model"] = command.model;
    fields["adapter"] = command.adapter;
    fields["prompt_bytes"] = command.prompt->size();
    fields["resume_offset"] = command.resume_offset;
    fields["max_generated_tokens"] = command.max_generated_tokens;
    fields["urgency"] = to_string(command.urgency);
    fields["time_left_ms"] = milliseconds(command.time_left);
    fields["reservation"] = command.reservation;
    fields["parts"] = encode_parts(command.parts, namer);
    std::string body;
    body.reserve(command.prompt->size() + command.prefix_answer.size());
    body += *command.prompt;
    body += command.prefix_answer;
    return post("/v1/start", fields, std::move(body));
}

http_request encode(const engine_cancel& command, const memory_owner& owner, const engine_namer&) {
    return post("/v1/cancel", fields_of(command.id, owner));
}

http_request encode(const engine_reserve& command, const memory_owner& owner, const engine_namer&) {
    auto fields = fields_of(command.id, owner);
    fields["reservation"] = command.reservation;
    fields["tokens"] = command.tokens;
    fields["expiry_ms"] = milliseconds(command.expiry);
    return post("/v1/reserve", fields);
}

http_request encode(const engine_release& command, const memory_owner& owner, const engine_namer&) {
    auto fields = fields_of(command.id, owner);
    fields["reservation"] = command.reservation;
    return post("/v1/release", fields);
}

http_request encode(const engine_prefill_part& command, const memory_owner& owner,
                    const engine_namer& namer) {
    auto fields = fields_of(command.id, owner);
    fields["reservation"] = command.reservation;
    fields["model"] = command.model;
    fields["first_token"] = command.first_token;
    fields["token_count"] = command.token_count;
    fields["time_left_ms"] = milliseconds(command.time_left);
    fields["parts"] = encode_parts(command.parts, namer);
    return post("/v1/prefill", fields, *command.prompt);
}

http_request encode(const engine_order& order) {
    return post("/v1/order", {{"kind", name_of(order.kind)},
                              {"name", order.name},
                              {"version", order.version},
                              {"role", to_string(order.role)},
                              {"fencing", order.fencing}});
}

result<engine_line> decode_line(std::string_view line, const attempt_id& id,
                                std::string_view id_text, engine_handle engine) {
    return decode<engine_line>(line,
                               [&](const json& in) { return read_line(in, id, id_text, engine); });
}

engine_refusal decode_refusal(unsigned status, std::string_view body) {
    const auto fallback = status == 404   ? error_code::not_found
                          : status == 413 ? error_code::too_large
                          : status == 503 ? error_code::backend_refused
                                          : error_code::backend_failed;
    const engine_refusal unproven{{fallback, "status " + std::to_string(status), {}}};
    const auto decoded = decode<engine_refusal>(body, [&](const json& in) -> engine_refusal {
        const bool ran = in.value("ran", true);
        return {read_error(in, fallback), ran ? run_certainty::unknown : run_certainty::not_run,
                in.value("leaving", false)};
    });
    return decoded.value_or(unproven);
}

result<engine_load> decode_load(std::string_view body) {
    return decode<engine_load>(body, [](const json& in) -> result<engine_load> {
        engine_load load{in.at("running"),
                         in.at("waiting"),
                         in.at("pending_prefill_tokens"),
                         in.at("free_memory_tokens"),
                         from_milliseconds(in.at("age_ms")),
                         host_state::live};
        if (!read_name(in.at("state"), host_state::gone, load.state)) {
            return fail(error_code::frame_invalid, "state");
        }
        return load;
    });
}

result<engine_status> decode_status(std::string_view body) {
    return decode<engine_status>(body, [](const json& in) -> result<engine_status> {
        engine_status status;
        status.boot = in.at("boot");
        status.models = read_items(in.at("models"));
        status.adapters = read_items(in.at("adapters"));
        status.fencing = in.at("fencing");
        if (!read_name(in.at("role"), engine_role::long_prompts, status.role) ||
            !read_name(in.at("state"), host_state::gone, status.state)) {
            return fail(error_code::frame_invalid, "unknown role or state");
        }
        return status;
    });
}

result<std::vector<held_memory>> decode_memory(std::string_view body) {
    return decode<std::vector<held_memory>>(body, [](const json& in) {
        std::vector<held_memory> held;
        std::ranges::transform(in, std::back_inserter(held), [](const json& item) {
            return held_memory{item.at("reservation"),
                               {item.at("owner"), item.at("epoch")},
                               item.at("tokens"),
                               from_milliseconds(item.at("expires_in_ms"))};
        });
        return result<std::vector<held_memory>>{std::move(held)};
    });
}

} // namespace magnolia
