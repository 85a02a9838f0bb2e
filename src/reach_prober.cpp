#include "reach_prober.h"

#include "log.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Timeout of a check: round trips between two zones with one lost packet.
constexpr std::chrono::milliseconds check_timeout{250};
/// Time between two rounds of checks.
constexpr std::chrono::milliseconds probe_interval{300};
/// Backend servers of a service that are checked in one round.
constexpr std::size_t checks_per_round = 2;

const logger& log_of() {
    static const logger log{"reach"};
    return log;
}

} // namespace

reach_prober::reach_prober(boost::asio::io_context& context, http_client& client,
                           backend_fleet& fleet, std::uint64_t seed,
                           std::function<void()> on_change)
    : client_{client}, fleet_{fleet}, on_change_{std::move(on_change)}, random_{seed},
      timer_{context} {}

void reach_prober::on_connected(const std::string& backend) {
    const auto service = fleet_.service_of(backend);
    if (reach_.on_connected(service)) {
        log_of().info("service is reachable again, sends to its backend servers service=" +
                      service + " backend=" + backend);
        fleet_.reset_health(service);
        on_change_();
    }
}

void reach_prober::on_connection_failed(const std::string& backend, time_point now) {
    const auto service = fleet_.service_of(backend);
    if (service.empty()) {
        return; // Removed from the list meanwhile.
    }
    record_failure(service, backend, now);
    if (!std::exchange(is_probing_, true)) {
        probe_suspected();
    }
}

void reach_prober::record_failure(const std::string& service, const std::string& backend,
                                  time_point now) {
    const auto listed = fleet_.live_backends(service, now).size();
    if (reach_.on_connection_failed(service, backend, listed, now)) {
        on_unreachable(service, listed);
    }
}

void reach_prober::on_connection_broken(const std::string& backend, time_point now) {
    const auto service = fleet_.service_of(backend);
    const auto listed = fleet_.live_backends(service, now).size();
    if (!service.empty() && reach_.on_connection_broken(service, backend, listed, now)) {
        on_unreachable(service, listed);
    }
}

void reach_prober::on_unreachable(const std::string& service, std::size_t listed) {
    log_of().warn("service is unreachable from this host, passes requests on to other hosts "
                  "service=" +
                  service + " backend_servers=" + std::to_string(listed));
    on_change_();
    for (const auto& other : fleet_.services()) {
        if (other != service && !reach_.is_unreachable(other)) {
            probe(other);
        }
    }
}

void reach_prober::probe(const std::string& service) {
    auto targets = fleet_.live_backends(service, steady_now());
    std::ranges::shuffle(targets, random_);
    std::ranges::stable_partition(
        targets, [&](const auto& target) { return !reach_.has_failed(service, target.id); });
    for (const auto& target : targets | std::views::take(checks_per_round)) {
        client_.check_connection(target.address, check_timeout,
                                 [this, service, backend = target.id](const http_failure* failure) {
                                     if (failure == nullptr) {
                                         return on_connected(backend);
                                     }
                                     record_failure(service, backend, steady_now());
                                 });
    }
}

void reach_prober::probe_suspected() {
    const auto services = reach_.suspected(steady_now());
    if (services.empty()) {
        is_probing_ = false;
        return;
    }
    std::ranges::for_each(services, [this](const auto& service) { probe(service); });
    timer_.expires_after(probe_interval);
    timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            probe_suspected();
        }
    });
}

} // namespace magnolia
