#include "service_client.h"

#include "backend_call.h"
#include "json_text.h"
#include "run_promise.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace magnolia {
namespace {

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;

/// Whether the status alone does not show if the service ran the call.
bool is_ambiguous(unsigned status) {
    return promises_not_run(status) || status == status_bad_gateway ||
           status == status_gateway_timeout;
}

/// Statements in the body of a refusal.
struct refusal {
    bool proves_not_run = false;
    bool is_leaving = false;
};

refusal read_refusal(const std::string& body) {
    const auto in = parse_json(body);
    if (!in.is_object()) {
        return {};
    }
    const auto is_set = [&in](const char* name, bool wanted) {
        const auto found = in.find(name);
        return found != in.end() && found->is_boolean() && found->get<bool>() == wanted;
    };
    return {is_set("ran", false), is_set("leaving", true)};
}

http_request request_for(const service_call& call) {
    http_request request;
    request.method = "POST";
    request.target = call.path;
    request.headers = {
        {"magnolia-attempt", to_string(call.id.request) + "/" + std::to_string(call.id.number)},
        {"magnolia-time-left-ms",
         std::to_string(std::chrono::ceil<std::chrono::milliseconds>(call.time_left).count())}};
    if (!call.idempotency_key.empty()) {
        request.headers.push_back({"idempotency-key", call.idempotency_key});
    }
    if (call.body) {
        request.body = *call.body;
    }
    return request;
}

service_event event_of(const attempt_id& id, tl::expected<http_response, http_failure> answer) {
    if (!answer) {
        return service_failed{id, to_backend_error(answer.error()), certainty_of(answer.error()),
                              false};
    }
    if (!is_ambiguous(answer->status)) {
        return service_answer{id, answer->status, std::move(answer->body)};
    }
    const auto refused = read_refusal(answer->body);
    const auto code =
        refused.proves_not_run ? error_code::backend_refused : error_code::backend_failed;
    return service_failed{id, error{code, "status " + std::to_string(answer->status), {}},
                          refused.proves_not_run ? run_certainty::not_run : run_certainty::unknown,
                          refused.is_leaving};
}

} // namespace

class service_client::state : public std::enable_shared_from_this<service_client::state> {
public:
    state(boost::asio::io_context& io, service_client_settings values)
        : context{io}, settings{values}, http{std::in_place, io, 0} {}

    void submit(const service_call& call) {
        const auto found = services.find(call.service);
        if (found == services.end()) {
            boost::asio::post(context, [self = shared_from_this(), id = call.id] {
                self->sink(service_failed{
                    id, error{error_code::no_capacity, "service is not registered", {}},
                    run_certainty::not_run, false});
            });
            return;
        }
        const auto& address =
            std::visit([](const http_service& value) -> const endpoint& { return value.address; },
                       found->second);
        const auto limit = timeout_with_grace(call.time_left);
        http_call_limits limits{settings.connect_timeout, limit, limit, settings.max_answer_bytes};
        // A late answer to an earlier call on the connection would pass for one to this call.
        limits.may_reuse_connection = false;
        calls[call.id] = http->call(address, request_for(call), limits,
                                    [self = shared_from_this(), id = call.id](auto answer) {
                                        if (self->calls.erase(id) > 0) {
                                            self->sink(event_of(id, std::move(answer)));
                                        }
                                    });
    }

    boost::asio::io_context& context;
    service_client_settings settings;
    std::optional<http_client> http;
    service_event_sink sink = [](const service_event&) {};
    std::map<service_handle, service_backend> services;
    std::map<attempt_id, http_call_id> calls;
};

service_client::service_client(boost::asio::io_context& context, service_client_settings settings)
    : state_{std::make_shared<state>(context, settings)} {}

service_client::~service_client() {
    state_->http.reset();
}

void service_client::set_event_sink(service_event_sink sink) {
    state_->sink = std::move(sink);
}

void service_client::put_service(service_handle service, service_backend backend) {
    state_->services.insert_or_assign(service, std::move(backend));
}

void service_client::remove_service(service_handle service) {
    state_->services.erase(service);
}

void service_client::submit(const service_call& call) {
    state_->submit(call);
}

void service_client::cancel(const attempt_id& id) {
    if (const auto found = state_->calls.find(id); found != state_->calls.end()) {
        const auto call = found->second;
        state_->calls.erase(found);
        state_->http->cancel(call);
    }
}

std::size_t service_client::active_calls() const {
    return state_->calls.size();
}

} // namespace magnolia
