/// Gateways as processes under signals, kills and freezes, changes of their settings and absences
/// of the store, while clients use them through kept connections. MAGNOLIA_SOAK_SEED,
/// MAGNOLIA_SOAK_SECONDS and MAGNOLIA_SOAK_HOSTS choose another run.
#include "child_process.h"
#include "gateway_cluster.h"
#include "soak_plan.h"
#include "soak_rules.h"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace magnolia {
namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds record_poll_interval{1};
/// Time for which a settings file stays truncated.
constexpr milliseconds truncated_time{100};
/// Time after a change of the settings file in which a host may still go by the previous ones.
constexpr milliseconds settings_check_time{1500};
/// Time after which a process that does not end is killed.
constexpr milliseconds overdue_time{5000};
/// Time for all hosts to be ready once nothing disturbs them.
constexpr milliseconds settle_time{10000};
/// Time in which the signals to processes that have just started are sent.
constexpr milliseconds last_signals_time{200};
constexpr milliseconds part_interval{100};
constexpr milliseconds retry_pause{50};
constexpr std::size_t max_small_soak = 8;
/// One in so many plain calls is run and then failed by its server.
constexpr std::size_t calls_per_failure = 50;

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
    const auto* text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : fallback;
}

struct soak_route {
    std::string prefix;
    bool is_stream;
    bool is_repeatable;
};

const std::array soak_routes{
    soak_route{"/safe/", false, true}, soak_route{"/unsafe/", false, false},
    soak_route{"/stream/", true, true}, soak_route{"/once-stream/", true, false}};

std::string part_of_answer(bool is_stream, std::uint64_t part, std::string_view id) {
    return is_stream ? event_text(part, id) : std::string{id} + ";";
}

/// A gateway and what was done to it.
struct soak_host {
    soak_host(boost::asio::io_context& context, const std::string& host_name, const endpoint& store)
        : name{host_name}, settings{context, host_name, store},
          log{settings.file().string() + ".log"} {}

    [[nodiscard]] bool is_running() const { return child && !child->end(); }
    [[nodiscard]] bool is_stop_asked() const { return stop.has_value(); }

    std::string name;
    host_settings settings;
    std::filesystem::path log;
    std::unique_ptr<child_process> child;
    /// Number of starts.
    std::uint64_t run = 0;
    host_history history;
    std::optional<asked_stop> stop;
    std::optional<time_point> killed_at;
    std::chrono::seconds stop_timeout{};
    std::chrono::seconds previous_stop_timeout{};
    time_point settings_changed_at{};
};

/// Uses one route of one host, one request after the other, on one kept connection.
struct soak_client {
    soak_client(boost::asio::io_context& context, std::size_t host_index, const soak_route& used)
        : host{host_index}, route{used}, http{context, 1} {}

    std::size_t host;
    soak_route route;
    http_client http;
};

class signal_soak : public gateway_cluster {
protected:
    void SetUp() override {
        gateway_cluster::SetUp();
        begin_ = steady_now();
        for (const auto* service : {"desk", "desk", "llm", "llm"}) {
            auto& server = servers_.emplace_back(std::make_unique<test_backend>(context_));
            server->add_handler(
                [this](const http_request& request, const http_responder& responder) {
                    serve(request, responder);
                });
            put("backends", service + std::to_string(servers_.size()),
                std::string{service} + " 127.0.0.1:" + std::to_string(server->port()));
        }
    }

    void TearDown() override {
        is_over_ = true;
        for (const auto& host : hosts_) {
            host->child.reset();
            if (!HasFailure()) {
                std::filesystem::remove(host->log);
            }
            std::filesystem::remove(host->settings.file());
        }
        gateway_cluster::TearDown();
    }

