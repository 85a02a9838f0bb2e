/// Internal state of entry_core, shared by entry_core.cpp, entry_completion.cpp, entry_group.cpp
/// and entry_service.cpp.
#pragma once

#include "engine_group.h"
#include "entry_core.h"
#include "request_lifecycle.h"
#include "retry_budget.h"

#include <map>
#include <random>
#include <unordered_map>

namespace magnolia {

/// Minimum delay of a timer, so that one tick() cannot reschedule itself endlessly.
inline constexpr duration min_timer_delay = std::chrono::milliseconds{1};

/// A contract and its active version.
struct active_contract {
    contract value;
    std::uint64_t version = 0;
};

/// State of a completion request.
struct completion_work {
    std::string model;
    std::string adapter;
    shared_text prompt;
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Engine of the current attempt.
    engine_handle engine;
    /// Engines on which earlier attempts failed.
    std::vector<engine_handle> excluded;
    /// Whether the engine confirmed that it runs the current attempt.
    bool is_accepted = false;
    /// Answer text received so far and the number of tokens in it.
    std::string answer;
    std::uint32_t next_offset = 0;
    /// Batches of tokens received out of order, by offset.
    std::map<std::uint32_t, engine_tokens> out_of_order;
    /// Length of the complete answer in tokens, once the engine has reported it.
    std::optional<std::uint32_t> final_tokens;
    /// Engine group, if the prompt does not fit one engine, and the attempt id under which the
    /// router accounts for it.
    std::unique_ptr<engine_group> group;
    attempt_id group_attempt;
};

/// State of a call to a plain service.
struct service_work {
    std::string service;
    std::string path;
    shared_text body;
    std::optional<claim_key> claim;
    std::uint64_t fingerprint = 0;
    bool is_repeatable = true;
    service_handle instance;
    std::vector<service_handle> excluded;
    bool is_claimed = false;
    /// Set while another request with the same key is running: deadline for its outcome.
    std::optional<time_point> outcome_deadline;
};

/// State of a request from its arrival to its outcome.
struct request_record {
    request_id id;
    caller_handle caller;
    std::string workspace;
    urgency_level urgency = urgency_level::standard;
    request_lifecycle lifecycle;
    time_point received_at;
    time_point first_token_deadline;
    time_point finish_deadline;
    std::optional<limit_ticket> ticket;
    /// Current attempt; number 0 before the first one.
    attempt_id attempt;
    bool is_attempt_open = false;
    /// Time of the next attempt while the request waits for a backend server, or of the next lookup
    /// while it waits for the outcome of another call with the same key.
    std::optional<time_point> retry_at;
    /// Routing decisions in a row that found no backend server, since the last attempt that was
    /// sent.
    std::uint32_t consecutive_refusals = 0;
    /// An ended attempt ran, at least in part.
    bool has_run = false;
    /// An ended attempt may have run.
    bool may_have_run = false;
    std::variant<completion_work, service_work> work;
};

class entry_core::state {
public:
    explicit state(entry_options options);

    // Backend servers and contracts.
    engine_handle put_engine(const engine_info& info, event_time at);
    service_handle put_service(const service_info& info);
    void set_engine_state(engine_handle engine, host_state value, event_time at);
    void set_service_state(service_handle service, host_state value);
    void put_contract(const contract& value, std::uint64_t version, event_time at);

    // Events.
    void on(const completion_request& event, event_time at);
    void on(const service_request& event, event_time at);
    void on(const outcome_request& event, event_time at);
    void on(const caller_gone& event, event_time at);
    void on(const engine_accepted& event, event_time at);
    void on(const engine_tokens& event, event_time at);
    void on(const engine_finished& event, event_time at);
    /// Handled by engine_group alone; see forward_to_group().
    void on(const engine_reserved& /*event*/, event_time /*at*/) {}
    void on(const engine_released& /*event*/, event_time /*at*/) {}
    void on(const engine_part_ready& /*event*/, event_time /*at*/) {}
    void on(const engine_failed& event, event_time at);
    void on(const service_answer& event, event_time at);
    void on(const service_failed& event, event_time at);
    void on(const claim_granted& event, event_time at);
    void on(const claim_exists& event, event_time at);
    void on(const claim_failed& event, event_time at);
    void on(const claim_found& event, event_time at);

