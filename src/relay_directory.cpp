#include "relay_directory.h"

#include <magnolia/config.h>

#include <algorithm>

namespace magnolia {
namespace {

/// Time without a digest after which a host is not chosen: two lost digests in a row.
constexpr duration fresh_time = std::chrono::milliseconds{1250};
/// Time without a digest after which a host counts as lost: five lost digests in a row.
constexpr duration lost_time = std::chrono::milliseconds{2500};
/// Time for which a host is not chosen after it has refused a request.
constexpr duration refusal_time = std::chrono::milliseconds{500};
/// Load of a host in another zone: this factor and so many requests more.
constexpr double other_zone_factor = 1.25;
constexpr double other_zone_requests = 2;

} // namespace

void relay_directory::on_digest(const placement_update& digest, const endpoint& address,
                                time_point now) {
    if (hosts_.size() >= config::max_relay_hosts && !hosts_.contains(digest.sender)) {
        std::erase_if(
            hosts_, [now](const auto& item) { return now - item.second.last_digest > lost_time; });
        if (hosts_.size() >= config::max_relay_hosts) {
            return;
        }
    }
    auto& host = hosts_[digest.sender];
    host.address = address;
    host.zone = digest.zone;
    host.takes_relayed = digest.takes_relayed;
    host.unreachable = digest.unreachable;
    host.open_requests = digest.open_requests;
    host.sent_since = 0;
    host.last_digest = now;
}

void relay_directory::on_refused(const std::string& host, time_point now) {
    if (const auto found = hosts_.find(host); found != hosts_.end()) {
        found->second.excluded_until = now + refusal_time;
    }
}

double relay_directory::load_of(const record& host) const {
    const double requests = host.open_requests + host.sent_since;
    return host.zone == zone_ ? requests : requests * other_zone_factor + other_zone_requests;
}

std::optional<relay_host> relay_directory::choose(std::string_view service,
                                                  const std::vector<std::string>& tried,
                                                  time_point now, std::mt19937_64& random) {
    std::vector<std::pair<const std::string, record>*> candidates;
    for (auto& item : hosts_) {
        const auto& host = item.second;
        const bool is_fit = host.takes_relayed && now - host.last_digest <= fresh_time &&
                            now >= host.excluded_until &&
                            std::ranges::find(host.unreachable, service) == host.unreachable.end();
        if (is_fit && std::ranges::find(tried, item.first) == tried.end()) {
            candidates.push_back(&item);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<std::pair<const std::string, record>*> drawn;
    std::ranges::sample(candidates, std::back_inserter(drawn), 2, random);
    auto& [name, host] = **std::ranges::min_element(
        drawn, {}, [this](const auto* item) { return load_of(item->second); });
    ++host.sent_since;
    return relay_host{name, host.address};
}

bool relay_directory::is_alive(const std::string& host, time_point now) const {
    const auto found = hosts_.find(host);
    return found != hosts_.end() && now - found->second.last_digest <= lost_time;
}

} // namespace magnolia
