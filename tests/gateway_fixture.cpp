#include "gateway_fixture.h"

#include "platform_wire.h"
#include "schema_reader.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;

std::uint32_t parse_number(std::string_view text) {
    return text.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(std::string{text}));
}

} // namespace

result<request_head> test_codec::read_request(const http_request& request) const {
    request_head head;
    head.attempt = find_header(request.headers, "attempt");
    if (head.attempt.empty()) {
        return fail(error_code::bad_request, "attempt");
    }
    head.key = find_header(request.headers, "key");
    if (const auto time_left_ms = find_header(request.headers, "time-left");
        !time_left_ms.empty()) {
        head.time_left = milliseconds{parse_number(time_left_ms)};
    }
    head.prompt_tokens = parse_number(find_header(request.headers, "prompt"));
    head.max_answer_tokens = 100;
    // Shared segments only, separated by spaces.
    std::istringstream segments{std::string{find_header(request.headers, "segments")}};
    for (std::string segment; segments >> segment;) {
        head.prompt.shared.push_back(segment);
    }
    head.prompt.own = find_header(request.headers, "own-segment");
    if (const auto last_event = find_header(request.headers, "resume"); !last_event.empty()) {
        head.resume_after = parse_number(last_event);
    }
    return head;
}

http_request test_codec::write_request(const http_request& request,
                                       const attempt_parameters& parameters) const {
    auto out = request;
    std::erase_if(out.headers, [](const auto& field) {
        return boost::iequals(field.name, "key") || boost::iequals(field.name, "time-left") ||
               boost::iequals(field.name, "resume");
    });
    out.headers.push_back({"time-left", std::to_string(parameters.time_left.count())});
    out.headers.push_back({"backend", parameters.backend_id});
    out.headers.push_back({"workspace", parameters.workspace});
    if (parameters.resume_after) {
        out.headers.push_back({"resume", std::to_string(*parameters.resume_after)});
    }
    std::string helpers;
    for (const auto& helper : parameters.helpers) {
        helpers += std::to_string(helper.address.port) + "/" + helper.reservation + " ";
    }
    if (!helpers.empty()) {
        out.headers.push_back({"helpers", helpers});
    }
    return out;
}

answer_head test_codec::read_answer(unsigned status, const http_headers& headers) const {
    answer_head answer;
    answer.is_not_run = !find_header(headers, "not-run").empty();
    answer.is_other_backend = status == 421;
    answer.is_signed = !find_header(headers, "signature").empty();
    answer.is_event_stream = find_header(headers, "Content-Type") == "text/event-stream";
    if (const auto limit = find_header(headers, "limit"); !limit.empty()) {
        answer.is_limit_unreadable = limit == "unreadable";
        if (!answer.is_limit_unreadable) {
            answer.requests_per_s = std::stod(std::string{limit});
        }
    }
    // Milliseconds.
    if (const auto retry_after = find_header(headers, "Retry-After"); !retry_after.empty()) {
        answer.retry_after = milliseconds{parse_number(retry_after)};
        answer.asks_for_rest = status == 503;
    }
    endpoint fault;
    if (read_text(std::string{find_header(headers, "fault")}, fault)) {
        answer.faulty_backend = fault;
    }
    return answer;
}

http_headers test_codec::without_signature(http_headers headers) const {
    std::erase_if(headers,
                  [](const auto& field) { return boost::iequals(field.name, "signature"); });
    return headers;
}

http_header test_codec::echo_header(const request_head& head) const {
    return {"attempt", head.attempt};
}

http_response test_codec::write_failure(const request_head& /*head*/, const error& failure) const {
    http_response response{http_status(failure.code), {}, std::string{to_string(failure.code)}};
    if (failure.retry_after.count() > 0) {
        response.headers.push_back({"Retry-After", std::to_string(failure.retry_after.count())});
    }
    return response;
}