    /// Passes an engine event to the group of its request, open or closing. Releases a reservation
    /// whose request is no longer known.
    void forward_to_group(const engine_event& event, event_time at);
    /// Applies the phase of the group, if the event belongs to a request with one.
    void after_engine_event(const engine_event& event, event_time at);
    /// Emits due calls to the platform and handles the results of claims and lookups.
    void process_claims(event_time at);
    /// Decides again on the pending requests of workspaces that limiter::take_due_workspaces()
    /// returns.
    void admit_waiting(event_time at);
    void tick(event_time at);
    [[nodiscard]] time_point next_due() const;
    void abandon_all(event_time at);

private:
    friend class entry_core;

    /// One instance of a plain service.
    struct service_instance {
        service_info info;
        host_state state = host_state::live;
        std::uint32_t open_calls = 0;
    };

    // Admission, common to completions and service calls.
    /// Contract of the workspace that owns the key. Errors: unauthorized, workspace_retired, and
    /// cut_off with retry_after.
    [[nodiscard]] result<const contract*> authorize(const caller_identity& identity) const;
    /// Creates the record of an authorized request.
    request_record& open_request(caller_handle caller, const contract& terms, event_time at);
    /// Refuses a call that has no request record.
    void refuse(caller_handle caller, request_id request, std::string_view workspace,
                const error& failure);
    /// Emits an event record about a request.
    void emit_event(event_kind kind, const request_record& record, std::string subject,
                    std::string detail);
    /// Applies a life cycle step; a step that is not allowed is written to the event log.
    void apply_step(request_record& record, request_step step);
    /// Sets timers for both deadlines of the request.
    void schedule_deadlines(request_record& record);
    /// Charges the request to the limits of its workspace, refuses it, or queues it while the local
    /// quota is too small.
    void admit(request_record& record, event_time at);
    /// Ends the request if its deadline has passed; otherwise takes the step it was waiting for.
    void on_timer(request_record& record, event_time at);
    /// Continues a request whose retry_at has passed.
    void on_retry_due(request_record& record, event_time at);

    // End of a request. Every path ends in close_request(), exactly once.
    /// Ends a completion whose answer has been delivered in full.
    void end_completed(request_record& record, event_time at);
    /// Ends a request with an error and the outcome that is known for it.
    void end_failed(request_record& record, const error& failure, event_time at);
    /// Ends a service call with the answer of the service; a status of 500 or more is the outcome
    /// failed.
    void end_answered(request_record& record, const service_answer& answer, event_time at);
    /// Settles the limits of the request, closes its group and destroys the record.
    void close_request(request_record& record, outcome result, event_time at);
    /// Outcome of a request that failed: failed, unknown or not_run.
    [[nodiscard]] outcome outcome_of(const request_record& record) const;

    // Completions: entry_completion.cpp.
    /// Sets both deadlines from the deadline class of the contract and the deadline of the caller,
    /// whichever is earlier.
    void set_deadlines(request_record& record, const contract& terms,
                       const caller_identity& identity, std::uint32_t prompt_tokens, event_time at);
    void on_admitted(request_record& record, completion_work& work, event_time at);
    /// Routes the request and starts an attempt on an engine or a group. If no engine is available,
    /// refuses a new request and delays one that has been tried.
    void start_completion(request_record& record, event_time at);
    /// Starts an attempt on one engine, which resumes after the tokens already delivered.
    void dispatch(request_record& record, const single_route& route, const route_query& query,
                  event_time at);
    /// Ends the open attempt, if any; cancels it on the engine unless it succeeded.
    void end_attempt(request_record& record, bool succeeded, event_time at);
    /// Starts another attempt after a failed one, if the retry budget allows it; otherwise ends the
    /// request.
    void retry_completion(request_record& record, const error& failure, event_time at);
    /// Schedules the next attempt with backoff, or ends the request if the deadline would pass
    /// before it.
    void wait_for_backend(request_record& record, const error& failure, event_time at);
    /// Whether another attempt is allowed; if so, its tokens are charged to the retry budget.
    [[nodiscard]] bool may_retry(const request_record& record, event_time at);
    /// Passes tokens to the caller in order; drops duplicates and keeps batches that arrived early.
    void accept_tokens(request_record& record, const engine_tokens& event, event_time at);
    /// Ends the request if the engine has finished and all tokens have been passed on.
    void finish_if_complete(request_record& record, event_time at);
    /// Routing query for the rest of the completion.
    [[nodiscard]] route_query query_of(const request_record& record, event_time at) const;

