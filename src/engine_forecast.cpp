#include "engine_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace magnolia {
namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr double per_thousand = 1000;
constexpr double per_million = 1e6;

/// Predicted times are off by about this share either way.
constexpr double prediction_spread = 0.2;
/// An answer that should have ended this long ago belongs to an entry that has not said so.
constexpr duration forget_after = std::chrono::seconds{30};
/// Furthest that a reading is played ahead.
constexpr duration longest_play = std::chrono::seconds{6};
/// An event that is seen within this time of the predicted end of a pass belongs to that pass.
constexpr duration same_pass = std::chrono::milliseconds{40};

duration to_duration(double ms) {
    return std::chrono::duration_cast<duration>(milliseconds_f{ms});
}

double to_ms(duration span) {
    return std::chrono::duration_cast<milliseconds_f>(span).count();
}

bool is_read(const engine_job& job) {
    return job.tokens_read >= job.read.tokens;
}

bool is_writing(const engine_job& job) {
    return !job.is_helper && !job.has_ended && job.first_event != time_point{};
}

/// Length of an answer that is under way; one that is longer than expected has as much again to
/// come as a third of what came.
double expected_length(const engine_job& job) {
    constexpr double longer = 1.3;
    return job.tokens_written < job.answer_tokens ? job.answer_tokens : longer * job.tokens_written;
}

/// Whether other engines read parts of the same prompt.
bool is_shared(const engine_job& job) {
    return job.is_helper || job.has_helpers;
}

double pairs_of(const prefill_share& part, double from, double count) {
    return count * (part.first_attention_span + part.attention_span_increment * (from + count / 2));
}

double read_cost_ms(const engine_profile& profile, const prefill_share& part, double from,
                    double count) {
    return count / profile.prefill_tokens_per_ms +
           pairs_of(part, from, count) / per_million * profile.prefill_ms_per_million_pairs;
}

double miss_probability(duration predicted, duration target) {
    if (target.count() <= 0) {
        return 0;
    }
    const double ratio = to_ms(predicted) / to_ms(target);
    return std::clamp((ratio - (1 - prediction_spread)) / (2 * prediction_spread), 0.0, 1.0);
}

} // namespace

prefill_share prefill_share::of(std::uint32_t prompt_tokens, std::size_t parts) {
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(parts, 1));
    // A request that states no length still takes a pass.
    const auto tokens = std::max(prompt_tokens / count, 1U);
    if (count == 1) {
        return {tokens, 0, 1};
    }
    return {tokens, prompt_tokens / 2.0, 0};
}

std::uint32_t prefill_share::whole_prompt() const {
    // Each token of a share is paired with half of the prompt.
    return attention_span_increment > 0 ? tokens
                                        : static_cast<std::uint32_t>(2 * first_attention_span);
}

double delay_loss(duration wait, duration target) {
    constexpr double most_targets = 2;
    return std::min(to_ms(wait) / std::max(to_ms(target), 1.0), most_targets);
}

double engine_forecast::prefill_ms(const engine_profile& profile, const prefill_share& part) {
    const double steps =
        std::ceil(static_cast<double>(part.tokens) / std::max(1U, profile.prefill_tokens_per_step));
    return read_cost_ms(profile, part, 0, part.tokens) + steps * profile.step_ms;
}

double engine_forecast::decode_pass_ms(std::uint32_t more_context) const {
    double writers = more_context > 0 ? 1 : 0;
    double context = more_context;
    for (const auto& job : jobs_) {
        writers += is_writing(job) ? 1 : 0;
        context += is_writing(job)                 ? job.context_tokens + job.tokens_written
                   : job.is_helper && is_read(job) ? job.context_tokens
                                                   : 0;
    }
    const double step = profile_.step_ms + profile_.step_ms_per_request * writers +
                        profile_.step_ms_per_1k_context * context / per_thousand;
    return step * (writers > 0 ? profile_.steps_per_pass : 1);
}

