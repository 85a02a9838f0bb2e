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
    /// @param on_process_ended  called if the address of a process refuses the connection, or
    /// another process has it.
    liveness_prober(http_client& client, backend_fleet& fleet, const gateway_codec& codec,
                    std::function<void(const backend_process& process)> on_process_ended);

    /// Probes the process of a backend server, unless a probe is in flight or was started a moment
    /// ago. The result arrives at backend_fleet::on_probe_answered() or on_probe_failed().
    void probe(const backend_process& process, const endpoint& address, time_point now);
    /// Probes the process regardless of other probes, as it may have ended since; not one that
    /// rests. One that is no engine is only asked for a connection, which does not show which
    /// process accepts it.
    void probe_at_once(const backend_process& process, const endpoint& address, time_point now);

private:
    void on_probe_answered(const backend_process& process, const probe_answer& answer);
    void on_probe_failed(const backend_process& process, const http_failure& failure);

    struct probe_record {
        bool is_in_flight = false;
        time_point last_started{};
    };

    http_client& client_;
    backend_fleet& fleet_;
    const gateway_codec& codec_;
    std::function<void(const backend_process& process)> on_process_ended_;
    std::map<backend_process, probe_record> probes_;
};

} // namespace magnolia
