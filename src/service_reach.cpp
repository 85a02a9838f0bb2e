#include "service_reach.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace magnolia {
namespace {

/// Backend servers of a service that have to fail in a row.
constexpr std::size_t failures_to_conclude = 3;
/// Time without another failure after which a failure no longer counts.
constexpr duration failure_lifetime = std::chrono::seconds{2};

} // namespace

bool service_reach::on_connected(std::string_view service) {
    const auto found = failures_.find(service);
    if (found == failures_.end()) {
        return false;
    }
    const bool was_unreachable = found->second.is_unreachable;
    failures_.erase(found);
    return was_unreachable;
}

bool service_reach::on_connection_failed(const std::string& service, const std::string& backend,
                                         std::size_t listed, time_point now) {
    auto& failed = failures_[service];
    if (!failed.is_unreachable && now - failed.last > failure_lifetime) {
        failed.backends.clear();
    }
    failed.backends.insert(backend);
    failed.last = now;
    return conclude(failed, listed, now);
}

bool service_reach::on_connection_broken(const std::string& service, const std::string& backend,
                                         std::size_t listed, time_point now) {
    auto& failed = failures_[service];
    failed.broken = backend;
    failed.broken_at = now;
    return conclude(failed, listed, now);
}

bool service_reach::conclude(failures& failed, std::size_t listed, time_point now) {
    const auto needed = std::clamp(listed, std::size_t{1}, failures_to_conclude);
    const bool is_broken_other = !failed.broken.empty() &&
                                 now - failed.broken_at <= failure_lifetime &&
                                 !failed.backends.contains(failed.broken);
    const bool have_all_failed = is_broken_other && listed > 1 &&
                                 failed.backends.size() + 1 >= listed &&
                                 now - failed.last <= failure_lifetime;
    const bool is_concluded = failed.backends.size() >= needed || have_all_failed;
    return is_concluded && !std::exchange(failed.is_unreachable, true);
}

bool service_reach::is_unreachable(std::string_view service) const {
    const auto found = failures_.find(service);
    return found != failures_.end() && found->second.is_unreachable;
}

std::vector<std::string> service_reach::unreachable() const {
    std::vector<std::string> services;
    for (const auto& [service, failed] : failures_) {
        if (failed.is_unreachable) {
            services.push_back(service);
        }
    }
    return services;
}

std::vector<std::string> service_reach::suspected(time_point now) {
    std::erase_if(failures_, [now](const auto& item) {
        const auto last = std::max(item.second.last, item.second.broken_at);
        return !item.second.is_unreachable && now - last > failure_lifetime;
    });
    std::vector<std::string> services;
    for (const auto& [service, failed] : failures_) {
        if (!failed.backends.empty()) {
            services.push_back(service);
        }
    }
    return services;
}

bool service_reach::has_failed(std::string_view service, const std::string& backend) const {
    const auto found = failures_.find(service);
    return found != failures_.end() && found->second.backends.contains(backend);
}

} // namespace magnolia
