/// Simulated links between availability zones: relays TCP connections with a delay.
#include "delay_link.h"
#include "schema_reader.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <list>

namespace {

using namespace magnolia;

/// Parses one link of the file: {"listen":{…},"target":{…},"delay_us":N,"spread_us":N}.
fakes::delay_link_settings parse_link(const nlohmann::json& item, schema_reader& reader) {
    fakes::delay_link_settings settings;
    std::uint64_t delay = 0;
    std::uint64_t spread = 0;
    constexpr bool is_required = true;
    reader.field(item, "listen", is_required, {}, settings.listen);
    reader.field(item, "target", is_required, {}, settings.target);
    reader.field(item, "delay_us", is_required, {0, 1e6}, delay);
    reader.field(item, "spread_us", !is_required, {0, 1e6}, spread);
    settings.delay = duration{static_cast<std::int64_t>(delay)};
    settings.spread = duration{static_cast<std::int64_t>(spread)};
    return settings;
}

int run(const nlohmann::json& document) {
    boost::asio::io_context context{1};
    std::list<fakes::delay_link> links;
    schema_reader reader{unknown_keys::reject};
    for (const auto& item : document) {
        auto settings = parse_link(item, reader);
        if (!reader.errors().empty()) {
            std::cerr << "fake-link: " << reader.errors().front().path << " is invalid\n";
            return 3;
        }
        if (const auto opened = links.emplace_back(context, std::move(settings)).listen();
            !opened) {
            std::cerr << "fake-link: " << to_string(opened.error()) << '\n';
            return 1;
        }
    }
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    boost::asio::signal_set partition_signals{context, SIGUSR1, SIGUSR2};
    const std::function<void()> wait_for_partition_signal = [&] {
        partition_signals.async_wait([&](const auto& failure, int number) {
            if (!failure) {
                std::ranges::for_each(links,
                                      [&](auto& link) { link.set_partitioned(number == SIGUSR1); });
                wait_for_partition_signal();
            }
        });
    };
    wait_for_partition_signal();
    std::cout << "fake-link: " << links.size() << " links" << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options{"fake-link", "Simulated links between availability zones.\n"
                                          "SIGUSR1 interrupts all links, SIGUSR2 restores them."};
    options.add_options()("links", "JSON file with the links",
                          cxxopts::value<std::string>())("help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::ifstream file{parsed["links"].as<std::string>()};
        return run(nlohmann::json::parse(file));
    } catch (const std::exception& failure) {
        std::cerr << "fake-link: " << failure.what() << '\n';
        return 2;
    }
}
