/// Liveness probes, which distinguish a slow backend server from a lost one.
#pragma once

#include "backend_fleet.h"
#include "gateway_port.h"
#include "http_client.h"

#include <functional>
#include <map>

namespace magnolia {

/// Sends a probe to a backend server whose request is silent or was broken off, and reports the
/// result to the fleet. Shared by the calls of the gateway; used from one thread. The references
/// must outlive it.
class liveness_prober {
public:
    /// @param on_refused  called if a backend server refuses the connection.
    liveness_prober(http_client& client, backend_fleet& fleet, const gateway_codec& codec,
                    std::function<void(const backend_process& backend)> on_refused);

    /// Probes the backend server, unless a probe is in flight or was started a moment ago. The
    /// result arrives at backend_fleet::on_probe_answered() or on_probe_failed().
    void probe(const std::string& backend, const endpoint& address, time_point now);
    /// Probes the backend server regardless of other probes, as it may have ended since; not one
    /// that rests. One that is no engine is only asked for a connection.
    void probe_at_once(const std::string& backend, const endpoint& address, time_point now);

private:
    void on_probe_failed(const backend_process& process, const http_failure& failure);

    struct probe_record {
        bool is_in_flight = false;
        time_point last_started{};
    };

    http_client& client_;
    backend_fleet& fleet_;
    const gateway_codec& codec_;
    std::function<void(const backend_process& backend)> on_refused_;
    std::map<std::string, probe_record, std::less<>> probes_;
};

} // namespace magnolia
