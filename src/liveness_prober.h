/// Asks backend servers that have fallen silent for a sign of life, so that a slow one is told
/// apart from one that is lost.
#pragma once

#include "backend_fleet.h"
#include "gateway_port.h"
#include "http_client.h"

#include <functional>
#include <map>

namespace magnolia {

class liveness_prober {
public:
    liveness_prober(http_client& client, backend_fleet& fleet, const gateway_codec& codec);

    /// Probes the backend server, unless a probe is under way or has just ended.
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
