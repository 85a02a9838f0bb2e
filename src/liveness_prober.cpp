#include "liveness_prober.h"

#include "log.h"

namespace magnolia {
namespace {

/// Timeout of a probe: round trips between two zones with one lost packet.
constexpr std::chrono::milliseconds probe_timeout{250};
/// Minimum time between probes of one backend server, as probes are charged for.
constexpr duration probe_interval = std::chrono::milliseconds{300};
/// At this number of records, those without a probe in flight are dropped.
constexpr std::size_t max_probe_records = 1024;

const logger& log_of() {
    static const logger log{"probe"};
    return log;
}

} // namespace

liveness_prober::liveness_prober(http_client& client, backend_fleet& fleet,
                                 const gateway_codec& codec,
                                 std::function<void(const backend_process&)> on_refused)
    : client_{client}, fleet_{fleet}, codec_{codec}, on_refused_{std::move(on_refused)} {}

void liveness_prober::probe(const std::string& backend, const endpoint& address, time_point now) {
    if (probes_.size() >= max_probe_records) {
        std::erase_if(probes_, [](const auto& item) { return !item.second.is_in_flight; });
    }
    const auto& probe = probes_[backend];
    if (!probe.is_in_flight && now - probe.last_started >= probe_interval) {
        probe_at_once(backend, address, now);
    }
}

void liveness_prober::probe_at_once(const std::string& backend, const endpoint& address,
                                    time_point now) {
    // A probe would count against its limit, and nothing is sent to an evacuated zone.
    if (fleet_.is_resting(backend, now) || fleet_.stated_limit(backend) ||
        fleet_.is_evacuated(backend, now)) {
        return;
    }
    probes_[backend] = {true, now};
    const auto process = fleet_.process_of(backend);
    if (!fleet_.is_engine(backend)) {
        client_.check_connection(address, probe_timeout, [this, process](const auto* failure) {
            probes_[process.id].is_in_flight = false;
            if (failure != nullptr) {
                on_probe_failed(process, *failure);
            }
        });
        return;
    }
    http_call_limits limits;
    limits.connect_timeout = probe_timeout;
    limits.inactivity_timeout = probe_timeout;
    limits.total_timeout = probe_timeout;
    limits.max_body_bytes = config::max_order_answer_bytes;
    client_.call(address, codec_.write_probe(), limits, [this, process](const auto& answer) {
        probes_[process.id].is_in_flight = false;
        if (answer) {
            return fleet_.on_probe_answered(process.id, steady_now());
        }
        on_probe_failed(process, answer.error());
    });
}

void liveness_prober::on_probe_failed(const backend_process& process, const http_failure& failure) {
    log_of().info("backend server " + process.id + " did not answer a liveness probe");
    fleet_.on_probe_failed(process.id, steady_now());
    if (failure.is_refused) {
        on_refused_(process);
    }
}

} // namespace magnolia
