/// Per-engine records of the router: reported load, own attempts in progress and health.
#pragma once

#include "breaker.h"
#include "cost_model.h"
#include "outlier_ejection.h"
#include "router.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace magnolia {

/// Number of urgencies that engines support; the index is the value of urgency_level.
inline constexpr std::size_t urgency_count = 3;

/// Seconds of prefill work by urgency.
using work_by_urgency = std::array<double, urgency_count>;

/// Classes of prompt lengths that are routed alike.
enum class length_class : std::uint8_t { short_prompt, medium_prompt, large_prompt, long_prompt };

inline constexpr std::size_t length_class_count = 4;

/// Length class of a prompt with this number of tokens.
[[nodiscard]] length_class classify(std::uint32_t tokens);

/// Prefill work of one attempt of this entry on one engine.
struct own_work {
    attempt_id id;
    urgency_level urgency = urgency_level::standard;
    length_class length = length_class::short_prompt;
    time_point started_at{};
    /// Uncached tokens. The tokens left to compute are estimated as tokens * remaining_s / total_s.
    double tokens = 0;
    /// Estimated seconds of the complete prefill.
    double total_s = 0;
    /// Estimated seconds of prefill left.
    double remaining_s = 0;
    std::uint32_t memory_tokens = 0;
    bool has_first_token = false;
    time_point first_token_at{};
};

/// State of one engine as seen by this entry.
struct engine_record {
    engine_info info;
    host_state state = host_state::live;
    std::uint64_t name_hash = 0;
    std::uint32_t zone = 0;
    /// Start of the slow start after the engine became live.
    time_point live_since{};
    breaker circuit_breaker;
    lateness_tracker outlier;
    engine_load report;
    /// Time that the report describes.
    time_point reported_at{};
    std::vector<own_work> own_attempts;
    /// Estimated seconds of prefill work of other entries.
    work_by_urgency other_work{};
    /// Time up to which own_attempts and other_work have been advanced.
    time_point advanced_to{};

    // Derived values that the decisions read; recomputed by summarize().
    /// Seconds of prefill work of each urgency and of all higher ones, at advanced_to.
    work_by_urgency work_ahead{};
    /// Reported free memory less own attempts that the report does not include, tokens.
    std::uint32_t free_memory = 0;
    /// Prefill work in the last report without corrections, seconds.
    double reported_work_s = 0;
    /// Requests running or waiting on the engine, own unreported ones included.
    std::uint32_t outstanding = 0;
    /// Long prompts on the engine, as far as known.
    std::uint32_t long_prompts = 0;
    bool has_report = false;
    /// Reserved for short prompts; longer ones avoid this engine.
    bool is_reserved_for_short = false;
};

/// Advances the records of an engine to `now`, assuming that it works through its prefill queue by
/// urgency.
void advance(engine_record& engine, time_point now);
/// Recomputes the derived values.
void summarize(engine_record& engine);
/// Applies a load report and attributes its work to own attempts and to other entries. A report
/// older than the last one is ignored.
void apply_report(engine_record& engine, const engine_load& load, const cost_model& costs,
                  time_point now);

} // namespace magnolia