void engine_forecast::begin_pass(time_point at) {
    const bool has_writers = std::ranges::any_of(jobs_, is_writing);
    double budget = static_cast<double>(profile_.prefill_tokens_per_step) *
                    (has_writers ? profile_.steps_per_pass : 1);
    double length = decode_pass_ms();
    bool reads = false;
    std::uint32_t taken_slots = 0;
    const auto give = [&](engine_job& job) {
        const double count = std::min(budget, job.read.tokens - job.tokens_read);
        job.tokens_in_pass = std::max(count, 0.0);
        length += read_cost_ms(profile_, job.read, job.tokens_read, job.tokens_in_pass);
        budget -= job.tokens_in_pass;
        reads = reads || job.tokens_in_pass > 0;
    };
    // Parts come first, the newest of them before the others.
    for (auto& job : jobs_ | std::views::reverse) {
        job.tokens_in_pass = 0;
        if (is_shared(job) && !is_read(job)) {
            give(job);
        }
    }
    for (auto& job : jobs_) {
        taken_slots += job.is_helper || job.has_ended ? 0 : 1;
        if (!is_shared(job) && !is_read(job) && taken_slots <= profile_.slots) {
            give(job);
        }
    }
    is_in_pass_ = has_writers || reads;
    pass_begin_ = at;
    pass_end_ = at + to_duration(length);
}

void engine_forecast::end_pass() {
    is_in_pass_ = false;
    longest_pass_ = std::max(longest_pass_, pass_end_ - pass_begin_);
    for (auto& job : jobs_) {
        if (is_writing(job)) {
            job.tokens_written += profile_.steps_per_pass;
            job.longest_pause = std::max(job.longest_pause, pass_end_ - job.last_event);
            job.last_event = pass_end_;
            job.has_ended = is_played_ahead_ && job.tokens_written >= job.answer_tokens;
            continue;
        }
        job.tokens_read += std::exchange(job.tokens_in_pass, 0.0);
        // The end of the last helper is seen, not predicted.
        if (!job.is_helper && is_read(job) && !job.has_helpers) {
            job.first_event = pass_end_;
            job.last_event = pass_end_;
        }
    }
}

/// Ends the pass under way now: what it reads has been read as far as the time went.
void engine_forecast::cut_pass() {
    const double plain = decode_pass_ms();
    const double reading = to_ms(pass_end_ - pass_begin_) - plain;
    const double passed = to_ms(now_ - pass_begin_) - plain;
    const double share = reading > 0 ? std::clamp(passed / reading, 0.0, 1.0) : 1.0;
    for (auto& job : jobs_) {
        job.tokens_in_pass *= share;
    }
    pass_end_ = now_;
    end_pass();
}

void engine_forecast::advance(time_point now) {
    now_ = std::max(now, now_);
    while (is_in_pass_ && pass_end_ <= now_) {
        end_pass();
        begin_pass(pass_end_);
    }
    if (!is_in_pass_ && !jobs_.empty()) {
        begin_pass(now_);
    }
}

void engine_forecast::drop_forgotten(time_point now) {
    std::erase_if(jobs_, [now](const auto& job) {
        return now - std::max(job.placed, job.last_event) > forget_after;
    });
}

bool engine_forecast::play_last_reading(time_point horizon) {
    if (!is_in_pass_) {
        begin_pass(now_);
    }
    while (is_in_pass_ && pass_end_ < horizon) {
        end_pass();
        if (is_read(jobs_.back())) {
            return true;
        }
        begin_pass(pass_end_);
    }
    return false;
}

double engine_forecast::expected_loss(const engine_job& job) const {
    const bool is_done_part = job.is_helper && is_read(job);
    if (is_done_part) {
        return 0;
    }
    const bool has_begun = job.first_event != time_point{};
    const auto first = has_begun ? job.first_event : std::max(now_, pass_end_);
    const auto wait = first - job.placed;
    const auto late = job.is_late ? 0
                                  : std::max(miss_probability(wait, job.target_latency),
                                             miss_probability(job.longest_pause, job.target_pause));
    const bool may_be_met = !job.is_late && !has_begun && job.target_latency.count() > 0;
    const double delay = may_be_met ? delay_loss(wait, job.target_latency) : 0;
    return job.value *
           (late_loss * late + delay + (1 - late_loss) * miss_probability(wait, job.time_limit));
}

