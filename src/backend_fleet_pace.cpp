/// Third part of backend_fleet: which backend servers are cold, have started or have recovered, and
/// what answers say of their pace (server_pace.h).
#include "backend_fleet.h"
#include "limit_sharing.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <ranges>

namespace magnolia {
namespace {

/// A service to which nothing was sent for this time has no traffic: its backend servers are used
/// at once when they start.
constexpr duration traffic_window = std::chrono::seconds{10};
/// Time for which a lost host counts as a user of cold backend servers; longer than hosts are
/// usually cut off from each other, and a part of a cold server's rate is unused that long.
constexpr duration lost_host_memory = std::chrono::seconds{60};
/// Time for which a host that knows no other hosts sends nothing to cold backend servers: it may
/// have started a moment ago.
constexpr duration lonely_time = std::chrono::seconds{3};
/// An answer that takes this multiple of the service's mean is a bad sign.
constexpr double late_answer_ratio = 2;
constexpr double answer_gain = 0.05;
/// Bounds of the lists, until they are taken or told.
constexpr std::size_t max_pace_changes = 256;
constexpr std::size_t max_told_cold = 64;

std::string in_ms(duration span) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// Position of a host among those that share a backend server, 0 to 1.
double turn_of(const std::string& host, const std::string& backend) {
    const auto text = host + '/' + backend;
    return static_cast<double>(XXH3_64bits(text.data(), text.size())) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

bool backend_fleet::is_cold(const backend_record& record, time_point now) const {
    const auto terms = cold_terms_.find(record.info.service);
    return terms != cold_terms_.end() && record.pace.is_cold(terms->second.cold_time, now);
}

bool backend_fleet::is_cold(const std::string& backend, time_point now) const {
    const auto found = backends_.find(backend);
    return found != backends_.end() && is_cold(found->second, now);
}

bool backend_fleet::is_borne(const backend_record& record, time_point now) const {
    return !is_cold(record, now) || record.pace.has_cold_token(now);
}

void backend_fleet::on_process_started(backend_record& record, time_point now) {
    // Entries that were away with the store come back; their processes are as old as the others.
    const bool is_newer = first_list_newest_ms_ && record.info.started_ms > *first_list_newest_ms_;
    if (!is_newer || now == time_point{}) {
        return;
    }
    record.pace.on_started(now);
    if (cold_terms_.contains(record.info.service)) {
        return update_cold_share(record, now);
    }
    const auto history = history_.find(record.info.service);
    const bool has_traffic =
        history != history_.end() && now - history->second.last_sent < traffic_window;
    if (has_traffic) {
        begin_ramp(record, "started", now);
    }
}

void backend_fleet::begin_ramp(backend_record& record, std::string_view cause, time_point now) {
    if (!pace_policy_.is_learned || cold_terms_.contains(record.info.service)) {
        return;
    }
    // Short requests for an engine come from the hosts of its cell.
    const bool is_shared_by_all = !record.forecast || !topology().is_divided();
    const auto hosts =
        is_shared_by_all
            ? hosts_.size()
            : topology().hosts_of(topology().audience_of(record.info.id, false)).size() + 1;
    record.pace.begin_ramp(turn_of(host_, record.info.id), hosts, now);
    note_pace(record, "learned pace begins cause=" + std::string{cause} +
                          " hosts=" + std::to_string(hosts));
}

void backend_fleet::on_pace_sign(backend_record& record, bool is_good, std::string_view cause,
                                 time_point now) {
    if (!record.pace.is_ramping(now)) {
        return;
    }
    if (!is_good) {
        record.pace.on_bad(now);
        return note_pace(record, "learned pace halved cause=" + std::string{cause} +
                                     " allowance=" + std::to_string(record.pace.allowance()));
    }
    std::uint32_t peers = 0;
    for (const auto& other : backends_ | std::views::values) {
        const bool is_peer = &other != &record && other.info.service == record.info.service;
        peers = is_peer ? std::max(peers, other.open_calls) : peers;
    }
    if (record.pace.on_good(peers, now)) {
        note_pace(record, "learned pace ends allowance=" + std::to_string(record.pace.allowance()) +
                              " peers=" + std::to_string(peers));
    }
}

void backend_fleet::judge_answer_time(backend_record& record, duration passed, time_point now) {
    auto& mean_ms = history_[record.info.service].answer_ms;
    const auto passed_ms = std::chrono::duration<double, std::milli>(passed).count();
    if (record.pace.is_ramping(now)) {
        const bool is_good = passed_ms <= late_answer_ratio * mean_ms || mean_ms <= 0;
        return on_pace_sign(record, is_good, is_good ? "answer" : "slow answer", now);
    }
    mean_ms = mean_ms <= 0 ? passed_ms : mean_ms + answer_gain * (passed_ms - mean_ms);
}

void backend_fleet::update_cold_share(backend_record& record, time_point now) {
    if (!is_cold(record, now)) {
        return;
    }
    const auto& terms = cold_terms_.find(record.info.service)->second;
    // Its zone's hosts use an engine. That holds for any division into cells, which changes while
    // many engines come and go.
    std::vector<std::string> users;
    for (const auto& [name, known] : cold_hosts_) {
        if (!record.forecast || known.first == record.info.zone) {
            users.push_back(name);
        }
    }
    if (users.empty()) {
        std::ranges::copy(cold_hosts_ | std::views::keys, std::back_inserter(users));
    }
    const bool is_lonely = cold_hosts_.size() < 2 && now - hosts_known_at_ < lonely_time;
    const bounded_rate rate{terms.requests_per_s, terms.requests_per_s * pace_policy_.cold_overage +
                                                      pace_policy_.cold_slack};
    const auto share =
        is_lonely
            ? 0
            : (users.empty() ? bounded_share(rate, record.info.id, host_, std::span{&host_, 1})
                             : bounded_share(rate, record.info.id, host_, users));
    const bool is_changed = share != record.pace.cold_share() || record.pace.cold_share() <= 0;
    record.pace.set_cold_share(share, now);
    if (!is_changed) {
        return;
    }
    note_pace(record, "cold left_ms=" + in_ms(record.pace.cold_until(terms.cold_time) - now) +
                          " requests_per_s=" + std::to_string(terms.requests_per_s) + " share=" +
                          std::to_string(share) + " hosts=" + std::to_string(users.size()));
}

void backend_fleet::remember_hosts(time_point now) {
    hosts_known_at_ = hosts_known_at_ == time_point{} ? now : hosts_known_at_;
    for (const auto& host : hosts_) {
        cold_hosts_[host.name] = {host.zone, time_point::max()};
    }
    for (auto& [name, known] : cold_hosts_) {
        const bool is_alive = std::ranges::find(hosts_, name, &located_name::name) != hosts_.end();
        known.second =
            is_alive ? time_point::max() : std::min(known.second, now + lost_host_memory);
    }
}

void backend_fleet::forget_lost_hosts(time_point now) {
    const auto forgotten =
        std::erase_if(cold_hosts_, [now](const auto& host) { return host.second.second <= now; });
    const bool ends_lonely_time = cold_hosts_.size() < 2 && now - hosts_known_at_ >= lonely_time;
    for (auto& record : backends_ | std::views::values) {
        if (forgotten > 0 || (ends_lonely_time && record.pace.cold_share() <= 0)) {
            update_cold_share(record, now);
        }
    }
}

bool backend_fleet::on_cold_stated(const backend_process& process, duration left, time_point now) {
    auto* record = find(process.id);
    if (record == nullptr || record->info.started_ms != process.started_ms) {
        return false;
    }
    const bool was_cold = is_cold(*record, now);
    record->answered_cold_until = std::max(record->answered_cold_until, now + left);
    record->pace.on_cold_stated(left, now);
    const bool is_news = !was_cold && is_cold(*record, now);
    if (is_news) {
        update_cold_share(*record, now);
    }
    return is_news;
}

std::vector<cold_entry> backend_fleet::stated_cold(time_point now) const {
    std::vector<cold_entry> told;
    for (const auto& [id, record] : backends_) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(record.answered_cold_until - now);
        if (left.count() > 0 && is_cold(record, now) && told.size() < max_told_cold) {
            told.push_back({.backend = id, .started_ms = record.info.started_ms, .left = left});
        }
    }
    return told;
}

void backend_fleet::apply_cold(const std::vector<cold_entry>& told, time_point now) {
    for (const auto& entry : told) {
        auto* record = find(entry.backend);
        if (record == nullptr || record->info.started_ms != entry.started_ms) {
            continue;
        }
        const bool was_cold = is_cold(*record, now);
        record->pace.on_cold_stated(entry.left, now);
        if (!was_cold) {
            update_cold_share(*record, now);
        }
    }
}

std::pair<std::size_t, std::size_t> backend_fleet::paced_counts(time_point now) const {
    std::pair<std::size_t, std::size_t> counts{0, 0};
    for (const auto& record : backends_ | std::views::values) {
        counts.first += is_cold(record, now) ? 1 : 0;
        counts.second += record.pace.is_ramping(now) ? 1 : 0;
    }
    return counts;
}

void backend_fleet::note_pace(const backend_record& record, std::string text) {
    if (pace_changes_.size() < max_pace_changes) {
        pace_changes_.push_back({record.info.id, std::move(text)});
    }
}

std::vector<pace_change> backend_fleet::take_pace_changes() {
    return std::exchange(pace_changes_, {});
}

} // namespace magnolia
