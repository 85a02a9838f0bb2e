/// Model of one model engine on a virtual clock: continuous batching, chunked prefill, KV memory,
/// prefix cache, reservations, orders and faults. No sockets, no threads.
#pragma once

#include "block_cache.h"
#include "order_port.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace magnolia::fakes {

/// Cost model: how long the work of the engine takes.
struct engine_costs {
    /// Prefill rate at the start of a prompt, tokens/s.
    double prefill_tokens_per_s = 12000;
    /// Prompt length at which attention doubles the linear prefill cost, tokens.
    double attention_tokens = 500000;
    /// Maximum prefill per step, tokens.
    std::uint32_t chunk_tokens = 300;
    /// Decoding step of a batch with one sequence.
    duration decode_step{25000};
    /// Added per further sequence of the batch.
    duration decode_per_sequence{100};
    /// Added per KV cache part that a sequence has imported from another engine.
    duration decode_per_part{1000};
    /// Import rate of KV cache parts, tokens/s.
    double import_tokens_per_s = 400000;
    /// Time to load weights after a load order.
    duration load_time{5000000};
};

/// Settings of one simulated engine.
struct engine_model_settings {
    std::string name = "engine";
    /// Handle under which other engines import its KV cache parts.
    engine_handle self;
    std::vector<loaded_item> models{{"model", "1", true}};
    std::uint32_t memory_tokens = 450000;
    std::uint32_t cache_tokens = 120000;
    /// Maximum number of jobs in a batch.
    std::uint32_t max_running = 64;
    std::uint32_t bytes_per_token = 4;
    bool checks_fencing = true;
    /// Whether the engine releases expired reservations by itself.
    bool expires_reservations = true;
    /// Time between two load reports.
    duration load_interval{500000};
    /// Delay until a cache event is visible, and the probability that it is lost.
    duration cache_event_lag{300000};
    double cache_event_loss = 0;
    engine_costs costs;
    std::uint64_t seed = 1;
};

/// A change of the prefix cache, as reported to entries.
struct cache_event {
    std::uint64_t sequence = 0;
    time_point visible_at{};
    std::uint64_t block = 0;
    bool added = false;
};

/// Counters for test oracles.
struct engine_counts {
    /// Number of attempts that started to run, by request.
    std::map<request_id, std::uint32_t> executions;
    std::uint64_t tokens_delivered = 0;
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t refused = 0;
    std::uint64_t orders_taken = 0;
    std::uint64_t orders_fenced = 0;
    /// Orders that took effect although an order with a higher fencing token had arrived before.
    std::uint64_t stale_orders_taken = 0;
};

/// KV cache parts that the engines of one process hold for import by each other, by engine and
/// name.
using part_directory = std::set<std::pair<engine_handle, std::string>>;

/// Returns `count` tokens of the answer to a prompt, from token `first`. The answer depends only on
/// the prompt, so that a test can verify it whichever engines produced it.
[[nodiscard]] std::string answer_text(std::string_view prompt, std::uint32_t first,
                                      std::uint32_t count);

/// One simulated engine. Driven by the virtual clock of its owner (engine_server or a test), which
/// passes the current time to every call. Not thread-safe.
class engine_model {
public:
    /// @param parts  shared by the engines that import parts from each other; must outlive them.
    engine_model(engine_model_settings settings, part_directory& parts);

    /// Accepts a command; advance() returns its events. A start or prefill of an attempt that is
    /// waiting or running is ignored. Errors: backend_refused, model_unknown, no_capacity,
    /// too_large, not_found for a missing part, conflict for another owner's reservation,
    /// connection if the engine is down. After an error nothing of the command has run.
    [[nodiscard]] result<void> submit(const engine_command& command, const memory_owner& owner,
                                      time_point now);

    /// Applies an order. Errors: fenced, connection if the engine is down.
    [[nodiscard]] result<void> apply_order(const engine_order& order, time_point now);

    /// Simulates up to `now` and returns the events, in order.
    [[nodiscard]] std::vector<engine_event> advance(time_point now);

    /// Returns the time of the next state change; time_point::max() if there is none.
    [[nodiscard]] time_point next_due() const;

    /// Returns the last load report with its age; its state is the current one.
    [[nodiscard]] engine_load load(time_point now) const;
    /// Returns the current load, without the delay of the reports.
    [[nodiscard]] engine_load current_load() const;
    [[nodiscard]] engine_status status() const;
    /// Returns all reservations with the time left until their expiry.
    [[nodiscard]] std::vector<held_memory> list_reservations(time_point now) const;
    /// Returns the cache events after a sequence number that are visible by now; lost events leave
    /// gaps in the numbering.
    [[nodiscard]] std::vector<cache_event> cache_events(std::uint64_t after, time_point now) const;
    [[nodiscard]] const engine_counts& counts() const { return counts_; }
    [[nodiscard]] const engine_model_settings& settings() const { return settings_; }
    [[nodiscard]] bool is_up() const { return is_up_; }

