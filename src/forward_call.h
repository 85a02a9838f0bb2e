/// Forwarding of one caller's request, from its arrival to its final answer: sent to a backend
/// server, retried on another one where that is safe, and answered with a complete body, a stream
/// of events, or an error that states whether the request may have run.
#pragma once

#include "answer_memory.h"
#include "attempt_policy.h"
#include "backend_fleet.h"
#include "dispatch_policy.h"
#include "duration_estimator.h"
#include "event_stream.h"
#include "gateway_port.h"
#include "host_relay.h"
#include "http_client.h"
#include "http_server.h"
#include "liveness_prober.h"
#include "planned_stop.h"
#include "prompt_quarantine.h"
#include "reach_prober.h"
#include "relay_directory.h"
#include "reservations.h"
#include "retry_budget.h"
#include "route_table.h"
#include "run_promise.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <memory>
#include <unordered_map>

namespace magnolia {

/// What was received of the answer of one attempt, for logs and metrics.
struct answer_summary {
    /// Absent if no header arrived.
    std::optional<body_framing> framing;
    /// Complete events of a stream; 0 for other answers.
    std::size_t events = 0;
    /// Bytes of the incomplete event at the end of a stream.
    std::size_t partial_event_bytes = 0;
    attempt_result result = attempt_result::cancelled;
};

/// How far an answer had come when it ended.
enum class answer_stage : std::uint8_t {
    /// No header arrived.
    not_begun,
    /// The header arrived, and no complete event.
    before_first_event,
    /// At least one event arrived.
    under_way,
};

/// Name of the stage in metrics.
[[nodiscard]] std::string_view to_string(answer_stage stage);
/// Stage that the answer had reached.
[[nodiscard]] answer_stage stage_of(const answer_summary& answer);

/// Fields of a log line.
[[nodiscard]] std::string to_string(const answer_summary& answer);

/// How a request ended, for logs and metrics.
struct call_summary {
    std::string attempt;
    std::string route;
    std::string service;
    /// Backend servers to which the request was sent, in order.
    std::vector<std::string> backends;
    unsigned status = 0;
    /// Error or cause of an aborted answer; empty if a backend server's answer was forwarded. The
    /// text before the first ':' is a label value of magnolia_requests_total and must stay.
    std::string cause;
    /// Host that passed the request on; empty if its caller sent it to this one.
    std::string relayed_from;
    std::uint32_t prompt_tokens = 0;
    /// Engines that shared the prefill of the last attempt.
    std::size_t members = 0;
    duration elapsed{0};
    /// Time from arrival to the first event or byte of the answer; zero if none was sent.
    duration first_byte{0};
    /// Predicted time to the first event of the last attempt, from its start.
    duration predicted{0};
    /// Longest time between two events that were forwarded.
    duration longest_pause{0};
    /// The same as predicted when the last attempt was sent; zero without a forecast.
    duration predicted_pause{0};
    /// Answer of the last attempt.
    answer_summary answer;
    std::uint64_t config_version = 0;
};

class forward_call;

/// Unlinks a call that ends.
using call_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using call_list = boost::intrusive::list<forward_call, boost::intrusive::base_hook<call_hook>,
                                         boost::intrusive::constant_time_size<false>>;

/// Components and state shared by all forwarded calls of a gateway; owned by the gateway. Not
/// thread-safe: used on the thread of the I/O context.
struct shared_call_state {
    boost::asio::io_context& io;
    const gateway_codec& codec;
    http_client& client;
    backend_fleet& fleet;
    reservation_manager& reservations;
    liveness_prober& prober;
    prompt_quarantine& quarantine;
    reach_prober& reach;
    relay_directory& relays;
    /// Name of this host.
    std::string host;
    std::mt19937_64 random;
    /// Random id of this gateway's process.
    std::uint64_t origin = 0;
    /// Active configuration; null until the first one arrives.
    std::shared_ptr<const route_table> routes;
    /// Last moment at which the platform confirmed that `routes` is the newest version.
    time_point routes_confirmed_at{};
    /// Age of the confirmation up to which a route or key that is not in `routes` counts as
    /// unknown. Beyond it, the route or key may be new.
    duration max_confirmation_age{0};
    /// Creates the retry budget of a service, on its first use. It counts requests, not tokens.
    std::function<retry_budget()> make_retry_budget;
    /// By service.
    std::unordered_map<std::string, retry_budget> retry_budgets;
    /// By route.
    std::unordered_map<std::string, retry_detector> retry_detectors;
    /// Times from arrival to the end of complete answers, by route.
    std::unordered_map<std::string, duration_estimator> answer_times;
    /// Set during a planned stop.
    std::optional<stop_times> stop;
    /// Called once for each attempt that was sent, when it has ended.
    std::function<void(const answer_summary&)> on_answer_end;
    /// Called once for each request, when it has ended.
    std::function<void(const call_summary&)> on_end;
    /// Called when a job was placed on an engine or ended there.
    std::function<void()> on_jobs_changed;
    /// Called when a backend server states another limit than before.
    std::function<void(const std::string& backend, std::optional<double> requests_per_s)>
        on_limit_changed;
    /// Called when the quarantine got new evidence.
    std::function<void()> on_quarantine_evidence;
    /// Whether what this host knows of the store is recent enough to act on, or as recent as it can
    /// be while the store does not answer; null if it always is.
    std::function<bool()> is_state_known{};
    /// Calls in progress.
    call_list calls{};
    /// Servers to whose peers the answers go; their unread output counts with kept_bytes.
    std::vector<http_server*> servers{};
    /// Maximum sum of the bytes of answers that wait in this host.
    std::size_t max_answer_bytes = answer_memory_limit(0);
    /// Sum of what the calls keep of incomplete answers, in bytes.
    std::size_t kept_bytes = 0;
};

/// Bytes of answers that wait in this host: kept_bytes and the unread output.
[[nodiscard]] std::size_t answer_bytes(const shared_call_state& shared);

/// Gives answers up, and closes connections that are not read, until answer_bytes() is within its
/// limit.
void limit_answer_bytes(shared_call_state& shared);

/// Calls in progress, kept alive so that they may end while the list is used.
[[nodiscard]] std::vector<std::shared_ptr<forward_call>> pending_calls(shared_call_state& shared);

/// Drops what is known of routes that the active configuration does not have.
void forget_removed_routes(shared_call_state& shared);

/// Ends attempts without an event whose prompts are blocked now.
void enforce_quarantine(shared_call_state& shared);

/// Ends all calls with their final answers, at the end of a planned stop.
void end_calls_of_stop(shared_call_state& shared);

/// State machine of one request. It keeps itself alive through its pending callbacks and timers
/// until the answer is complete. Not thread-safe: runs on the thread of the I/O context.
///
/// Each attempt has a number; callbacks of an earlier attempt are ignored.
class forward_call : public std::enable_shared_from_this<forward_call>, public call_hook {
public:
    /// @param relayed  set if another host passed the request on; it is not passed on again.
    forward_call(shared_call_state& shared, http_request request, http_responder responder,
                 std::optional<relay_context> relayed = {});

