/// Calls plain services once each and tells what came of it. One thread.
#pragma once

#include "service_port.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace magnolia {

/// A service that speaks HTTP; see docs/backends/service.md.
struct http_service {
    endpoint address;
};

/// How a service is reached; another protocol is one more alternative.
using service_backend = std::variant<http_service>;

struct service_client_settings {
    std::chrono::milliseconds connect_timeout{1000};
    /// Longest body of an answer, bytes.
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
    /// Kept connections per service.
    std::size_t max_idle = 16;
};

/// Takes the one event of each call.
using service_event_sink = std::function<void(service_event event)>;

/// Client of all services; never repeats a call. Every member is called on the context's thread,
/// and the sink is; never from inside a member.
class service_client {
public:
    service_client(boost::asio::io_context& context, service_client_settings settings);
    ~service_client();

    void set_event_sink(service_event_sink sink);
    void put_service(service_handle service, service_backend backend);
    /// Calls under way go on; new ones fail with not_run.
    void remove_service(service_handle service);

    /// Makes the call; exactly one event follows, at the latest one second after the time left.
    void submit(const service_call& call);
    /// Gives a call up; no event follows, and the service may still run it.
    void cancel(const attempt_id& id);
    [[nodiscard]] std::size_t active_calls() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