    /// Loses all jobs, memory and events and stays down until restart(). Returns the attempts that
    /// were interrupted.
    std::vector<attempt_id> crash(time_point now);
    /// Starts with the configured models, a new boot number and no fencing token.
    void restart(time_point now);
    /// Simulates a frozen process: no progress until resume().
    void pause(time_point now);
    void resume(time_point now);
    /// Accepts no new work from now on.
    void drain() { state_ = host_state::leaving; }

private:
    /// An accepted attempt, waiting or running.
    struct job {
        attempt_id id;
        /// Whether it prefills a part for another engine.
        bool is_part = false;
        engine_start start;
        std::uint32_t prompt_tokens = 0;
        std::uint32_t cached_tokens = 0;
        /// Range of tokens still to prefill.
        std::uint32_t next_prefill = 0;
        std::uint32_t end_prefill = 0;
        /// Offset of the next answer token.
        std::uint32_t next_offset = 0;
        /// KV memory that it occupies itself, tokens; 0 within a reservation.
        std::uint32_t memory = 0;
        /// Time at which the import of its parts ends.
        time_point ready_at{};
        time_point deadline{};
        std::uint64_t arrival = 0;
        std::uint64_t answer_seed = 0;
        bool is_running = false;
    };
    struct reservation {
        memory_owner owner;
        std::uint32_t tokens = 0;
        time_point expires_at{};
        /// Names of the prefilled parts that it holds.
        std::vector<std::string> parts;
    };
    /// One scheduling iteration: a prefill chunk of one job and one token of each decoding job.
    struct step {
        time_point end{};
        attempt_id prefill;
        std::uint32_t prefill_tokens = 0;
        std::vector<attempt_id> decoding;
    };
    /// A model or adapter that is being loaded.
    struct pending_load {
        order_kind kind = order_kind::load_model;
        loaded_item item;
        time_point ready_at{};
    };

    result<void> apply(const engine_start& command, const memory_owner&, time_point now);
    result<void> apply(const engine_cancel& command, const memory_owner&, time_point now);
    result<void> apply(const engine_reserve& command, const memory_owner& owner, time_point now);
    result<void> apply(const engine_release& command, const memory_owner&, time_point now);
    result<void> apply(const engine_prefill_part& command, const memory_owner&, time_point now);

    /// Checks that the engine is not draining and has the model and adapter loaded.
    [[nodiscard]] result<void> check_accepts_work(std::string_view model, std::string_view adapter);
    /// Returns whether all parts that come from engines of this process still exist.
    [[nodiscard]] bool has_parts(const std::vector<kv_part>& parts) const;
    [[nodiscard]] std::uint32_t used_memory() const;
    [[nodiscard]] duration prefill_time(std::uint32_t first, std::uint32_t last) const;
    [[nodiscard]] duration import_time(const std::vector<kv_part>& parts) const;
    [[nodiscard]] duration decode_time(const std::vector<attempt_id>& decoding) const;

    void add(job value);
    /// Releases a reservation with its parts and fails the jobs that use it.
    void end_reservation(const std::string& name);
    /// Starts waiting jobs by priority while memory and batch slots are free.
    void admit(time_point now);
    void begin_step(time_point now);
    void finish_step();
    void finish_prefill(job& value);
    void decode(job& value);
    void end_job(attempt_id id);
    void fail_job(attempt_id id, error failure);
    /// Ends expired reservations, jobs past their deadline and finished loads.
    void expire_due(time_point now);
    /// Takes a load report if the last one has reached the report interval.
    void report(time_point now);
    /// Adds the prompt of a finished job to the prefix cache.
    void cache_prompt(const job& value);
    /// Appends cache events for the changes, some of which are lost by injection.
    void publish_cache_changes(const std::vector<cache_change>& changes);
    /// Returns the running or the waiting jobs by urgency, then arrival.
    [[nodiscard]] std::vector<job*> jobs_by_priority(bool is_running);

    engine_model_settings settings_;
    part_directory& parts_;
    std::map<attempt_id, job> jobs_;
    std::map<std::string, reservation> reservations_;
    block_cache cache_;
    std::optional<step> step_;
    std::vector<engine_event> events_;
    std::deque<cache_event> cache_events_;
    std::uint64_t cache_sequence_ = 0;
    std::vector<loaded_item> models_;
    std::vector<loaded_item> adapters_;
    std::vector<pending_load> loading_;
    engine_role role_ = engine_role::any;
    host_state state_ = host_state::live;
    /// Highest fencing token received.
    std::uint64_t fencing_ = 0;
    std::uint64_t boot_ = 1;
    std::uint64_t arrivals_ = 0;
    /// Virtual time up to which the model has been simulated.
    time_point clock_{};
    std::optional<time_point> paused_at_;
    bool is_up_ = true;
    engine_load report_;
    time_point reported_at_{};
    engine_counts counts_;
    std::mt19937_64 random_;
};

} // namespace magnolia::fakes
