/// Liveness probes, which distinguish a slow backend server from a lost one.
#pragma once

#include "backend_fleet.h"
#include "gateway_port.h"
#include "http_client.h"

#include <functional>
#include <map>

namespace magnolia {

/// Sends a probe to a backend server whose request is silent, and reports the result to the fleet.
/// Shared by the calls of the gateway; used from one thread. The references must outlive it.
class liveness_prober {
public:
    liveness_prober(http_client& client, backend_fleet& fleet, const gateway_codec& codec);

    /// Probes the backend server, unless a probe is in flight or was started a moment ago. The
    /// result arrives at backend_fleet::on_probe_answered() or on_probe_failed().
    void probe(const std::string& backend, const endpoint& address, time_point now);

private:
    struct probe_record {
        bool is_in_flight = false;
        time_point last_started{};
    };

    http_client& client_;
    backend_fleet& fleet_;
    const gateway_codec& codec_;
    std::map<std::string, probe_record, std::less<>> probes_;
};

} // namespace magnolia
