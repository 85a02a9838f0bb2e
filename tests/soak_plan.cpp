#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <ostream>
#include <random>

namespace magnolia {
namespace {

/// Mean time between two causes of events at one host, and between two that concern all hosts.
constexpr milliseconds host_interval{1200};
constexpr milliseconds common_interval{3000};
constexpr milliseconds max_freeze{1500};
constexpr milliseconds max_outage{2500};
/// Times between the signals of a series.
constexpr std::array signal_gaps{milliseconds{0},  milliseconds{1},   milliseconds{5},
                                 milliseconds{30}, milliseconds{200}, milliseconds{700}};
constexpr std::size_t max_further_signals = 4;

class soak_planner {
public:
    soak_planner(std::uint64_t seed, std::size_t hosts) : random_{seed}, hosts_{hosts} {}

    std::vector<soak_event> plan(milliseconds length) {
        const auto interval = host_interval / static_cast<long>(hosts_);
        for (auto at = draw_time(2 * interval); at < length; at += draw_time(2 * interval)) {
            add_host_events(at);
        }
        for (auto at = draw_time(2 * common_interval); at < length;
             at += draw_time(2 * common_interval)) {
            add_common_event(at);
        }
        std::erase_if(events_, [&](const auto& event) { return event.at >= length; });
        std::ranges::stable_sort(events_, {}, &soak_event::at);
        return std::move(events_);
    }

private:
    std::size_t draw(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
    }

    milliseconds draw_time(milliseconds limit) {
        return milliseconds{1 + static_cast<long>(draw(static_cast<std::size_t>(limit.count())))};
    }

    template <class Choices>
    auto choose(const Choices& choices) {
        return choices[draw(choices.size())];
    }

    /// The signals of the platform and of an operator, each after each.
    void add_signals(milliseconds at, std::size_t host, int first) {
        constexpr std::array further{SIGTERM, SIGINT, SIGHUP, SIGHUP, SIGCONT};
        events_.push_back({at, host, signal_event{first}});
        for (auto count = draw(max_further_signals + 1); count > 0; --count) {
            at += choose(signal_gaps);
            events_.push_back({at, host, signal_event{choose(further)}});
        }
    }

    settings_event draw_settings() {
        constexpr std::array<std::optional<double>, 6> shares{std::nullopt, std::nullopt, 0.0,
                                                              0.25,         0.5,          0.75};
        return {.first_share = choose(shares), .stop_timeout = choose(soak_stop_timeouts)};
    }

    void add_host_events(milliseconds at) {
        enum class cause : std::uint8_t { stop, reload, settings, freeze, kill };
        using enum cause;
        constexpr std::array causes{stop,     stop,     stop,   stop,   stop,     reload,
                                    reload,   reload,   reload, reload, settings, settings,
                                    settings, settings, freeze, kill};
        constexpr std::array stop_signals{SIGTERM, SIGTERM, SIGTERM, SIGINT};
        const auto host = draw(hosts_);
        switch (choose(causes)) {
        case stop:
            return add_signals(at, host, choose(stop_signals));
        case reload:
            return add_signals(at, host, SIGHUP);
        case settings:
            events_.push_back({at, host, draw_settings()});
            if (draw(2) == 0) {
                add_signals(at + choose(signal_gaps), host, SIGHUP);
            }
            return;
        case freeze:
            events_.push_back({at, host, freeze_event{draw_time(max_freeze)}});
            return add_signals(at + choose(signal_gaps), host, SIGHUP);
        case kill:
            events_.push_back({at, host, signal_event{SIGKILL}});
        }
    }

    void add_common_event(milliseconds at) {
        if (draw(2) == 0) {
            return events_.push_back({at, 0, configuration_event{}});
        }
        constexpr std::array modes{outage_mode::refuse, outage_mode::hang};
        events_.push_back({at, 0, outage_event{choose(modes), draw_time(max_outage)}});
    }

    std::mt19937_64 random_;
    std::size_t hosts_;
    std::vector<soak_event> events_;
};

struct action_writer {
    std::ostream& out;

    void operator()(const signal_event& event) { out << "SIG" << ::sigabbrev_np(event.number); }
    void operator()(const freeze_event& event) {
        out << "SIGSTOP for " << event.span.count() << " ms";
    }
    void operator()(const settings_event& event) {
        out << "settings with stop_timeout_s=" << event.stop_timeout.count();
        if (event.first_share) {
            out << ", first only " << *event.first_share << " of them";
        }
    }
    void operator()(const configuration_event& /*event*/) { out << "another configuration"; }
    void operator()(const outage_event& event) {
        out << (event.mode == outage_mode::hang ? "store silent" : "store refuses") << " for "
            << event.span.count() << " ms";
    }
};

} // namespace

std::ostream& operator<<(std::ostream& out, const soak_action& action) {
    std::visit(action_writer{out}, action);
    return out;
}

std::vector<soak_event> plan_soak(std::uint64_t seed, std::size_t hosts, milliseconds length) {
    return soak_planner{seed, hosts}.plan(length);
}

} // namespace magnolia
