/// Model of one engine on a virtual clock: continuous batching, chunked prefill, KV memory, prefix
/// cache, reservations, orders and faults. No sockets, no threads.
#pragma once

#include "block_cache.h"
#include "order_port.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace magnolia::fakes {

/// Time that work takes.
struct engine_costs {
    /// Prefill of the first tokens, tokens/s.
    double prefill_tokens_per_s = 12000;
    /// Prompt length at which attention has doubled what linear cost alone would be, tokens.
    double attention_tokens = 500000;
    /// Prefill of one step, tokens.
    std::uint32_t chunk_tokens = 300;
    /// Decode of one sequence.
    duration decode_step{25000};
    /// Added for each further sequence of the batch.
    duration decode_per_sequence{100};
    /// Added for each imported part of a sequence.
    duration decode_per_part{1000};
    /// Import of KV cache, tokens/s.
    double import_tokens_per_s = 400000;
    /// Reading weights after a load order.
    duration load_time{5000000};
};

struct engine_model_settings {
    std::string name = "engine";
    engine_handle self;
    std::vector<loaded_item> models{{"model", "1", true}};
    std::uint32_t memory_tokens = 450000;
    std::uint32_t cache_tokens = 120000;
    std::uint32_t max_running = 64;
    std::uint32_t bytes_per_token = 4;
    bool checks_fencing = true;
    /// Whether it frees reservations past their expiry by itself.
    bool expires_reservations = true;
    /// Age that a load report reaches before the next one.
    duration load_interval{500000};
    /// Delay and share of lost cache events.
    duration cache_event_lag{300000};
    double cache_event_loss = 0;
    engine_costs costs;
    std::uint64_t seed = 1;
};

/// A change of the prefix cache.
struct cache_event {
    std::uint64_t sequence = 0;
    time_point visible_at{};
    std::uint64_t block = 0;
    bool added = false;
};

/// What an oracle may look at.
struct engine_counts {
    /// Attempts that began to run, by request.
    std::map<request_id, std::uint32_t> executions;
    std::uint64_t tokens_delivered = 0;
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t refused = 0;
    std::uint64_t orders_taken = 0;
    std::uint64_t orders_fenced = 0;
    /// Orders that took effect though a higher fencing number had been seen.
    std::uint64_t stale_orders_taken = 0;
};

/// Parts that engines of one process hold for each other.
using part_directory = std::set<std::pair<engine_handle, std::string>>;

/// The answer that every engine gives to a prompt, from token `first` for `count` tokens.
[[nodiscard]] std::string answer_text(std::string_view prompt, std::uint32_t first,
                                      std::uint32_t count);

class engine_model {
public:
    /// @param parts  shared by the engines that import from each other; outlives them.
    engine_model(engine_model_settings settings, part_directory& parts);

    /// Takes a command; its events come from advance(). Errors: backend_refused, model_unknown,
    /// no_capacity, too_large, connection if the engine is down. Nothing has run then.
    [[nodiscard]] result<void> submit(const engine_command& command, const memory_owner& owner,
                                      time_point now);

    /// Takes an order. Errors: fenced, connection.
    [[nodiscard]] result<void> apply_order(const engine_order& order, time_point now);

    /// Runs up to `now` and returns the events, in order.
    [[nodiscard]] std::vector<engine_event> advance(time_point now);

    /// Time of the next change; time_point::max() if idle.
    [[nodiscard]] time_point next_due() const;

    /// Last load report, aged.
    [[nodiscard]] engine_load load(time_point now) const;
    /// What it holds now, without the lag of reports.
    [[nodiscard]] engine_load current_load() const;
    [[nodiscard]] engine_status status() const;
    [[nodiscard]] std::vector<held_memory> list_reservations(time_point now) const;
    /// Cache events after a sequence number that are visible by now; lost ones leave gaps.
    [[nodiscard]] std::vector<cache_event> cache_events(std::uint64_t after, time_point now) const;
    [[nodiscard]] const engine_counts& counts() const { return counts_; }
    [[nodiscard]] const engine_model_settings& settings() const { return settings_; }
    [[nodiscard]] bool is_up() const { return is_up_; }

    /// Loses everything and stays down. Returns the attempts that were interrupted.
    std::vector<attempt_id> crash(time_point now);
    void restart(time_point now);
    void pause(time_point now);
    void resume(time_point now);
    void drain() { state_ = host_state::leaving; }

private:
    struct job {
        attempt_id id;
        bool is_part = false;
        engine_start start;
        std::uint32_t prompt_tokens = 0;
        std::uint32_t cached_tokens = 0;
        /// Range of the prompt still to prefill.
        std::uint32_t next_prefill = 0;
        std::uint32_t end_prefill = 0;
        std::uint32_t next_offset = 0;
        std::uint32_t memory = 0;
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
        std::vector<std::string> parts;
    };
    struct step {
        time_point end{};
        attempt_id prefill;
        std::uint32_t prefill_tokens = 0;
        std::vector<attempt_id> decoding;
    };
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

    [[nodiscard]] result<void> check_accepts_work(std::string_view model, std::string_view adapter);
    [[nodiscard]] bool has_parts(const std::vector<kv_part>& parts) const;
    [[nodiscard]] std::uint32_t used_memory() const;
    [[nodiscard]] duration prefill_time(std::uint32_t first, std::uint32_t last) const;
    [[nodiscard]] duration import_time(const std::vector<kv_part>& parts) const;
    [[nodiscard]] duration decode_time(const std::vector<attempt_id>& decoding) const;

    void add(job value);
    void end_reservation(const std::string& name);
    void admit(time_point now);
    void begin_step(time_point now);
    void finish_step();
    void finish_prefill(job& value);
    void decode(job& value);
    void end_job(attempt_id id);
    void fail_job(attempt_id id, error failure);
    void expire_due(time_point now);
    void report(time_point now);
    void cache_prompt(const job& value);
    void publish_cache_changes(const std::vector<cache_change>& changes);
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
    std::uint64_t fencing_ = 0;
    std::uint64_t boot_ = 1;
    std::uint64_t arrivals_ = 0;
    time_point clock_{};
    std::optional<time_point> paused_at_;
    bool is_up_ = true;
    engine_load report_;
    time_point reported_at_{};
    engine_counts counts_;
    std::mt19937_64 random_;
};

} // namespace magnolia::fakes
