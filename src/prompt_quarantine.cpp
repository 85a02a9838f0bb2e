#include "prompt_quarantine_p.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Backend servers and gateways that a verdict names.
constexpr std::size_t max_named = 8;
/// Time in which the reports of the other gateways on the same crash arrive.
constexpr duration judge_delay = milliseconds{150};
/// Time after a broken-off answer within which a refused connection shows that the backend server
/// crashed at that moment.
constexpr duration confirmation_time = std::chrono::seconds{2};
/// Time for which crashes and clearances are kept.
constexpr duration evidence_lifetime = std::chrono::hours{1};
constexpr duration max_block_time = std::chrono::hours{24};
/// Time after a block in which one crash is enough for another one.
constexpr duration probation_time = std::chrono::hours{24};
/// Time for which it counts that an answer began before the crashes.
constexpr duration soundness_lifetime = std::chrono::minutes{10};
/// Longest random delay of a clearance for each other gateway, and for any number of them.
constexpr duration clearance_delay_per_peer = milliseconds{2};
constexpr duration max_clearance_delay = milliseconds{500};
/// Length of the ids in one datagram, bytes; the encoding adds at most as much again.
constexpr std::size_t max_update_bytes = std::size_t{20} << 10U;

milliseconds age_of(time_point at, time_point now) {
    return std::chrono::duration_cast<milliseconds>(std::max(now - at, duration{0}));
}

std::size_t byte_count(const segment_list& segments) {
    std::size_t count = 0;
    for (const auto& segment : segments) {
        count += segment.size() + 1;
    }
    return count;
}

std::size_t byte_count(const prompt_outline& prompt) {
    return byte_count(prompt.shared) + prompt.own.size();
}

/// Collects items in as many updates as datagrams are needed.
class update_builder {
public:
    void add(crash_report report) {
        std::size_t bytes = report.backend.size();
        for (const auto& prompt : report.at_risk) {
            bytes += byte_count(prompt);
        }
        place(bytes).crashes.push_back(std::move(report));
    }
    void add(segment_clearance item) {
        place(item.segment.size() + 1).cleared.push_back(std::move(item));
    }
    void add(quarantine_entry entry) {
        const auto bytes =
            byte_count(entry.segments) + byte_count(entry.backends) + byte_count(entry.reporters);
        place(bytes).blocked.push_back(std::move(entry));
    }
    [[nodiscard]] std::vector<quarantine_update> take() { return std::move(updates_); }

private:
    /// Update that has room for so many bytes.
    quarantine_update& place(std::size_t bytes) {
        if (updates_.empty() || used_ + bytes > max_update_bytes) {
            updates_.emplace_back();
            used_ = 0;
        }
        used_ += bytes;
        return updates_.back();
    }

    std::vector<quarantine_update> updates_;
    std::size_t used_ = 0;
};

quarantine_entry to_entry(const quarantined_prompt& verdict, time_point now) {
    return {.segments = verdict.segments,
            .crash_age = age_of(verdict.last_crash, now),
            .block_age = age_of(verdict.blocked_at, now),
            .block_time = age_of(verdict.blocked_at, verdict.blocked_until),
            .repetitions = verdict.repetitions,
            .backends = verdict.backends,
            .reporters = verdict.reporters};
}

crash_report make_report(const backend_process& backend, std::vector<prompt_outline> prompts,
                         milliseconds age) {
    return {.backend = backend.id,
            .started_ms = backend.started_ms,
            .age = age,
            .at_risk = std::move(prompts)};
}

/// Adds a prompt unless it is known or there are too many.
void add_prompt(std::vector<prompt_outline>& prompts, prompt_outline prompt) {
    prompt.shared = sorted(std::move(prompt.shared));
    std::size_t bytes = byte_count(prompt);
    for (const auto& known : prompts) {
        bytes += byte_count(known);
    }
    const bool is_new = std::ranges::find(prompts, prompt) == prompts.end();
    if (is_new && !prompt.shared.empty() && bytes <= config::max_crash_bytes) {
        prompts.push_back(std::move(prompt));
    }
}

} // namespace

segment_list sorted(segment_list segments) {
    std::ranges::sort(segments);
    const auto duplicates = std::ranges::unique(segments);
    segments.erase(duplicates.begin(), duplicates.end());
    return segments;
}

void add_name(std::vector<std::string>& names, const std::string& name) {
    if (std::ranges::find(names, name) == names.end()) {
        names.push_back(name);
        std::ranges::sort(names);
    }
    if (names.size() > max_named) {
        names.erase(names.begin());
    }
}

std::string whole_request_segment(std::string_view fingerprint) {
    return std::string{whole_request_prefix} + std::string{fingerprint};
}

