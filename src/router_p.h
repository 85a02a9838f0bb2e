/// Internal state of the router: engines, models and own attempts.
#pragma once

#include "engine_table.h"
#include "prefix_affinity.h"
#include "router.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace magnolia {

/// Statistics of a model over all engines that serve it.
struct model_record {
    cost_model costs;
    std::vector<engine_handle> engines;
    /// Tokens per byte of text.
    double tokens_per_byte = 0.25;
    /// Decaying sum of the prefill work of started prompts, in seconds, by length class.
    std::array<double, length_class_count> work_by_length{};
    /// Average share of a prompt that the engine of an attempt had in its prefix cache; gives the
    /// bonus of the home engine.
    double home_cached_share = 0.1;
    std::uint32_t largest_memory = 0;
    /// Position of the round robin, also the start of the next sample of engines.
    std::size_t next_index = 0;
    /// Moving average of the share of engines with pending prefill work.
    double busy_share = 0;
    /// Number of engines reserved for short prompts, and the number of engines of the model when it
    /// was computed.
    std::size_t reserved_count = 0;
    std::size_t reserved_fleet_size = 0;
};

/// An attempt of this entry, from its start to its end.
struct attempt_record {
    std::vector<engine_handle> engines;
    model_record* model = nullptr;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
    std::uint32_t cached_tokens = 0;
    bool has_prefix = false;
    time_point started_at{};
    time_point accepted_at{};
    time_point first_token_at{};
    /// Predicted time to the first token, seconds.
    double predicted_s = 0;
    bool has_accepted = false;
    bool has_first_token = false;
    /// Whether the engine was predicted to have no other prefill work, so that the measured time
    /// can calibrate the cost model.
    bool is_only_prefill = false;
};

/// String hash that allows lookups by std::string_view.
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

template <class T>
using string_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

/// Input of a policy: the query, its model and values derived from both.
struct route_context {
    const route_query& query;
    model_record& model;
    time_point now;
    /// Length class of the prompt and the urgency passed to the engine.
    length_class length = length_class::short_prompt;
    urgency_level urgency = urgency_level::standard;
    /// Seconds left until the deadlines.
    double first_token_budget_s = 0;
    double finish_budget_s = 0;
    /// Predicted seconds from the first token to the end.
    double generation_s = 0;
    std::uint32_t memory_tokens = 0;
    /// Every engine of the own zone and every stride-th engine of the others is considered; 1
    /// considers all.
    std::size_t stride = 1;
    /// Offset of the sample; changes with each decision.
    std::size_t sample_start = 0;
};

/// A candidate engine with its prediction.
struct candidate {
    engine_handle engine;
    double first_token_s = 0;
    /// Value to be minimised. In the length-aware policy: the predicted time to the first token,
    /// adjusted by the cost to other requests, slow start, the tie break and the prefix bonus.
    double score = 0;
};

/// An engine that could become a member of a group.
struct member_option {
    engine_handle engine;
    std::uint32_t zone = 0;
    /// Predicted seconds until the engine starts on the prompt.
    double wait_s = 0;
    /// Tokens for which it has memory available to this group.
    double free_tokens = 0;
};

class router::state {
public:
    state(std::string zone, route_policy policy, std::uint64_t seed, route_settings settings);

    engine_handle put_engine(const engine_info& info, time_point now);
    route_decision decide(const route_query& query, time_point now);
    /// Accounts for an attempt on one or more engines.
    void record_start(attempt_id id, std::span<const group_member> members, urgency_level urgency,
                      const route_query& query, time_point now);
    void on_accepted(attempt_id id, std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                     time_point now);
    void on_first_token(attempt_id id, time_point now);
    void on_ended(attempt_id id, bool succeeded, std::uint32_t generated_tokens, time_point now);
    void on_cancelled(attempt_id id, time_point now);
    void on_load(engine_handle engine, const engine_load& load, time_point now);
    void set_state(engine_handle engine, host_state state, time_point now);

    [[nodiscard]] engine_record& at(engine_handle engine) { return engines_[engine.value]; }
    [[nodiscard]] engine_handle find(std::string_view name) const;
    [[nodiscard]] model_record* find_model(std::string_view name);
    [[nodiscard]] const model_record* find_model(std::string_view name) const;

