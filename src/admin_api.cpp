#include "admin_api.h"

#include "contract_rules.h"
#include "json_text.h"
#include "key_hash.h"

#include <algorithm>

namespace magnolia {
namespace {

using json = nlohmann::json;

constexpr std::string_view contracts_path = "/v1/contracts";
constexpr std::string_view contract_root = "/v1/contracts/";
constexpr std::string_view history_suffix = "/history";
constexpr std::string_view bearer = "Bearer ";

/// Maximum number of waiting watches; each one uses read rate of the platform while it waits.
constexpr std::size_t max_watches = 8;
/// Longest time for which a watch waits for a change.
constexpr auto watch_wait = std::chrono::milliseconds{10000};
constexpr auto watch_retry_after = std::chrono::milliseconds{5000};

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_value(const stored_contract& item) {
    return {{"version", item.version}, {"contract", item.value}};
}

json to_value(const std::vector<stored_contract>& items) {
    auto list = json::array();
    std::ranges::transform(items, std::back_inserter(list),
                           [](const stored_contract& item) { return to_value(item); });
    return list;
}

http_response to_response(const contract_failure& failure) {
    json body{{"type", to_string(failure.failure.code)},
              {"subject", failure.failure.subject},
              {"may_have_effect", failure.may_have_effect}};
    if (failure.failure.retry_after.count() > 0) {
        body["retry_after_ms"] = failure.failure.retry_after.count();
    }
    json document{{"error", body}};
    if (failure.current) {
        document["current"] = to_value(*failure.current);
    }
    return json_response(http_status(failure.failure.code), dump(document));
}

void send(const http_responder& responder, unsigned status,
          const contract_result<stored_contract>& outcome) {
    responder.send(outcome ? json_response(status, dump(to_value(*outcome)))
                           : to_response(outcome.error()));
}

result<contract> read_body(const http_request& request) {
    const auto document = parse_json(request.body);
    if (document.is_discarded()) {
        return fail(error_code::bad_request, "the body is not JSON");
    }
    return read_contract_document(document);
}

} // namespace

admin_api::admin_api(platform_client& platform, const admin_settings& settings,
                     std::function<std::int64_t()> wall_ms, std::uint64_t seed)
    : platform_{platform}, settings_{settings}, wall_ms_{std::move(wall_ms)},
      store_{[this](platform_call call, contract_store::reply_handler done) {
                 platform_.execute(std::move(call), call_priority::configuration, std::move(done));
             },
             steady_now, seed} {}

void admin_api::handle(const http_request& request, const http_responder& responder) {
    const auto* admin_operator = authenticate(request);
    if (admin_operator == nullptr) {
        responder.send(
            error_response({error_code::unauthorized, "missing or unknown operator key", {}}));
        return;
    }
    dispatch({request, responder, admin_operator->name});
}

const operator_settings* admin_api::authenticate(const http_request& request) const {
    const auto field = find_header(request.headers, "authorization");
    if (!field.starts_with(bearer)) {
        return nullptr;
    }
    const auto hash = key_hash(field.substr(bearer.size()));
    const auto found = std::ranges::find_if(
        settings_.operators, [&](const auto& item) { return is_same_hash(item.key_hash, hash); });
    return found == settings_.operators.end() ? nullptr : &*found;
}

change_context admin_api::make_change_context(const admin_call& call) const {
    return {call.changed_by, wall_ms_(), steady_now() + settings_.change_timeout};
}

void admin_api::dispatch(const admin_call& call) {
    const auto path = target_path(call.request.target);
    const auto& method = call.request.method;
    if (path == contracts_path && method == "GET") {
        list(call);
    } else if (path == contracts_path && method == "POST") {
        create(call);
    } else if (path == "/v1/validate" && method == "POST") {
        validate(call);
    } else if (path == "/v1/watch" && method == "GET") {
        watch(call);
    } else if (path == "/v1/status" && method == "GET") {
        status(call);
    } else if (path.starts_with(contract_root)) {
        dispatch_contract(call, std::string{path.substr(contract_root.size())});
    } else {
        call.responder.send(error_response({error_code::not_found, std::string{path}, {}}));
    }
}

void admin_api::dispatch_contract(const admin_call& call, const std::string& workspace) {
    const auto& method = call.request.method;
    if (method == "GET" && workspace.ends_with(history_suffix)) {
        const auto name = workspace.substr(0, workspace.size() - history_suffix.size());
        history(call, percent_decode(name));
    } else if (method == "GET") {
        show(call, percent_decode(workspace));
    } else if (method == "PUT") {
        change(call, percent_decode(workspace));
    } else if (method == "DELETE") {
        retire(call, percent_decode(workspace));
    } else {
        call.responder.send(error_response({error_code::bad_request, method, {}}));
    }
}

void admin_api::list(const admin_call& call) {
    store_.list(query_parameter(call.request.target, "after"),
                [responder = call.responder](const contract_result<contract_page>& page) {
                    if (!page) {
                        responder.send(to_response(page.error()));
                        return;
                    }
                    const json body{{"contracts", to_value(page->items)},
                                    {"revision", page->revision},
                                    {"more", page->more}};
                    responder.send(json_response(200, dump(body)));
                });
}

void admin_api::create(const admin_call& call) {
    const auto value = read_body(call.request);
    if (!value) {
        call.responder.send(error_response(value.error()));
        return;
    }
    store_.create(
        *value, make_change_context(call),
        [responder = call.responder](const auto& outcome) { send(responder, 201, outcome); });
}

void admin_api::validate(const admin_call& call) {
    const auto value = read_body(call.request);
    call.responder.send(value ? json_response(200, dump({{"contract", *value}}))
                              : error_response(value.error()));
}

void admin_api::show(const admin_call& call, const std::string& workspace) {
    store_.get(workspace, [responder = call.responder](const auto& outcome) {
        send(responder, 200, outcome);
    });
}

void admin_api::change(const admin_call& call, const std::string& workspace) {
    const auto expected = number_parameter(call.request.target, "expected_version");
    auto value = read_body(call.request);
    if (value && value->workspace != workspace) {
        value = fail(error_code::bad_contract,
                     "workspace is " + value->workspace + "; allowed: " + workspace);
    }
    if (value && !expected) {
        value = fail(error_code::bad_request, "expected_version");
    }
    if (!value) {
        call.responder.send(error_response(value.error()));
        return;
    }
    store_.change(
        *value, *expected, make_change_context(call),
        [responder = call.responder](const auto& outcome) { send(responder, 200, outcome); });
}

void admin_api::retire(const admin_call& call, const std::string& workspace) {
    const auto expected = number_parameter(call.request.target, "expected_version");
    if (!expected) {
        call.responder.send(error_response({error_code::bad_request, "expected_version", {}}));
        return;
    }
    store_.retire(
        workspace, *expected, make_change_context(call),
        [responder = call.responder](const auto& outcome) { send(responder, 200, outcome); });
}

void admin_api::history(const admin_call& call, const std::string& workspace) {
    store_.history(workspace, [responder = call.responder](
                                  const contract_result<std::vector<stored_contract>>& versions) {
        responder.send(versions ? json_response(200, dump({{"versions", to_value(*versions)}}))
                                : to_response(versions.error()));
    });
}

void admin_api::watch(const admin_call& call) {
    const auto revision = number_parameter(call.request.target, "after_revision");
    if (!revision) {
        call.responder.send(error_response({error_code::bad_request, "after_revision", {}}));
        return;
    }
    if (open_watches_ >= max_watches) {
        call.responder.send(error_response({error_code::overloaded, "watches", watch_retry_after}));
        return;
    }
    ++open_watches_;
    store_.watch(
        *revision, watch_wait,
        [this, responder = call.responder](const contract_result<contract_changes>& changes) {
            --open_watches_;
            if (!changes) {
                responder.send(to_response(changes.error()));
                return;
            }
            const json body{{"contracts", to_value(changes->items)},
                            {"revision", changes->revision},
                            {"gap", changes->gap}};
            responder.send(json_response(200, dump(body)));
        });
}

/// Returns the status objects of the zones unchanged.
void admin_api::status(const admin_call& call) {
    platform_.list_all(
        {"status", {}, 0}, call_priority::status,
        [responder = call.responder](const result<std::vector<stored_object>>& objects) {
            if (!objects) {
                responder.send(error_response(objects.error()));
                return;
            }
            auto list = json::array();
            for (const auto& item : *objects) {
                const auto value = parse_json(item.value);
                list.push_back({{"name", item.id.name},
                                {"version", item.version},
                                {"status", value.is_discarded() ? json(item.value) : value}});
            }
            responder.send(json_response(200, dump({{"status", list}})));
        });
}

} // namespace magnolia
