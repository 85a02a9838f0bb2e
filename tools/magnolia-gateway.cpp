#include "gateway.h"
#include "wire_codec.h"

#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv) {
    using namespace magnolia;
    const program_info info{"magnolia-gateway",
                            "Forwards callers' requests to the backend servers of a platform."};
    const int code = run_program<gateway_settings>(
        argc, argv, info, [](process& running, const gateway_settings& settings) -> result<void> {
            const platform::wire_codec codec;
            const platform::object_store_codec store;
            gateway host{running, settings, codec, store};
            return host.run();
        });
    // The log library joins threads of its own at exit, at times for longer than a stop may take.
    std::fflush(nullptr);
    std::_Exit(code);
}
