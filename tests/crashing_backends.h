/// Gateways before backend servers that end when they run certain requests.
#pragma once

#include "gateway_cluster.h"

namespace magnolia {

/// A backend server that has ended is replaced by another one.
class crashing_backends : public gateway_cluster {
protected:
    /// Adds backend servers of the service that end while they run a request for which the function
    /// returns true.
    void add_backends(const std::string& service, std::size_t count,
                      std::function<bool(const http_request&)> is_crashing);
    /// Requests that ended a backend server, or would have.
    [[nodiscard]] std::size_t crashing_requests() const { return crashing_requests_; }

private:
    struct backend {
        std::string id;
        std::unique_ptr<test_backend> server;
    };

    void add_backend();
    void on_request(std::size_t index, const http_request& request,
                    const http_responder& responder);
    void answer(const http_request& request, const http_responder& responder) const;

    std::string service_;
    std::function<bool(const http_request&)> is_crashing_;
    std::deque<backend> backends_;
    std::size_t crashing_requests_ = 0;
};

} // namespace magnolia
