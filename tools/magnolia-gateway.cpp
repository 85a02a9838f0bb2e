/// Program of a gateway. See gateway.h.
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
    // Skip static destructors: that of the log library joins its threads, which sometimes takes
    // longer than a planned stop may take.
    std::fflush(nullptr);
    std::_Exit(code);
}
