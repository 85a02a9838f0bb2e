/// Program that serves the administration API: contracts, their history and the status of zones.
#include "admin_api.h"
#include "io_thread.h"
#include "process.h"

namespace {

using namespace magnolia;

/// Wall clock time in milliseconds since 1970.
std::int64_t wall_ms() {
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

platform_budget make_platform_budget(const platform_share& share) {
    platform_budget budget;
    budget.writes_per_second = share.writes_per_second;
    budget.reads_per_second = share.reads_per_second;
    budget.timeout = share.timeout;
    return budget;
}

result<void> run(process& running, const admin_settings& settings) {
    io_thread api_thread{"admin"};
    platform_client platform{api_thread.context(), settings.process.platform,
                             make_platform_budget(settings.platform_rates), running.boot()};
    admin_api api{platform, settings, wall_ms, running.boot()};
    http_server server{api_thread.context(),
                       {.max_body_bytes = config::max_object_bytes},
                       [&api](const http_request& request, const http_responder& responder) {
                           api.handle(request, responder);
                       }};
    if (const auto opened = server.listen(settings.listen); !opened) {
        return opened;
    }
    api_thread.start();
    running.set_ready(true);
    running.wait_for_stop();
    api_thread.stop();
    return {};
}

} // namespace

int main(int argc, char** argv) {
    return run_program<admin_settings>(
        argc, argv,
        {"magnolia-admin",
         "Serves the administration API: contracts, their history and the status of zones."},
        run);
}
