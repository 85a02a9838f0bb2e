/// A gateway as a process of its own, with the wire of the tests: for what only a process shows, as
/// signals and exit codes.
#include "gateway.h"
#include "gateway_fixture.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace {

/// Holds the program before main() until something is written to the pipe that MAGNOLIA_TEST_HOLD
/// names.
[[maybe_unused]] const bool was_held = [] {
    const char* pipe = std::getenv("MAGNOLIA_TEST_HOLD");
    return pipe != nullptr && std::ifstream{pipe}.get() != EOF;
}();

} // namespace

int main(int argc, char** argv) {
    using namespace magnolia;
    const program_info info{"magnolia-test-host", "A gateway for tests."};
    const int code = run_program<gateway_settings>(
        argc, argv, info, [](process& running, const gateway_settings& settings) -> result<void> {
            const test_codec codec;
            const product_store_codec store;
            gateway host{running, settings, codec, store};
            return host.run();
        });
    std::fflush(nullptr);
    std::_Exit(code);
}
