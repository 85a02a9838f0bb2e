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

/// Predicted times deviate by up to about this share in either direction.
constexpr double prediction_spread = 0.2;
/// A job without a predicted or observed event for this long is dropped: its gateway is assumed to
/// have ended it, and the update to be lost.
constexpr duration stale_job_age = std::chrono::seconds{30};
/// The same for a job without an observed event, counted from the time limit for its first one.
constexpr duration stale_limit_margin = std::chrono::seconds{2};
/// The same for one that would be so many times as long as expected.
constexpr double stale_length_factor = 4;
/// Longest time that a prefill is simulated ahead.
constexpr duration simulation_horizon = std::chrono::seconds{6};
/// An event within this time of the start of a pass is attributed to the end of the pass before it.
constexpr duration pass_match_tolerance = std::chrono::milliseconds{40};

duration to_duration(double ms) {
    return std::chrono::duration_cast<duration>(milliseconds_f{ms});
}

double to_ms(duration span) {
    return std::chrono::duration_cast<milliseconds_f>(span).count();
}

bool is_prefilled(const engine_job& job) {
    return job.prefilled_tokens >= job.prefill.tokens;
}

bool is_decoding(const engine_job& job) {
    return !job.is_helper && !job.is_completed && job.first_event != time_point{};
}

/// Expected total length of an answer in progress. One that is longer than expected is assumed to
/// reach 1.3 times what it has decoded so far.
double expected_answer_tokens(const engine_job& job) {
    constexpr double overrun_factor = 1.3;
    return job.decoded_tokens < job.answer_tokens ? job.answer_tokens
                                                  : overrun_factor * job.decoded_tokens;
}

/// Whether several engines prefill the prompt.
bool has_split_prefill(const engine_job& job) {
    return job.is_helper || job.has_helpers;
}

/// Pairs of a token and an earlier one that it attends to, for `count` tokens after the first
/// `from`.
double attention_pairs(const prefill_share& share, double from, double count) {
    return count *
           (share.first_attention_span + share.attention_span_increment * (from + count / 2));
}

/// Time to prefill `count` tokens of a share after the first `from`, without the steps' base time.
double prefill_cost_ms(const engine_profile& profile, const prefill_share& share, double from,
                       double count) {
    return count / profile.prefill_tokens_per_ms +
           attention_pairs(share, from, count) / per_million * profile.prefill_ms_per_million_pairs;
}

/// Probability that a predicted time misses its target: 0 up to (1 - spread) of the target, 1 from
/// (1 + spread), linear between. 0 without a target.
double miss_probability(duration predicted, duration target) {
    if (target.count() <= 0) {
        return 0;
    }
    const double ratio = to_ms(predicted) / to_ms(target);
    return std::clamp((ratio - (1 - prediction_spread)) / (2 * prediction_spread), 0.0, 1.0);
}

} // namespace

prefill_share prefill_share::of(std::uint32_t prompt_tokens, std::size_t engine_count) {
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(engine_count, 1));
    // A request of unknown length still takes a pass.
    const auto tokens = std::max(prompt_tokens / count, 1U);
    if (count == 1) {
        return {tokens, 0, 1};
    }
    return {tokens, prompt_tokens / 2.0, 0};
}

std::uint32_t prefill_share::prompt_tokens() const {
    // On average, each token of a split prompt attends to half of it.
    return attention_span_increment > 0 ? tokens
                                        : static_cast<std::uint32_t>(2 * first_attention_span);
}

double delay_loss(duration wait, duration target) {
    // The loss grows linearly with the wait, up to this many targets.
    constexpr double max_targets = 2;
    return std::min(to_ms(wait) / std::max(to_ms(target), 1.0), max_targets);
}

double engine_forecast::prefill_ms(const engine_profile& profile, const prefill_share& share) {
    const double steps = std::ceil(static_cast<double>(share.tokens) /
                                   std::max(1U, profile.prefill_tokens_per_step));
    return prefill_cost_ms(profile, share, 0, share.tokens) + steps * profile.step_ms;
}

double engine_forecast::decode_pass_ms(std::uint32_t added_context) const {
    double decoding_requests = added_context > 0 ? 1 : 0;
    double context = added_context;
    for (const auto& job : jobs_) {
        decoding_requests += is_decoding(job) ? 1 : 0;
        context += is_decoding(job)                     ? job.context_tokens + job.decoded_tokens
                   : job.is_helper && is_prefilled(job) ? job.context_tokens
                                                        : 0;
    }
    const double step = profile_.step_ms + profile_.step_ms_per_request * decoding_requests +
                        profile_.step_ms_per_1k_context * context / per_thousand;
    return step * (decoding_requests > 0 ? profile_.steps_per_pass : 1);
}

