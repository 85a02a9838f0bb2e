/// Simulation of one model engine of the users' platform, for tests and benchmarks. It is
/// independent of engine_forecast, the gateways' model of an engine, so that one can be checked
/// against the other.
#pragma once

#include "forward_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace magnolia {

/// Performance profile of the engines at the users' sites, as their configuration publishes it.
[[nodiscard]] engine_profile production_engine_profile();

/// The work of one request on one engine.
struct engine_work {
    std::uint64_t id = 0;
    /// Prompt tokens to prefill here; see prefill_share.
    double prefill_tokens = 0;
    double first_attention_span = 0;
    double attention_span_increment = 1;
    /// This engine only prefills a share for another engine.
    bool is_helper = false;
    /// The prompt is split among several engines; decoding waits for start_decoding().
    bool has_helpers = false;
    /// KV memory that it occupies, tokens.
    std::uint32_t memory_tokens = 0;
    /// Context that adds to the duration of each step while the answer is decoded, tokens.
    double context_tokens = 0;
    /// Actual length of the answer, tokens.
    double answer_tokens = 0;
};

/// A result of a pass: a prefill without decoding ended, or a stream got an event.
struct pass_event {
    enum class kind : std::uint8_t { prefilled, event, last_event };
    std::uint64_t id = 0;
    kind type = kind::event;
};

/// Runs batch passes: a pass decodes all admitted streams and prefills prompt tokens, first the
/// shares of split prompts, the newest first, then admitted prompts in order of arrival. The owner
/// of the virtual clock calls end_pass() at pass_end(). Not thread-safe.
class pass_engine {
public:
    explicit pass_engine(const engine_profile& profile) : profile_{profile} {}

    void add(const engine_work& work, time_point now);
    void remove(std::uint64_t id, time_point now);
    /// All shares of a split prompt are prefilled: its answer decodes from the next pass.
    void start_decoding(std::uint64_t id, time_point now);
    /// End of the current pass; nullopt if idle.
    [[nodiscard]] std::optional<time_point> pass_end() const { return pass_end_; }
    /// Ends the current pass and starts the next one. Requires pass_end().
    std::vector<pass_event> end_pass();
    /// Total duration of all passes that were started.
    [[nodiscard]] duration busy_time() const { return busy_time_; }

private:
    struct work_item {
        engine_work work;
        /// It has a slot and memory.
        bool is_admitted = false;
        bool is_decoding = false;
        /// Prompt tokens prefilled, and those in the current pass.
        double prefilled = 0;
        double pass_tokens = 0;
        /// Tokens decoded.
        double decoded = 0;
    };

    /// Gives slots and memory to prompts in order of arrival.
    void admit();
    /// Starts a pass at this time, or becomes idle if there is no work.
    void begin_pass(time_point at);
    [[nodiscard]] work_item* find(std::uint64_t id);

    engine_profile profile_;
    std::vector<work_item> items_;
    std::optional<time_point> pass_end_;
    duration busy_time_{0};
};

} // namespace magnolia