    /// Calls the function after this time.
    void after(duration span, std::function<void()> function) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, span);
        timer->async_wait([this, timer, function = std::move(function)](const auto& /*failure*/) {
            if (!is_over_) {
                function();
            }
        });
    }

    /// Runs the test's I/O until the condition holds, at most for this time.
    template <class Condition>
    bool wait_for(duration limit, Condition condition) {
        const auto end = steady_now() + limit;
        run_until([&] { return condition() || steady_now() >= end; });
        return condition();
    }

    std::size_t draw(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
    }

    template <class Choices>
    auto choose(const Choices& choices) {
        return choices[draw(choices.size())];
    }

    // Record of the run.

    void note(const std::string& text, const soak_host* host = nullptr) {
        std::ostringstream line;
        line << std::fixed << std::setprecision(3)
             << std::chrono::duration<double>(steady_now() - begin_).count() << " s "
             << (host != nullptr ? host->name + " " : "") << text;
        timeline_.push_back(line.str());
    }

    void report_fault(const std::string& text, const soak_host* host = nullptr) {
        note("FAULT: " + text, host);
        faults_.push_back(timeline_.back());
    }

    /// Longest delay of a tick since then.
    [[nodiscard]] duration lateness_since(time_point since) const {
        const auto recent = std::ranges::lower_bound(late_ticks_, since, {}, &late_tick::at);
        duration longest{};
        std::for_each(recent, late_ticks_.end(),
                      [&](const auto& tick) { longest = std::max(longest, tick.delay); });
        return std::max(longest, steady_now() - last_tick_ - tick_interval);
    }

    // Servers.

    void serve(const http_request& request, const http_responder& responder) {
        const auto parts = number_parameter(request.target, "parts");
        if (!parts) {
            // Probes, reservations.
            return respond_with(200)(request, responder);
        }
        const auto& route = *std::ranges::find_if(soak_routes, [&](const auto& candidate) {
            return request.target.starts_with(candidate.prefix);
        });
        const std::string id{find_header(request.headers, "attempt")};
        auto& record = records_[id];
        if (++record.arrivals > 1 && !route.is_repeatable) {
            report_fault("TWICE: " + id + " " + request.target);
        }
        if (refused_.contains(id)) {
            report_fault("REFUSED, and runs later: " + id + " " + request.target);
        }
        if (!route.is_stream && draw(calls_per_failure) == 0) {
            // After it has run, without a statement.
            constexpr std::array statuses{408U, 429U, 503U};
            record.is_finished = true;
            return respond_with(choose(statuses), "failed")(request, responder);
        }
        const std::string resumed{find_header(request.headers, "resume")};
        responder.start(200,
                        {{"signature", "s"},
                         {"attempt", id},
                         {"Content-Type", route.is_stream ? "text/event-stream" : "text/plain"}});
        write_parts(responder, route.is_stream, id, resumed.empty() ? 1 : std::stoull(resumed) + 1,
                    *parts);
    }

    void write_parts(const http_responder& responder, bool is_stream, const std::string& id,
                     std::uint64_t part, std::uint64_t last_part) {
        if (part <= last_part) {
            responder.write(part_of_answer(is_stream, part, id));
        }
        if (part >= last_part) {
            records_[id].is_finished = !responder.is_closed();
            return responder.finish();
        }
        after(part_interval, [this, responder, is_stream, id, part, last_part] {
            if (!responder.is_closed()) {
                write_parts(responder, is_stream, id, part + 1, last_part);
            }
        });
    }

    // Clients.

    void add_clients(std::size_t per_route) {
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            for (const auto& route : soak_routes) {
                for (std::size_t count = 0; count < per_route; ++count) {
                    clients_.push_back(std::make_unique<soak_client>(context_, host, route));
                    send(*clients_.back());
                }
            }
        }
    }

    void send(soak_client& client) {
        constexpr std::array<std::uint64_t, 5> parts{1, 1, 2, 5, 10};
        const auto count = choose(parts);
        const auto call = std::make_shared<soak_call>();
        call->id = "a" + std::to_string(++call_count_);
        call->target = client.route.prefix + "?parts=" + std::to_string(count);
        call->host = client.host;
        call->is_repeatable = client.route.is_repeatable;
        for (std::uint64_t part = 1; part <= count; ++part) {
            call->expected_body += part_of_answer(client.route.is_stream, part, call->id);
        }
        http_call_limits limits;
        limits.may_write = [call] {
            call->written_at = steady_now();
            return true;
        };
        ++pending_;
        client.http.call({"127.0.0.1", hosts_[client.host]->settings.get().listen.port},
                         {"GET",
                          call->target,
                          {{"Host", "shop.example"}, {"attempt", call->id}, {"key", "k1"}},
                          {},
                          {}},
                         limits,
                         [this, &client, call](auto received) { on_end(client, call, received); });
    }

    void on_end(soak_client& client, const std::shared_ptr<soak_call>& call,
                const tl::expected<http_response, http_failure>& received) {
        --pending_;
        call->ended_at = steady_now();
        if (received) {
            call->answer = *received;
        } else if (!received.error().is_request_written) {
            call->written_at.reset();
        }
        const auto& host = *hosts_[call->host];
        const auto verdict = judge(*call, records_[call->id], host.history,
                                   lateness_since(call->written_at.value_or(call->ended_at)));
        ++verdicts_[verdict];
        if (verdict == call_verdict::served) {
            ++served_[client.route.prefix];
        }
        if (is_fault(verdict)) {
            report_fault(describe(*call, verdict, received), &host);
        } else if (verdict == call_verdict::refused) {
            ++statuses_[call->answer->status];
            if (!call->is_repeatable && call->answer->status == 503) {
                refused_.insert(call->id);
            }
        }
        if (!is_ending_) {
            constexpr std::array pauses{milliseconds{0}, milliseconds{5}, milliseconds{30}};
            after(verdict == call_verdict::served ? choose(pauses) : retry_pause,
                  [this, &client] { is_ending_ ? void() : send(client); });
        }
    }

    std::string describe(const soak_call& call, call_verdict verdict,
                         const tl::expected<http_response, http_failure>& received) {
        std::ostringstream out;
        const auto& record = records_[call.id];
        out << verdict << ": " << call.id << " " << call.target << ", arrivals=" << record.arrivals
            << " finished=" << record.is_finished;
        if (call.written_at) {
            out << " after_ms="
                << std::chrono::duration<double, std::milli>(call.ended_at - *call.written_at)
                       .count();
        }
        if (received) {
            out << " status=" << received->status << " body=\"" << received->body << "\"";
        } else {
            out << " started=" << received.error().is_response_started
                << " failure=" << to_string(received.error().failure);
        }
        return out.str();
    }

    // Hosts.

    void start_host(soak_host& host) {
        ++host.run;
        host.stop.reset();
        if (const auto killed_at = std::exchange(host.killed_at, {})) {
            host.history.disturbances.push_back({*killed_at, steady_now()});
        }
        const std::vector<std::string> arguments{"--settings", host.settings.file().string(),
                                                 "--settings-wait", "60"};
        host.child = std::make_unique<child_process>(MAGNOLIA_TEST_HOST, arguments, host.log);
        note("started", &host);
    }

    /// Notes that the host is disturbed from now until its next start.
    static void note_kill(soak_host& host) {
        host.killed_at = host.killed_at.value_or(steady_now());
        host.history.disturbances.push_back({*host.killed_at, steady_now()});
    }

    /// Sends signals at the first moments of the process.
    void disturb_start(soak_host& host) {
        constexpr std::array delays{milliseconds{0},  milliseconds{1},  milliseconds{3},
                                    milliseconds{10}, milliseconds{30}, milliseconds{100}};
        constexpr std::array numbers{SIGHUP, SIGHUP, SIGHUP, SIGTERM};
        for (auto count = draw(4); count > 0; --count) {
            after(choose(delays), [this, &host, run = host.run, number = choose(numbers)] {
                send_signal(host, number, run);
            });
        }
    }

    /// Sends a signal to this run of the host's process, once it records signals.
    void send_signal(soak_host& host, int number, std::uint64_t run) {
        if (!host.is_running() || host.run != run) {
            return;
        }
        if (number != SIGKILL && number != SIGCONT && !host.child->handles_signal(SIGHUP)) {
            return after(record_poll_interval,
                         [this, &host, number, run] { send_signal(host, number, run); });
        }
        note("SIG" + std::string{::sigabbrev_np(number)}, &host);
        if (number == SIGKILL) {
            note_kill(host);
        }
        if ((number == SIGTERM || number == SIGINT) && !host.is_stop_asked()) {
            const auto now = steady_now();
            const bool may_be_previous = now < host.settings_changed_at + settings_check_time;
            const auto other = may_be_previous ? host.previous_stop_timeout : host.stop_timeout;
            const auto [shortest, longest] = std::minmax(host.stop_timeout, other);
            host.stop = asked_stop{now, shortest, longest};
            host.history.stops.push_back(*host.stop);
        }
        host.child->send_signal(number);
    }

    void check_host(soak_host& host) {
        if (!host.child) {
            return;
        }
        const auto now = steady_now();
        const auto end = host.child->end();
        if (host.is_stop_asked()) {
            const auto lateness = 2 * lateness_since(host.stop->at) + 2 * tick_interval;
            const auto limit = end_of_stop(*host.stop, host.history) + lateness;
            const auto over = now - limit;
            if (end ? over.count() > 0 : over > overdue_time) {
                report_fault("the stop took too long: it has ended " +
                                 std::to_string(over / milliseconds{1}) + " ms late",
                             &host);
            }
            if (!end && over > overdue_time) {
                note_kill(host);
                return host.child->send_signal(SIGKILL);
            }
        }
        if (!end) {
            return;
        }
        std::ostringstream text;
        text << "ended, " << *end;
        note(text.str(), &host);
        const bool is_killed = host.killed_at && end->signal == SIGKILL;
        if (!is_killed && !(host.is_stop_asked() && *end == process_end{})) {
            report_fault("the process has ended by itself: " + text.str(), &host);
            note_kill(host);
        }
        host.child.reset();
        if (is_stopping_all_) {
            return;
        }
        constexpr std::array pauses{milliseconds{0}, milliseconds{0}, milliseconds{30},
                                    milliseconds{300}};
        after(choose(pauses), [this, &host] {
            start_host(host);
            if (!is_ending_) {
                disturb_start(host);
            }
        });
    }

    void tick() {
        const auto now = steady_now();
        late_ticks_.push_back({now, now - last_tick_ - tick_interval});
        last_tick_ = now;
        std::ranges::for_each(hosts_, [this](const auto& host) { check_host(*host); });
        after(tick_interval, [this] { tick(); });
    }

    // Events.

    void apply(soak_host& host, const signal_event& event) {
        send_signal(host, event.number, host.run);
    }

    void apply(soak_host& host, const freeze_event& event) {
        if (!host.is_running()) {
            return;
        }
        const auto now = steady_now();
        host.history.disturbances.push_back({now, now + event.span});
        host.child->send_signal(SIGSTOP);
        after(event.span, [this, &host, run = host.run] { send_signal(host, SIGCONT, run); });
    }

    [[nodiscard]] std::string settings_text(const soak_host& host) const {
        return host.settings.text(gateways_store_, static_cast<double>(host.stop_timeout.count()));
    }

    void apply(soak_host& host, const settings_event& event) {
        host.previous_stop_timeout = std::exchange(host.stop_timeout, event.stop_timeout);
        host.settings_changed_at = steady_now();
        const auto text = settings_text(host);
        if (!event.first_share) {
            return host.settings.write(text);
        }
        const auto first =
            static_cast<std::size_t>(*event.first_share * static_cast<double>(text.size()));
        std::ofstream{host.settings.file()} << text.substr(0, first);
        after(truncated_time, [this, &host] {
            host.settings_changed_at = steady_now();
            std::ofstream{host.settings.file()} << settings_text(host);
        });
    }

    void apply(soak_host& /*host*/, const configuration_event& /*event*/) {
        auto& store = store_.model().store();
        const object_id id{"routes", "main"};
        const auto value = R"({"version":)" + std::to_string(++config_version_) + "}";
        EXPECT_TRUE(store.put({id, store.get(id).version, value}));
    }

    void apply(soak_host& /*host*/, const outage_event& event) {
        store_.model().faults().outage = event.mode;
        store_back_at_ = std::max(store_back_at_, steady_now() + event.span);
        after(event.span, [this] {
            if (steady_now() >= store_back_at_) {
                store_.model().faults().outage = outage_mode::none;
                note("store is back");
            }
        });
    }

    void schedule(const soak_event& event) {
        after(begin_ + event.at - steady_now(), [this, event] {
            auto& host = *hosts_[event.host];
            if (!std::holds_alternative<signal_event>(event.action)) {
                std::ostringstream text;
                text << event.action;
                const bool is_common = std::holds_alternative<configuration_event>(event.action) ||
                                       std::holds_alternative<outage_event>(event.action);
                note(text.str(), is_common ? nullptr : &host);
            }
            std::visit([&](const auto& action) { apply(host, action); }, event.action);
        });
    }

    // Parts of the run.

    void start_hosts(std::size_t count) {
        last_tick_ = steady_now();
        tick();
        for (std::size_t host = 1; host <= count; ++host) {
            hosts_.push_back(
                std::make_unique<soak_host>(context_, "s" + std::to_string(host), gateways_store_));
            apply(*hosts_.back(), settings_event{.stop_timeout = soak_stop_timeouts.front()});
            start_host(*hosts_.back());
        }
    }

    [[nodiscard]] bool are_all_ready() {
        return std::ranges::all_of(hosts_, [this](const auto& host) {
            const auto answer = get(host->settings.get().readiness.port, "/ready");
            return host->is_running() && answer && answer->status == 200;
        });
    }

    /// Waits until no disturbance is left, then uses and stops each host once more.
    void end_soak() {
        is_ending_ = true;
        wait_for(last_signals_time, [] { return false; });
        EXPECT_TRUE(wait_for(2 * settle_time, [this] { return pending_ == 0; }));
        note("clients have ended");
        EXPECT_TRUE(wait_for(settle_time, [this] { return are_all_ready(); }));
        note("all hosts are ready");
        for (const auto& host : hosts_) {
            const auto answer = get(host->settings.get().listen.port, "/unsafe/");
            EXPECT_TRUE(answer && answer->status == 200) << host->name;
        }
        is_stopping_all_ = true;
        for (const auto& host : hosts_) {
            send_signal(*host, SIGTERM, host->run);
        }
        EXPECT_TRUE(wait_for(2 * settle_time, [this] {
            return std::ranges::none_of(hosts_,
                                        [](const auto& host) { return host->child != nullptr; });
        }));
    }

    void print_result(std::uint64_t seed) {
        std::cout << "seed " << seed << ", hosts " << hosts_.size() << ", calls " << call_count_;
        for (const auto& [verdict, count] : verdicts_) {
            std::cout << ", " << verdict << " " << count;
        }
        for (const auto& [status, count] : statuses_) {
            std::cout << ", status " << status << ": " << count;
        }
        std::cout << ", starts "
                  << std::ranges::count_if(
                         timeline_, [](const auto& line) { return line.ends_with(" started"); })
                  << ", longest delay of a timer_ms " << lateness_since(begin_) / milliseconds{1}
                  << "\n";
        if (HasFailure() || !faults_.empty()) {
            std::ranges::for_each(timeline_, [](const auto& line) { std::cout << line << "\n"; });
            std::cout << "logs: " << testing::TempDir() << "gateway_s*_" << ::getpid()
                      << ".yaml.log\n";
        }
    }

    struct late_tick {
        time_point at;
        duration delay;
    };

    std::mt19937_64 random_;
    time_point begin_{};
    bool is_over_ = false;
    bool is_ending_ = false;
    bool is_stopping_all_ = false;
    std::vector<std::unique_ptr<test_backend>> servers_;
    std::vector<std::unique_ptr<soak_host>> hosts_;
    std::vector<std::unique_ptr<soak_client>> clients_;
    std::size_t pending_ = 0;
    std::uint64_t call_count_ = 0;
    std::uint64_t config_version_ = 2;
    time_point store_back_at_{};
    /// By id of the request.
    std::map<std::string, server_record> records_;
    std::set<std::string> refused_;
    std::map<call_verdict, std::size_t> verdicts_;
    std::map<unsigned, std::size_t> statuses_;
    std::map<std::string, std::size_t> served_;
    std::vector<late_tick> late_ticks_;
    time_point last_tick_{};
    std::vector<std::string> timeline_;
    std::vector<std::string> faults_;
};

// Incident LOST and FAULT: what a process did at a signal depended on the moment at which it came.
TEST_F(signal_soak, loses_no_answer_and_no_process) {
    constexpr std::uint64_t default_seconds = 10;
    constexpr std::uint64_t default_hosts = 4;
    const auto seed = number_from_environment("MAGNOLIA_SOAK_SEED", 1);
    const auto hosts = number_from_environment("MAGNOLIA_SOAK_HOSTS", default_hosts);
    const std::chrono::seconds length{
        number_from_environment("MAGNOLIA_SOAK_SECONDS", default_seconds)};
    random_.seed(seed);
    start_hosts(hosts);
    ASSERT_TRUE(wait_for(settle_time, [this] { return are_all_ready(); }));
    begin_ = steady_now();
    add_clients(hosts <= max_small_soak ? 4 : 1);
    for (const auto& event : plan_soak(seed, hosts, length)) {
        schedule(event);
    }
    wait_for(length, [] { return false; });
    end_soak();
    for (const auto& route : soak_routes) {
        EXPECT_GT(served_[route.prefix], 0U) << route.prefix;
    }
    print_result(seed);
    EXPECT_EQ(faults_, std::vector<std::string>{});
}

} // namespace
} // namespace magnolia
