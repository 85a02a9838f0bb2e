/// Chooses the host that a request is passed on to when this host cannot reach its service. Does no
/// I/O; the time is passed in.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnolia {

/// A host that takes requests from others.
struct relay_host {
    std::string name;
    endpoint address;
};

/// What the other hosts tell in their digests. Not thread-safe.
class relay_directory {
public:
    /// @param zone  availability zone of this host.
    explicit relay_directory(std::string zone) : zone_{std::move(zone)} {}

    /// @param address  address of the host for other hosts.
    void on_digest(const placement_update& digest, const endpoint& address, time_point now);
    /// The host did not take a request, or could not be reached: it is not chosen for a moment.
    void on_refused(const std::string& host, time_point now);
    /// Power of two choices: the less loaded one of two random hosts that take requests and reach
    /// the service. A host of another zone counts as more loaded.
    /// @param tried  names of hosts that are not chosen.
    [[nodiscard]] std::optional<relay_host> choose(std::string_view service,
                                                   const std::vector<std::string>& tried,
                                                   time_point now, std::mt19937_64& random);
    /// Whether the host has sent a digest recently.
    [[nodiscard]] bool is_alive(const std::string& host, time_point now) const;

private:
    struct record {
        endpoint address;
        std::string zone;
        bool takes_relayed = false;
        std::vector<std::string> unreachable;
        std::uint32_t open_requests = 0;
        /// Requests passed on to it since its last digest.
        std::uint32_t sent_since = 0;
        time_point last_digest{};
        time_point excluded_until{};
    };

    [[nodiscard]] double load_of(const record& host) const;

    std::string zone_;
    /// By name.
    std::map<std::string, record> hosts_;
};

} // namespace magnolia
