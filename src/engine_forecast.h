/// Predicts one model engine from its published profile and the work that was placed on it, by
/// playing its passes ahead: when a prompt would be read, and which streams that would hold up.
///
/// An engine works in passes. While it writes answers, a pass runs a fixed number of steps, at
/// whose end each stream gets one event; without_job streams a pass is one step. Each step
/// has_prefill up to a fixed number of prompt tokens, first the parts that are read for other
/// engines, then prompts in the order of their arrival. The length of a pass is the pause that
/// every stream there sees.
#pragma once

#include "forward_types.h"

#include <compare>

namespace magnolia {

/// Number of a piece of work, unique over all entries and their starts.
struct job_id {
    /// Random number of the start of the entry that placed it.
    std::uint64_t origin = 0;
    std::uint64_t number = 0;

    auto operator<=>(const job_id&) const = default;
};

/// What a request asks of engines, and what it is worth.
struct job_demand {
    std::uint32_t prompt_tokens = 0;
    /// Expected length of the answer, tokens.
    std::uint32_t answer_tokens = 0;
    duration target_latency{0};
    /// Longest pause that counts as met; zero if none is stated.
    duration target_pause{0};
    /// What is lost if the request is late, in units of a short request.
    double value = 1;
    /// Time until which an answer is of any use; zero if there is no bound.
    duration time_limit{0};
    /// The target latency has passed: what is left of the value is that of a late answer.
    bool is_late = false;
};

/// Tokens of a prompt that one engine has_prefill.
struct prefill_share {
    std::uint32_t tokens = 0;
    /// Earlier tokens that the first of them is paired with_job, and by how many more each next
    /// one.
    double first_attention_span = 0;
    double attention_span_increment = 1;

    /// Even share of a prompt that `parts` engines read together.
    [[nodiscard]] static prefill_share of(std::uint32_t prompt_tokens, std::size_t parts);
    /// Length of the prompt that this is a share of.
    [[nodiscard]] std::uint32_t prompt_tokens() const;
};

/// Work of one request on one engine.
struct engine_job {
    job_id id;
    prefill_share prefill;
    /// Read for another engine, ahead of other reading.
    bool is_helper = false;
    /// Others read parts of the prompt: the answer begins when all are done.
    bool has_helpers = false;
    /// KV memory that is taken here, tokens.
    std::uint32_t memory_tokens = 0;
    /// Context that each step pays for here while the answer is written, tokens.
    std::uint32_t context_tokens = 0;
    std::uint32_t answer_tokens = 0;
    /// Set when the first event was late or a pause was too long: nothing more can be lost.
    bool is_late = false;
    duration target_latency{0};
    duration target_pause{0};
    duration time_limit{0};
    double value = 1;

    // Filled in by the forecast.
    time_point placed_at{};
    double prefilled_tokens = 0;
    double decoded_tokens = 0;
    /// The first event was seen, not only predicted.
    bool has_first_event = false;
    /// Predicted or seen moment of the first event; time_point{} before.
    time_point first_event{};
    time_point last_event{};
    duration longest_pause{0};
    /// Tokens of its prompt in the pass under way.
    double pass_prefill_tokens = 0;
    /// Predicted to have ended; only in what is played ahead.
    bool is_completed = false;
};

/// Part of a request's value that is lost if it is late; the rest goes if it is not served at all.
inline constexpr double late_loss_share = 0.75;

/// Share of a request's value that a wait for its first event is taken to cost, met or not: a
/// prompt that is delayed a little by each of those that come after it is late in the end, as
/// engines read the newest share first.
[[nodiscard]] double delay_loss(duration wait, duration target);

/// Reading beyond this is long, ms: with_job a plain pass it exceeds the pauses of short answers.
inline constexpr double max_short_prefill_ms = 180;

/// What placing a reading on an engine would do.
struct placement_effect {
    /// Moment at which the reading completions.
    time_point prefill_end{};
    /// Value that other work on the engine is expected to lose by it.
    double imposed_loss = 0;
    /// Longest pass while it is read: a stream there would see it as a pause.
    duration longest_pass{0};
};

/// Work on one engine. Not thread-safe; time never runs backwards.
class engine_forecast {
public:
    explicit engine_forecast(const engine_profile& profile) : profile_{profile} {}

    [[nodiscard]] const engine_profile& profile() const { return profile_; }
    void set_profile(const engine_profile& profile) { profile_ = profile; }

    /// Time that an idle engine takes to read, ms.
    [[nodiscard]] static double prefill_ms(const engine_profile& profile,
                                           const prefill_share& share);

    /// Effect of adding the job now.
    [[nodiscard]] placement_effect simulate_job(const engine_job& job, time_point now);
    /// Adds work.
    void add(engine_job job, time_point now);
    /// Takes work out. Unknown ids are ignored.
    void remove(job_id id, time_point now);
    /// The first event, or a later one, was seen: a pass has just ended.
    void on_event(job_id id, time_point now);
    /// The request is late already; delaying it further costs nothing.
    void mark_late(job_id id);
    /// Takes out all work of a start of an entry.
    void remove_origin(std::uint64_t origin);

    /// Length of a pass that has_prefill nothing, with_job one more stream of this context, ms.
    [[nodiscard]] double decode_pass_ms(std::uint32_t added_context = 0) const;
    /// Memory that is not taken, tokens; negative if more is expected than there is.
    [[nodiscard]] std::int64_t free_memory() const;
    /// Requests whose answers are written here.
    [[nodiscard]] std::uint32_t request_count() const;
    [[nodiscard]] const std::vector<engine_job>& jobs() const { return jobs_; }
    /// Whether it has more to read than streams beside it bear.
    [[nodiscard]] bool has_long_prefill() const;
    /// Null for unknown ids.
    [[nodiscard]] const engine_job* find(job_id id) const;
    /// Time at which the first of the answers written here is expected to end.
    [[nodiscard]] time_point earliest_completion(time_point now) const;
    /// Time at which a slot is expected to be free; `now` if one is.
    [[nodiscard]] time_point slot_free_at(time_point now) const;

    /// Plays up to this moment.
    void advance(time_point now);

private:
    void begin_pass(time_point at);
    void end_pass();
    void end_pass_early();
    void evict_stale(time_point now);
    /// Plays until the reading of the last job has ended, `horizon` at most; false if it has not.
    bool simulate_last_prefill(time_point horizon);
    [[nodiscard]] double expected_loss(const engine_job& job) const;
    [[nodiscard]] engine_job* find_mutable(job_id id);
    /// Expected completions of the answers written here, in no order.
    [[nodiscard]] std::vector<time_point> expected_completions(time_point now) const;

    engine_profile profile_;
    std::vector<engine_job> jobs_;
    time_point now_{};
    bool is_in_pass_ = false;
    bool is_simulation_ = false;
    time_point pass_begin_{};
    time_point pass_end_{};
    duration longest_pass_{0};
};

} // namespace magnolia
