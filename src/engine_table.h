/// Accounts of the engines that one entry knows: reported load, own work in flight, health.
#pragma once

#include "breaker.h"
#include "cost_model.h"
#include "outlier_ejection.h"
#include "router.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace magnolia {

/// Urgencies that engines know; the index is the value of urgency_level.
inline constexpr std::size_t urgency_count = 3;

/// Seconds of prefill work for each urgency.
using work_by_urgency = std::array<double, urgency_count>;

/// Lengths that are treated alike.
enum class length_class : std::uint8_t { short_prompt, medium_prompt, large_prompt, long_prompt };

inline constexpr std::size_t length_class_count = 4;

/// Class of a prompt by the tokens that have to be computed.
[[nodiscard]] length_class classify(std::uint32_t tokens);

/// Work of one own attempt on one engine.
struct own_work {
    attempt_id id;
    urgency_level urgency = urgency_level::standard;
    length_class length = length_class::short_prompt;
    time_point started{};
    /// Uncached tokens; the share of `remaining` in the whole tells how many are left.
    double tokens = 0;
    double total_s = 0;
    /// Seconds of prefill left, estimated.
    double remaining_s = 0;
    std::uint32_t memory_tokens = 0;
    bool has_first_token = false;
    time_point first_token_at{};
};

/// One engine as this entry sees it.
struct engine_record {
    engine_info info;
    host_state state = host_state::live;
    std::uint64_t name_hash = 0;
    std::uint32_t zone = 0;
    /// Start of slow start.
    time_point live_since{};
    breaker circuit_breaker;
    lateness_tracker outlier;
    engine_load report;
    /// Moment that the report describes.
    time_point reported_at{};
    std::vector<own_work> own_attempts;
    /// Seconds of work of the other entries.
    work_by_urgency other_work{};
    /// Moment to which `own` and `others` are worked off.
    time_point advanced_to{};

    // Read by decisions; derived from the above.
    /// Seconds of work of an urgency and of those before it, at as_of.
    work_by_urgency work_ahead{};
    std::uint32_t free_memory = 0;
    /// Work that the last report shows, uncorrected, seconds.
    double reported_work_s = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t long_prompts = 0;
    bool has_report = false;
    /// Kept for short prompts.
    bool is_reserved_for_short = false;
};

/// Works off and updates the accounts of an engine.
void advance(engine_record& engine, time_point now);
/// Recomputes what decisions read.
void summarize(engine_record& engine);
/// Takes a load report and splits it into own work and that of other entries.
void apply_report(engine_record& engine, const engine_load& load, const cost_model& costs,
                  time_point now);

} // namespace magnolia