    /// Routes the request and makes the first attempt. Call once.
    void start();
    /// Ends the attempt if it has no event and its prompt is blocked now.
    void enforce_quarantine();
    /// Ends the request at the end of a planned stop, whatever it waits for: as not run if no
    /// backend server can have it, else as failed; breaks a started answer off.
    void end_for_stop();
    /// What is kept of the answer of the current attempt.
    [[nodiscard]] kept_answer kept() const;
    /// Ends an attempt whose answer grows without getting a meaning, or is too large for the host.
    void give_up_answer(std::string_view reason);
    /// Host that has passed the request on; empty if none has.
    [[nodiscard]] std::string_view relayed_from() const {
        return relayed_ ? std::string_view{relayed_->sender} : std::string_view{};
    }

private:
    /// How the answer of the current attempt is forwarded.
    enum class answer_form : std::uint8_t {
        /// No header has arrived.
        none,
        /// Collected in `body_` until it is complete or too large.
        buffered,
        /// Forwarded event by event; can be resumed on another backend server.
        events,
        /// Forwarded byte by byte.
        streamed,
    };

    /// Finds route, workspace and services. Errors: platform_down, not_found, unauthorized,
    /// no_capacity.
    [[nodiscard]] result<void> find_route();
    /// Sets deadlines, service and demand from the request and its route, and counts the request in
    /// the retry budget of the service.
    void prepare_request();
    /// Recomputes target latency, lateness and time limit of the demand, which count from now.
    void update_demand(time_point now);
    /// Chooses backend servers and sends, waits, or refuses.
    void next_attempt();
    /// Segments by which the quarantine knows the request: those of its prompt, and the request as
    /// a whole.
    [[nodiscard]] segment_list segments();
    [[nodiscard]] const std::string& fingerprint();
    /// The combination that blocks the request; null if it passes.
    [[nodiscard]] const quarantined_prompt* find_block(time_point now);
    /// Whether a crash of the backend server now would speak against the request: it may be running
    /// and has not shown to be sound.
    [[nodiscard]] bool is_at_risk() const;
    /// The answer shows that the request does not crash backend servers.
    void report_sound();
    /// Refuses a new request during a planned stop if it is not expected, or late in the stop not
    /// certain, to end within it; returns whether it did.
    [[nodiscard]] bool refuse_if_stopping();
    /// Refuses a request that waits if its answer would not end within a planned stop; returns
    /// whether it did.
    [[nodiscard]] bool refuse_if_cut_by_stop(time_point now);
    /// Time that an answer of the route takes at most, as a rule; on a route without complete
    /// answers, it meets its target.
    [[nodiscard]] duration usual_answer_time() const;
    /// Refuses the request if its prompt is blocked; returns whether it is.
    [[nodiscard]] bool refuse_if_quarantined();
    /// Tries again after the pause, or refuses with the failure if there is no time to wait.
    void wait_for_capacity(const error& failure, milliseconds pause);
    /// Answers with the failure and a time to retry.
    void refuse_with_retry_after(error failure);
    /// Reserves memory on all chosen engines that need it, then sends; retries if not all grant it.
    void reserve_and_send(chosen_backends chosen);
    void send(chosen_backends chosen);
    /// Passes the request on to another host if this one cannot reach its service; refuses it if
    /// another host has passed it on. Returns whether it did either.
    [[nodiscard]] bool relay_if_unreachable(time_point now);
    void relay(const relay_host& host);
    /// Resets the state of the answer and counts a send.
    void begin_attempt(const std::string& backend, const endpoint& address, time_point now);
    /// Chooses other backend servers for a request that was withdrawn before a byte was written, as
    /// the zone of those chosen is evacuated. It was not sent, and no retry is charged.
    void choose_anew();
    /// Sends the request of the current attempt.
    void open_call(http_request request, time_point now);
    /// Most backend servers that the request may be sent to.
    [[nodiscard]] std::uint32_t max_sends() const;
    /// Registers the placement with the fleet and the other gateways.
    void start_job(const chosen_backends& chosen);
    [[nodiscard]] attempt_parameters parameters_for(const chosen_backends& chosen) const;