    /// Clears the state of the token stream before a new attempt.
    static void reset_stream_state(completion_work& work);

    // Groups of engines: entry_group.cpp.
    /// Starts a group of engines for the request.
    void start_group(request_record& record, const group_route& route, const route_query& query,
                     event_time at);
    /// Updates the request from the phase of its group.
    void apply_group_phase(request_record& record, event_time at);
    /// Polls the group; while it backs off, replaces its plan with a new route.
    void poll_group(request_record& record, event_time at);
    /// Ends the group of an ended request and keeps it until it is settled.
    void close_group(request_record& record, bool succeeded, event_time at);
    /// Erases a closing group for which no engine can hold memory any more.
    void erase_settled_group(request_id id);
    void poll_closing_groups(event_time at);
    void emit_all(std::vector<engine_command> commands);

    // Services: entry_service.cpp.
    void on_admitted(request_record& record, service_work& work, event_time at);
    /// Sends the call to an instance, or ends the request if none is available.
    void start_service(request_record& record, event_time at);
    /// Live instance that has not failed the call: in the own zone if possible, then with the
    /// fewest open calls.
    [[nodiscard]] std::optional<service_handle> choose_instance(const service_work& work) const;
    /// Whether the path matches a prefix that the service declares as unrepeatable.
    [[nodiscard]] bool is_unrepeatable(std::string_view service, std::string_view path) const;
    /// Decrements the open calls of the instance.
    void close_call(service_work& work);
    /// Requests the durable claim of the idempotency key.
    void claim(request_record& record, event_time at);
    /// Answers with the recorded outcome of an earlier call, or waits for that outcome.
    void replay(request_record& record, const claim_record& earlier, event_time at);
    /// Schedules the next lookup of the outcome of a running call with the same key, or ends the
    /// request with key_in_progress.
    void wait_for_outcome(request_record& record, service_work& work, event_time at);
    /// Removes a pending lookup and returns its caller.
    [[nodiscard]] std::optional<caller_handle> extract_lookup(request_id id);

    [[nodiscard]] request_record* find(request_id id);
    /// Request whose current open attempt has this id; null for late events.
    [[nodiscard]] request_record* find_attempt(attempt_id id);

    template <class Command>
    void emit(Command command) {
        commands_.emplace_back(std::move(command));
    }

    entry_options options_;
    router router_;
    limiter limiter_;
    claim_manager claims_;
    std::vector<entry_command> commands_;
    std::unordered_map<request_id, std::unique_ptr<request_record>> requests_;
    /// Time of the event being handled.
    time_point now_{};
    bool is_stopping_ = false;
    bool is_config_lapsed_ = false;
    /// Active contracts by workspace.
    std::unordered_map<std::string, active_contract> contracts_;
    /// Workspaces by the hash of an API key.
    std::unordered_map<std::string, std::string> workspace_of_key_;
    std::unordered_map<engine_handle, host_state> engine_states_;
    std::vector<service_instance> services_;
    std::unordered_map<std::uint32_t, request_id> request_of_caller_;
    /// Requests whose admission is pending until the local quota has grown, by workspace.
    std::unordered_map<std::string, std::vector<request_id>> waiting_for_quota_;
    /// Times at which on_timer() is due for a request. A timer may outlive its request.
    std::multimap<time_point, request_id> timers_;
    /// Groups of ended requests for which engines may still hold memory.
    std::unordered_map<request_id, std::unique_ptr<engine_group>> closing_groups_;
    /// Callers waiting for a recorded outcome, by the id of their query.
    std::unordered_map<request_id, caller_handle> pending_lookups_;
    retry_budget retry_budget_;
    std::mt19937_64 random_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace magnolia
