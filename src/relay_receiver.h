/// Takes the requests that other hosts pass on to this one, and their reads of the store.
#pragma once

#include "forward_call.h"
#include "http_server.h"
#include "object_relay.h"

#include <algorithm>

namespace magnolia {

/// Listener for other hosts. Requests beyond the limit are refused at once, as this host has
/// callers of its own. Owned by the gateway; used from one thread.
class relay_receiver {
public:
    /// @param is_peer  whether another host has this IP address; all other connections are closed.
    relay_receiver(shared_call_state& shared, object_relay& reads,
                   std::function<bool(const std::string& address)> is_peer);

    /// Errors: as http_server::listen().
    [[nodiscard]] result<void> listen(const endpoint& local) { return server_.listen(local); }
    /// @param max_relayed  maximum number of requests in progress.
    void set_limits(const http_server_limits& limits, std::size_t max_relayed);
    /// Whether another request would be taken.
    [[nodiscard]] bool takes_more() const { return active_requests() < max_relayed_; }
    /// Requests that were passed on and are in progress.
    [[nodiscard]] std::size_t active_requests() const {
        return server_.active_requests() - std::min(server_.active_requests(), reads_.waiting());
    }
    [[nodiscard]] http_server& server() { return server_; }

private:
    void on_request(http_request request, const http_responder& responder);
    /// Refusal of a request that was not run, or, after an exception, perhaps was.
    [[nodiscard]] http_response refusal(const error& failure) const;

    shared_call_state& shared_;
    object_relay& reads_;
    std::size_t max_relayed_ = 0;
    http_server server_;
};

} // namespace magnolia
