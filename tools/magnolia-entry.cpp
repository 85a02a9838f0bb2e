/// Program of an entry host. See entry_server.h.
#include "entry_server.h"

int main(int argc, char** argv) {
    using namespace magnolia;
    const program_info info{
        "magnolia-entry",
        "Admits callers' requests, routes them to engines and services, and streams answers."};
    return run_program<entry_settings>(
        argc, argv, info, [](process& running, const entry_settings& settings) -> result<void> {
            entry_server server{running, settings};
            return server.run();
        });
}
