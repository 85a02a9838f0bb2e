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

liveness_prober::liveness_prober(
    http_client& client, backend_fleet& fleet, const gateway_codec& codec,
    std::function<void(const backend_process& process)> on_process_ended)
    : client_{client}, fleet_{fleet}, codec_{codec},
      on_process_ended_{std::move(on_process_ended)} {}

void liveness_prober::probe(const backend_process& process, const endpoint& address,
                            time_point now) {
    if (probes_.size() >= max_probe_records) {
        std::erase_if(probes_, [](const auto& item) { return !item.second.is_in_flight; });
    }
    const auto& probe = probes_[process];
    if (!probe.is_in_flight && now - probe.last_started >= probe_interval) {
        probe_at_once(process, address, now);
    }
}

void liveness_prober::probe_at_once(const backend_process& process, const endpoint& address,
                                    time_point now) {
    // A probe would count against its limit, and nothing is sent to an evacuated zone.
    if (fleet_.is_resting(process.id, now) || fleet_.stated_limit(process.id) ||
        fleet_.is_evacuated(process.id, now)) {
        return;
    }
    probes_[process] = {true, now};
    if (!fleet_.is_engine(process.id)) {
        client_.check_connection(address, probe_timeout, [this, process](const auto* failure) {
            probes_[process].is_in_flight = false;
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
    client_.call(address, codec_.write_probe(process.id), limits,
                 [this, process](const auto& answer) {
                     probes_[process].is_in_flight = false;
                     if (answer) {
                         return on_probe_answered(process, codec_.read_probe(*answer));
                     }
                     on_probe_failed(process, answer.error());
                 });
}

void liveness_prober::on_probe_answered(const backend_process& process,
                                        const probe_answer& answer) {
    if (fleet_.on_probe_answered(process, answer, steady_now())) {
        return;
    }
    log_of().info("another process answered a liveness probe of backend server " + process.id +
                  " started_ms=" + std::to_string(process.started_ms) + " answered_by_started_ms=" +
                  (answer.started_ms ? std::to_string(*answer.started_ms) : "-"));
    on_process_ended_(process);
}

void liveness_prober::on_probe_failed(const backend_process& process, const http_failure& failure) {
    log_of().info("backend server " + process.id + " did not answer a liveness probe");
    fleet_.on_probe_failed(process, steady_now());
    if (failure.is_refused) {
        on_process_ended_(process);
    }
}

} // namespace magnolia