result<routing_config> test_codec::read_config(std::string_view value) const {
    const auto document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("version")) {
        return fail(error_code::bad_request, "version");
    }
    auto config = default_config();
    config.version = document["version"].get<std::uint64_t>();
    auto& memory = config.services.front().engine->memory_tokens;
    memory = document.value("memory", memory);
    if (document.contains("keys")) {
        config.workspaces.front().keys = document["keys"].get<std::vector<std::string>>();
    }
    for (auto& route : config.routes) {
        if (route.path_prefix == document.value("moved", std::string{})) {
            route.services = {{"other", 1}};
        }
    }
    std::erase_if(config.routes, [&](const auto& route) {
        return route.path_prefix == document.value("without", std::string{});
    });
    return config;
}

result<backend_info> test_codec::read_backend(const std::string& id, std::string_view value) const {
    backend_info backend;
    backend.id = id;
    // SERVICE ADDRESS:PORT [leaving]
    constexpr std::string_view leaving = " leaving";
    backend.is_leaving = value.ends_with(leaving);
    value.remove_suffix(backend.is_leaving ? leaving.size() : 0);
    const auto space = value.find(' ');
    backend.service = value.substr(0, space);
    if (space != std::string_view::npos &&
        !read_text(std::string{value.substr(space + 1)}, backend.address)) {
        return fail(error_code::bad_request, id);
    }
    return backend;
}

http_request test_codec::write_reserve(std::string_view backend_id, std::string_view reservation_id,
                                       std::uint32_t tokens, milliseconds ttl) const {
    return {"POST",
            "/reserve",
            {{"backend", std::string{backend_id}},
             {"attempt", std::string{reservation_id}},
             {"tokens", std::to_string(tokens)},
             {"hold", std::to_string(ttl.count())}},
            {},
            {}};
}

http_request test_codec::write_release(std::string_view backend_id,
                                       std::string_view reservation_id) const {
    return {"POST",
            "/release",
            {{"backend", std::string{backend_id}}, {"attempt", std::string{reservation_id}}},
            {},
            {}};
}

http_request test_codec::write_probe(std::string_view backend_id) const {
    return {"GET", "/probe", {{"backend", std::string{backend_id}}}, {}, {}};
}

probe_answer test_codec::read_probe(const http_response& response) const {
    probe_answer answer;
    answer.is_other_backend = response.status == 421;
    if (const auto started = find_header(response.headers, "started"); !started.empty()) {
        answer.started_ms = parse_number(started);
    }
    return answer;
}

http_request product_store_codec::encode(const platform_call& call) const {
    return encode_call(call);
}

result<platform_reply> product_store_codec::decode(const platform_call& call,
                                                   const http_response& response) const {
    return decode_reply(call, response);
}

std::optional<std::uint64_t> product_store_codec::read_epoch(const http_headers& headers) const {
    return magnolia::read_epoch(headers);
}

