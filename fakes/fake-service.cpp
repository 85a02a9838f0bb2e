/// Simulated plain services: any number in one process, each on its own port, for tests and demos.
#include "service_server.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace magnolia;

int run(const fakes::service_server_settings& settings) {
    boost::asio::io_context context{1};
    fakes::service_server server{context, settings};
    if (const auto opened = server.listen(); !opened) {
        std::cerr << "fake-service: " << to_string(opened.error()) << '\n';
        return 1;
    }
    std::cout << "fake-service: " << settings.services << " services from port " << server.port(0)
              << ", control on port " << server.control_port() << std::endl;
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{"fake-service", "Simulated plain services for tests and demos."};
    auto add = options.add_options();
    add("address", "IP address of the listeners",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("services", "number of services", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("first-port", "port of the first service; the others use the following ports",
        cxxopts::value<std::uint16_t>()->default_value("9300"));
    add("control-port", "port of the control listener for faults and counters",
        cxxopts::value<std::uint16_t>()->default_value("9299"));
    add("help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run({parsed["address"].as<std::string>(), parsed["services"].as<std::uint32_t>(),
                    parsed["first-port"].as<std::uint16_t>(),
                    parsed["control-port"].as<std::uint16_t>()});
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "fake-service: " << failure.what() << '\n';
        return 2;
    }
}
