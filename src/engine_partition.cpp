#include "engine_partition.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// Time over which work counts: about the length of a short answer.
constexpr seconds memory{2.0};
/// Reading of one prompt that counts, ms: a single giant one is no reason to crowd all short ones.
constexpr double most_counted_ms = 4000;
/// Share of an engine's time that long reading may fill before it queues.
constexpr double long_utilization = 0.7;
/// Share of an engine's time that short prompts may be read in without holding up streams.
constexpr double short_utilization = 0.25;
/// Answers that are written on one engine at a time with room in their pauses.
constexpr double short_writers = 10;
/// Change of the wanted number that moves the kept one, engines.
constexpr double hysteresis = 0.7;

} // namespace

bool engine_partition::is_long(const engine_profile& profile, const prefill_share& part) {
    return engine_forecast::prefill_ms(profile, part) > max_short_prefill_ms;
}

void engine_partition::decay(time_point now) {
    const seconds passed = now - std::max(as_of_, time_point{});
    const double factor = std::exp(-std::max(passed / memory, 0.0));
    long_reading_ *= factor;
    short_reading_ *= factor;
    short_writing_ *= factor;
    short_value_ *= factor;
    as_of_ = std::max(as_of_, now);
}

void engine_partition::note(const engine_profile& profile, const engine_job& job, time_point now) {
    decay(now);
    const double prefill_ms = engine_forecast::prefill_ms(profile, job.read);
    if (job.is_helper || job.has_helpers || is_long(profile, job.read)) {
        const auto whole = prefill_share::of(job.read.whole_prompt(), 1);
        const double whole_ms = engine_forecast::prefill_ms(profile, whole);
        long_reading_ += prefill_ms * std::min(1.0, most_counted_ms / whole_ms);
        return;
    }
    const double passes =
        static_cast<double>(job.answer_tokens) / std::max(1U, profile.steps_per_pass);
    short_reading_ += prefill_ms;
    short_value_ += job.value;
    short_writing_ += passes * profile.steps_per_pass * profile.step_ms;
}

double engine_partition::short_need() const {
    const double memory_ms = memory.count() * 1000;
    return std::max(short_reading_ / memory_ms / short_utilization,
                    short_writing_ / memory_ms / short_writers);
}

short_prompt_load engine_partition::short_load(time_point now) {
    decay(now);
    const double engines = short_need();
    return {engines, engines > 0 ? short_value_ / memory.count() / engines : 0};
}

std::size_t engine_partition::kept(std::size_t count, time_point now) {
    decay(now);
    const double long_need = long_reading_ / (memory.count() * 1000) / long_utilization;
    const double short_need = this->short_need();
    const double sum = long_need + short_need;
    const double wanted = sum > 0 ? static_cast<double>(count) * long_need / sum : 0;
    if (std::abs(wanted - last_) > hysteresis) {
        last_ = wanted;
    }
    const auto most = count > 0 ? static_cast<double>(count - 1) : 0.0;
    return static_cast<std::size_t>(std::clamp(std::round(last_), 0.0, most));
}

} // namespace magnolia
