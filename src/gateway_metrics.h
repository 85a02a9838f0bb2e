/// Metrics of a gateway: outcomes of requests, latencies by prompt length, and gauges of its state.
#pragma once

#include "forward_call.h"
#include "metrics.h"

#include <array>
#include <map>

namespace magnolia {

/// State of a gateway at one moment.
struct gateway_gauges {
    std::uint64_t config_version = 0;
    /// Time since the store last confirmed that the configuration is the newest one.
    duration config_age{0};
    /// See store_position.
    std::uint64_t store_epoch = 0;
    std::size_t live_backends = 0;
    std::size_t live_gateways = 0;
    bool is_store_reachable = false;
    std::size_t open_requests = 0;
    /// Those of open_requests that other hosts have passed on.
    std::size_t relayed_requests = 0;
    /// Services to whose backend servers this host cannot open connections.
    std::size_t unreachable_services = 0;
    std::size_t reservations = 0;
    std::size_t evacuated_zones = 0;
    /// Backend servers that state a limit.
    std::size_t limited_backends = 0;
    /// Requests per second that this host may send to them.
    double limited_share = 0;
    /// Bytes of answers that wait in this host.
    std::size_t answer_bytes = 0;
};

/// Registers and updates the metrics of one gateway; owned by it. Not thread-safe.
class gateway_metrics {
public:
    explicit gateway_metrics(metrics_registry& registry);

    /// Adds the answer of an attempt.
    void count(const answer_summary& answer);
    /// Adds a finished request.
    void count(const call_summary& summary);
    /// Adds a request whose connection closed before its response was sent completely.
    void count(const unanswered_request& request);
    void set_gauges(const gateway_gauges& gauges) const;

private:
    metrics_registry& registry_;
    /// By status and cause; created on first use.
    std::map<std::string, counter> outcomes_;
    /// By framing and result; created on first use.
    std::map<std::string, counter> answers_;
    /// By stage; created on first use.
    std::map<answer_stage, counter> lost_answers_;
    /// By cause; created on first use.
    std::map<cut_cause, counter> unanswered_;
    counter partial_events_;
    /// Time to the first byte, by class of prompt length.
    std::array<histogram, 4> first_byte_;
    histogram longest_pause_;
    /// Longest pause by its prediction.
    histogram pause_ratio_;
    counter resends_;
    gauge config_version_;
    gauge config_age_;
    gauge store_epoch_;
    gauge live_backends_;
    gauge live_gateways_;
    gauge store_reachable_;
    gauge open_requests_;
    gauge relayed_requests_;
    gauge unreachable_services_;
    gauge reservations_;
    gauge evacuated_zones_;
    gauge limited_backends_;
    gauge limited_share_;
    gauge answer_bytes_;
};

} // namespace magnolia
