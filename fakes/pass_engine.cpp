#include "pass_engine.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace magnolia {
namespace {

constexpr double per_thousand = 1000;
constexpr double per_million = 1e6;

} // namespace

engine_profile production_engine_profile() {
    engine_profile profile;
    profile.slots = 16;
    profile.memory_tokens = 232'000;
    profile.steps_per_pass = 43;
    profile.step_ms = 1.02;
    profile.step_ms_per_request = 0.00226;
    profile.step_ms_per_1k_context = 0.00431;
    profile.prefill_tokens_per_ms = 206;
    profile.prefill_ms_per_million_pairs = 0.138;
    profile.mean_answer_tokens = 1100;
    return profile;
}

pass_engine::work_item* pass_engine::find(std::uint64_t id) {
    const auto found =
        std::ranges::find_if(items_, [id](const auto& item) { return item.work.id == id; });
    return found == items_.end() ? nullptr : &*found;
}

void pass_engine::add(const engine_work& work, time_point now) {
    items_.push_back({work});
    if (!pass_end_) {
        begin_pass(now);
    }
}

void pass_engine::remove(std::uint64_t id, time_point now) {
    std::erase_if(items_, [id](const auto& item) { return item.work.id == id; });
    if (!pass_end_) {
        begin_pass(now);
    }
}

void pass_engine::start_decoding(std::uint64_t id, time_point now) {
    if (auto* found = find(id)) {
        found->is_decoding = true;
    }
    if (!pass_end_) {
        begin_pass(now);
    }
}

void pass_engine::admit() {
    std::uint32_t slots = 0;
    std::uint64_t memory = 0;
    for (auto& item : items_) {
        if (item.work.is_helper) {
            memory += item.work.memory_tokens;
            continue;
        }
        const bool fits =
            slots < profile_.slots && memory + item.work.memory_tokens <= profile_.memory_tokens;
        if (!item.is_admitted && !fits) {
            return;
        }
        item.is_admitted = true;
        ++slots;
        memory += item.work.memory_tokens;
    }
}

void pass_engine::begin_pass(time_point at) {
    admit();
    double decoding_requests = 0;
    double context = 0;
    for (const auto& item : items_) {
        decoding_requests += item.is_decoding ? 1 : 0;
        context += item.is_decoding ? item.work.context_tokens + item.decoded : 0;
    }
    const double steps = decoding_requests > 0 ? profile_.steps_per_pass : 1;
    double budget = steps * profile_.prefill_tokens_per_step;
    double length_ms =
        steps * (profile_.step_ms + profile_.step_ms_per_request * decoding_requests +
                 profile_.step_ms_per_1k_context * context / per_thousand);
    bool has_work = decoding_requests > 0;
    const auto schedule = [&](work_item& item) {
        const double count = std::min(budget, item.work.prefill_tokens - item.prefilled);
        const double attention_pairs =
            count * (item.work.first_attention_span +
                     item.work.attention_span_increment * (item.prefilled + count / 2));
        item.pass_tokens = count;
        budget -= count;
        length_ms += count / profile_.prefill_tokens_per_ms +
                     attention_pairs / per_million * profile_.prefill_ms_per_million_pairs;
        has_work = has_work || count > 0;
    };
    const auto has_split_prefill = [](const work_item& item) {
        return item.work.is_helper || item.work.has_helpers;
    };
    std::ranges::for_each(items_ | std::views::reverse | std::views::filter(has_split_prefill),
                          schedule);
    std::ranges::for_each(items_ | std::views::filter([&](const work_item& item) {
                              return !has_split_prefill(item) && item.is_admitted;
                          }),
                          schedule);
    pass_end_.reset();
    if (has_work) {
        const auto span = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>{length_ms});
        pass_end_ = at + span;
        busy_time_ += span;
    }
}

std::vector<pass_event> pass_engine::end_pass() {
    std::vector<pass_event> events;
    const auto at = *pass_end_;
    std::vector<std::uint64_t> finished;
    for (auto& item : items_) {
        if (item.is_decoding) {
            item.decoded += profile_.steps_per_pass;
            const bool is_last = item.decoded >= item.work.answer_tokens;
            events.push_back(
                {item.work.id, is_last ? pass_event::kind::last_event : pass_event::kind::event});
            if (is_last) {
                finished.push_back(item.work.id);
            }
            continue;
        }
        const double pass_tokens = std::exchange(item.pass_tokens, 0.0);
        item.prefilled += pass_tokens;
        if (pass_tokens > 0 && item.prefilled >= item.work.prefill_tokens) {
            const bool starts_decoding = !item.work.is_helper && !item.work.has_helpers;
            item.is_decoding = starts_decoding;
            events.push_back({item.work.id, starts_decoding ? pass_event::kind::event
                                                            : pass_event::kind::prefilled});
            if (item.work.is_helper && item.work.memory_tokens == 0) {
                finished.push_back(item.work.id);
            }
        }
    }
    std::erase_if(items_, [&](const work_item& item) {
        return std::ranges::find(finished, item.work.id) != finished.end();
    });
    begin_pass(at);
    return events;
}

} // namespace magnolia
