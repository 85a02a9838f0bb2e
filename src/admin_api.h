/// HTTP administration API: contracts, their history, and the status of zones. See
/// docs/operators/admin-api.md.
#pragma once

#include "contract_store.h"
#include "http_server.h"
#include "platform_client.h"

namespace magnolia {

/// Handles the requests of the administration API with one platform client. Owned by
/// magnolia-admin; used on the thread of the client's context only.
class admin_api {
public:
    /// @param wall_ms  wall clock, ms since 1970.
    /// @param seed     seed of the write tokens; has to differ between processes.
    admin_api(platform_client& platform, const admin_settings& settings,
              std::function<std::int64_t()> wall_ms, std::uint64_t seed);

    /// Authenticates and executes a request. The response is sent once, after the calls to the
    /// platform that the request needs.
    void handle(const http_request& request, const http_responder& responder);

private:
    /// An authenticated request.
    struct admin_call {
        http_request request;
        http_responder responder;
        std::string changed_by;
    };

    /// Operator whose key the request carries; null if none.
    [[nodiscard]] const operator_settings* authenticate(const http_request& request) const;
    /// Author, time and deadline of a change that starts now.
    [[nodiscard]] change_context make_change_context(const admin_call& call) const;
    /// Calls the handler for the path and method of the request.
    void dispatch(const admin_call& call);
    /// Calls the handler for a request about one contract.
    void dispatch_contract(const admin_call& call, const std::string& workspace);
    void list(const admin_call& call);
    void create(const admin_call& call);
    void validate(const admin_call& call);
    void show(const admin_call& call, const std::string& workspace);
    void change(const admin_call& call, const std::string& workspace);
    void retire(const admin_call& call, const std::string& workspace);
    void history(const admin_call& call, const std::string& workspace);
    void watch(const admin_call& call);
    void status(const admin_call& call);

    platform_client& platform_;
    const admin_settings& settings_;
    std::function<std::int64_t()> wall_ms_;
    contract_store store_;
    std::size_t open_watches_ = 0;
};

} // namespace magnolia
