#include "engine_partition.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the decay: about the duration of a short answer.
constexpr seconds decay_time{2.0};
/// Prefill time of one prompt that counts at most, so that a single giant prompt does not crowd all
/// short ones onto a few engines.
constexpr double max_counted_prefill_ms = 4000;
/// Share of an engine's time that long prefills may fill before they queue.
constexpr double long_utilization = 0.7;
/// Share of an engine's time that short prefills may fill without delaying streams.
constexpr double short_utilization = 0.25;
/// Short answers that one engine decodes concurrently well within their pause targets.
constexpr double short_decodes_per_engine = 10;
/// The number of reserved engines follows its target only if they differ by more than this number.
constexpr double hysteresis = 0.7;

} // namespace

bool engine_partition::is_long(const engine_profile& profile, const prefill_share& share) {
    return engine_forecast::prefill_ms(profile, share) > max_short_prefill_ms;
}

void engine_partition::decay(time_point now) {
    const seconds passed = now - std::max(as_of_, time_point{});
    const double factor = std::exp(-std::max(passed / decay_time, 0.0));
    long_prefill_ms_ *= factor;
    short_prefill_ms_ *= factor;
    short_decode_ms_ *= factor;
    short_value_ *= factor;
    as_of_ = std::max(as_of_, now);
}

void engine_partition::record_job(const engine_profile& profile, const engine_job& job,
                                  time_point now) {
    decay(now);
    const double prefill_ms = engine_forecast::prefill_ms(profile, job.prefill);
    if (job.is_helper || job.has_helpers || is_long(profile, job.prefill)) {
        const auto prompt = prefill_share::of(job.prefill.prompt_tokens(), 1);
        const double prompt_ms = engine_forecast::prefill_ms(profile, prompt);
        long_prefill_ms_ += prefill_ms * std::min(1.0, max_counted_prefill_ms / prompt_ms);
        return;
    }
    const double passes =
        static_cast<double>(job.answer_tokens) / std::max(1U, profile.steps_per_pass);
    short_prefill_ms_ += prefill_ms;
    short_value_ += job.value;
    short_decode_ms_ += passes * profile.steps_per_pass * profile.step_ms;
}

double engine_partition::engines_for_short() const {
    const double decay_time_ms = decay_time.count() * 1000;
    return short_scale_ * std::max(short_prefill_ms_ / decay_time_ms / short_utilization,
                                   short_decode_ms_ / decay_time_ms / short_decodes_per_engine);
}

short_prompt_load engine_partition::short_load(time_point now) {
    decay(now);
    const double engines = engines_for_short();
    return {engines, engines > 0 ? short_scale_ * short_value_ / decay_time.count() / engines : 0};
}

std::size_t engine_partition::reserved_engines(std::size_t count, time_point now) {
    decay(now);
    const double engines_for_long =
        long_prefill_ms_ / (decay_time.count() * 1000) / long_utilization;
    const double engines_for_short = this->engines_for_short();
    const double sum = engines_for_long + engines_for_short;
    const double target = sum > 0 ? static_cast<double>(count) * engines_for_long / sum : 0;
    if (std::abs(target - reserved_) > hysteresis) {
        reserved_ = target;
    }
    const auto max_reserved = count > 0 ? static_cast<double>(count - 1) : 0.0;
    return static_cast<std::size_t>(std::clamp(std::round(reserved_), 0.0, max_reserved));
}

} // namespace magnolia