prompt_quarantine::prompt_quarantine(std::string host, std::uint64_t seed,
                                     const quarantine_settings& settings)
    : host_{std::move(host)}, random_{seed}, settings_{settings} {}

// Evidence.

bool prompt_quarantine::on_answer_lost(const backend_process& backend, const prompt_outline& prompt,
                                       time_point now) {
    if (prompt.shared.empty()) {
        return false;
    }
    std::erase_if(unconfirmed_, [now](const auto& item) {
        return now - item.second.first_at > confirmation_time;
    });
    auto [found, is_first] = unconfirmed_.try_emplace(backend, unconfirmed_loss{now, {}});
    add_prompt(found->second.prompts, prompt);
    const bool is_known = std::ranges::any_of(
        crashes_, [&](const crash& record) { return record.backend == backend; });
    if (is_known) {
        confirm_losses(backend, now);
    }
    return is_first && !is_known;
}

void prompt_quarantine::on_connection_refused(const backend_process& backend, time_point now) {
    confirm_losses(backend, now);
}

void prompt_quarantine::confirm_losses(const backend_process& backend, time_point now) {
    const auto node = unconfirmed_.extract(backend);
    if (node.empty() || now - node.mapped().first_at > confirmation_time) {
        return;
    }
    add_crash(backend, node.mapped().prompts, host_, node.mapped().first_at);
    const auto record = std::ranges::find(crashes_, backend, &crash::backend);
    record->is_due = true;
    report_sound_segments(*record, now);
    judge_due_ = std::min(judge_due_, now + judge_delay);
}

void prompt_quarantine::add_crash(const backend_process& backend,
                                  const std::vector<prompt_outline>& prompts,
                                  const std::string& reporter, time_point at) {
    auto record = std::ranges::find(crashes_, backend, &crash::backend);
    if (record == crashes_.end()) {
        if (crashes_.size() >= config::max_crashes) {
            crashes_.erase(crashes_.begin());
        }
        record = crashes_.insert(crashes_.end(), crash{});
        record->backend = backend;
        record->at = at;
        record->first_reporter = reporter;
    }
    record->at = std::min(record->at, at);
    record->reporters.insert(reporter);
    std::ranges::for_each(prompts,
                          [&](const auto& prompt) { add_prompt(record->prompts, prompt); });
    on_evidence_changed();
}

bool prompt_quarantine::on_answer_began(const segment_list& segments, time_point now) {
    bool is_news = false;
    for (const auto& segment : segments) {
        sound_times(segment).record(segment, now);
        if (is_tracked(segment)) {
            is_news = true;
            clear(segment, now);
            schedule_clearance(segment, now);
        }
    }
    return is_news;
}

recent_times& prompt_quarantine::sound_times(const std::string& segment) {
    return is_whole_request(segment) ? sound_requests_ : sound_prompts_;
}

void prompt_quarantine::report_sound_segments(const crash& record, time_point now) {
    for (const auto& prompt : record.prompts) {
        for (const auto& segment : prompt.shared) {
            const auto sound = sound_times(segment).find(segment);
            if (!sound || now - *sound > soundness_lifetime) {
                continue;
            }
            const auto known = clearances_.find(segment);
            const bool is_known =
                known != clearances_.end() && record.at - known->second.at <= soundness_lifetime;
            if (!is_known) {
                clear(segment, *sound);
                schedule_clearance(segment, now);
            }
        }
    }
}

void prompt_quarantine::schedule_clearance(const std::string& segment, time_point now) {
    const auto longest = std::min(
        clearance_delay_per_peer * static_cast<duration::rep>(peer_count_), max_clearance_delay);
    std::uniform_int_distribution<duration::rep> delay{0, longest.count()};
    if (const auto known = clearances_.find(segment); known != clearances_.end()) {
        known->second.due = now + duration{delay(random_)};
    }
}

bool prompt_quarantine::was_cleared_after(const std::string& segment, time_point at) const {
    const auto found = clearances_.find(segment);
    return found != clearances_.end() && found->second.at > at;
}

bool prompt_quarantine::is_tracked(const std::string& segment) const {
    const bool is_in_verdict = std::ranges::any_of(verdicts_, [&](const auto& verdict) {
        return std::ranges::binary_search(verdict.segments, segment);
    });
    return is_in_verdict || evidence().contains(segment);
}

