/// Deterministic simulation of a deployment: entries (the production decision code), simulated
/// engines, services, network and store on one virtual clock, with fault injection. Its oracle
/// checks invariants only from what callers and backend servers observe.
#pragma once

#include "engine_model.h"
#include "entry_core.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace magnolia::testing {

/// One call of a caller and everything that the caller received.
struct call_record {
    std::string name;
    std::string entry;
    std::string model;
    shared_text prompt;
    std::uint32_t max_tokens = 0;
    std::string key;
    time_point sent_at{};
    /// Time by which the call must have ended.
    time_point must_end_by{};
    /// Answer text received so far.
    std::string text;
    std::optional<time_point> first_token_at;
    std::optional<time_point> ended_at;
    std::optional<outcome> result;
    std::optional<error_code> failure;
    /// How often the caller received an end; more than 1 is a violation.
    std::uint32_t end_count = 0;
    std::uint32_t generated_tokens = 0;
    bool is_replayed = false;
    unsigned status = 0;
    request_id request;
};

/// A simulated plain service that counts executions by idempotency key, with its injected faults.
struct test_service {
    std::string name;
    std::map<std::string, std::uint32_t> executions;
    /// Executes calls, but their answers are lost.
    bool loses_answers = false;
    /// Refuses calls without executing them.
    bool refuses = false;
    /// Refuses connections.
    bool is_down = false;
};

/// The simulated deployment. Single-threaded and reproducible for a given seed; times count from
/// the start of the test. Used by the scenario tests, the world fuzzer and the tests of the limits.
class world {
public:
    explicit world(std::uint64_t seed);
    ~world();

    // Topology and configuration.
    void add_entry(const std::string& name, const std::string& zone);
    void add_engine(const fakes::engine_model_settings& settings, const std::string& zone);
    void add_service(const std::string& name, std::vector<std::string> unrepeatable_paths);
    void put_contract(const contract& value);

    // Actions of callers. `call` is a new, unique name of the call.
    void start_completion(const std::string& call, const std::string& entry,
                          const std::string& workspace, const std::string& model,
                          std::uint32_t prompt_tokens, std::uint32_t max_tokens);
    void start_order(const std::string& call, const std::string& entry,
                     const std::string& workspace, const std::string& service,
                     const std::string& path, const std::string& key);
    void disconnect_caller(const std::string& call);

    // Fault injection, allowed at any time.
    void crash_engine(const std::string& name);
    void restart_engine(const std::string& name);
    void pause_engine(const std::string& name, bool is_paused);
    void drain_engine(const std::string& name);
    void crash_entry(const std::string& name);
    void restart_entry(const std::string& name);
    void pause_entry(const std::string& name, bool is_paused);
    /// Begins a planned stop.
    void stop_entry(const std::string& name);
    void set_store_down(bool is_down);
    /// While set, the answers of all calls to the store are lost; writes still take effect.
    void set_store_loses_answers(bool loses);
    test_service& service(const std::string& name);
    /// Sets the shares, 0 to 1, of the engines' token events that are duplicated or delivered late.
    void set_frame_faults(double duplicate_share, double late_share);

    /// Simulates until `end`.
    void run_until(time_point end);
    [[nodiscard]] time_point now() const { return now_; }

    // Observations of callers and backend servers, and the oracle.
    [[nodiscard]] const std::map<std::string, call_record>& calls() const { return calls_; }
    [[nodiscard]] const call_record& call(const std::string& name) const { return calls_.at(name); }
    /// Returns how many attempts of a request started to run on any engine.
    [[nodiscard]] std::uint32_t engine_executions(request_id request) const;
    /// Returns the used KV memory of all engines, tokens.
    [[nodiscard]] std::uint64_t used_engine_memory() const;
    /// Oracle: returns a sentence for each invariant that is violated so far; empty if all hold.
    /// `is_final` also checks what must hold at the end: every call has ended and no memory is
    /// used.
    [[nodiscard]] std::vector<std::string> find_violations(bool is_final) const;

private:
    struct entry;
    struct engine;
    struct store;

    // Event queue and network.
    void schedule_at(time_point when, std::function<void()> action);
    void schedule_after(duration delay, std::function<void()> action);
    [[nodiscard]] duration network_delay();
    [[nodiscard]] event_time time() const;
    void start_entry(entry& target);
    /// Sends the current membership to all entries.
    void update_members();
    /// Executes the commands that an entry has issued.
    void execute_commands(entry& target);
    void execute(entry& source, const caller_command& command);
    void execute(entry& source, const engine_command& command);
    void execute(entry& source, const service_call& command);
    void execute(entry& source, const claim_call& command);
    void execute(entry& source, const outgoing_message& command);
    void execute(entry& source, const event_record& command);
    /// Delivers an event to an entry: dropped if the entry has crashed or restarted since `boot`,
    /// deferred while it is paused.
    void deliver(const std::string& entry_name, std::uint64_t boot,
                 std::function<void(entry_core&)> event);
    /// Simulates the engines up to now and sends their events.
    void advance_engines();
    void send_engine_event(const engine_event& event);
    // Record what a caller receives.
    void record(call_record& call, const caller_text& event);
    void record(call_record& call, const caller_done& event);
    void record(call_record& call, const caller_answer& event);
    void record(call_record& call, const caller_failed& event);
    void end_call(call_record& call, outcome result);
    /// Moves the deadlines of an entry's open calls by the time that it was paused.
    void extend_deadlines(const std::string& entry_name, time_point paused_at);
    /// Sends a call to its entry after the network delay.
    void send_call(const std::string& call, const caller_event& event);
    call_record& add_call(const std::string& call, const std::string& entry_name);

    std::mt19937_64 random_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::map<std::string, std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::map<std::string, test_service> services_;
    std::vector<service_info> service_infos_;
    std::unique_ptr<store> store_;
    std::map<std::string, std::pair<contract, std::uint64_t>> contracts_;
    std::map<std::string, call_record> calls_;
    std::map<std::uint32_t, std::string> call_of_caller_;
    std::map<request_id, std::string> call_of_request_;
    fakes::part_directory parts_;
    std::uint32_t next_caller_ = 0;
    std::uint64_t next_boot_ = 1;
    double duplicate_share_ = 0;
    double late_share_ = 0;
};

} // namespace magnolia::testing
