/// Divides a service's engines between long and short prompts, so that long prefills do not block
/// the streams of short requests when long prompts arrive in waves. The number of reserved engines
/// follows the load of the last seconds. Gateways that share the engines compute about the same
/// number: all receive the long placements, and each a known part of the short ones.
#pragma once

#include "engine_forecast.h"

namespace magnolia {

/// Recent load of a service by short prompts.
struct short_prompt_load {
    /// Number of engines that they occupy.
    double engines = 0;
    /// Value of the requests served by each of these engines per second.
    double value_per_engine_second = 0;
};

/// Load statistics of one service and the number of engines reserved for long prompts. Owned by
/// backend_fleet, one per service. Not thread-safe.
class engine_partition {
public:
    /// Sets how many times as many short prompts there are as this host hears of. Long ones are
    /// told to every host that shares the engines.
    void set_short_prompt_scale(double scale) { short_scale_ = scale; }
    /// Counts a job that this or another gateway placed.
    void record_job(const engine_profile& profile, const engine_job& job, time_point now);
    /// Number of engines to reserve for long prompts, out of `count`; always leaves one for the
    /// others.
    [[nodiscard]] std::size_t reserved_engines(std::size_t count, time_point now);

    [[nodiscard]] short_prompt_load short_load(time_point now);

    /// Whether a prefill would delay streams of short requests beyond their pause target.
    [[nodiscard]] static bool is_long(const engine_profile& profile, const prefill_share& share);

private:
    /// Decays the sums up to `now`.
    void decay(time_point now);
    /// Number of engines that short prompts need.
    [[nodiscard]] double engines_for_short() const;

    /// Exponentially decayed sums of work, ms of engine time.
    double long_prefill_ms_ = 0;
    double short_prefill_ms_ = 0;
    double short_decode_ms_ = 0;
    /// Exponentially decayed sum of the value of short requests.
    double short_value_ = 0;
    double short_scale_ = 1;
    time_point as_of_{};
    /// Latest number of reserved engines, before rounding; see hysteresis.
    double reserved_ = 0;
};

} // namespace magnolia
