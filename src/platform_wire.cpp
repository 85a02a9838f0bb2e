#include "platform_wire.h"

#include "json_text.h"
#include "schema_reader.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace magnolia {
namespace {

using json = nlohmann::json;

constexpr std::string_view object_root = "/v1/objects/";
constexpr std::string_view watch_root = "/v1/watch/";
constexpr std::string_view host_path = "/v1/hosts";
constexpr std::string_view weight_path = "/v1/weights/take";
constexpr std::string_view epoch_header = "Epoch";

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string object_path(const object_id& id) {
    return std::string{object_root} + percent_encode(id.kind) + "/" + percent_encode(id.name);
}

http_request encode(const object_get& call) {
    return {"GET", object_path(call.id), {}, {}};
}

http_request encode(const object_put& call) {
    return {"PUT",
            object_path(call.id) + "?expected_version=" + std::to_string(call.expected_version),
            {{"Content-Type", "application/octet-stream"}},
            call.value};
}

http_request encode(const object_delete& call) {
    return {"DELETE",
            object_path(call.id) + "?expected_version=" + std::to_string(call.expected_version),
            {},
            {}};
}

http_request encode(const object_list& call) {
    const auto path = std::string{object_root} + percent_encode(call.kind);
    return {"GET",
            path + "?after=" + percent_encode(call.after) + "&limit=" + std::to_string(call.limit),
            {},
            {}};
}

http_request encode(const object_watch& call) {
    const auto path = std::string{watch_root} + percent_encode(call.kind);
    return {"GET",
            path + "?after_revision=" + std::to_string(call.after.revision) +
                "&wait_ms=" + std::to_string(call.wait.count()),
            {},
            {}};
}

http_request encode(const host_list& /*call*/) {
    return {"GET", std::string{host_path}, {}, {}};
}

http_request encode(const weight_take& call) {
    return {"POST", std::string{weight_path}, {}, dump({{"bytes", call.bytes}})};
}

result<platform_call> decode_object_call(const http_request& request, std::string_view path) {
    const auto slash = path.find('/');
    const auto kind = percent_decode(path.substr(0, slash));
    if (slash == std::string_view::npos) {
        const auto limit = number_parameter(request.target, "limit").value_or(0);
        return object_list{kind, query_parameter(request.target, "after"),
                           static_cast<std::uint32_t>(limit)};
    }
    const object_id id{kind, percent_decode(path.substr(slash + 1))};
    if (request.method == "GET") {
        return object_get{id};
    }
    const auto expected = number_parameter(request.target, "expected_version");
    if (!expected) {
        return fail(error_code::bad_request, "expected_version");
    }
    if (request.method == "PUT") {
        return object_put{id, *expected, request.body};
    }
    if (request.method == "DELETE") {
        return object_delete{id, *expected};
    }
    return fail(error_code::bad_request, request.method);
}

result<platform_call> decode_watch(const http_request& request, std::string_view path) {
    const auto revision = number_parameter(request.target, "after_revision");
    const auto wait = number_parameter(request.target, "wait_ms");
    if (!revision || !wait) {
        return fail(error_code::bad_request, "after_revision or wait_ms");
    }
    return object_watch{percent_decode(path),
                        {.revision = *revision},
                        std::chrono::milliseconds{static_cast<std::int64_t>(*wait)}};
}

result<platform_call> decode_take(const http_request& request) {
    const auto body = parse_json(request.body);
    if (!body.is_object() || !body.value("bytes", json{}).is_number_unsigned()) {
        return fail(error_code::bad_request, "bytes");
    }
    return weight_take{body["bytes"].get<std::uint64_t>()};
}

json to_value(const stored_object& object) {
    return {{"kind", object.id.kind},
            {"name", object.id.name},
            {"version", object.version},
            {"value", object.value},
            {"deleted", object.deleted}};
}

json to_values(const std::vector<stored_object>& objects) {
    auto list = json::array();
    std::ranges::transform(objects, std::back_inserter(list), to_value);
    return list;
}

json to_value(const platform_host& host) {
    return {{"name", host.name},       {"zone", host.zone},
            {"address", host.address}, {"port", host.port},
            {"kind", host.kind},       {"state", std::string{to_string(host.state)}}};
}

json to_value(const object_page& page) {
    return {{"items", to_values(page.items)},
            {"revision", page.position.revision},
            {"more", page.more}};
}

json to_value(const watch_page& page) {
    return {{"changes", to_values(page.changes)},
            {"revision", page.position.revision},
            {"gap", page.gap}};
}

json to_value(const host_page& page) {
    auto list = json::array();
    std::ranges::transform(page.hosts, std::back_inserter(list),
                           [](const platform_host& host) { return to_value(host); });
    return {{"hosts", list}};
}

json to_value(const weight_grant& grant) {
    return {{"wait_ms", grant.wait.count()}};
}

stored_object read_object(const json& in) {
    return {{in.at("kind").get<std::string>(), in.at("name").get<std::string>()},
            in.at("version").get<std::uint64_t>(),
            in.at("value").get<std::string>(),
            in.value("deleted", false)};
}

std::vector<stored_object> read_objects(const json& in) {
    std::vector<stored_object> objects;
    std::ranges::transform(in, std::back_inserter(objects), read_object);
    return objects;
}

platform_host read_host(const json& in) {
    platform_host host{in.at("name").get<std::string>(),    in.at("zone").get<std::string>(),
                       in.at("address").get<std::string>(), in.at("port").get<std::uint16_t>(),
                       in.at("kind").get<std::string>(),    host_state::live};
    if (in.at("state").get<std::string>() != "live") {
        host.state = host_state::leaving;
    }
    return host;
}

/// Reads the body of a successful response. Throws json::exception if it is malformed.
struct body_reader {
    const json& in;