void engine_forecast::begin_pass(time_point at) {
    const bool has_decoding_requests = std::ranges::any_of(jobs_, is_decoding);
    double budget = static_cast<double>(profile_.prefill_tokens_per_step) *
                    (has_decoding_requests ? profile_.steps_per_pass : 1);
    double length = decode_pass_ms();
    bool has_prefill = false;
    std::uint32_t used_slots = 0;
    const auto schedule = [&](engine_job& job) {
        const double count = std::min(budget, job.prefill.tokens - job.prefilled_tokens);
        job.pass_prefill_tokens = std::max(count, 0.0);
        length +=
            prefill_cost_ms(profile_, job.prefill, job.prefilled_tokens, job.pass_prefill_tokens);
        budget -= job.pass_prefill_tokens;
        has_prefill = has_prefill || job.pass_prefill_tokens > 0;
    };
    // Split prompts first, the newest share before the older ones.
    for (auto& job : jobs_ | std::views::reverse) {
        job.pass_prefill_tokens = 0;
        if (has_split_prefill(job) && !is_prefilled(job)) {
            schedule(job);
        }
    }
    for (auto& job : jobs_) {
        used_slots += job.is_helper || job.is_completed ? 0 : 1;
        if (!has_split_prefill(job) && !is_prefilled(job) && used_slots <= profile_.slots) {
            schedule(job);
        }
    }
    is_in_pass_ = has_decoding_requests || has_prefill;
    pass_begin_ = at;
    pass_end_ = at + to_duration(length);
}

void engine_forecast::end_pass() {
    is_in_pass_ = false;
    longest_pass_ = std::max(longest_pass_, pass_end_ - pass_begin_);
    for (auto& job : jobs_) {
        if (is_decoding(job)) {
            job.decoded_tokens += profile_.steps_per_pass;
            job.longest_pause = std::max(job.longest_pause, pass_end_ - job.last_event);
            job.last_event = pass_end_;
            job.is_completed = is_simulation_ && job.decoded_tokens >= job.answer_tokens;
            continue;
        }
        job.prefilled_tokens += std::exchange(job.pass_prefill_tokens, 0.0);
        // With helpers, decoding starts when the last of them ends, which is observed. A prediction
        // assumes that it starts with the own share: what is placed here meets the answer.
        const bool starts_now = !job.has_helpers || is_simulation_;
        if (!job.is_helper && is_prefilled(job) && job.first_event == time_point{} && starts_now) {
            job.first_event = pass_end_;
            job.last_event = pass_end_;
        }
    }
}

