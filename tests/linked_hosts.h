/// Gateways that each reach the backend servers over links of their own, which the test cuts.
#pragma once

#include "delay_link.h"
#include "gateway_cluster.h"

namespace magnolia {

/// Codec that replaces the addresses of backend servers by those of one host's links to them.
class linked_codec final : public test_codec {
public:
    /// Port of the link by port of the backend server.
    explicit linked_codec(std::map<std::uint16_t, std::uint16_t> links)
        : links_{std::move(links)} {}

    [[nodiscard]] result<backend_info> read_backend(const std::string& id,
                                                    std::string_view value) const override;

private:
    std::map<std::uint16_t, std::uint16_t> links_;
};

/// Hosts g1, g2, ... before the servers of both services, which answer all requests unless the test
/// sets another handler.
class linked_hosts : public gateway_cluster {
protected:
    static constexpr std::size_t servers_per_service = 3;
    /// Time after a cut from which the users count requests.
    static constexpr duration contact_time = std::chrono::seconds{3};

    linked_hosts();

    void start_hosts(std::size_t count);
    /// Cuts the host from all servers, from those of one service, or ends the cut.
    void set_links(std::size_t host, fakes::link_fault fault, const std::string& service = {});
    /// Sends safe requests, unsafe ones and streams to all hosts in turn for this time each.
    /// Returns the requests that were not served.
    std::size_t unserved(duration span);
    /// Runs the test's I/O for this time, with a few requests to each host.
    void pass_time(duration span);
    /// Requests that the servers of the service have received.
    [[nodiscard]] std::size_t request_count(const std::string& service) const;
    /// Cuts the first host from all servers and waits until it knows.
    void cut_first_host(fakes::link_fault fault);

    /// Handles all requests to servers.
    http_handler handler_;

private:
    struct linked_server {
        std::string service;
        std::unique_ptr<test_backend> backend;
    };
    struct host {
        std::unique_ptr<linked_codec> codec;
        /// By id of the server.
        std::map<std::string, std::unique_ptr<fakes::delay_link>> links;
    };

    std::map<std::string, linked_server> servers_;
    std::vector<host> hosts_;
};

} // namespace magnolia
