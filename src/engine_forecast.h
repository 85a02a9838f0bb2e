/// Performance model of one model engine: a discrete simulation of its batch passes, from its
/// published profile and the jobs placed on it. Predicts when a prompt would be prefilled and how
/// much that would delay the streams on the same engine (head-of-line blocking).
///
/// An engine works in passes. While it decodes answers, a pass runs a fixed number of steps, and
/// each stream gets one event at its end; without streams a pass is a single step. Each step also
/// prefills up to a fixed number of prompt tokens: first shares of split prompts, the newest first,
/// then other prompts in order of arrival. The length of a pass is the pause that every stream on
/// the engine sees.
#pragma once

#include "forward_types.h"

#include <compare>

namespace magnolia {

/// Identifies a job across all gateways and their restarts.
struct job_id {
    /// Random number, drawn at its start, of the gateway that placed the job.
    std::uint64_t origin = 0;
    /// Sequence number within the origin.
    std::uint64_t number = 0;

    auto operator<=>(const job_id&) const = default;
};

/// What a request needs from engines, its targets and its value.
struct job_demand {
    std::uint32_t prompt_tokens = 0;
    /// Expected length of the answer, tokens.
    std::uint32_t answer_tokens = 0;
    /// Time from now to the first event that meets the target.
    duration target_latency{0};
    /// Longest time between two events that meets the target; zero for no target.
    duration target_pause{0};
    /// Value of an answer that meets the targets, in units of a short request. A late answer loses
    /// late_loss_share of it.
    double value = 1;
    /// Time from now after which an answer has no value; zero for no limit.
    duration time_limit{0};
    /// The target latency has passed, so that only the value of a late answer remains.
    bool is_late = false;
};

/// The prompt tokens that one engine prefills: a complete prompt, or an even share of a split one.
struct prefill_share {
    std::uint32_t tokens = 0;
    /// Earlier tokens that the first token attends to, and the increment for each token after it.
    double first_attention_span = 0;
    double attention_span_increment = 1;

    /// Even share of a prompt that `engine_count` engines prefill together.
    [[nodiscard]] static prefill_share of(std::uint32_t prompt_tokens, std::size_t engine_count);
    /// Length of the complete prompt, tokens.
    [[nodiscard]] std::uint32_t prompt_tokens() const;
};

/// The work of one request on one engine.
struct engine_job {
    job_id id;
    prefill_share prefill;
    /// This engine only prefills a share for another engine, ahead of unsplit prompts.
    bool is_helper = false;
    /// The prompt is split among several engines: decoding starts when all have finished.
    bool has_helpers = false;
    /// KV memory that the job occupies on this engine, tokens.
    std::uint32_t memory_tokens = 0;
    /// Context that adds to the duration of each step while the answer is decoded, tokens.
    std::uint32_t context_tokens = 0;
    /// Expected length of the answer, tokens.
    std::uint32_t answer_tokens = 0;
    /// A target was missed: further delay loses no more value.
    bool is_late = false;
    /// Targets and limit as in job_demand, counted from placed_at.
    duration target_latency{0};
    duration target_pause{0};
    duration time_limit{0};
    double value = 1;

    // State of the simulation, set by engine_forecast.
    time_point placed_at{};
    double prefilled_tokens = 0;
    double decoded_tokens = 0;
    /// The first event was observed, not only predicted.
    bool has_first_event = false;
    /// Time of the first event, predicted or observed; time_point{} before it.
    time_point first_event{};
    time_point last_event{};
    duration longest_pause{0};
    /// Prompt tokens that the current pass prefills.
    double pass_prefill_tokens = 0;
    /// The answer is predicted to be complete; only set in simulate_job().
    bool is_completed = false;
};

/// Share of a request's value that is lost if it misses a target; the rest is lost if it is not
/// answered at all.
inline constexpr double late_loss_share = 0.75;

/// Share of a request's value that is charged for a wait for its first event, even if the target is
/// met. Engines prefill the newest share first, so without this cost each later prompt would delay
/// an earlier one a little until it is late.
[[nodiscard]] double delay_loss(duration wait, duration target);

/// Longer prefills count as long: together with a decode-only pass they exceed the pause target of
/// short requests.
inline constexpr double max_short_prefill_ms = 180;

/// Predicted effect of placing a job on an engine.
struct placement_effect {
    /// Time at which its prefill ends.
    time_point prefill_end{};
    /// Expected loss of value of the other jobs on the engine.
    double imposed_loss = 0;
    /// Longest pass during the prefill, which the streams on the engine see as a pause.
    duration longest_pass{0};
};

/// The simulated engine with its jobs. Owned by backend_fleet, one per engine. Not thread-safe;
/// calls with an earlier time than the latest one use the latest.
class engine_forecast {
public:
    explicit engine_forecast(const engine_profile& profile) : profile_{profile} {}

