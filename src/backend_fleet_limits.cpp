/// Fourth part of backend_fleet: the limits that backend servers state for all hosts together.
#include "backend_fleet.h"
#include "limit_sharing.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace magnolia {
namespace {

/// Limits of backend servers in one digest; with more, the digests take turns.
constexpr std::size_t max_told_limits = 64;
/// Bound of stated_limit_entry: the others refuse a digest with a higher one.
constexpr double max_stated_limit = 1'000'000;
/// Time for which the others are told that a limit has ended.
constexpr duration ended_limit_lifetime = std::chrono::seconds{10};

} // namespace

bool backend_fleet::set_stated_limit(const backend_process& process,
                                     std::optional<double> requests_per_s, time_point now) {
    auto* record = find(process.id);
    if (requests_per_s) {
        requests_per_s = std::min(*requests_per_s, max_stated_limit);
    }
    if (record == nullptr || record->info.started_ms != process.started_ms ||
        !record->terms.set_limit(requests_per_s, now, now)) {
        return false;
    }
    update_share(*record, now);
    return true;
}

void backend_fleet::update_share(backend_record& record, time_point now) {
    const auto limit = record.terms.limit();
    if (!limit) {
        return;
    }
    std::vector<std::string> users;
    if (record.forecast) {
        // Hosts of other domains have none: their parts would be lost while theirs have engines.
        users = topology().users_of_zone(record.info.zone);
    } else {
        std::ranges::transform(hosts_, std::back_inserter(users), &located_name::name);
    }
    record.limit_hosts = users.size();
    record.terms.set_share(limit_share(*limit, record.info.id, host_, users), now);
}

void backend_fleet::refresh_shares(time_point now) {
    if (!std::exchange(are_shares_current_, true)) {
        std::ranges::for_each(backends_ | std::views::values,
                              [&](auto& record) { update_share(record, now); });
    }
}

std::optional<double> backend_fleet::stated_limit(const std::string& backend) const {
    const auto found = backends_.find(backend);
    return found == backends_.end() ? std::nullopt : found->second.terms.limit();
}

std::vector<stated_limit_entry> backend_fleet::take_limits_to_tell(time_point now) {
    std::vector<stated_limit_entry> limits;
    const auto append = [&](const auto& item) {
        const auto& [id, record] = item;
        const auto age = now - record.terms.limit_stated_at();
        const auto limit = record.terms.limit();
        if (limit || age <= ended_limit_lifetime) {
            limits.push_back({.backend = id,
                              .started_ms = record.info.started_ms,
                              .is_limited = limit.has_value(),
                              .requests_per_s = limit.value_or(0),
                              .age = std::chrono::duration_cast<milliseconds>(age)});
        }
        return limits.size() == max_told_limits;
    };
    const auto first = backends_.upper_bound(last_told_limit_);
    if (std::find_if(first, backends_.end(), append) == backends_.end()) {
        static_cast<void>(std::find_if(backends_.begin(), first, append));
    }
    last_told_limit_ = limits.empty() ? std::string{} : limits.back().backend;
    return limits;
}

void backend_fleet::expire_limits(time_point now) {
    std::ranges::for_each(backends_ | std::views::values,
                          [now](auto& record) { record.terms.expire_limit(now); });
    refresh_shares(now);
}

void backend_fleet::apply_limits(const std::vector<stated_limit_entry>& limits, time_point now) {
    for (const auto& told : limits) {
        auto* record = find(told.backend);
        if (record == nullptr || record->info.started_ms != told.started_ms) {
            continue;
        }
        const auto limit = told.is_limited ? std::optional{told.requests_per_s} : std::nullopt;
        if (record->terms.set_limit(limit, now - told.age, now)) {
            update_share(*record, now);
        }
    }
}

std::vector<limit_division> backend_fleet::take_division_changes() {
    std::vector<limit_division> changes;
    for (auto& [id, record] : backends_) {
        const auto limit = record.terms.limit();
        if (!limit && !record.reported_division.requests_per_s) {
            continue;
        }
        const auto division =
            limit ? limit_division{id, limit, record.terms.share(), record.limit_hosts}
                  : limit_division{.backend = id};
        if (division != record.reported_division) {
            record.reported_division = division;
            changes.push_back(division);
        }
    }
    return changes;
}

double backend_fleet::limited_share() const {
    double sum = 0;
    for (const auto& record : backends_ | std::views::values) {
        sum += record.terms.share();
    }
    return sum;
}

std::size_t backend_fleet::limited_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(backends_ | std::views::values,
                              [](const auto& record) { return record.terms.limit().has_value(); }));
}

} // namespace magnolia
