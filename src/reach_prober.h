/// Finds out by connections, without requests, which services this host cannot reach and when it
/// can again.
#pragma once

#include "backend_fleet.h"
#include "http_client.h"
#include "service_reach.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace magnolia {

/// Learns from the connections of requests. While one has failed and none was opened since, it
/// checks other backend servers of the service; when one service turns out to be unreachable, it
/// checks the others. Owned by the gateway and shared by its calls; used from one thread.
class reach_prober {
public:
    /// @param seed       of the choice of servers to check; another one at each host, as hosts that
    ///                   are cut off together would else all check the same.
    /// @param on_change  called when a service becomes unreachable or reachable.
    reach_prober(boost::asio::io_context& context, http_client& client, backend_fleet& fleet,
                 std::uint64_t seed, std::function<void()> on_change);

    /// A connection to the backend server was opened.
    void on_connected(const std::string& backend);
    /// A connection to the backend server could not be opened.
    void on_connection_failed(const std::string& backend, time_point now);
    /// A connection to the backend server broke after a request had been written to it.
    void on_connection_broken(const std::string& backend, time_point now);
    [[nodiscard]] bool is_unreachable(std::string_view service) const {
        return reach_.is_unreachable(service);
    }
    [[nodiscard]] std::vector<std::string> unreachable() const { return reach_.unreachable(); }

private:
    /// Records a failed connection; checks the other services if this one is unreachable now.
    void record_failure(const std::string& service, const std::string& backend, time_point now);
    /// The service is unreachable from now on.
    void on_unreachable(const std::string& service, std::size_t listed);
    /// Checks some backend servers of the service, those that have not failed first.
    void probe(const std::string& service);
    /// Checks all suspected services, and again later while there are any.
    void probe_suspected();

    http_client& client_;
    backend_fleet& fleet_;
    std::function<void()> on_change_;
    service_reach reach_;
    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    bool is_probing_ = false;
};

} // namespace magnolia
