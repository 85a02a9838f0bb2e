/// Work of the event splitter on a line without end: the time per byte must not depend on its size.
#include "event_stream.h"

#include <benchmark/benchmark.h>

namespace magnolia {
namespace {

/// Arguments: megabytes of the line, bytes of the pieces in which it comes.
void split_endless_line(benchmark::State& state) {
    const auto size = static_cast<std::size_t>(state.range(0)) << 20U;
    const std::string piece(static_cast<std::size_t>(state.range(1)), 'x');
    for (auto _ : state) {
        event_splitter splitter;
        for (std::size_t sent = 0; sent < size; sent += piece.size()) {
            benchmark::DoNotOptimize(splitter.append(piece));
        }
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * size));
}

BENCHMARK(split_endless_line)
    ->ArgsProduct({{1, 2, 4, 8, 16}, {1024, 16384, 65536}})
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace magnolia

BENCHMARK_MAIN();
