/// One caller's request from its arrival to its final answer: sent to a backend server, sent on to
/// another one where that is safe, and answered in full, in events, or with a failure that says
/// what is known.
#pragma once

#include "attempt_policy.h"
#include "backend_fleet.h"
#include "dispatch_policy.h"
#include "event_stream.h"
#include "gateway_port.h"
#include "http_client.h"
#include "http_server.h"
#include "liveness_prober.h"
#include "reservations.h"
#include "retry_budget.h"
#include "route_table.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace magnolia {

/// How a request ended, for logs and metrics.
struct call_summary {
    std::string attempt;
    std::string route;
    std::string service;
    /// Backend servers that were asked, in order.
    std::vector<std::string> backends;
    unsigned status = 0;
    /// Empty if the answer is a backend server's own.
    std::string cause;
    std::uint32_t prompt_tokens = 0;
    /// Engines that shared the reading of the last attempt.
    std::size_t members = 0;
    duration elapsed{0};
    /// Time to the first event or byte of the answer; zero if none went out.
    duration first_byte{0};
    /// Prediction of the last attempt, from its start.
    duration predicted{0};
    duration longest_pause{0};
    std::uint64_t config_version = 0;
};

/// What all calls of a gateway share. Used on one thread.
struct shared_call_state {
    boost::asio::io_context& io;
    const gateway_codec& codec;
    http_client& client;
    backend_fleet& fleet;
    reservation_manager& reservations;
    liveness_prober& prober;
    std::mt19937_64 random;
    std::uint64_t origin = 0;
    /// Configuration in force; null until the first one is known.
    std::shared_ptr<const route_table> routes;
    /// Last moment at which the platform confirmed that this is the newest one.
    time_point routes_confirmed_at{};
    /// Age of that confirmation beyond which an unknown route or key proves nothing.
    duration max_confirmation_age{0};
    /// Budget of a service for further sends; made on first use.
    std::function<retry_budget()> make_retry_budget;
    std::unordered_map<std::string, retry_budget> retry_budgets;
    /// By route.
    std::unordered_map<std::string, retry_detector> retry_detectors;
    std::function<void(const call_summary&)> on_end;
    /// Something was placed or ended on an engine.
    std::function<void()> on_jobs_changed;
};

class forward_call : public std::enable_shared_from_this<forward_call> {
public:
    forward_call(shared_call_state& shared, http_request request, http_responder responder);

    void start();

private:
    /// Form of the answer that is under way.
    enum class answer_form : std::uint8_t { none, buffered, events, streamed };

    [[nodiscard]] result<void> find_route();
    void set_deadline();
    void update_demand(time_point now);
    void next_attempt();
    /// Waits for a backend server to have room, or refuses.
    void wait_for_capacity(const error& failure, milliseconds pause);
    void refuse_with_retry_after(error failure);
    void reserve_and_send(chosen_backends chosen);
    void send(chosen_backends chosen);
    void start_job(const chosen_backends& chosen);
    [[nodiscard]] attempt_parameters terms_of(const chosen_backends& chosen) const;

    void on_header(unsigned status, const http_headers& headers);
    void on_body(std::string_view text);
    void on_end(const http_failure* failure);
    void on_events(std::string_view text);
    void on_complete_answer();
    void on_refusal();
    void forward_event(const stream_event& event);
    void start_response();
    void fail_attempt(run_evidence evidence, attempt_result result, const error& failure);
    void end_attempt(attempt_result result);
    [[nodiscard]] bool spend_retry_budget();

    void on_timer();
    void arm_timer();
    /// Asks the backend server for a sign of life once it has been silent for a while.
    void check_silence(time_point now);
    [[nodiscard]] bool is_attempt_lost(time_point now) const;
    void on_deadline();
    void on_caller_disconnected();

    [[nodiscard]] error with_retry_after(error failure);
    void answer_failure(const error& failure);
    void answer_buffered(unsigned status, std::string cause);
    void complete(unsigned status, std::string cause);

    shared_call_state& shared_;
    http_request request_;
    http_responder responder_;
    request_head head_;
    std::shared_ptr<const route_table> routes_;
    const route_info* route_ = nullptr;
    std::string workspace_;
    std::vector<std::string> route_services_;
    std::string service_;
    job_demand demand_;
    time_point deadline_{};
    time_point queue_until_{};
    /// Moment at which the caller asked first.
    time_point first_requested_at_{};
    /// Time until which a first event is of use.
    time_point first_event_by_{};
    boost::asio::steady_timer timer_;
    bool is_closed_ = false;

    // The attempt under way.
    std::uint64_t attempt_number_ = 0;
    http_call_id call_{};
    job_id job_{};
    std::string backend_;
    endpoint address_;
    std::string reservation_;
    std::uint32_t sends_made_ = 0;
    std::uint32_t sends_not_written_ = 0;
    bool has_job_ = false;
    bool is_in_doubt_ = false;
    /// The retry budget was charged for the next send already.
    bool is_retry_paid_ = false;
    time_point last_progress_{};
    duration predicted_{0};
    std::vector<chosen_member> members_;
    /// Backend servers that were asked, in order.
    std::vector<std::string> tried_backends_;
    /// Backend servers that are left out of the next choice.
    std::vector<std::string> excluded_backends_;

    // The answer.
    answer_form form_ = answer_form::none;
    bool has_response_started_ = false;
    bool started_as_events_ = false;
    unsigned status_ = 0;
    http_headers headers_;
    answer_head answer_;
    std::string body_;
    event_splitter splitter_;
    std::optional<std::uint64_t> last_event_;
    bool is_resuming_ = false;
    bool is_late_ = false;
    time_point first_byte_at_{};
    time_point last_event_at_{};
    duration longest_pause_{0};
};

} // namespace magnolia