    platform_reply operator()(const object_list& /*call*/) const {
        return object_page{read_objects(in.at("items")),
                           {.revision = in.at("revision").get<std::uint64_t>()},
                           in.at("more").get<bool>()};
    }
    platform_reply operator()(const object_watch& /*call*/) const {
        return watch_page{read_objects(in.at("changes")),
                          {.revision = in.at("revision").get<std::uint64_t>()},
                          in.at("gap").get<bool>()};
    }
    platform_reply operator()(const host_list& /*call*/) const {
        host_page page;
        std::ranges::transform(in.at("hosts"), std::back_inserter(page.hosts), read_host);
        return page;
    }
    platform_reply operator()(const weight_take& /*call*/) const {
        return weight_grant{std::chrono::milliseconds{in.at("wait_ms").get<std::int64_t>()}};
    }
    template <class Call>
    platform_reply operator()(const Call& /*call*/) const {
        return read_object(in);
    }
};

std::chrono::milliseconds read_retry_after(const json& body) {
    const auto wait = body.is_object() ? body.value("retry_after_ms", json{}) : json{};
    return std::chrono::milliseconds{wait.is_number_integer() ? wait.get<std::int64_t>() : 0};
}

error_code to_error_code(unsigned status) {
    switch (status) {
    case 400:
        return error_code::bad_request;
    case 409:
        return error_code::conflict;
    case 413:
        return error_code::too_large;
    case 429:
        return error_code::platform_busy;
    default:
        return error_code::platform_down;
    }
}

unsigned to_status(error_code code) {
    // The product's own interfaces use status 503 for platform_busy; the platform uses 429.
    return code == error_code::platform_busy ? 429 : http_status(code);
}

http_response to_response(const result<platform_reply>& reply) {
    if (reply) {
        const auto body = std::visit([](const auto& item) { return to_value(item); }, *reply);
        return json_response(200, dump(body));
    }
    json body{{"type", std::string{to_string(reply.error().code)}},
              {"subject", reply.error().subject}};
    if (reply.error().retry_after.count() > 0) {
        body["retry_after_ms"] = reply.error().retry_after.count();
    }
    return json_response(to_status(reply.error().code), dump(body));
}

} // namespace

http_request encode_call(const platform_call& call) {
    return std::visit([](const auto& item) { return encode(item); }, call);
}

result<platform_call> decode_call(const http_request& request) {
    const auto path = target_path(request.target);
    if (boost::starts_with(path, object_root)) {
        return decode_object_call(request, path.substr(object_root.size()));
    }
    if (boost::starts_with(path, watch_root)) {
        return decode_watch(request, path.substr(watch_root.size()));
    }
    if (path == host_path) {
        return host_list{};
    }
    if (path == weight_path) {
        return decode_take(request);
    }
    return fail(error_code::not_found, std::string{path});
}

http_response encode_reply(const result<platform_reply>& reply, std::uint64_t epoch) {
    auto response = to_response(reply);
    response.headers.push_back({std::string{epoch_header}, std::to_string(epoch)});
    return response;
}

std::optional<std::uint64_t> read_epoch(const http_headers& headers) {
    const auto text = find_header(headers, epoch_header);
    std::uint64_t epoch = 0;
    const auto [last, failure] = std::from_chars(text.begin(), text.end(), epoch);
    return failure == std::errc{} && last == text.end() ? std::optional{epoch} : std::nullopt;
}

result<platform_reply> decode_reply(const platform_call& call, const http_response& response) {
    const auto body = parse_json(response.body);
    if (response.status != 200) {
        return fail(to_error_code(response.status), "status " + std::to_string(response.status),
                    read_retry_after(body));
    }
    try {
        return std::visit(body_reader{body}, call);
    } catch (const json::exception&) {
        return fail(error_code::platform_down, "malformed response body");
    }
}

bool is_write(const platform_call& call) {
    return std::holds_alternative<object_put>(call) || std::holds_alternative<object_delete>(call);
}

} // namespace magnolia
