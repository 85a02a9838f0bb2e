/// The administration API: contracts, their history, the status of zones.
#include "admin_api.h"
#include "io_thread.h"
#include "process.h"

namespace {

using namespace magnolia;

std::int64_t wall_ms() {
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

platform_budget budget_of(const platform_share& share) {
    platform_budget budget;
    budget.writes_per_second = share.writes_per_second;
    budget.reads_per_second = share.reads_per_second;
    budget.timeout = share.timeout;
    return budget;
}

result<void> run(process& running, const admin_settings& settings) {
    io_thread serve{"admin"};
    platform_client platform{serve.context(), settings.process.platform,
                             budget_of(settings.platform_rates), running.boot()};
    admin_api api{platform, settings, wall_ms, running.boot()};
    http_server server{serve.context(),
                       {.max_body_bytes = config::max_object_bytes},
                       [&api](const http_request& request, const http_responder& responder) {
                           api.handle(request, responder);
                       }};
    if (const auto opened = server.listen(settings.listen); !opened) {
        return opened;
    }
    serve.start();
    running.set_ready(true);
    running.wait_for_stop();
    serve.stop();
    return {};
}

} // namespace

int main(int argc, char** argv) {
    return run_program<admin_settings>(
        argc, argv, {"magnolia-admin", "The administration API: contracts and their history."},
        run);
}
