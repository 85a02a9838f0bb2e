#include "engine_forecast.h"

#include <algorithm>
#include <numeric>

namespace magnolia {
namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr double per_thousand = 1000;
constexpr double per_million = 1e6;

/// Share of a pause or latency target that a prediction may use up; the rest covers the way to the
/// caller and the error of the prediction.
constexpr double usable_share = 0.9;

/// An answer that should have ended this long ago belongs to an entry that has not said so.
constexpr duration forget_after = std::chrono::seconds{20};

duration to_duration(double ms) {
    return std::chrono::duration_cast<duration>(milliseconds_f{ms});
}

double to_ms(duration span) {
    return std::chrono::duration_cast<milliseconds_f>(span).count();
}

bool is_over(duration span, duration target) {
    return to_ms(span) > usable_share * to_ms(target);
}

} // namespace

double engine_forecast::reading_ms(const engine_figures& figures, std::uint32_t tokens,
                                   std::size_t parts) {
    const double count = tokens;
    const double pairs = count * count / 2 / per_million;
    const double whole =
        count / figures.read_tokens_per_ms + pairs * figures.read_ms_per_million_pairs;
    return whole / static_cast<double>(std::max<std::size_t>(parts, 1));
}

double engine_forecast::plain_pass_ms() const {
    const auto writing = [this](const engine_job& job) { return job.read_end <= now_; };
    const auto writers = static_cast<double>(std::ranges::count_if(
        jobs_, [&](const auto& job) { return job.writes && writing(job); }));
    const auto context =
        std::accumulate(jobs_.begin(), jobs_.end(), 0.0, [&](double sum, const auto& job) {
            return sum + (writing(job) ? job.context_tokens : 0);
        });
    const double step = figures_.step_ms + figures_.step_ms_per_request * writers +
                        figures_.step_ms_per_thousand_context * context / per_thousand;
    return step * figures_.steps_per_pass;
}

bool engine_forecast::has_writers(time_point now) const {
    return std::ranges::any_of(
        jobs_, [now](const auto& job) { return job.writes && job.read_end <= now; });
}

double engine_forecast::most_read_ms(double read_ms) const {
    const double most = static_cast<double>(figures_.steps_per_pass) * figures_.tokens_per_step /
                        figures_.read_tokens_per_ms;
    return std::min(read_ms, most);
}

void engine_forecast::advance(time_point now) {
    now_ = std::max(now, now_);
    if (next_.end > next_.begin && now_ >= next_.begin) {
        current_ = std::exchange(next_, {});
    }
    if (now_ >= current_.end) {
        current_ = {};
    }
    std::erase_if(jobs_, [this](const auto& job) { return now_ > job.done + forget_after; });
}

engine_forecast::reading_pass engine_forecast::pass_for(time_point now) const {
    const auto plain = to_duration(plain_pass_ms());
    if (current_.end <= now) {
        // Half of the pass under way is left, on average.
        const auto begin = has_writers(now) ? now + plain / 2 : now;
        return {begin, begin + (has_writers(now) ? plain : duration{0})};
    }
    if (now < current_.begin) {
        return current_;
    }
    if (next_.end > next_.begin) {
        return next_;
    }
    return {current_.end, current_.end + plain};
}

double engine_forecast::damage_of(const reading_pass& before, time_point end, double read_ms,
                                  time_point now) const {
    double lost = 0;
    const auto old_length = before.end - before.begin;
    const auto new_length = old_length + to_duration(most_read_ms(read_ms));
    for (const auto& job : jobs_) {
        if (!job.writes || job.is_late) {
            continue;
        }
        if (job.read_end <= now || job.read_end <= before.begin) {
            const bool has_limit = job.target_pause.count() > 0;
            if (has_limit && job.done > before.begin && is_over(new_length, job.target_pause) &&
                !is_over(old_length, job.target_pause)) {
                lost += job.value;
            }
        } else if (job.read_end >= before.end && is_over(end - job.placed, job.target_latency) &&
                   !is_over(job.read_end - job.placed, job.target_latency)) {
            lost += job.value;
        }
    }
    return lost;
}

reading_effect engine_forecast::try_reading(double read_ms, time_point now) {
    advance(now);
    const auto before = pass_for(now_);
    const auto end = before.end + to_duration(read_ms);
    return {end, damage_of(before, end, read_ms, now_)};
}

const engine_job& engine_forecast::place(engine_job job, time_point now) {
    advance(now);
    auto pass = pass_for(now_);
    pass.end += to_duration(job.read_ms);
    const bool joins_current =
        current_.end <= now_ || now_ < current_.begin || current_.begin == pass.begin;
    const auto shift = to_duration(job.read_ms);
    for (auto& other : jobs_) {
        if (other.read_end > now_ && other.read_end >= pass.end - shift) {
            other.read_end += shift;
            other.done += shift;
        }
    }
    (joins_current ? current_ : next_) = pass;
    job.placed = now_;
    job.read_end = pass.end;
    const double passes = figures_.steps_per_pass == 0
                              ? 0
                              : static_cast<double>(job.answer_tokens) / figures_.steps_per_pass;
    job.done = job.read_end + (job.writes ? to_duration(passes * plain_pass_ms()) : duration{0});
    jobs_.push_back(job);
    return jobs_.back();
}

void engine_forecast::remove(job_id id, time_point now) {
    advance(now);
    const auto found = std::ranges::find(jobs_, id, &engine_job::id);
    if (found == jobs_.end()) {
        return;
    }
    // Reading that has not begun is not done.
    if (found->read_end > now_ && next_.end > next_.begin && found->read_end > current_.end) {
        next_.end = std::max(next_.begin, next_.end - to_duration(found->read_ms));
    }
    jobs_.erase(found);
}

void engine_forecast::on_first_event(job_id id, time_point now) {
    advance(now);
    const auto found = std::ranges::find(jobs_, id, &engine_job::id);
    if (found == jobs_.end()) {
        return;
    }
    if (found->target_latency.count() > 0 && now_ - found->placed > found->target_latency) {
        found->is_late = true;
    }
    found->done += now_ - found->read_end;
    found->read_end = now_;
}

void engine_forecast::set_late(job_id id) {
    const auto found = std::ranges::find(jobs_, id, &engine_job::id);
    if (found != jobs_.end()) {
        found->is_late = true;
    }
}

void engine_forecast::remove_origin(std::uint64_t origin) {
    std::erase_if(jobs_, [origin](const auto& job) { return job.id.origin == origin; });
}

std::int64_t engine_forecast::free_memory() const {
    const auto taken = std::accumulate(
        jobs_.begin(), jobs_.end(), std::int64_t{0},
        [](std::int64_t sum, const auto& job) { return sum + job.memory_tokens; });
    return static_cast<std::int64_t>(figures_.memory_tokens) - taken;
}

std::uint32_t engine_forecast::running() const {
    return static_cast<std::uint32_t>(std::ranges::count_if(jobs_, &engine_job::writes));
}

time_point engine_forecast::reading_until(time_point now) {
    advance(now);
    return std::max({now_, current_.end, next_.end});
}

time_point engine_forecast::slot_free_at(time_point now) const {
    std::vector<time_point> ends;
    for (const auto& job : jobs_) {
        if (job.writes) {
            ends.push_back(std::max(job.done, now));
        }
    }
    if (ends.size() < figures_.slots) {
        return now;
    }
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() - figures_.slots);
    std::ranges::nth_element(ends, last);
    return *last;
}

} // namespace magnolia
