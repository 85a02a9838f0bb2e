/// Simulated platform: object store, host list and weight store over HTTP. Faults are set with the
/// /control/ requests; see docs/backends/platform.md.
#include "platform_server.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace magnolia;

/// Runs the server until SIGINT or SIGTERM; returns the exit code.
int serve(const cxxopts::ParseResult& options) {
    boost::asio::io_context context{1};
    platform_server server{context, options["seed"].as<std::uint64_t>()};
    auto& faults = server.model().faults();
    faults.writes_per_second = options["writes"].as<double>();
    faults.reads_per_second = options["reads"].as<double>();
    faults.delay = std::chrono::milliseconds{options["delay"].as<std::uint32_t>()};
    const endpoint listen_address{options["address"].as<std::string>(),
                                  options["port"].as<std::uint16_t>()};
    if (const auto opened = server.listen(listen_address); !opened) {
        std::cerr << "fake-platform: " << to_string(opened.error()) << '\n';
        return 1;
    }
    std::cout << "fake-platform listens on " << listen_address.address << ":" << server.port()
              << std::endl;
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&](const auto& /*failure*/, int /*signal*/) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{"fake-platform", "Simulated platform."};
    options.add_options()("address", "IP address to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "port to listen on; 0 lets the system choose",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "writes", "write rate limit, calls/s", cxxopts::value<double>()->default_value("500"))(
        "reads", "read rate limit, calls/s", cxxopts::value<double>()->default_value("2000"))(
        "delay", "delay of each reply, ms", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "seed", "seed of the random faults and delays",
        cxxopts::value<std::uint64_t>()->default_value("1"))("help", "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return serve(parsed);
    } catch (const std::exception& failure) {
        std::cerr << "fake-platform: " << failure.what() << '\n';
        return 2;
    }
}