std::size_t count_of(std::string_view text, std::string_view part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

std::string chunk_text(std::string_view body, std::string_view trailers) {
    std::array<char, 20> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx", body.size());
    return std::string{size.data(), static_cast<std::size_t>(length)} + "\r\n" + std::string{body} +
           "\r\n0\r\n" + std::string{trailers} + "\r\n";
}

std::string event_text(std::uint64_t id, std::string_view data) {
    return "id: " + std::to_string(id) + "\ndata: " + std::string{data} + "\n\n";
}

test_backend::test_backend(boost::asio::io_context& context)
    : server_{context, {}, [this](http_request request, const http_responder& responder) {
                  on_request(std::move(request), responder);
              }} {
    EXPECT_TRUE(server_.listen(endpoint{}));
}

void test_backend::on_request(http_request request, const http_responder& responder) {
    requests_.push_back(request);
    ASSERT_FALSE(handlers_.empty());
    const auto handler = handlers_.front();
    if (handlers_.size() > 1) {
        handlers_.pop_front();
    }
    handler(std::move(request), responder);
}

http_handler respond_with(unsigned status, std::string body) {
    return [status, body = std::move(body)](const http_request& request,
                                            const http_responder& responder) {
        const std::string attempt{find_header(request.headers, "attempt")};
        responder.send({status, {{"signature", "s"}, {"attempt", attempt}}, body});
    };
}

http_handler refuse_unexecuted() {
    return [](const http_request& /*request*/, const http_responder& responder) {
        responder.send({503, {{"not-run", "1"}}, {}});
    };
}

http_handler stream_events(std::vector<std::uint64_t> ids, bool ends_cleanly) {
    return [ids = std::move(ids), ends_cleanly](const http_request& /*request*/,
                                                const http_responder& responder) {
        responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
        std::string text;
        for (const auto id : ids) {
            text += event_text(id);
        }
        responder.write(text, [responder, ends_cleanly] {
            if (ends_cleanly) {
                responder.finish();
            } else {
                responder.abort();
            }
        });
    };
}

/// One connection of a raw_backend; keeps itself alive through its pending operations.
struct raw_backend::connection : std::enable_shared_from_this<raw_backend::connection> {
    connection(tcp::socket accepted, script response)
        : socket{std::move(accepted)}, content{std::move(response)} {}

    void read_header() {
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                      [self = shared_from_this()](const auto& failure, auto) {
                                          if (!failure) {
                                              self->write();
                                          }
                                      });
    }

    void write() {
        boost::asio::async_write(socket, boost::asio::buffer(content.bytes),
                                 [self = shared_from_this()](const auto&, auto) { self->end(); });
    }

    void end() {
        if (content.end == connection_end::reset) {
            return reset();
        }
        // Closing with unread input would reset the connection.
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        const auto self = shared_from_this();
        if (content.end == connection_end::orderly_then_reset) {
            socket.async_wait(tcp::socket::wait_read, [self](const auto&) { self->reset(); });
        } else if (content.end == connection_end::orderly_unread) {
            socket.async_wait(tcp::socket::wait_error, [self](const auto&) {});
        } else {
            boost::asio::async_read(socket, boost::asio::dynamic_buffer(request),
                                    [self](const auto&, auto) {});
        }
    }

    void reset() {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
        socket.close(ignored);
    }

    tcp::socket socket;
    script content;
    std::string request;
};

raw_backend::raw_backend(boost::asio::io_context& context)
    : acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}} {
    accept();
}

void raw_backend::accept() {
    acceptor_.async_accept([this](const auto& failure, tcp::socket socket) {
        if (!failure) {
            ++connection_count_;
            std::make_shared<connection>(std::move(socket), take_script())->read_header();
            accept();
        }
    });
}

raw_backend::script raw_backend::take_script() {
    auto next = scripts_.front();
    if (scripts_.size() > 1) {
        scripts_.pop_front();
    }
    return next;
}

gateway_fixture::gateway_fixture()
    : shared_{.io = context_,
              .codec = codec_,
              .client = client_,
              .fleet = fleet_,
              .reservations = reservations_,
              .prober = prober_,
              .quarantine = quarantine_,
              .reach = reach_,
              .relays = relays_,
              .host = "g1",
              .random = std::mt19937_64{1},
              .origin = 1,
              .routes = nullptr,
              .routes_confirmed_at = steady_now(),
              .max_confirmation_age = std::chrono::hours{1},
              .make_retry_budget =
                  [] {
                      return retry_budget{0.5, 10, std::chrono::seconds{10}, 1};
                  },
              .retry_budgets = {},
              .retry_detectors = {},
              .answer_times = {},
              .stop = {},
              .on_answer_end = [this](const answer_summary& answer) { answers_.push_back(answer); },
              .on_end = [this](const call_summary& summary) { summaries_.push_back(summary); },
              .on_jobs_changed = [] {},
              .on_limit_changed = [](const auto&, auto) {},
              .on_quarantine_evidence = [] {}},
      gateway_server_{
          context_, {}, [this](http_request request, http_responder responder) {
              std::make_shared<forward_call>(shared_, std::move(request), responder)->start();
          }} {
    EXPECT_TRUE(gateway_server_.listen(endpoint{}));
    configure();
}

