#include "engine_table.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// Maximum prompt length of the classes, tokens.
constexpr std::uint32_t max_short_tokens = 8'192;
constexpr std::uint32_t max_medium_tokens = 32'768;
constexpr std::uint32_t max_large_tokens = 98'304;
/// Delay from the start of an attempt until load reports can include it.
constexpr duration report_delay = std::chrono::milliseconds{10};
/// Assumed tokens of a waiting prompt of another entry; a load report contains only the sum over
/// all prompts.
constexpr double typical_short_prompt_tokens = 2'500;

std::size_t index_of(urgency_level urgency) {
    return static_cast<std::size_t>(urgency);
}

double own_prefill_seconds(const engine_record& engine, std::size_t urgency) {
    return std::accumulate(engine.own_attempts.begin(), engine.own_attempts.end(), 0.0,
                           [urgency](double sum, const own_work& work) {
                               const bool counts = index_of(work.urgency) == urgency;
                               return counts ? sum + work.remaining_s : sum;
                           });
}

/// Whether a report of this time includes the attempt in its pending prefill.
bool is_shown_by(const own_work& work, time_point reported_at) {
    const bool has_begun = work.started_at + report_delay <= reported_at;
    const bool was_pending = !work.has_first_token || work.first_token_at > reported_at;
    return has_begun && was_pending;
}

double tokens_remaining(const own_work& work) {
    return work.total_s > 0 ? work.tokens * (work.remaining_s / work.total_s) : 0;
}

/// Distributes the pending tokens of other entries over the urgencies, by the number of waiting
/// requests.
void split_other_work(engine_record& engine, double tokens, const cost_model& costs) {
    const double waiting = std::max(1U, engine.report.waiting_requests);
    const double short_tokens = std::min(tokens, waiting * typical_short_prompt_tokens);
    const double rest = tokens - short_tokens;
    // The urgency of the remaining tokens is unknown: up to one large prompt is assumed to be
    // served before a medium one.
    const double large = std::min<double>(rest, max_large_tokens);
    engine.other_work[0] = costs.prefill_seconds(0, short_tokens);
    engine.other_work[1] = costs.prefill_seconds(0, large);
    engine.other_work[2] = costs.prefill_seconds(large, rest);
}

} // namespace

length_class classify(std::uint32_t tokens) {
    if (tokens <= max_short_tokens) {
        return length_class::short_prompt;
    }
    if (tokens <= max_medium_tokens) {
        return length_class::medium_prompt;
    }
    return tokens <= max_large_tokens ? length_class::large_prompt : length_class::long_prompt;
}

void advance(engine_record& engine, time_point now) {
    double time = std::max(0.0, seconds{now - engine.advanced_to}.count());
    engine.advanced_to = std::max(engine.advanced_to, now);
    for (std::size_t urgency = 0; urgency < urgency_count && time > 0; ++urgency) {
        const double work = own_prefill_seconds(engine, urgency) + engine.other_work[urgency];
        if (work <= 0) {
            continue;
        }
        const double remaining_share = std::max(0.0, 1 - time / work);
        engine.other_work[urgency] *= remaining_share;
        for (auto& own : engine.own_attempts) {
            own.remaining_s *= index_of(own.urgency) == urgency ? remaining_share : 1;
        }
        time -= std::min(time, work);
    }
}

void summarize(engine_record& engine) {
    double sum = 0;
    for (std::size_t urgency = 0; urgency < urgency_count; ++urgency) {
        sum += own_prefill_seconds(engine, urgency) + engine.other_work[urgency];
        engine.work_ahead[urgency] = sum;
    }
    const auto is_unreported = [&engine](const own_work& work) {
        return !engine.has_report || work.started_at + report_delay > engine.reported_at;
    };
    const auto memory =
        engine.has_report ? engine.report.free_memory_tokens : engine.info.memory_tokens;
    std::uint64_t unreported_memory = 0;
    std::uint32_t unreported = 0;
    for (const auto& work : engine.own_attempts | std::views::filter(is_unreported)) {
        unreported_memory += work.memory_tokens;
        ++unreported;
    }
    engine.free_memory =
        static_cast<std::uint32_t>(memory - std::min<std::uint64_t>(memory, unreported_memory));
    engine.outstanding =
        unreported + engine.report.running_requests + engine.report.waiting_requests;
    engine.long_prompts = static_cast<std::uint32_t>(
        std::ranges::count(engine.own_attempts, length_class::long_prompt, &own_work::length));
    engine.long_prompts += engine.other_work[2] > 0 ? 1 : 0;
}

void apply_report(engine_record& engine, const engine_load& load, const cost_model& costs,
                  time_point now) {
    const auto reported_at = now - load.age;
    if (engine.has_report && reported_at < engine.reported_at) {
        return;
    }
    engine.report = load;
    engine.reported_at = reported_at;
    engine.has_report = true;
    engine.reported_work_s = costs.prefill_seconds(0, load.pending_prefill_tokens);
    double own = 0;
    for (const auto& work : engine.own_attempts) {
        own += is_shown_by(work, reported_at) ? tokens_remaining(work) : 0;
    }
    const double others = std::max(0.0, load.pending_prefill_tokens - own);
    split_other_work(engine, others, costs);
    // The report is load.age old; the engine has worked on the reported prompts since.
    const double others_factor = others > 0 ? 1.0 : 0.0;
    double time = seconds{load.age}.count() * others_factor;
    for (auto& work : engine.other_work) {
        const double done = std::min(work, time);
        work -= done;
        time -= done;
    }
}

} // namespace magnolia
