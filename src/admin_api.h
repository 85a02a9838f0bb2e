/// HTTP administration API: contracts, their history, and the status of zones. See
/// docs/operators/admin-api.md.
#pragma once

#include "contract_store.h"
#include "http_server.h"
#include "platform_client.h"

namespace magnolia {

/// The API over one platform client. All members are called on the context's thread.
class admin_api {
public:
    /// @param wall_ms  wall clock, ms since 1970.
    /// @param seed     seed of the write tokens; different in every process.
    admin_api(platform_client& platform, const admin_settings& settings,
              std::function<std::int64_t()> wall_ms, std::uint64_t seed);

    void handle(const http_request& request, const http_responder& responder);

private:
    /// A request whose operator is known.
    struct call {
        http_request request;
        http_responder responder;
        std::string changed_by;
    };

    [[nodiscard]] const operator_settings* operator_of(const http_request& request) const;
    [[nodiscard]] change_context context_of(const call& asked) const;
    void handle_contracts(const call& asked);
    void handle_contract(const call& asked, const std::string& workspace);
    void list(const call& asked);
    void create(const call& asked);
    void validate(const call& asked);
    void show(const call& asked, const std::string& workspace);
    void change(const call& asked, const std::string& workspace);
    void retire(const call& asked, const std::string& workspace);
    void history(const call& asked, const std::string& workspace);
    void watch(const call& asked);
    void status(const call& asked);

    platform_client& platform_;
    const admin_settings& settings_;
    std::function<std::int64_t()> wall_ms_;
    contract_store store_;
    std::size_t watches_ = 0;
};

} // namespace magnolia