void prompt_quarantine::clear(const std::string& segment, time_point at) {
    if (clearances_.size() >= config::max_clearances && !clearances_.contains(segment)) {
        return;
    }
    auto& known = clearances_[segment];
    known.at = std::max(known.at, at);
    on_cleared(segment, known.at);
    for (auto verdict = verdicts_.begin(); verdict != verdicts_.end();) {
        const auto position = std::ranges::find(verdict->segments, segment);
        if (position == verdict->segments.end() || verdict->last_crash >= at) {
            ++verdict;
            continue;
        }
        on_evidence_changed();
        if (verdict->segments.size() == 1) {
            changes_.push_back({quarantine_change::kind::released, *verdict});
            verdict = verdicts_.erase(verdict);
            continue;
        }
        verdict->segments.erase(position);
        changes_.push_back({quarantine_change::kind::narrowed, *verdict});
        ++verdict;
    }
}

void prompt_quarantine::on_cleared(const std::string& segment, time_point at) {
    // The rest of the table stays as it is: each answer that begins clears many segments.
    if (!evidence_) {
        return;
    }
    const auto found = evidence_->find(segment);
    if (found == evidence_->end()) {
        return;
    }
    std::erase_if(found->second, [at](const auto& item) { return item.record->at < at; });
    if (found->second.empty()) {
        evidence_->erase(found);
    }
}

// Decisions.

const quarantined_prompt* prompt_quarantine::find_block(const segment_list& segments,
                                                        time_point now) const {
    if (verdicts_.empty() || segments.empty()) {
        return nullptr;
    }
    const auto ordered = sorted(segments);
    const auto found = std::ranges::find_if(verdicts_, [&](const auto& verdict) {
        return now < verdict.blocked_until && has_all(ordered, verdict.segments);
    });
    return found == verdicts_.end() ? nullptr : &*found;
}

const quarantined_prompt* prompt_quarantine::explanation_of(const crash& record) const {
    const auto found = std::ranges::find_if(verdicts_, [&](const auto& verdict) {
        return std::ranges::any_of(record.prompts, [&](const auto& prompt) {
            return has_all(prompt.shared, verdict.segments);
        });
    });
    return found == verdicts_.end() ? nullptr : &*found;
}

const prompt_quarantine::evidence_table& prompt_quarantine::evidence() const {
    if (!evidence_) {
        evidence_ = collect_evidence();
    }
    return *evidence_;
}

prompt_quarantine::evidence_table prompt_quarantine::collect_evidence() const {
    evidence_table table;
    for (const auto& record : crashes_) {
        const auto* explanation = explanation_of(record);
        for (const auto& prompt : record.prompts) {
            const bool is_explained =
                explanation != nullptr && has_all(prompt.shared, explanation->segments);
            if (explanation != nullptr && !is_explained) {
                continue;
            }
            for (const auto& segment : is_explained ? explanation->segments : prompt.shared) {
                if (!was_cleared_after(segment, record.at)) {
                    table[segment].push_back({&record, &prompt});
                }
            }
        }
    }
    return table;
}

bool prompt_quarantine::is_suspect(const segment_list& segments,
                                   const backend_process& backend) const {
    return std::ranges::any_of(segments, [&](const auto& segment) {
        const auto found = evidence().find(segment);
        return found != evidence().end() &&
               std::ranges::any_of(found->second, [&](const auto& item) {
                   return item.record->backend != backend;
               });
    });
}

duration prompt_quarantine::block_time(std::uint32_t repetitions) const {
    const std::chrono::duration<double> first{settings_.block_s};
    const auto factor = static_cast<double>(std::uint64_t{1} << std::min(repetitions, 32U));
    const auto time = std::chrono::duration_cast<duration>(
        std::min(first * factor, std::chrono::duration<double>{max_block_time}));
    return time;
}

void prompt_quarantine::poll(time_point now) {
    if (now >= judge_due_) {
        judge_due_ = time_point::max();
        judge(now);
    }
}

void prompt_quarantine::block(quarantined_prompt verdict, time_point now) {
    std::erase_if(verdicts_,
                  [&](const auto& known) { return has_all(known.segments, verdict.segments); });
    // All gateways with the evidence reach the verdict; one of them tells those without it.
    if (verdict.is_own_verdict) {
        due_verdicts_.insert(verdict.segments);
    }
    if (now < verdict.blocked_until) {
        changes_.push_back({quarantine_change::kind::blocked, verdict});
    }
    verdicts_.push_back(std::move(verdict));
    on_evidence_changed();
}

// Exchange.

std::vector<quarantine_update> prompt_quarantine::take_updates(time_point now, bool is_digest) {
    update_builder updates;
    for (auto& record : crashes_) {
        if (record.is_due || (is_digest && record.is_repeat_due)) {
            record.is_repeat_due = std::exchange(record.is_due, false) && !is_digest;
            updates.add(make_report(record.backend, record.prompts, age_of(record.at, now)));
        }
    }
    for (auto& [segment, known] : clearances_) {
        const bool is_due = known.due <= now;
        if (is_due || (is_digest && known.is_repeat_due)) {
            known.is_repeat_due = is_due && !is_digest;
            known.due = time_point::max();
            updates.add(segment_clearance{segment, age_of(known.at, now)});
        }
    }
    auto due = std::exchange(due_verdicts_, {});
    if (is_digest) {
        due.merge(std::exchange(repeated_verdicts_, {}));
    } else {
        repeated_verdicts_.insert(due.begin(), due.end());
    }
    for (const auto& verdict : verdicts_) {
        if (due.contains(verdict.segments)) {
            updates.add(to_entry(verdict, now));
        }
    }
    return updates.take();
}

