/// Linked into the programs that run_program() runs: records signals before the constructors of the
/// shared libraries run, which take longer than main() until its first statement.
#include "signals.h"

namespace {

void record_early(int /*argc*/, char** /*argv*/, char** /*environment*/) {
    magnolia::record_signals();
}

[[gnu::section(".preinit_array"), gnu::used]] const auto early_recording = &record_early;

} // namespace
