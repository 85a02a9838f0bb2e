#include "caller_http.h"

#include "json_text.h"
#include "run_promise.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <unordered_map>

namespace magnolia {
namespace {

using nlohmann::json;

/// Maximum unread bytes of a stream; a caller that leaves more unread is disconnected.
constexpr std::size_t max_unread_bytes = std::size_t{1} << 20U;

/// Default of max_tokens.
constexpr std::uint32_t default_max_tokens = 256;

constexpr std::string_view service_prefix = "/v1/services/";
constexpr std::string_view outcome_prefix = "/v1/outcomes/";
constexpr std::string_view bearer_prefix = "Bearer ";

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
    Number value{};
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool is_complete = failure == std::errc{} && end == text.data() + text.size();
    return is_complete ? std::optional{value} : std::nullopt;
}

/// Creation time of a UUID of version 7, in ms since 1970.
std::optional<std::int64_t> time_of_uuid(std::string_view key) {
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t version_offset = 14;
    if (key.size() != uuid_length || key[8] != '-' || key[13] != '-' ||
        key[version_offset] != '7') {
        return std::nullopt;
    }
    return parse_number<std::int64_t>(std::string{key.substr(0, 8)} + std::string{key.substr(9, 4)},
                                      16);
}

/// Whether the call ran, as JSON: true, false, or null if unknown.
json ran_json(outcome value) {
    if (value == outcome::unknown) {
        return nullptr;
    }
    return value != outcome::not_run;
}

json error_body(const error& failure, outcome final_outcome) {
    auto message = std::string{description(failure.code)};
    if (!failure.subject.empty()) {
        message += " (" + failure.subject + ")";
    }
    return {{"type", to_string(failure.code)},
            {"message", message},
            {"outcome", to_string(final_outcome)},
            {"ran", ran_json(final_outcome)},
            {"retry_after_ms", failure.retry_after.count()}};
}

http_response error_response(const error& cause, outcome final_outcome) {
    constexpr std::int64_t ms_per_s = 1000;
    const auto failure =
        truthful_failure(cause, final_outcome == outcome::not_run ? run_knowledge::not_run
                                                                  : run_knowledge::may_have_run);
    auto response = json_response(http_status(failure.code),
                                  json{{"error", error_body(failure, final_outcome)}}.dump());
    response.headers.push_back({"Magnolia-Outcome", std::string{to_string(final_outcome)}});
    if (failure.retry_after.count() > 0) {
        const auto seconds = (failure.retry_after.count() + ms_per_s - 1) / ms_per_s;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

result<caller_identity> read_identity(const http_request& request) {
    caller_identity identity;
    const auto authorization = find_header(request.headers, "Authorization");
    if (!authorization.starts_with(bearer_prefix)) {
        return fail(error_code::unauthorized);
    }
    identity.key = authorization.substr(bearer_prefix.size());
    identity.workspace = find_header(request.headers, "Magnolia-Workspace");
    if (const auto text = find_header(request.headers, "Magnolia-Deadline-Ms"); !text.empty()) {
        const auto value = parse_number<std::uint32_t>(text);
        if (!value || *value == 0) {
            return fail(error_code::bad_request, "Magnolia-Deadline-Ms");
        }
        identity.deadline = std::chrono::milliseconds{*value};
    }
    return identity;
}

/// A call in progress and the form of its answer.
struct pending_call {
    http_responder responder;
    std::string model;
    bool is_stream = false;
    bool has_started = false;
    std::string text;
};

std::string sse_event(const json& value) {
    return "data: " + value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

json text_event(const pending_call& call, const caller_text& event) {
    return {{"id", to_string(event.request)},
            {"object", "text_completion"},
            {"model", call.model},
            {"offset", event.offset},
            {"choices",
             json::array({{{"text", event.text}, {"index", 0}, {"finish_reason", nullptr}}})}};
}

json done_body(const pending_call& call, const caller_done& event) {
    return {
        {"id", to_string(event.request)},
        {"object", "text_completion"},
        {"model", call.model},
        {"outcome", to_string(outcome::done)},
        {"choices", json::array({{{"text", call.text}, {"index", 0}, {"finish_reason", "stop"}}})},
        {"usage",
         {{"prompt_tokens", event.prompt_tokens},
          {"completion_tokens", event.generated_tokens},
          {"total_tokens", event.prompt_tokens + event.generated_tokens}}}};
}

} // namespace

result<idempotency_key> read_idempotency_key(std::string_view key, std::string_view time_header) {
    if (const auto created = time_of_uuid(key)) {
        return idempotency_key{std::string{key}, *created};
    }
    if (const auto created = parse_number<std::int64_t>(time_header)) {
        return idempotency_key{std::string{key}, *created};
    }
    return fail(error_code::key_without_time, std::string{key});
}

class caller_http::state : public std::enable_shared_from_this<caller_http::state> {
public:
    state(boost::asio::io_context& context, http_server_limits limits, caller_sink sink)
        : sink_{std::move(sink)},
          server_{context, limits,
                  [this](http_request request, http_responder responder) {
                      on_request(std::move(request), std::move(responder));
                  },
                  [](const error& failure) { return error_response(failure, outcome::not_run); }} {}

    void on_request(http_request request, http_responder responder) {
        const auto identity = read_identity(request);
        if (!identity) {
            return responder.send(error_response(identity.error(), outcome::not_run));
        }
        const auto path = std::string{target_path(request.target)};
        auto read = read_event(request, path, *identity);
        if (!read) {
            return responder.send(error_response(read.error(), outcome::not_run));
        }
        open(std::move(read->event), std::move(read->format), std::move(responder));
    }

    void deliver(const caller_command& command) {
        std::visit(
            [this](const auto& item) {
                if (const auto found = calls_.find(item.caller.value); found != calls_.end()) {
                    send(found->second, item);
                }
            },
            command);
    }

    std::size_t open_calls() const { return calls_.size(); }
    http_server& server() { return server_; }

private:
    /// Form of the answer that the caller requested.
    struct response_format {
        std::string model;
        bool is_stream = false;
    };
    /// A parsed request: the event for the decision thread and the form of the answer.
    struct parsed_call {
        caller_event event;
        response_format format;
    };

    result<parsed_call> read_event(http_request& request, const std::string& path,
                                   const caller_identity& identity) {
        if (request.method == "POST" && path == "/v1/completions") {
            return read_completion(request, identity);
        }
        if (request.method == "POST" && path.starts_with(service_prefix)) {
            return read_service(request, path, identity);
        }
        if (request.method == "GET" && path.starts_with(outcome_prefix)) {
            const auto key = percent_decode(path.substr(outcome_prefix.size()));
            const auto parsed_key =
                read_idempotency_key(key, find_header(request.headers, "Idempotency-Key-Time"));
            if (!parsed_key) {
                return tl::unexpected{parsed_key.error()};
            }
            return parsed_call{outcome_request{{}, identity, *parsed_key}, {}};
        }
        return fail(error_code::not_found, path);
    }

    result<parsed_call> read_completion(http_request& request, const caller_identity& identity) {
        auto body = parse_json(request.body);
        request.body = {};
        if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
            return fail(error_code::bad_request, "model");
        }
        if (!body.contains("prompt") || !body["prompt"].is_string()) {
            return fail(error_code::bad_request, "prompt");
        }
        const auto& max_tokens =
            body.contains("max_tokens") ? body["max_tokens"] : json(default_max_tokens);
        if (!max_tokens.is_number_unsigned() || max_tokens.get<std::uint64_t>() == 0) {
            return fail(error_code::bad_request, "max_tokens");
        }
        const auto& stream = body.contains("stream") ? body["stream"] : json(false);
        if (!stream.is_boolean()) {
            return fail(error_code::bad_request, "stream");
        }
        completion_request event;
        event.identity = identity;
        event.model = body["model"].get<std::string>();
        event.adapter = body.contains("adapter") && body["adapter"].is_string()
                            ? body["adapter"].get<std::string>()
                            : "";
        event.prompt =
            std::make_shared<const std::string>(std::move(body["prompt"].get_ref<std::string&>()));
        event.max_tokens = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(max_tokens.get<std::uint64_t>(), UINT32_MAX));
        response_format format{event.model, stream.get<bool>()};
        return parsed_call{std::move(event), std::move(format)};
    }

    result<parsed_call> read_service(http_request& request, const std::string& path,
                                     const caller_identity& identity) {
        const auto rest = path.substr(service_prefix.size());
        const auto slash = std::min(rest.find('/'), rest.size());
        service_request event;
        event.identity = identity;
        event.service = rest.substr(0, slash);
        event.path = slash < rest.size() ? rest.substr(slash) : "/";
        event.body = std::make_shared<const std::string>(std::move(request.body));
        if (const auto key = find_header(request.headers, "Idempotency-Key"); !key.empty()) {
            const auto parsed_key =
                read_idempotency_key(key, find_header(request.headers, "Idempotency-Key-Time"));
            if (!parsed_key) {
                return tl::unexpected{parsed_key.error()};
            }
            event.key = *parsed_key;
        }
        return parsed_call{std::move(event), {}};
    }

    void open(caller_event event, response_format format, http_responder responder) {
        const caller_handle caller{next_caller_};
        next_caller_ = next_caller_ + 1 == caller_handle::invalid ? 0 : next_caller_ + 1;
        std::visit([&](auto& item) { item.caller = caller; }, event);
        responder.on_disconnect([self = weak_from_this(), caller] {
            if (const auto locked = self.lock()) {
                locked->on_disconnect(caller);
            }
        });
        calls_.insert_or_assign(
            caller.value,
            pending_call{responder, std::move(format.model), format.is_stream, false, {}});
        if (const auto pushed = sink_(std::move(event)); !pushed) {
            calls_.erase(caller.value);
            const error busy{error_code::overloaded, {}, std::chrono::milliseconds{100}};
            responder.send(error_response(busy, outcome::not_run));
        }
    }

    void on_disconnect(caller_handle caller) {
        if (calls_.erase(caller.value) > 0) {
            // If the queue is full the event is lost; the request then ends at its deadline.
            static_cast<void>(sink_(caller_gone{caller}));
        }
    }

    static void start_stream(pending_call& call, request_id request) {
        if (!call.has_started) {
            call.has_started = true;
            call.responder.start(200, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-store"},
                                       {"Magnolia-Request-Id", to_string(request)}});
        }
    }

