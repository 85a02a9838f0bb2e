/// Whether this host can open connections to the backend servers of each service. Does no I/O; the
/// time is passed in.
#pragma once

#include <magnolia/types.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Beliefs of one host by service. Not thread-safe.
///
/// A service is unreachable once connections to several of its backend servers in a row, or to all
/// of them, could not be opened, and until one can. Open connections prove nothing: they may go on
/// while new ones are refused. One backend server that has ended or is silent is not enough, unless
/// the service has no other. A broken connection counts for one of several backend servers if
/// connections to all others could not be opened.
class service_reach {
public:
    /// A connection to a backend server of the service was opened. Returns whether the service was
    /// unreachable.
    bool on_connected(std::string_view service);
    /// A connection could not be opened.
    /// @param listed  number of backend servers of the service.
    /// Returns whether the service is unreachable from now on.
    bool on_connection_failed(const std::string& service, const std::string& backend,
                              std::size_t listed, time_point now);
    /// A connection broke after a request had been written to it; otherwise as
    /// on_connection_failed().
    bool on_connection_broken(const std::string& service, const std::string& backend,
                              std::size_t listed, time_point now);
    [[nodiscard]] bool is_unreachable(std::string_view service) const;
    /// Services that are unreachable, in the order of their names.
    [[nodiscard]] std::vector<std::string> unreachable() const;
    /// Services with a failure that no success has followed; those without one for some time are
    /// forgotten unless they are unreachable.
    [[nodiscard]] std::vector<std::string> suspected(time_point now);
    /// Whether a connection to this backend server has failed since the last success.
    [[nodiscard]] bool has_failed(std::string_view service, const std::string& backend) const;

private:
    struct failures {
        std::set<std::string> backends;
        time_point last{};
        /// Backend server whose connection broke last.
        std::string broken;
        time_point broken_at{};
        bool is_unreachable = false;
    };

    /// Concludes from the failures; returns whether the service is unreachable from now on.
    static bool conclude(failures& failed, std::size_t listed, time_point now);

    /// Services with failures since the last success, by name.
    std::map<std::string, failures, std::less<>> failures_;
};

} // namespace magnolia