time_point prompt_quarantine::next_due() const {
    const bool has_due_crash = std::ranges::any_of(crashes_, &crash::is_due);
    if (has_due_crash || !due_verdicts_.empty()) {
        return time_point::min();
    }
    auto due = judge_due_;
    for (const auto& known : clearances_ | std::views::values) {
        due = std::min(due, known.due);
    }
    return due;
}

void prompt_quarantine::apply_update(const quarantine_update& update, time_point now) {
    for (const auto& item : update.cleared) {
        clear(item.segment, now - item.age);
        if (const auto known = clearances_.find(item.segment); known != clearances_.end()) {
            known->second.due = time_point::max();
        }
    }
    for (const auto& report : update.crashes) {
        const backend_process backend{report.backend, report.started_ms};
        add_crash(backend, report.at_risk, update.sender, now - report.age);
        report_sound_segments(*std::ranges::find(crashes_, backend, &crash::backend), now);
        confirm_losses(backend, now);
        judge_due_ = std::min(judge_due_, now + judge_delay);
    }
    for (const auto& entry : update.blocked) {
        adopt({.segments = sorted(entry.segments),
               .last_crash = now - entry.crash_age,
               .blocked_at = now - entry.block_age,
               .blocked_until = now - entry.block_age + entry.block_time,
               .repetitions = entry.repetitions,
               .backends = entry.backends,
               .reporters = entry.reporters},
              now);
    }
}

std::vector<quarantine_update> prompt_quarantine::snapshot(time_point now) const {
    update_builder updates;
    for (const auto& verdict : verdicts_) {
        updates.add(to_entry(verdict, now));
    }
    for (const auto& [segment, known] : clearances_) {
        updates.add(segment_clearance{segment, age_of(known.at, now)});
    }
    for (const auto& record : crashes_) {
        updates.add(make_report(record.backend, record.prompts, age_of(record.at, now)));
    }
    return updates.take();
}

std::uint64_t prompt_quarantine::hash() const {
    std::uint64_t hash = 0;
    for (const auto& verdict : verdicts_) {
        std::string text = std::to_string(verdict.repetitions);
        for (const auto& segment : verdict.segments) {
            text += "," + segment;
        }
        hash ^= XXH3_64bits(text.data(), text.size());
    }
    return hash;
}

// Durable verdicts.

void prompt_quarantine::adopt(quarantined_prompt verdict, time_point now) {
    std::erase_if(verdict.segments, [&](const auto& segment) {
        return was_cleared_after(segment, verdict.last_crash);
    });
    const bool is_over = verdict.blocked_until + probation_time <= now;
    if (verdict.segments.empty() || is_over) {
        return;
    }
    for (auto& known : verdicts_) {
        if (known.segments == verdict.segments) {
            const bool is_newer = verdict.repetitions > known.repetitions;
            known.last_crash = std::max(known.last_crash, verdict.last_crash);
            if (is_newer) {
                verdict.last_crash = known.last_crash;
                known = std::move(verdict);
            }
            return;
        }
        if (has_all(verdict.segments, known.segments)) {
            return;
        }
    }
    if (verdicts_.size() >= config::max_quarantined) {
        changes_.push_back({quarantine_change::kind::table_full, std::move(verdict)});
        return;
    }
    block(std::move(verdict), now);
}

void prompt_quarantine::lift(const segment_list& segments, time_point now) {
    const auto ordered = sorted(segments);
    const bool is_known = std::ranges::any_of(
        verdicts_, [&](const auto& verdict) { return has_all(ordered, verdict.segments); });
    if (is_known) {
        std::ranges::for_each(ordered, [&](const auto& segment) { clear(segment, now); });
    }
}

void prompt_quarantine::expire(time_point now) {
    std::erase_if(crashes_,
                  [now](const auto& record) { return now - record.at > evidence_lifetime; });
    std::erase_if(clearances_,
                  [now](const auto& item) { return now - item.second.at > evidence_lifetime; });
    std::erase_if(verdicts_, [now](const auto& verdict) {
        return verdict.blocked_until + probation_time <= now;
    });
    on_evidence_changed();
}

std::vector<quarantine_change> prompt_quarantine::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace magnolia
