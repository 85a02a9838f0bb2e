#include "entry_server.h"

int main(int argc, char** argv) {
    using namespace magnolia;
    const program_info info{"magnolia-entry",
                            "Serves callers: admission, routing, streams, orders."};
    return run_program<entry_settings>(
        argc, argv, info, [](process& running, const entry_settings& settings) -> result<void> {
            entry_server server{running, settings};
            return server.run();
        });
}
