/// Second part of prompt_quarantine: judges the evidence. Answers the load of crashes with many
/// prompts of many segments in progress, while the thread has requests to serve.
#include "prompt_quarantine_p.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Crashes closer together than this count as one: a rack that loses power ends many at once.
constexpr duration simultaneous = milliseconds{50};
/// The same prompt counts again after this time: callers repeat a request within it.
constexpr duration repetition_time = std::chrono::seconds{15};
/// Factor of the crashes that prove a combination of sound segments.
constexpr std::size_t sound_factor = 2;

} // namespace

std::vector<prompt_quarantine::prompts_of_crash>
prompt_quarantine::group_by_crash(const std::vector<exhibit>& exhibits) {
    std::vector<prompts_of_crash> groups;
    for (const auto& item : exhibits) {
        if (groups.empty() || groups.back().record != item.record) {
            groups.push_back({item.record, {}});
        }
        groups.back().prompts.push_back(item.prompt);
    }
    return groups;
}

std::size_t prompt_quarantine::weight_of(const segment_list& combination,
                                         const std::vector<exhibit>& exhibits) const {
    const bool is_explained = std::ranges::all_of(
        exhibits, [this](const auto& item) { return explanation_of(*item.record) != nullptr; });
    if (is_explained) {
        return 0;
    }
    if (std::ranges::any_of(combination, is_whole_request)) {
        std::set<const crash*> crashes;
        std::ranges::transform(exhibits, std::inserter(crashes, crashes.end()), &exhibit::record);
        return crashes.size();
    }
    std::vector<std::pair<time_point, std::string_view>> cases;
    std::ranges::transform(exhibits, std::back_inserter(cases), [](const auto& item) {
        return std::pair{item.record->at, std::string_view{item.prompt->own}};
    });
    std::ranges::sort(cases);
    std::size_t crashes_apart = 0;
    std::size_t prompts = 0;
    auto last_crash = time_point::min();
    std::map<std::string_view, time_point> last_counted;
    for (const auto& [at, own] : cases) {
        if (crashes_apart == 0 || at - last_crash >= simultaneous) {
            ++crashes_apart;
            last_crash = at;
        }
        const auto [known, is_first] = last_counted.try_emplace(own, at);
        if (is_first || own.empty() || at - known->second >= repetition_time) {
            ++prompts;
            known->second = at;
        }
    }
    return std::min(crashes_apart, prompts);
}

prompt_quarantine::crash_counts prompt_quarantine::count_crashes() const {
    crash_counts counts;
    for (const auto& record : crashes_) {
        std::set<std::string_view> at_risk;
        for (const auto& prompt : record.prompts) {
            at_risk.insert(prompt.shared.begin(), prompt.shared.end());
        }
        std::ranges::for_each(at_risk, [&](auto segment) { ++counts[segment]; });
    }
    return counts;
}

segment_list prompt_quarantine::most_specific(const std::string& segment,
                                              const std::vector<exhibit>& exhibits,
                                              const crash_counts& counts) const {
    auto crashes = group_by_crash(exhibits);
    segment_list others;
    for (const auto* prompt : crashes.front().prompts) {
        std::ranges::copy_if(prompt->shared, std::back_inserter(others), [&](const auto& other) {
            return other != segment && counts.at(other) >= crashes.size();
        });
    }
    segment_list combination{segment};
    for (const auto& other : sorted(std::move(others))) {
        const auto has_other = [&](const auto* prompt) {
            return std::ranges::binary_search(prompt->shared, other);
        };
        const bool is_at_risk_each_time = std::ranges::all_of(crashes, [&](const auto& item) {
            return !was_cleared_after(other, item.record->at) &&
                   std::ranges::any_of(item.prompts, has_other);
        });
        if (!is_at_risk_each_time) {
            continue;
        }
        combination.push_back(other);
        for (auto& item : crashes) {
            std::erase_if(item.prompts, std::not_fn(has_other));
        }
    }
    return sorted(std::move(combination));
}

std::size_t prompt_quarantine::required_crashes(const segment_list& combination) const {
    const bool is_sound = std::ranges::all_of(
        combination, [this](const auto& segment) { return clearances_.contains(segment); });
    return std::size_t{settings_.crashes} * (is_sound ? sound_factor : 1);
}

std::optional<quarantined_prompt> prompt_quarantine::find_culprit() const {
    quarantined_prompt verdict;
    std::vector<exhibit> proof;
    double best_certainty = 0;
    const auto counts = count_crashes();
    for (const auto& [segment, exhibits] : evidence()) {
        if (group_by_crash(exhibits).size() < settings_.crashes) {
            continue;
        }
        auto combination = most_specific(segment, exhibits, counts);
        auto relevant = exhibits;
        std::erase_if(relevant,
                      [&](const auto& item) { return !has_all(item.prompt->shared, combination); });
        const auto certainty = static_cast<double>(weight_of(combination, relevant)) /
                               static_cast<double>(required_crashes(combination));
        if (certainty > best_certainty) {
            best_certainty = certainty;
            verdict.segments = std::move(combination);
            proof = std::move(relevant);
        }
    }
    if (best_certainty < 1) {
        return std::nullopt;
    }
    for (const auto& item : proof) {
        const auto& record = *item.record;
        verdict.last_crash = std::max(verdict.last_crash, record.at);
        verdict.is_own_verdict = record.at == verdict.last_crash && record.first_reporter == host_;
        add_name(verdict.backends, record.backend.id);
        std::ranges::for_each(record.reporters,
                              [&](const auto& name) { add_name(verdict.reporters, name); });
    }
    return verdict;
}

void prompt_quarantine::judge(time_point now) {
    judge_repetitions(now);
    while (auto verdict = find_culprit()) {
        verdict->blocked_at = now;
        verdict->blocked_until = now + block_time(0);
        if (verdicts_.size() >= config::max_quarantined) {
            changes_.push_back({quarantine_change::kind::table_full, *verdict});
            return;
        }
        block(std::move(*verdict), now);
    }
}

void prompt_quarantine::judge_repetitions(time_point now) {
    for (const auto& record : crashes_) {
        for (auto& verdict : verdicts_) {
            const bool is_at_risk = std::ranges::any_of(record.prompts, [&](const auto& prompt) {
                return has_all(prompt.shared, verdict.segments);
            });
            if (!is_at_risk || record.at <= verdict.last_crash) {
                continue;
            }
            verdict.last_crash = record.at;
            add_name(verdict.backends, record.backend.id);
            std::ranges::for_each(record.reporters,
                                  [&](const auto& name) { add_name(verdict.reporters, name); });
            if (record.at < verdict.blocked_until) {
                continue;
            }
            ++verdict.repetitions;
            verdict.blocked_at = now;
            verdict.blocked_until = now + block_time(verdict.repetitions);
            verdict.is_own_verdict = record.first_reporter == host_;
            if (verdict.is_own_verdict) {
                due_verdicts_.insert(verdict.segments);
            }
            changes_.push_back({quarantine_change::kind::blocked, verdict});
        }
    }
}

} // namespace magnolia