    void send(pending_call& call, const caller_text& event) {
        if (!call.is_stream) {
            call.text += event.text;
            return;
        }
        start_stream(call, event.request);
        call.responder.write(sse_event(text_event(call, event)));
        if (call.responder.pending_bytes() > max_unread_bytes) {
            const auto responder = call.responder;
            on_disconnect(event.caller);
            responder.abort();
        }
    }

    void send(pending_call& call, const caller_done& event) {
        if (call.is_stream) {
            start_stream(call, event.request);
            call.responder.write(sse_event(done_body(call, event)));
            call.responder.write("data: [DONE]\n\n");
            call.responder.finish();
        } else {
            auto response = json_response(
                200, done_body(call, event).dump(-1, ' ', false, json::error_handler_t::replace));
            add_outcome(response, event.request, outcome::done);
            call.responder.send(std::move(response));
        }
        calls_.erase(event.caller.value);
    }

    void send(pending_call& call, const caller_answer& event) {
        // Answers that were recorded by earlier releases may have such a status.
        if (promises_not_run(event.status)) {
            return send(call, caller_failed{event.caller,
                                            event.request,
                                            {error_code::backend_failed,
                                             "status " + std::to_string(event.status)},
                                            outcome::unknown});
        }
        auto response = json_response(event.status, event.body);
        const auto final_outcome = event.status < 500 ? outcome::done : outcome::failed;
        add_outcome(response, event.request, final_outcome);
        if (event.is_replayed) {
            response.headers.push_back({"Magnolia-Replayed", "true"});
        }
        call.responder.send(std::move(response));
        calls_.erase(event.caller.value);
    }