    /// Urgency to pass to the engine, by the length of the prompt.
    [[nodiscard]] urgency_level engine_urgency(const route_query& query) const;

private:
    friend struct round_robin_policy;
    friend struct least_outstanding_policy;
    friend struct length_aware_policy;

    /// Derives the input of a policy from a query.
    [[nodiscard]] route_context context_of(const route_query& query, model_record& model,
                                           time_point now) const;
    /// Whether the engine can take the request: live, allowed by the circuit breaker, not ejected
    /// as an outlier, with the adapter, and not excluded by the query.
    [[nodiscard]] bool is_usable(const engine_record& engine, const route_query& query,
                                 time_point now) const;
    /// Predicted seconds before the engine starts on a new prompt of this urgency.
    [[nodiscard]] double wait_seconds(const engine_record& engine, urgency_level urgency,
                                      time_point now) const;
    /// Seconds of network latency to the engine.
    [[nodiscard]] double zone_latency(const engine_record& engine) const;
    /// Predicts the time to the first token on an engine that has `cached` tokens of the prompt.
    [[nodiscard]] candidate predict(const route_context& context, engine_handle handle,
                                    double cached) const;
    /// Best candidate by the configured policy.
    [[nodiscard]] candidate choose(const route_context& context);
    /// Best engine of the own zone and of a sample of the other zones; if that one would miss a
    /// deadline, the best of all engines.
    [[nodiscard]] candidate choose_sampled(const route_context& context);
    /// Routes a prompt to one engine, or refuses it.
    [[nodiscard]] route_decision decide_single(const route_context& context);
    /// Routes a prompt to a group, or refuses it.
    [[nodiscard]] route_decision decide_group(const route_context& context);
    /// Engines that could be members of a group.
    /// @param may_use_reserved  also considers engines reserved for short prompts.
    [[nodiscard]] std::vector<member_option> member_options(const route_context& context,
                                                            bool may_use_reserved) const;
    /// Best group within one zone; if there is none, one over several zones; else one that waits
    /// for memory.
    [[nodiscard]] std::optional<group_route>
    best_group(const route_context& context, const std::vector<member_option>& options) const;
    /// Group of `count` members with equal shares.
    [[nodiscard]] std::optional<group_route> plan_group(const route_context& context,
                                                        std::span<const member_option> options,
                                                        std::size_t count) const;
    /// Group with the smallest number of members that the options allow.
    [[nodiscard]] std::optional<group_route>
    plan_group(const route_context& context, const std::vector<member_option>& options) const;
    /// Group whose members have to wait for memory to become free.
    [[nodiscard]] std::optional<group_route>
    plan_waiting_group(const route_context& context, std::vector<member_option> options) const;
    /// Refusal with the time by which the best candidate is late as retry_after. @param best  its
    /// predicted seconds to the first token.
    [[nodiscard]] route_refused refuse(const route_context& context, double best) const;
    /// Recomputes how many and which engines of the model are reserved for short prompts.
    void update_reserved_engines(model_record& model);
    /// Removes an attempt from the records of its engines.
    [[nodiscard]] std::optional<attempt_record> remove_attempt(attempt_id id, time_point now);
    /// If an attempt has no first token long after the predicted time, counts that against its
    /// engine.
    void observe_if_overdue(const attempt_record& attempt, time_point now);
    /// Ejects an engine whose first tokens are much later than predicted compared with the others.
    void eject_if_outlier(engine_record& engine, const model_record& model, time_point now);
    /// Updates home_cached_share from an accepted attempt.
    void observe_cache_hit(const attempt_record& attempt);

    std::string zone_;
    route_settings settings_;
    route_policy policy_;
    std::mt19937_64 random_;
    /// Random per entry; determines its order of equal engines.
    std::uint64_t entry_hash_ = 0;
    std::vector<engine_record> engines_;
    string_map<engine_handle> by_name_;
    string_map<model_record> models_;
    /// Index of each zone; 0 is the zone of this entry.
    string_map<std::uint32_t> zones_;
    std::unordered_map<request_id, std::map<std::uint32_t, attempt_record>> attempts_;
    prefix_table prefixes_;
};

} // namespace magnolia
