/// How many engines of a service are kept for long prompts. Answers the pattern of long prompts
/// that come in waves among many short ones: a share that follows the work of the last seconds, the
/// same at every gateway, as all hear of all work.
#pragma once

#include "engine_forecast.h"

namespace magnolia {

/// What short prompts need of a service's engines, by the work of the last seconds.
struct short_prompt_load {
    /// Engines that they fill.
    double engines = 0;
    /// Value that they bring on each of these engines in a second.
    double value_per_engine_second = 0;
};

class engine_partition {
public:
    /// Work was placed on an engine.
    void record_job(const engine_profile& profile, const engine_job& job, time_point now);
    /// Engines to keep for long prompts, out of `count`.
    [[nodiscard]] std::size_t reserved_engines(std::size_t count, time_point now);

    [[nodiscard]] short_prompt_load short_load(time_point now);

    /// Whether a reading holds streams up for longer than short prompts bear.
    [[nodiscard]] static bool is_long(const engine_profile& profile, const prefill_share& share);

private:
    void decay(time_point now);
    /// Engines that short prompts need.
    [[nodiscard]] double engines_for_short() const;

    /// Decayed sums of work, ms of an engine.
    double long_prefill_ms_ = 0;
    double short_prefill_ms_ = 0;
    double short_decode_ms_ = 0;
    /// Decayed sum of the value of short prompts.
    double short_value_ = 0;
    time_point as_of_{};
    /// Last answer of kept(), as a fraction of an engine count.
    double reserved_ = 0;
};

} // namespace magnolia