    void send(pending_call& call, const caller_failed& event) {
        if (call.has_started) {
            call.responder.write(sse_event({{"id", to_string(event.request)},
                                            {"error", error_body(event.failure, event.result)}}));
            call.responder.write("data: [DONE]\n\n");
            call.responder.finish();
        } else {
            auto response = error_response(event.failure, event.result);
            response.headers.push_back({"Magnolia-Request-Id", to_string(event.request)});
            call.responder.send(std::move(response));
        }
        calls_.erase(event.caller.value);
    }

    static void add_outcome(http_response& response, request_id request, outcome final_outcome) {
        response.headers.push_back({"Magnolia-Request-Id", to_string(request)});
        response.headers.push_back({"Magnolia-Outcome", std::string{to_string(final_outcome)}});
    }

    caller_sink sink_;
    std::unordered_map<std::uint32_t, pending_call> calls_;
    std::uint32_t next_caller_ = 0;
    http_server server_;
};

caller_http::caller_http(boost::asio::io_context& context, http_server_limits limits,
                         caller_sink sink)
    : state_{std::make_shared<state>(context, limits, std::move(sink))} {}

caller_http::~caller_http() {
    state_->server().close();
}

result<void> caller_http::listen(const endpoint& address) {
    return state_->server().listen(address);
}

std::uint16_t caller_http::port() const {
    return state_->server().port();
}

void caller_http::deliver(const caller_command& command) {
    state_->deliver(command);
}

void caller_http::stop_accepting() {
    state_->server().stop_accepting();
}

std::size_t caller_http::open_calls() const {
    return state_->open_calls();
}

} // namespace magnolia