routing_config default_config() {
    routing_config config;
    config.version = 1;
    const auto route = [&](const std::string& prefix, repeat_rule repeat, bool is_stream,
                           const std::string& service) {
        route_info info;
        info.name = prefix;
        info.host = "shop.example";
        info.path_prefix = prefix;
        info.repeat = repeat;
        info.is_stream = is_stream;
        info.timeout = milliseconds{60000};
        info.max_attempts = 2;
        info.services = {{service, 1}};
        config.routes.push_back(info);
    };
    route("/stream/", repeat_rule::resumable, true, "llm");
    route("/once-stream/", repeat_rule::never, true, "llm");
    route("/safe/", repeat_rule::idempotent, false, "desk");
    route("/unsafe/", repeat_rule::never, false, "desk");
    engine_profile profile;
    profile.memory_tokens = 10'000;
    profile.steps_per_pass = 40;
    config.services = {{"llm", profile}, {"desk", std::nullopt}};
    config.workspaces = {{"acme", {"k1", "k2"}}};
    return config;
}

void gateway_fixture::configure() {
    shared_.routes = std::make_shared<const route_table>(default_config());
    fleet_.set_services(shared_.routes->config().services);
}

test_backend& gateway_fixture::add_backend(const std::string& id, const std::string& service) {
    backends_.push_back(std::make_unique<test_backend>(context_));
    list_backend(id, service, backends_.back()->port());
    return *backends_.back();
}

raw_backend& gateway_fixture::add_raw_backend(const std::string& id, const std::string& service) {
    raw_backends_.push_back(std::make_unique<raw_backend>(context_));
    list_backend(id, service, raw_backends_.back()->port());
    return *raw_backends_.back();
}

void gateway_fixture::list_backend(const std::string& id, const std::string& service,
                                   std::uint16_t port, std::int64_t started_ms) {
    backend_info info;
    info.started_ms = started_ms;
    info.id = id;
    info.service = service;
    info.address.port = port;
    info.zone = "z1";
    info.slots = 4;
    fleet_.put(info);
}

std::string gateway_fixture::send_raw(const std::string& method, const std::string& path,
                                      const http_headers& headers) {
    std::string text = method + " " + path +
                       " HTTP/1.1\r\nHost: shop.example\r\nattempt: a1\r\nkey: k1\r\n"
                       "Connection: close\r\n";
    for (const auto& field : headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += "\r\n";
    tcp::socket socket{context_};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), gateway_server_.port()});
    boost::asio::write(socket, boost::asio::buffer(text));
    std::string received;
    std::array<char, 4096> buffer{};
    bool is_closed = false;
    std::function<void()> read = [&] {
        socket.async_read_some(boost::asio::buffer(buffer), [&](const auto& failure, auto count) {
            received.append(buffer.data(), count);
            if (failure) {
                is_closed = true;
            } else {
                read();
            }
        });
    };
    read();
    run_until([&] { return is_closed; });
    return received;
}

tl::expected<http_response, http_failure> gateway_fixture::send_request(http_request request) {
    request.headers.push_back({"Host", "shop.example"});
    if (find_header(request.headers, "attempt").empty()) {
        request.headers.push_back({"attempt", "a1"});
    }
    if (find_header(request.headers, "key").empty()) {
        request.headers.push_back({"key", "k1"});
    }
    std::optional<tl::expected<http_response, http_failure>> answer;
    http_client caller{context_, 0};
    caller.call({"127.0.0.1", gateway_server_.port()}, std::move(request), {},
                [&](auto received) { answer = std::move(received); });
    run_until([&] { return answer.has_value(); });
    return *answer;
}

} // namespace magnolia