    void on_header(const http_response_head& head);
    /// Records what the backend server states about itself.
    void take_statements();
    void on_body(std::string_view text);
    void on_end(const http_failure* failure);
    void on_events(std::string_view text);
    /// Passes bytes of the body on, or keeps them.
    void take_body(std::string_view text);
    /// The bytes are for the caller: signed, and no refusal.
    [[nodiscard]] bool is_body_for_caller() const;
    /// The backend server states that it has not run the request.
    [[nodiscard]] bool states_not_run() const;
    /// What is known of the request over all its attempts, the current one included.
    [[nodiscard]] run_knowledge knowledge() const;
    /// Updates the sum of what the calls keep.
    void count_kept();
    /// Frees what was received of an answer that is not used.
    void drop_answer();
    /// Sends bytes to the caller; a slow caller slows the backend server down.
    void write(std::string_view text);
    /// So much waits for the caller that nothing more is read from the backend server.
    [[nodiscard]] bool is_caller_behind() const;
    /// The response of a stream of events ended without an error.
    void on_stream_end();
    void on_complete_answer();
    /// The connection to the host that has the request failed or broke.
    void on_relay_lost(run_evidence evidence, const http_failure& failure);
    /// The host that took the request has failed it.
    void on_relay_failure();
    /// The answer broke off, which is evidence against the request if it was at risk.
    void report_loss();
    /// The backend server or a helper refused; nothing has run.
    void on_refusal();
    /// Whether the attempt has brought an event that the caller did not have.
    [[nodiscard]] bool has_new_event() const { return has_response_started_ && !is_resuming_; }
    /// Forwards an event unless the caller already has it.
    void forward_event(const stream_event& event);
    /// Sends status and header to the caller; only the first call has an effect.
    void start_response();
    /// Changes status and header of the answer that is forwarded if they promise more than is
    /// known.
    void settle_status();
    /// Ends the attempt, then retries, aborts the answer or reports the failure.
    void fail_attempt(run_evidence evidence, attempt_result result, const error& failure);
    /// Ends the attempt with what its complete answer says about the backend server.
    void end_answered_attempt();
    /// Removes the job from the fleet and releases its reservation.
    /// @param cause  failure of the attempt, for the log; empty if its answer is complete.
    void end_attempt(attempt_result result, std::string_view cause = {});
    /// Reports how the answer of the attempt ended; logs it unless it is complete or cancelled.
    void report_answer_end(attempt_result result, std::string_view cause);
    /// Withdraws one send from the service's retry budget; false if too little is left.
    [[nodiscard]] bool spend_retry_budget();

