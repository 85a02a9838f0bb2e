/// Third part of backend_fleet: what gateways tell each other of placements.
#include "backend_fleet.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Placements in one datagram of a snapshot; at about 80 bytes each under the usual MTU.
constexpr std::size_t max_snapshot_placements = 16;
/// Bounds the jobs tracked for each other gateway.
constexpr std::size_t max_remote_jobs = 4096;

milliseconds remaining_time(duration target, duration passed) {
    return std::chrono::duration_cast<milliseconds>(std::max(target - passed, duration{0}));
}

std::uint32_t remaining_tokens(std::uint32_t tokens, double done) {
    return done < tokens ? static_cast<std::uint32_t>(tokens - done) : 0;
}

/// The remaining part of a job, in the form of a job that is placed now. A target of zero means
/// that it can no longer be missed.
placed_work remaining_work(const engine_job& job, const std::string& backend, time_point now) {
    const auto passed = now - job.placed_at;
    return {.backend = backend,
            .number = job.id.number,
            .prefill_tokens = remaining_tokens(job.prefill.tokens, job.prefilled_tokens),
            .first_attention_span = job.prefill.first_attention_span +
                                    job.prefill.attention_span_increment * job.prefilled_tokens,
            .attention_span_increment = job.prefill.attention_span_increment,
            .memory_tokens = job.memory_tokens,
            .context_tokens = job.context_tokens,
            .answer_tokens = remaining_tokens(job.answer_tokens, job.decoded_tokens),
            .is_helper = job.is_helper,
            .has_helpers = job.has_helpers,
            .target_latency =
                job.is_late ? milliseconds{0} : remaining_time(job.target_latency, passed),
            .target_pause = job.is_late
                                ? milliseconds{0}
                                : std::chrono::duration_cast<milliseconds>(job.target_pause),
            .time_limit = remaining_time(job.time_limit, passed),
            .value = job.value};
}

} // namespace

std::vector<addressed_update> backend_fleet::take_updates() {
    auto updates = outbox_.take_changes();
    for (auto& item : updates) {
        item.update.origin = origin_;
    }
    return updates;
}

placement_update backend_fleet::take_digest() {
    auto update = outbox_.take_digest(topology().own_cell());
    update.origin = origin_;
    update.is_digest = true;
    std::erase_if(update.placed,
                  [this](const placed_work& work) { return !open_jobs_.contains(work.number); });
    std::set<std::uint64_t> repeated;
    for (const auto& work : update.placed) {
        const bool is_first = repeated.insert(work.number).second;
        if (is_first && open_jobs_.find(work.number)->second.has_first_event) {
            update.answer_started.push_back(work.number);
        }
    }
    std::ranges::copy(open_jobs_ | std::views::keys, std::back_inserter(update.active));
    return update;
}

std::vector<placement_update> backend_fleet::snapshot_updates(const std::string& receiver,
                                                              time_point now) {
    std::vector<placement_update> updates;
    for (const auto& [number, open] : open_jobs_) {
        const bool concerns_receiver =
            !topology().is_divided() || std::ranges::any_of(open.audiences, [&](const auto& item) {
                return topology().contains(item, receiver);
            });
        if (!concerns_receiver) {
            continue;
        }
        if (updates.empty() || updates.back().placed.size() >= max_snapshot_placements) {
            updates.push_back({.origin = origin_});
        }
        for (const auto& backend : open.backends) {
            auto* record = find(backend);
            if (record == nullptr || !record->forecast) {
                continue;
            }
            record->forecast->advance(now);
            if (const auto* job = record->forecast->find({origin_, number})) {
                updates.back().placed.push_back(remaining_work(*job, backend, now));
            }
        }
        if (open.has_first_event) {
            updates.back().answer_started.push_back(number);
        }
    }
    return updates;
}

void backend_fleet::add_remote_job(const placed_work& work, std::uint64_t origin, time_point now) {
    auto* record = find(work.backend);
    auto& backends = remote_jobs_[origin][work.number];
    const bool is_duplicate = std::ranges::find(backends, work.backend) != backends.end();
    if (record == nullptr || !record->forecast || is_duplicate) {
        return;
    }
    add_job(*record, work, origin, now);
    backends.push_back(work.backend);
}

void backend_fleet::apply_update(const placement_update& update, time_point now) {
    if (update.origin == origin_) {
        return;
    }
    auto& jobs = remote_jobs_[update.origin];
    const auto end_job = [&](auto job) {
        for (const auto& backend : job->second) {
            if (auto* record = find(backend); record != nullptr && record->forecast) {
                record->forecast->remove({update.origin, job->first}, now);
            }
        }
        return jobs.erase(job);
    };
    for (const auto& work : update.placed) {
        if (jobs.size() < max_remote_jobs) {
            add_remote_job(work, update.origin, now);
        }
    }
    for (const auto number : update.answer_started) {
        const auto job = jobs.find(number);
        if (job == jobs.end()) {
            continue;
        }
        for (const auto& backend : job->second) {
            if (auto* record = find(backend); record != nullptr && record->forecast) {
                record->forecast->on_event({update.origin, number}, now);
            }
        }
    }
    for (const auto number : update.ended) {
        if (const auto job = jobs.find(number); job != jobs.end()) {
            end_job(job);
        }
    }
    if (update.is_digest) {
        for (auto job = jobs.begin(); job != jobs.end();) {
            const bool is_open =
                std::ranges::find(update.active, job->first) != update.active.end();
            job = is_open ? std::next(job) : end_job(job);
        }
    }
}

void backend_fleet::remove_origin(std::uint64_t origin) {
    for (auto& record : backends_ | std::views::values) {
        if (record.forecast) {
            record.forecast->remove_origin(origin);
        }
    }
    remote_jobs_.erase(origin);
}

} // namespace magnolia
