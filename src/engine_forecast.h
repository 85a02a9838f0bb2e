/// Predicts one model engine from its published figures and the work that was placed on it: when a
/// prompt would be read, and which streams the reading would hold up.
///
/// An engine works in passes. While it writes answers, a pass runs a fixed number of steps, gives
/// each stream one event, and reads the prompts that came before it began; its length is the pause
/// that every stream on the engine sees.
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
};

/// Work of one request on one engine.
struct engine_job {
    job_id id;
    /// Prompt that is read here, ms of the engine.
    double read_ms = 0;
    /// KV memory that is taken here, tokens.
    std::uint32_t memory_tokens = 0;
    /// Context that each step pays for here while the answer is written, tokens.
    std::uint32_t context_tokens = 0;
    std::uint32_t answer_tokens = 0;
    /// Whether the answer is written here; else a part of a prompt is read for another engine.
    bool writes = true;
    /// Set when the first event was late or a pause was too long: nothing more can be lost.
    bool is_late = false;
    duration target_latency{0};
    duration target_pause{0};
    double value = 1;
    time_point placed{};
    /// Predicted end of the reading, and of the whole.
    time_point read_end{};
    time_point done{};
};

/// What placing a reading on an engine would do.
struct reading_effect {
    /// End of the pass in which the reading ends; the first event comes then.
    time_point read_end{};
    /// Value lost by the streams and readings on the engine that it makes late.
    double damage = 0;
};

/// Work on one engine. Not thread-safe; time never runs backwards.
class engine_forecast {
public:
    explicit engine_forecast(const engine_figures& figures) : figures_{figures} {}

    [[nodiscard]] const engine_figures& figures() const { return figures_; }
    void set_figures(const engine_figures& figures) { figures_ = figures; }

    /// Time to read `tokens` of a prompt divided evenly over `parts` engines, ms.
    [[nodiscard]] static double reading_ms(const engine_figures& figures, std::uint32_t tokens,
                                           std::size_t parts);

    /// Effect of reading for `read_ms` from now.
    [[nodiscard]] reading_effect try_reading(double read_ms, time_point now);
    /// Adds work; fills in the predicted times.
    const engine_job& place(engine_job job, time_point now);
    /// Takes work out. Unknown ids are ignored.
    void remove(job_id id, time_point now);
    /// The first event was seen.
    void on_first_event(job_id id, time_point now);
    /// The request is late already; delaying it further costs nothing.
    void set_late(job_id id);
    /// Takes out all work of a start of an entry.
    void remove_origin(std::uint64_t origin);

    /// Length of a pass that reads nothing, ms.
    [[nodiscard]] double plain_pass_ms() const;
    /// Memory that is not taken, tokens; negative if more is expected than there is.
    [[nodiscard]] std::int64_t free_memory() const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] const std::vector<engine_job>& jobs() const { return jobs_; }
    /// Time at which the reading that is placed so far ends; `now` if there is none.
    [[nodiscard]] time_point reading_until(time_point now);
    /// Time at which a slot is expected to be free; `now` if one is.
    [[nodiscard]] time_point slot_free_at(time_point now) const;

private:
    /// A pass that reads.
    struct reading_pass {
        time_point begin{};
        time_point end{};
    };

    void advance(time_point now);
    /// Begin of the pass that a reading placed now belongs to, and its end without it.
    [[nodiscard]] reading_pass pass_for(time_point now) const;
    /// Longest reading in one pass beside streams, ms.
    [[nodiscard]] double most_read_ms(double read_ms) const;
    [[nodiscard]] bool has_writers(time_point now) const;
    [[nodiscard]] double damage_of(const reading_pass& before, time_point end, double read_ms,
                                   time_point now) const;

    engine_figures figures_;
    std::vector<engine_job> jobs_;
    /// The pass under way or next, and the one after it.
    reading_pass current_;
    reading_pass next_;
    time_point now_{};
};

} // namespace magnolia
