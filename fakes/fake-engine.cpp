/// Simulated model engines: any number in one process, each on its own port, for tests and demos.
#include "engine_server.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace magnolia;

cxxopts::Options make_options() {
    cxxopts::Options options{"fake-engine", "Simulated model engines for tests and demos."};
    auto add = options.add_options();
    add("address", "IP address of the listeners",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("engines", "number of engines", cxxopts::value<unsigned>()->default_value("1"));
    add("first-port", "port of the first engine; the others use the following ports",
        cxxopts::value<std::uint16_t>()->default_value("9100"));
    add("control-port", "port of the control listener for faults and counters",
        cxxopts::value<std::uint16_t>()->default_value("9099"));
    add("name", "prefix of the engines' names",
        cxxopts::value<std::string>()->default_value("engine-"));
    add("models", "models that are loaded at start, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value("model"));
    add("memory-tokens", "KV memory of each engine, tokens",
        cxxopts::value<std::uint32_t>()->default_value("450000"));
    add("cache-tokens", "prefix cache size of each engine, tokens",
        cxxopts::value<std::uint32_t>()->default_value("120000"));
    add("cache-event-loss", "probability that a cache event is lost, 0 to 1",
        cxxopts::value<double>()->default_value("0"));
    add("time-scale", "virtual seconds per real second",
        cxxopts::value<double>()->default_value("1"));
    add("ignore-fencing", "accept orders with an outdated fencing token");
    add("keep-reservations", "do not release reservations when they expire");
    add("seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "print this help");
    return options;
}

fakes::engine_server_settings read_settings(const cxxopts::ParseResult& parsed) {
    fakes::engine_server_settings settings;
    settings.address = parsed["address"].as<std::string>();
    settings.first_port = parsed["first-port"].as<std::uint16_t>();
    settings.control_port = parsed["control-port"].as<std::uint16_t>();
    settings.time_scale = parsed["time-scale"].as<double>();
    fakes::engine_model_settings engine;
    engine.models.clear();
    for (const auto& name : parsed["models"].as<std::vector<std::string>>()) {
        engine.models.push_back({name, "1", true});
    }
    engine.memory_tokens = parsed["memory-tokens"].as<std::uint32_t>();
    engine.cache_tokens = parsed["cache-tokens"].as<std::uint32_t>();
    engine.cache_event_loss = parsed["cache-event-loss"].as<double>();
    engine.checks_fencing = parsed.count("ignore-fencing") == 0;
    engine.expires_reservations = parsed.count("keep-reservations") == 0;
    for (unsigned index = 0; index < parsed["engines"].as<unsigned>(); ++index) {
        engine.name = parsed["name"].as<std::string>() + std::to_string(index + 1);
        engine.seed = parsed["seed"].as<std::uint64_t>() + index;
        settings.engines.push_back(engine);
    }
    return settings;
}

int run(const fakes::engine_server_settings& settings) {
    boost::asio::io_context context{1};
    fakes::engine_server server{context, settings};
    if (const auto opened = server.listen(); !opened) {
        std::cerr << "fake-engine: " << to_string(opened.error()) << '\n';
        return 1;
    }
    std::cout << "fake-engine: " << settings.engines.size() << " engines from port "
              << server.port(0) << ", control on port " << server.control_port() << std::endl;
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    auto options = make_options();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(read_settings(parsed));
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "fake-engine: " << failure.what() << '\n';
        return 2;
    }
}
