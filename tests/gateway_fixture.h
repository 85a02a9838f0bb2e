/// Components of a gateway on loopback, without a platform: a codec with its own wire names,
/// backend servers whose responses are scripted by the test, and callers.
#pragma once

#include "forward_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <deque>

namespace magnolia {

/// Codec with a minimal wire format that no deployment uses.
class test_codec : public gateway_codec {
public:
    [[nodiscard]] result<request_head> read_request(const http_request& request) const override;
    [[nodiscard]] http_request write_request(const http_request& request,
                                             const attempt_parameters& parameters) const override;
    [[nodiscard]] answer_head read_answer(unsigned status,
                                          const http_headers& headers) const override;
    [[nodiscard]] http_headers without_signature(http_headers headers) const override;
    [[nodiscard]] http_header echo_header(const request_head& head) const override;
    [[nodiscard]] http_response write_failure(const request_head& head,
                                              const error& failure) const override;
    [[nodiscard]] object_id config_object() const override { return {"routes", "main"}; }
    [[nodiscard]] result<routing_config> read_config(std::string_view value) const override;
    [[nodiscard]] std::string backend_kind() const override { return "backends"; }
    [[nodiscard]] std::string evacuation_kind() const override { return "evacuations"; }
    [[nodiscard]] result<backend_info> read_backend(const std::string& id,
                                                    std::string_view value) const override;
    [[nodiscard]] http_request write_reserve(std::string_view backend_id,
                                             std::string_view reservation_id, std::uint32_t tokens,
                                             milliseconds ttl) const override;
    [[nodiscard]] http_request write_release(std::string_view backend_id,
                                             std::string_view reservation_id) const override;
    [[nodiscard]] http_request write_probe(std::string_view backend_id) const override;
    [[nodiscard]] probe_answer read_probe(const http_response& response) const override;
    [[nodiscard]] std::string_view readiness_path() const override { return "/ready"; }
};

/// Codec of the object API of the platform server that the tests start.
class product_store_codec : public store_codec {
public:
    [[nodiscard]] http_request encode(const platform_call& call) const override;
    [[nodiscard]] result<platform_reply> decode(const platform_call& call,
                                                const http_response& response) const override;
    [[nodiscard]] std::optional<std::uint64_t>
    read_epoch(const http_headers& headers) const override;
};

/// Routes /stream/ and /once-stream/ to llm, /safe/ and /unsafe/ to desk; the workspace acme has
/// the keys k1 and k2.
[[nodiscard]] routing_config default_config();

/// One event in the format of backend servers.
[[nodiscard]] std::string event_text(std::uint64_t id, std::string_view data = "x");

/// The body in one chunk, followed by the last chunk and the trailers.
[[nodiscard]] std::string chunk_text(std::string_view body, std::string_view trailers = {});

/// Number of occurrences of the part in the text.
[[nodiscard]] std::size_t count_of(std::string_view text, std::string_view part);

/// A backend server with scripted handlers: each request takes the next one; the last one is used
/// for all further requests.
class test_backend {
public:
    explicit test_backend(boost::asio::io_context& context);

    void add_handler(http_handler handler) { handlers_.push_back(std::move(handler)); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] const std::vector<http_request>& requests() const { return requests_; }
    void close() { server_.close(); }

private:
    void on_request(http_request request, const http_responder& responder);

    std::deque<http_handler> handlers_;
    std::vector<http_request> requests_;
    http_server server_;
};

/// Responds with a signature, the status and the body.
[[nodiscard]] http_handler respond_with(unsigned status, std::string body = "ok");
/// Responds with status 503 and the proof that the request was not executed.
[[nodiscard]] http_handler refuse_unexecuted();
/// Sends the events with these ids, then ends the response or aborts the connection.
[[nodiscard]] http_handler stream_events(std::vector<std::uint64_t> ids, bool ends_cleanly);

/// How a raw_backend ends a connection.
enum class connection_end : std::uint8_t {
    /// Closes its side and reads the rest of the request.
    orderly,
    reset,
    /// Closes its side and resets the connection when more of the request arrives.
    orderly_then_reset,
    /// Closes its side and reads nothing more.
    orderly_unread,
};

/// A backend server that sends scripted bytes instead of responses of the HTTP server: each
/// connection takes the next script; the last one is used for all further connections.
class raw_backend {
public:
    explicit raw_backend(boost::asio::io_context& context);

    /// Sends the bytes once the header of a request has arrived, then ends the connection.
    void add_script(std::string bytes, connection_end end) {
        scripts_.push_back({std::move(bytes), end});
    }
    void clear_scripts() { scripts_.clear(); }
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] std::size_t connection_count() const { return connection_count_; }

private:
    struct script {
        std::string bytes;
        connection_end end;
    };
    struct connection;

    void accept();
    script take_script();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::deque<script> scripts_;
    std::size_t connection_count_ = 0;
};

/// A gateway without store and gossip: forwards requests with the default configuration to the
/// backend servers that the test adds.
class gateway_fixture : public testing::Test {
protected:
    gateway_fixture();

    /// Adds a live backend server of the service "llm" or "desk".
    test_backend& add_backend(const std::string& id, const std::string& service);
    raw_backend& add_raw_backend(const std::string& id, const std::string& service);
    /// Lists a live backend server.
    void list_backend(const std::string& id, const std::string& service, std::uint16_t port,
                      std::int64_t started_ms = 0);
    /// Activates the default configuration.
    void configure();

    /// Sends a request to the gateway and returns all bytes received until the connection ends.
    [[nodiscard]] std::string send_raw(const std::string& method, const std::string& path,
                                       const http_headers& headers = {});
    /// Sends a request to the gateway through an HTTP client. Adds host, attempt id and key if they
    /// are missing.
    [[nodiscard]] tl::expected<http_response, http_failure> send_request(http_request request);

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    boost::asio::io_context context_{1};
    test_codec codec_;
    http_client client_{context_, 0};
    backend_fleet fleet_{"z1", 1, placement_policy::pause_aware};
    reservation_manager reservations_{context_, client_, codec_, milliseconds{3000}};
    prompt_quarantine quarantine_{"g1", 1, {}};
    reach_prober reach_{context_, client_, fleet_, 1, [] {}};
    relay_directory relays_{"z1"};
    liveness_prober prober_{client_, fleet_, codec_, [this](const backend_process& backend) {
                                quarantine_.on_connection_refused(backend, steady_now());
                            }};
    shared_call_state shared_;
    std::vector<answer_summary> answers_;
    std::vector<call_summary> summaries_;
    http_server gateway_server_;
    std::vector<std::unique_ptr<test_backend>> backends_;
    std::vector<std::unique_ptr<raw_backend>> raw_backends_;
};

} // namespace magnolia