    [[nodiscard]] const engine_profile& profile() const { return profile_; }
    void set_profile(const engine_profile& profile) { profile_ = profile; }

    /// Time that an idle engine takes for the prefill, ms.
    [[nodiscard]] static double prefill_ms(const engine_profile& profile,
                                           const prefill_share& share);

    /// Predicts the effect of adding a job at `now`, without adding it: simulates the engine with
    /// and without the job and compares the expected losses of the other jobs.
    [[nodiscard]] placement_effect simulate_job(const engine_job& job, time_point now);
    /// Longest pause that a job of this engine is predicted to see from its first event until its
    /// answer is complete, with the jobs of now; of at most 6 s. Zero for unknown ids.
    /// @param first_event  predicted time of its first event
    [[nodiscard]] duration predict_pause(job_id id, time_point first_event, time_point now) const;
    /// Adds a job. Also drops jobs without an event, predicted or observed, for 30 s.
    void add(engine_job job, time_point now);
    /// Removes a job; ignores unknown ids.
    void remove(job_id id, time_point now);
    /// An event of the job was observed, which means that a pass has just ended: corrects the
    /// simulation.
    void on_event(job_id id, time_point now);
    /// The request missed a target: further delay loses no more value.
    void mark_late(job_id id);
    /// Removes all jobs that one gateway placed since its start.
    void remove_origin(std::uint64_t origin);

    /// This engine with the short prompts of another one beside its own jobs: an estimate where
    /// only the long prompts are known.
    [[nodiscard]] engine_forecast with_short_jobs_of(const engine_forecast& other) const;

    /// Length of a pass without prefill, ms. If `added_context` is not 0, with one more stream that
    /// has this many tokens of context.
    [[nodiscard]] double decode_pass_ms(std::uint32_t added_context = 0) const;
    /// Free KV memory, tokens; negative if the jobs are expected to need more than there is.
    [[nodiscard]] std::int64_t free_memory() const;
    /// Number of requests that this engine decodes or will decode.
    [[nodiscard]] std::uint32_t request_count() const;
    [[nodiscard]] const std::vector<engine_job>& jobs() const { return jobs_; }
    /// Whether the remaining prefill would make streams on this engine miss their pause target.
    [[nodiscard]] bool has_long_prefill() const;
    /// Null for unknown ids.
    [[nodiscard]] const engine_job* find(job_id id) const;
    /// Time at which the first answer is expected to be complete; `now` if there are none.
    [[nodiscard]] time_point earliest_completion(time_point now) const;
    /// Time at which a slot is expected to become free; `now` if one is free.
    [[nodiscard]] time_point slot_free_at(time_point now) const;

    /// Runs the simulation up to `now`.
    void advance(time_point now);

private:
    /// Starts a pass: distributes the prefill budget and computes its length.
    void begin_pass(time_point at);
    /// Ends the pass at pass_end_ and applies its progress.
    void end_pass();
    /// Ends the pass at now_ with the part of its prefill for which there was time.
    void end_pass_early();
    void evict_stale(time_point now);
    /// Runs passes until the prefill of the last job has ended; false if that is not before
    /// `horizon`.
    bool simulate_last_prefill(time_point horizon);
    /// Expected loss of value of a job in the state of the simulation.
    [[nodiscard]] double expected_loss(const engine_job& job) const;
    [[nodiscard]] engine_job* find_mutable(job_id id);
    /// Expected completion times of the requests that this engine decodes, in no order.
    [[nodiscard]] std::vector<time_point> expected_completions(time_point now) const;

    engine_profile profile_;
    std::vector<engine_job> jobs_;
    time_point now_{};
    bool is_in_pass_ = false;
    /// This is a copy that simulate_job() runs ahead of time.
    bool is_simulation_ = false;
    time_point pass_begin_{};
    time_point pass_end_{};
    duration longest_pass_{0};
};

} // namespace magnolia
