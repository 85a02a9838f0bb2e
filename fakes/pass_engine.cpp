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

pass_engine::item* pass_engine::find(std::uint64_t id) {
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

void pass_engine::release(std::uint64_t id, time_point now) {
    if (auto* found = find(id)) {
        found->is_writing = true;
    }
    if (!pass_end_) {
        begin_pass(now);
    }
}

/// Prompts of its own take slots and memory in the order of their arrival.
void pass_engine::admit() {
    std::uint32_t slots = 0;
    std::uint64_t memory = 0;
    for (auto& entry : items_) {
        if (entry.work.is_helper) {
            memory += entry.work.memory_tokens;
            continue;
        }
        const bool fits =
            slots < profile_.slots && memory + entry.work.memory_tokens <= profile_.memory_tokens;
        if (!entry.is_admitted && !fits) {
            return;
        }
        entry.is_admitted = true;
        ++slots;
        memory += entry.work.memory_tokens;
    }
}

void pass_engine::begin_pass(time_point at) {
    admit();
    double writers = 0;
    double context = 0;
    for (const auto& entry : items_) {
        writers += entry.is_writing ? 1 : 0;
        context += entry.is_writing ? entry.work.context_tokens + entry.written : 0;
    }
    const double steps = writers > 0 ? profile_.steps_per_pass : 1;
    double budget = steps * profile_.prefill_tokens_per_step;
    double length = steps * (profile_.step_ms + profile_.step_ms_per_request * writers +
                             profile_.step_ms_per_1k_context * context / per_thousand);
    bool has_work = writers > 0;
    const auto give = [&](item& entry) {
        const double count = std::min(budget, entry.work.tokens - entry.read);
        const double pairs =
            count * (entry.work.first_attention_span +
                     entry.work.attention_span_increment * (entry.read + count / 2));
        entry.in_pass = count;
        budget -= count;
        length += count / profile_.prefill_tokens_per_ms +
                  pairs / per_million * profile_.prefill_ms_per_million_pairs;
        has_work = has_work || count > 0;
    };
    const auto is_shared = [](const item& entry) {
        return entry.work.is_helper || entry.work.awaits_parts;
    };
    std::ranges::for_each(items_ | std::views::reverse | std::views::filter(is_shared), give);
    std::ranges::for_each(items_ | std::views::filter([&](const item& entry) {
                              return !is_shared(entry) && entry.is_admitted;
                          }),
                          give);
    pass_end_.reset();
    if (has_work) {
        const auto span =
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{length});
        pass_end_ = at + span;
        busy_ += span;
    }
}

std::vector<pass_event> pass_engine::end_pass() {
    std::vector<pass_event> events;
    const auto at = *pass_end_;
    std::vector<std::uint64_t> ended;
    for (auto& entry : items_) {
        if (entry.is_writing) {
            entry.written += profile_.steps_per_pass;
            const bool is_last = entry.written >= entry.work.answer_tokens;
            events.push_back(
                {entry.work.id, is_last ? pass_event::kind::last_event : pass_event::kind::event});
            if (is_last) {
                ended.push_back(entry.work.id);
            }
            continue;
        }
        const double in_pass = std::exchange(entry.in_pass, 0.0);
        entry.read += in_pass;
        if (in_pass > 0 && entry.read >= entry.work.tokens) {
            const bool begins = !entry.work.is_helper && !entry.work.awaits_parts;
            entry.is_writing = begins;
            events.push_back(
                {entry.work.id, begins ? pass_event::kind::event : pass_event::kind::read});
            if (entry.work.is_helper && entry.work.memory_tokens == 0) {
                ended.push_back(entry.work.id);
            }
        }
    }
    std::erase_if(items_, [&](const item& entry) {
        return std::ranges::find(ended, entry.work.id) != ended.end();
    });
    begin_pass(at);
    return events;
}

} // namespace magnolia
