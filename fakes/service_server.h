/// HTTP front end of the simulated plain services of one process, with a control listener for fault
/// injection and counters.
#pragma once

#include "http_server.h"
#include "service_model.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace magnolia::fakes {

struct service_server_settings {
    std::string address = "127.0.0.1";
    std::uint32_t services = 1;
    /// Port of the first service; the others use the following ports. 0 lets the operating system
    /// choose each port.
    std::uint16_t first_port = 0;
    std::uint16_t control_port = 0;
};

/// Runs all services of the process. Used by fake-service and tests; all calls must be made on the
/// context's thread.
class service_server {
public:
    service_server(boost::asio::io_context& context, service_server_settings settings);
    ~service_server();

    /// Opens all listeners. Errors: connection.
    [[nodiscard]] result<void> listen();
    [[nodiscard]] std::uint16_t port(std::size_t service) const;
    [[nodiscard]] std::uint16_t control_port() const;
    [[nodiscard]] service_model& model(std::size_t service);
    /// Injects a fault by its name: a field of service_faults with a count; delay with the time in
    /// ms as count; drain, undrain, crash or restart. Errors: not_found.
    [[nodiscard]] result<void> apply_fault(std::size_t service, std::string_view fault,
                                           std::uint32_t count);

private:
    struct served_service;

    void handle(served_service& service, const http_request& request,
                const http_responder& responder);
    void handle_control(const http_request& request, const http_responder& responder);

    boost::asio::io_context& context_;
    service_server_settings settings_;
    std::vector<std::unique_ptr<served_service>> services_;
    std::unique_ptr<http_server> control_;
};

} // namespace magnolia::fakes
