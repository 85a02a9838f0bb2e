/// Client of plain services: sends each call once and reports its result.
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

/// Protocol and address of a service; another protocol is added as another alternative.
using service_backend = std::variant<http_service>;

/// Timeouts and limits of service_client.
struct service_client_settings {
    std::chrono::milliseconds connect_timeout{1000};
    /// Maximum body of an answer, bytes.
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
};

/// Receives the event of each call.
using service_event_sink = std::function<void(service_event event)>;

/// Client of all services of an entry; never retries. All members and the sink are called on the
/// thread of the I/O context; the sink is not called from inside a member function.
class service_client {
public:
    service_client(boost::asio::io_context& context, service_client_settings settings);
    ~service_client();

    void set_event_sink(service_event_sink sink);
    /// Adds a service or updates its address.
    void put_service(service_handle service, service_backend backend);
    /// Calls in progress continue; new ones fail with not_run.
    void remove_service(service_handle service);

    /// Sends the call. Exactly one event follows, at the latest deadline_grace (one second) after
    /// the time left.
    void submit(const service_call& call);
    /// Cancels a call. No event follows; the service may still run it.
    void cancel(const attempt_id& id);
    /// Number of calls in progress.
    [[nodiscard]] std::size_t active_calls() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