void engine_forecast::end_pass_early() {
    const double decode_time_ms = decode_pass_ms();
    const double prefill_time_ms = to_ms(pass_end_ - pass_begin_) - decode_time_ms;
    const double passed = to_ms(now_ - pass_begin_) - decode_time_ms;
    const double share = prefill_time_ms > 0 ? std::clamp(passed / prefill_time_ms, 0.0, 1.0) : 1.0;
    for (auto& job : jobs_) {
        job.pass_prefill_tokens *= share;
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

void engine_forecast::evict_stale(time_point now) {
    std::erase_if(jobs_, [&](const auto& job) {
        const bool is_over_limit = job.time_limit > duration{0} && !job.has_first_event &&
                                   now - job.placed_at > job.time_limit + stale_limit_margin;
        const bool is_over_length =
            job.decoded_tokens >
            stale_length_factor * (job.answer_tokens + profile_.steps_per_pass);
        return is_over_limit || is_over_length ||
               now - std::max(job.placed_at, job.last_event) > stale_job_age;
    });
}

bool engine_forecast::simulate_last_prefill(time_point horizon) {
    if (!is_in_pass_) {
        begin_pass(now_);
    }
    while (is_in_pass_ && pass_end_ < horizon) {
        end_pass();
        if (is_prefilled(jobs_.back())) {
            return true;
        }
        begin_pass(pass_end_);
    }
    return false;
}

double engine_forecast::expected_loss(const engine_job& job) const {
    const bool is_finished_helper = job.is_helper && is_prefilled(job);
    if (is_finished_helper) {
        return 0;
    }
    const bool has_first_event = job.first_event != time_point{};
    const auto first = has_first_event ? job.first_event : std::max(now_, pass_end_);
    const auto wait = first - job.placed_at;
    const auto late = job.is_late ? 0
                                  : std::max(miss_probability(wait, job.target_latency),
                                             miss_probability(job.longest_pause, job.target_pause));
    const bool may_be_met = !job.is_late && !has_first_event && job.target_latency.count() > 0;
    const double delay = may_be_met ? delay_loss(wait, job.target_latency) : 0;
    return job.value * (late_loss_share * late + delay +
                        (1 - late_loss_share) * miss_probability(wait, job.time_limit));
}

placement_effect engine_forecast::simulate_job(const engine_job& job, time_point now) {
    advance(now);
    auto with_job = *this;
    auto without_job = *this;
    for (auto* copy : {&with_job, &without_job}) {
        copy->is_simulation_ = true;
        copy->longest_pass_ = duration{0};
        for (auto& item : copy->jobs_) {
            item.longest_pause = duration{0};
            item.answer_tokens = static_cast<std::uint32_t>(expected_answer_tokens(item));
            const bool is_about_to_decode = item.has_helpers && !item.is_helper &&
                                            is_prefilled(item) && item.first_event == time_point{};
            if (is_about_to_decode) {
                item.first_event = item.last_event = now_;
            }
        }
    }
    with_job.jobs_.push_back(job);
    with_job.jobs_.back().placed_at = now_;
    const bool is_prefill_done = with_job.simulate_last_prefill(now_ + simulation_horizon);
    const auto end = is_prefill_done ? with_job.pass_end_ : now_ + simulation_horizon;
    without_job.advance(end);
    with_job.now_ = end;
    placement_effect effect{.prefill_end = end, .longest_pass = with_job.longest_pass_};
    for (std::size_t index = 0; index < without_job.jobs_.size(); ++index) {
        const double added_loss = with_job.expected_loss(with_job.jobs_[index]) -
                                  without_job.expected_loss(without_job.jobs_[index]);
        effect.imposed_loss += std::max(added_loss, 0.0);
    }
    return effect;
}

duration engine_forecast::predict_pause(job_id id, time_point first_event, time_point now) const {
    auto copy = *this;
    copy.is_simulation_ = true;
    copy.advance(std::max(first_event, now));
    auto* job = copy.find_mutable(id);
    if (job == nullptr) {
        return duration{0};
    }
    // The first event of a split prompt depends on other engines too.
    job->prefilled_tokens = job->prefill.tokens;
    job->pass_prefill_tokens = 0;
    if (job->first_event == time_point{}) {
        job->first_event = job->last_event = copy.now_;
    }
    const auto horizon = copy.now_ + simulation_horizon;
    while (!job->is_completed && copy.pass_end_ < horizon) {
        copy.end_pass();
        copy.begin_pass(copy.pass_end_);
    }
    return job->longest_pause;
}

void engine_forecast::add(engine_job job, time_point now) {
    evict_stale(now);
    advance(now);
    job.placed_at = now_;
    jobs_.push_back(job);
    advance(now);
}

engine_forecast engine_forecast::with_short_jobs_of(const engine_forecast& other) const {
    auto estimate = *this;
    std::ranges::copy_if(other.jobs_, std::back_inserter(estimate.jobs_), [&](const auto& job) {
        return !has_split_prefill(job) && prefill_ms(profile_, job.prefill) <= max_short_prefill_ms;
    });
    return estimate;
}

bool engine_forecast::has_long_prefill() const {
    const double remaining =
        std::accumulate(jobs_.begin(), jobs_.end(), 0.0, [this](double sum, const engine_job& job) {
            return sum + prefill_cost_ms(profile_, job.prefill, job.prefilled_tokens,
                                         std::max(job.prefill.tokens - job.prefilled_tokens, 0.0));
        });
    return remaining > max_short_prefill_ms;
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
        job->prefilled_tokens = job->prefill.tokens;
        job->pass_prefill_tokens = 0;
        return;
    }
    if (is_in_pass_) {
        // The real pass ended now: it is the one before the current simulated pass if that started
        // just now, else the current one.
        if (now_ - pass_begin_ <= pass_match_tolerance) {
            pass_end_ += now_ - pass_begin_;
            pass_begin_ = now_;
        } else {
            end_pass_early();
        }
    }
    job->prefilled_tokens = job->prefill.tokens;
    job->pass_prefill_tokens = 0;
    if (!job->has_first_event) {
        job->has_first_event = true;
        job->first_event = now_;
        job->is_late = job->is_late || now_ - job->placed_at > job->target_latency;
    }
    job->last_event = now_;
    advance(now);
}

void engine_forecast::mark_late(job_id id) {
    if (auto* job = find_mutable(id)) {
        job->is_late = true;
    }
}

void engine_forecast::remove_origin(std::uint64_t origin) {
    std::erase_if(jobs_, [origin](const auto& job) { return job.id.origin == origin; });
}

std::int64_t engine_forecast::free_memory() const {
    const auto used =
        std::accumulate(jobs_.begin(), jobs_.end(), std::int64_t{0},
                        [](std::int64_t sum, const auto& job) { return sum + job.memory_tokens; });
    return static_cast<std::int64_t>(profile_.memory_tokens) - used;
}

std::uint32_t engine_forecast::request_count() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(jobs_, [](const auto& job) { return !job.is_helper; }));
}

std::vector<time_point> engine_forecast::expected_completions(time_point now) const {
    std::vector<time_point> completions;
    const double pass = decode_pass_ms();
    const double steps = std::max(1U, profile_.steps_per_pass);
    for (const auto& job : jobs_) {
        if (!job.is_helper) {
            const double remaining = expected_answer_tokens(job) - job.decoded_tokens;
            completions.push_back(now + to_duration(remaining / steps * pass));
        }
    }
    return completions;
}

time_point engine_forecast::earliest_completion(time_point now) const {
    const auto completions = expected_completions(now);
    return completions.empty() ? now : std::ranges::min(completions);
}

time_point engine_forecast::slot_free_at(time_point now) const {
    auto completions = expected_completions(now);
    if (completions.size() < profile_.slots) {
        return now;
    }
    const auto last =
        completions.begin() + static_cast<std::ptrdiff_t>(completions.size() - profile_.slots);
    std::ranges::nth_element(completions, last);
    return *last;
}

} // namespace magnolia