placement_effect engine_forecast::simulate_job(const engine_job& job, time_point now) {
    advance(now);
    auto with = *this;
    auto without = *this;
    for (auto* copy : {&with, &without}) {
        copy->is_played_ahead_ = true;
        copy->longest_pass_ = duration{0};
        for (auto& item : copy->jobs_) {
            item.longest_pause = duration{0};
            item.answer_tokens = static_cast<std::uint32_t>(expected_length(item));
        }
    }
    with.jobs_.push_back(job);
    with.jobs_.back().placed = now_;
    const bool is_done = with.play_last_reading(now_ + longest_play);
    const auto end = is_done ? with.pass_end_ : now_ + longest_play;
    without.advance(end);
    with.now_ = end;
    placement_effect effect{.read_end = end, .longest_pass = with.longest_pass_};
    for (std::size_t index = 0; index < without.jobs_.size(); ++index) {
        const double more =
            with.expected_loss(with.jobs_[index]) - without.expected_loss(without.jobs_[index]);
        effect.damage += std::max(more, 0.0);
    }
    return effect;
}

void engine_forecast::place(engine_job job, time_point now) {
    drop_forgotten(now);
    advance(now);
    job.placed = now_;
    jobs_.push_back(job);
    advance(now);
}

bool engine_forecast::is_reading_long() const {
    const double left =
        std::accumulate(jobs_.begin(), jobs_.end(), 0.0, [this](double sum, const engine_job& job) {
            return sum + read_cost_ms(profile_, job.read, job.tokens_read,
                                      std::max(job.read.tokens - job.tokens_read, 0.0));
        });
    return left > max_short_prefill_ms;
}

const engine_job* engine_forecast::find(job_id id) const {
    const auto found = std::ranges::find(jobs_, id, &engine_job::id);
    return found == jobs_.end() ? nullptr : &*found;
}

engine_job* engine_forecast::find_mutable(job_id id) {
    const auto found = std::ranges::find(jobs_, id, &engine_job::id);
    return found == jobs_.end() ? nullptr : &*found;
}

void engine_forecast::remove(job_id id, time_point now) {
    advance(now);
    std::erase_if(jobs_, [id](const auto& job) { return job.id == id; });
}

void engine_forecast::on_event(job_id id, time_point now) {
    advance(now);
    auto* job = find_mutable(id);
    if (job == nullptr) {
        return;
    }
    if (job->is_helper) {
        job->tokens_read = job->read.tokens;
        job->tokens_in_pass = 0;
        return;
    }
    if (is_in_pass_) {
        // A pass has just ended in fact: the one that is played, or the one played before it.
        if (now_ - pass_begin_ <= same_pass) {
            pass_end_ += now_ - pass_begin_;
            pass_begin_ = now_;
        } else {
            cut_pass();
        }
    }
    job->tokens_read = job->read.tokens;
    job->tokens_in_pass = 0;
    if (!job->has_begun) {
        job->has_begun = true;
        job->first_event = now_;
        job->is_late = job->is_late || now_ - job->placed > job->target_latency;
    }
    job->last_event = now_;
    advance(now);
}

void engine_forecast::set_late(job_id id) {
    if (auto* job = find_mutable(id)) {
        job->is_late = true;
    }
}

void engine_forecast::remove_origin(std::uint64_t origin) {
    std::erase_if(jobs_, [origin](const auto& job) { return job.id.origin == origin; });
}

std::int64_t engine_forecast::free_memory() const {
    const auto taken =
        std::accumulate(jobs_.begin(), jobs_.end(), std::int64_t{0},
                        [](std::int64_t sum, const auto& job) { return sum + job.memory_tokens; });
    return static_cast<std::int64_t>(profile_.memory_tokens) - taken;
}

std::uint32_t engine_forecast::running() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(jobs_, [](const auto& job) { return !job.is_helper; }));
}

std::vector<time_point> engine_forecast::expected_ends(time_point now) const {
    std::vector<time_point> ends;
    const double pass = decode_pass_ms();
    const double steps = std::max(1U, profile_.steps_per_pass);
    for (const auto& job : jobs_) {
        if (!job.is_helper) {
            const double left = expected_length(job) - job.tokens_written;
            ends.push_back(now + to_duration(left / steps * pass));
        }
    }
    return ends;
}

time_point engine_forecast::first_end(time_point now) const {
    const auto ends = expected_ends(now);
    return ends.empty() ? now : std::ranges::min(ends);
}

time_point engine_forecast::slot_free_at(time_point now) const {
    auto ends = expected_ends(now);
    if (ends.size() < profile_.slots) {
        return now;
    }
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() - profile_.slots);
    std::ranges::nth_element(ends, last);
    return *last;
}

} // namespace magnolia