    void on_timer();
    void arm_timer();
    /// Fails the attempt if its backend server counts as lost and the request may be retried.
    /// Before that, probes the backend server of a stream that has sent nothing for a while.
    void check_silence(time_point now);
    [[nodiscard]] bool is_attempt_lost(time_point now) const;
    void on_deadline();
    void on_caller_disconnected();
    /// Cancels the call of the attempt, if there is one. Its backend server may still run it.
    void cancel_call();

    /// Adds a time to retry, with jitter, to failures that are answered with status 503.
    [[nodiscard]] error with_retry_after(error failure);
    /// Ends the request with an error response, or aborts an answer that has started. A failure
    /// that promises more than is known is reported as backend_lost.
    void answer_failure(const error& cause);
    /// Ends the request with the buffered answer.
    void answer_buffered();
    /// Ends the request and reports its summary; only the first call has an effect.
    void complete(unsigned status, std::string cause);

    shared_call_state& shared_;
    http_request request_;
    http_responder responder_;
    std::optional<relay_context> relayed_;
    request_head head_;
    /// Computed on first use; see request_fingerprint().
    std::string fingerprint_;
    std::shared_ptr<const route_table> routes_;
    const route_info* route_ = nullptr;
    std::string workspace_;
    std::vector<std::string> route_services_;
    std::string service_;
    job_demand demand_;
    time_point deadline_{};
    /// Moment until which the request may wait for capacity.
    time_point queue_until_{};
    /// Estimated moment of the caller's first try; earlier than the arrival for a caller's retry.
    time_point first_requested_at_{};
    /// Moment until which the caller waits for a first event.
    time_point first_event_by_{};
    boost::asio::steady_timer timer_;
    bool is_complete_ = false;

    // The current attempt.
    std::uint64_t attempt_number_ = 0;
    http_call_id call_{};
    job_id job_{};
    std::string backend_;
    backend_process process_;
    endpoint address_;
    /// A segment of the prompt was at risk in a crash before: the request is not sent again.
    bool is_resend_barred_ = false;
    /// Id of the memory reservation of the attempt; empty if none.
    std::string reservation_;
    /// Sends of the request, without those that failed before it was written.
    std::uint32_t sends_made_ = 0;
    /// Sends that failed before the request was written to a connection.
    std::uint32_t sends_not_written_ = 0;
    /// Whether `job_` is registered with the fleet.
    bool has_job_ = false;
    /// An earlier attempt may have run.
    bool is_in_doubt_ = false;
    /// Host that has the current attempt; empty if a backend server has it.
    std::string relay_host_;
    /// Sends before the attempt that another host has. That host may make all that are left.
    std::uint32_t sends_before_relay_ = 0;
    /// Hosts that did not take the request.
    std::vector<std::string> tried_hosts_;
    /// The retry budget was already charged for the next send.
    bool is_retry_paid_ = false;
    /// Last moment at which the attempt was sent or part of its answer arrived.
    time_point last_progress_{};
    /// Predicted time to the first event of the attempt.
    duration predicted_{0};
    duration predicted_pause_{0};
    std::vector<chosen_member> members_;
    /// Backend servers to which the request was sent, in order.
    std::vector<std::string> tried_backends_;
    /// Backend servers that the next choice uses only if there are no others.
    std::vector<std::string> avoided_backends_;

    // The answer.
    answer_form form_ = answer_form::none;
    /// Status and header were sent to the caller.
    bool has_response_started_ = false;
    /// The response to the caller is a stream of events.
    bool started_as_events_ = false;
    unsigned status_ = 0;
    /// Why the answer is forwarded with another status than the backend server's; usually empty.
    std::string status_cause_;
    http_headers headers_;
    answer_head answer_;
    /// Set if the host that took the request failed it.
    std::optional<run_knowledge> relay_outcome_;
    std::string body_;
    event_splitter splitter_;
    /// Bytes of both that are part of the host's sum.
    std::size_t counted_bytes_ = 0;
    /// Answer of the current or last attempt.
    answer_summary answer_summary_;
    /// Id of the last event that the caller has.
    std::optional<std::uint64_t> last_event_;
    /// The attempt resumes a stream, and its first new event has not arrived.
    bool is_resuming_ = false;
    /// An earlier attempt was cut inside an event that the caller does not have.
    bool is_event_missing_ = false;
    /// A target of latency or pause was missed.
    bool is_late_ = false;
    time_point first_byte_at_{};
    time_point last_event_at_{};
    duration longest_pause_{0};
};

} // namespace magnolia
