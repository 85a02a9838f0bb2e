/// Compares placement policies by discrete-event simulation: requests with the length distribution
/// and the load phases of the users' days, several gateways that exchange placement updates with a
/// delay, and simulated engines (pass_engine). Placement and admission are the product's own code
/// (backend_fleet, dispatch_policy). The clock is virtual; every policy runs with the same seeds.
#include "attempt_policy.h"
#include "backend_fleet.h"
#include "dispatch_policy.h"
#include "pass_engine.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <thread>

namespace magnolia::bench {
namespace {

using seconds = std::chrono::duration<double>;

/// Distribution of one kind of requests, from the users' load tables. Lengths are log-normal.
struct request_kind {
    const char* name = "";
    double mean_tokens = 0;
    double spread = 0;
    double max_tokens = 0;
    /// Events of an answer.
    double mean_events = 0;
    double event_spread = 0;
    double requests_per_second = 0;
    milliseconds target_latency{0};
    milliseconds target_pause{0};
    milliseconds time_limit{0};
    /// Value of an answer within the targets, for a prompt of mean length.
    double value = 0;
};

/// Factors on the request rate of each kind, up to a time in seconds.
struct load_phase {
    double end_s = 0;
    std::array<double, 3> rate_factors{};
};

/// Requests and engines of one deployment.
struct request_mix {
    std::array<request_kind, 3> kinds{};
    std::array<load_phase, 5> phases{};
    engine_profile profile{};
    std::size_t engines = 0;
    /// Share of the value that a late answer earns.
    double late_value_share = 0.25;
};

/// The quiet days of openbc-doors.
request_mix usual_mix() {
    return {{{{"short", 4960, 0.9, 23'800, 31.6, 0.7, 34, milliseconds{300}, milliseconds{250},
               milliseconds{10'000}, 1.3},
              {"middle", 45'000, 0.5, 110'000, 19, 0.6, 1.86, milliseconds{1500}, milliseconds{600},
               milliseconds{10'000}, 3.9},
              {"long", 133'000, 0.55, 600'000, 15.8, 0.5, 1.56, milliseconds{3000},
               milliseconds{1000}, milliseconds{15'000}, 15}}},
            {{{2.3, {1, 1, 1}},
              {11.8, {0.3, 1.3, 2.6}},
              {21.5, {2.5, 0.5, 0.05}},
              {32.5, {0.33, 1.3, 2.8}},
              {36, {1, 1, 1}}}},
            production_engine_profile(),
            16};
}

/// Long prompts of 300,000 tokens, each worth thirty, on larger engines.
request_mix long_read_mix() {
    engine_profile profile;
    profile.slots = 12;
    profile.memory_tokens = 382'500;
    profile.steps_per_pass = 52;
    profile.step_ms = 0.925;
    profile.step_ms_per_request = 0.00483;
    profile.step_ms_per_1k_context = 0.00254;
    profile.prefill_tokens_per_ms = 256;
    profile.prefill_ms_per_million_pairs = 0.0917;
    profile.mean_answer_tokens = 1500;
    return {{{{"short", 5000, 0.9, 23'800, 33, 0.7, 81.1, milliseconds{300}, milliseconds{200},
               milliseconds{10'000}, 1.4},
              {"middle", 45'000, 0.5, 110'000, 19.8, 0.6, 7.43, milliseconds{1500},
               milliseconds{500}, milliseconds{10'000}, 2.6},
              {"long", 300'000, 0.55, 1'000'000, 16.5, 0.5, 2.2, milliseconds{4000},
               milliseconds{800}, milliseconds{15'000}, 30}}},
            {{{1.8, {1, 1, 1}},
              {11.3, {0.34, 1.3, 2.9}},
              {21.5, {2.5, 0.5, 0.05}},
              {32.5, {0.33, 1.3, 2.8}},
              {36, {1, 1, 1}}}},
            profile,
            54};
}

/// Mix in use; set once, before the first day.
request_mix mix = usual_mix();

/// Parameters of one simulated day.
struct options {
    std::size_t engines = 16;
    std::size_t gateways = 6;
    /// Factor on all request rates.
    double load = 1;
    std::uint64_t seed = 1;
    /// One-way delay of updates between gateways, and of requests to engines.
    milliseconds network_delay{5};
    placement_policy policy = placement_policy::pause_aware;
    bool verbose = false;
};

/// Time without an event after which the caller gives up.
duration idle_timeout_of(const request_kind& kind) {
    route_info route;
    route.is_stream = true;
    route.target_latency = kind.target_latency;
    route.target_pause = kind.target_pause;
    return caller_idle_timeout(route);
}

/// A simulated request and its state.
struct request {
    std::size_t kind = 0;
    std::uint32_t tokens = 0;
    std::uint32_t answer_tokens = 0;
    /// The caller's estimate of answer_tokens.
    std::uint32_t predicted_tokens = 0;
    time_point arrived{};
    /// Start of the current try; differs from `arrived` after a refusal.
    time_point last_try{};
    std::size_t gateway = 0;
    enum class stage : std::uint8_t {
        waiting,
        sent,
        done,
        abandoned
    } current_stage = stage::waiting;
    job_id job{};
    chosen_backends chosen;
    /// Shares of the prefill that are not complete.
    std::size_t shares_left = 0;
    std::size_t sent_members = 0;
    bool has_first_event = false;
    time_point first_event{};
    time_point last_event{};
    duration longest_pause{0};
    bool is_late = false;
    /// Value that the answer earned, and its value within the targets.
    double earned = 0;
    double full_value = 0;
};

/// Sums over the requests of one kind.
struct kind_result {
    double full_value = 0;
    double earned = 0;
    std::size_t count = 0;
    std::size_t first_late = 0;
    std::size_t pause_late = 0;
    std::size_t lost = 0;
};

/// Result of one simulated day, or of several added up.
struct day_result {
    std::array<kind_result, 3> kinds{};
    double busy_seconds = 0;
    /// Full and earned value by start of a two-second window, s.
    std::map<int, std::pair<double, double>> windows;
};

/// One simulated day: an event queue, the engines, and one backend_fleet per gateway.
class experiment {
public:
    explicit experiment(const options& options);
    day_result run();

private:
    using action = std::function<void()>;
    struct event {
        time_point at;
        std::uint64_t number;
        action run;
        bool operator>(const event& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void schedule(time_point when, action run) {
        queue_.push({when, next_number_++, std::move(run)});
    }
    void make_requests();
    void attempt(std::size_t index);
    void refuse(std::size_t index);
    void schedule_idle_timeout(std::size_t index);
    void send(std::size_t index);
    void give_up(std::size_t index);
    void end(std::size_t index, attempt_result result);
    void broadcast_update(std::size_t gateway);
    void schedule_pass_end(std::size_t engine);
    void on_pass(std::size_t engine, const std::vector<pass_event>& events);
    void on_event(std::size_t index, bool is_last);
    [[nodiscard]] job_demand demand_of(const request& item) const;
    [[nodiscard]] std::size_t engine_index(const std::string& id) const {
        return static_cast<std::size_t>(std::stoul(id.substr(1)));
    }

    options options_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t next_number_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> queue_;
    std::vector<pass_engine> engines_;
    std::vector<time_point> scheduled_pass_ends_;
    std::vector<std::unique_ptr<backend_fleet>> fleets_;
    std::vector<request> requests_;
};

constexpr time_point day_start{std::chrono::seconds{1000}};

experiment::experiment(const options& options) : options_{options}, random_{options.seed} {
    engines_.assign(options.engines, pass_engine{mix.profile});
    scheduled_pass_ends_.resize(options.engines);
    for (std::size_t index = 0; index < options.gateways; ++index) {
        fleets_.push_back(std::make_unique<backend_fleet>("z" + std::to_string(index % 3),
                                                          index + 1, options.policy));
        fleets_.back()->set_services({{"llm", mix.profile}});
        for (std::size_t engine = 0; engine < options.engines; ++engine) {
            backend_info info;
            info.id = "e" + std::to_string(engine);
            info.service = "llm";
            info.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + engine)};
            info.zone = "z" + std::to_string(engine % 3);
            info.slots = mix.profile.slots;
            fleets_.back()->put(info);
        }
    }
    make_requests();
}

void experiment::make_requests() {
    const auto draw = [&](double mean, double spread, double most) {
        std::lognormal_distribution<double> draw_one{std::log(mean) - spread * spread / 2, spread};
        double value = draw_one(random_);
        while (value > most) {
            value = draw_one(random_);
        }
        return value;
    };
    double from = 0;
    for (const auto& item : mix.phases) {
        for (std::size_t kind = 0; kind < mix.kinds.size(); ++kind) {
            const auto& profile = mix.kinds[kind];
            std::exponential_distribution<double> gap{profile.requests_per_second *
                                                      item.rate_factors[kind] * options_.load};
            for (double when = from + gap(random_); when < item.end_s; when += gap(random_)) {
                request added;
                added.kind = kind;
                added.tokens = static_cast<std::uint32_t>(
                    draw(profile.mean_tokens, profile.spread, profile.max_tokens));
                added.answer_tokens = static_cast<std::uint32_t>(
                    mix.profile.steps_per_pass *
                    std::max(1.0, draw(profile.mean_events, profile.event_spread,
                                       2.5 * profile.mean_events)));
                added.predicted_tokens = static_cast<std::uint32_t>(
                    added.answer_tokens * std::lognormal_distribution<double>{0, 0.5}(random_));
                added.arrived = day_start + std::chrono::duration_cast<duration>(seconds{when});
                added.last_try = added.arrived;
                added.gateway = random_() % options_.gateways;
                added.full_value =
                    profile.value * std::min(4.0, 0.3 + 0.7 * added.tokens / profile.mean_tokens);
                requests_.push_back(added);
            }
        }
        from = item.end_s;
    }
}

job_demand experiment::demand_of(const request& item) const {
    const auto& kind = mix.kinds[item.kind];
    job_demand demand;
    demand.prompt_tokens = item.tokens;
    demand.answer_tokens = item.predicted_tokens;
    demand.target_latency = item.arrived + kind.target_latency - now_;
    demand.target_pause = kind.target_pause;
    demand.is_late = demand.target_latency.count() <= 0;
    demand.value = 1 + item.tokens / 10'000.0;
    const auto by = std::min(item.last_try + idle_timeout_of(kind), item.arrived + kind.time_limit);
    demand.time_limit = by - now_;
    return demand;
}

void experiment::attempt(std::size_t index) {
    auto& item = requests_[index];
    if (item.current_stage != request::stage::waiting) {
        return;
    }
    auto& fleet = *fleets_[item.gateway];
    const auto demand = demand_of(item);
    auto chosen = fleet.choose("llm", {demand, demand.time_limit}, {}, now_);
    const queued_request queued{.net_value =
                                    chosen ? std::optional{chosen->net_value} : std::nullopt,
                                .is_late = demand.is_late,
                                .is_retry = item.last_try != item.arrived,
                                .has_forecast = true,
                                .now = now_,
                                .wait_until = item.last_try + demand.time_limit * 7 / 10};
    switch (decide_dispatch(queued)) {
    case dispatch_decision::send:
        break;
    case dispatch_decision::wait:
        return schedule(now_ + milliseconds{chosen ? 40 : 20}, [this, index] { attempt(index); });
    case dispatch_decision::refuse:
        return refuse(index);
    }
    item.chosen = std::move(*chosen);
    if (item.chosen.share.tokens == 0) {
        item.chosen.share = prefill_share::of(item.tokens, 1); // The policy ignores lengths.
    }
    item.job = fleet.start(item.chosen, demand, now_);
    item.current_stage = request::stage::sent;
    broadcast_update(item.gateway);
    schedule(now_ + options_.network_delay, [this, index] { send(index); });
}

/// The caller retries once, at a random gateway, after the Retry-After time with jitter, unless it
/// has given up by then.
void experiment::refuse(std::size_t index) {
    auto& item = requests_[index];
    if (item.last_try != item.arrived) {
        return give_up(index);
    }
    const auto remaining = item.arrived + mix.kinds[item.kind].time_limit - now_;
    std::uniform_real_distribution<double> spread{1.0, 1.6};
    const auto back =
        now_ + std::chrono::duration_cast<duration>(retry_delay(remaining) * spread(random_));
    schedule(back, [this, index, back] {
        auto& retried = requests_[index];
        if (retried.current_stage == request::stage::waiting) {
            retried.last_try = back;
            retried.gateway = random_() % options_.gateways;
            schedule_idle_timeout(index);
            attempt(index);
        }
    });
}

/// Makes the caller give up if the first event does not arrive in time.
void experiment::schedule_idle_timeout(std::size_t index) {
    const auto& item = requests_[index];
    schedule(item.last_try + idle_timeout_of(mix.kinds[item.kind]),
             [this, index, last_try = item.last_try] {
                 const auto& later = requests_[index];
                 if (!later.has_first_event && later.last_try == last_try) {
                     give_up(index);
                 }
             });
}

void experiment::send(std::size_t index) {
    auto& item = requests_[index];
    if (item.current_stage != request::stage::sent) {
        return;
    }
    const auto& members = item.chosen.members;
    item.sent_members = members.size();
    item.shares_left = members.size();
    const bool is_reserved =
        std::ranges::any_of(members, [](const auto& member) { return member.reserved_tokens > 0; });
    for (std::size_t position = 0; position < members.size(); ++position) {
        const bool is_first = position == 0;
        const auto request_tokens = static_cast<double>(item.tokens) + item.answer_tokens;
        const double memory =
            is_reserved ? members[position].reserved_tokens : (is_first ? request_tokens : 0);
        const auto engine = engine_index(members[position].id);
        engines_[engine].add(
            {.id = index,
             .prefill_tokens = static_cast<double>(item.chosen.share.tokens),
             .first_attention_span = item.chosen.share.first_attention_span,
             .attention_span_increment = item.chosen.share.attention_span_increment,
             .is_helper = !is_first,
             .has_helpers = members.size() > 1,
             .memory_tokens = static_cast<std::uint32_t>(memory),
             .context_tokens = is_first ? std::min<double>(item.tokens, memory) : 0,
             .answer_tokens = static_cast<double>(item.answer_tokens)},
            now_);
        schedule_pass_end(engine);
    }
}

void experiment::schedule_pass_end(std::size_t engine) {
    const auto end = engines_[engine].pass_end();
    if (!end || scheduled_pass_ends_[engine] == *end) {
        return;
    }
    scheduled_pass_ends_[engine] = *end;
    schedule(*end, [this, engine, end = *end] {
        if (engines_[engine].pass_end() == end) {
            const auto events = engines_[engine].end_pass();
            on_pass(engine, events);
            schedule_pass_end(engine);
        }
    });
}

void experiment::on_pass(std::size_t /*engine*/, const std::vector<pass_event>& events) {
    for (const auto& event : events) {
        const auto index = static_cast<std::size_t>(event.id);
        auto& item = requests_[index];
        if (event.type == pass_event::kind::prefilled) {
            if (--item.shares_left == 0) {
                const auto decoder = engine_index(item.chosen.members.front().id);
                engines_[decoder].start_decoding(index, now_);
                schedule_pass_end(decoder);
                schedule(now_ + options_.network_delay, [this, index] { on_event(index, false); });
            }
            continue;
        }
        const bool is_last = event.type == pass_event::kind::last_event;
        schedule(now_ + options_.network_delay,
                 [this, index, is_last] { on_event(index, is_last); });
    }
}

void experiment::on_event(std::size_t index, bool is_last) {
    auto& item = requests_[index];
    if (item.current_stage != request::stage::sent) {
        return;
    }
    const auto& kind = mix.kinds[item.kind];
    auto& fleet = *fleets_[item.gateway];
    if (!item.has_first_event) {
        item.has_first_event = true;
        item.first_event = now_;
        item.is_late = now_ - item.arrived > kind.target_latency;
        fleet.on_event(item.job, true, now_);
        broadcast_update(item.gateway);
    } else {
        item.longest_pause = std::max(item.longest_pause, now_ - item.last_event);
        item.is_late = item.is_late || now_ - item.last_event > kind.target_pause;
        fleet.on_event(item.job, false, now_);
    }
    if (item.is_late) {
        fleet.on_late(item.job);
    }
    item.last_event = now_;
    schedule(now_ + idle_timeout_of(kind), [this, index, last = now_] {
        if (requests_[index].last_event == last) {
            give_up(index);
        }
    });
    if (is_last) {
        item.earned = item.full_value * (item.is_late ? mix.late_value_share : 1);
        end(index, attempt_result::done);
        item.current_stage = request::stage::done;
    }
}

void experiment::give_up(std::size_t index) {
    auto& item = requests_[index];
    if (item.current_stage == request::stage::sent) {
        end(index, attempt_result::cancelled);
    }
    if (item.current_stage != request::stage::done) {
        item.current_stage = request::stage::abandoned;
    }
}

void experiment::end(std::size_t index, attempt_result result) {
    auto& item = requests_[index];
    fleets_[item.gateway]->on_ended(item.job, result, now_);
    for (const auto& member : item.chosen.members) {
        const auto engine = engine_index(member.id);
        engines_[engine].remove(index, now_);
        schedule_pass_end(engine);
    }
    broadcast_update(item.gateway);
}

void experiment::broadcast_update(std::size_t gateway) {
    for (auto& [audience, update] : fleets_[gateway]->take_updates()) {
        schedule(now_ + options_.network_delay, [this, gateway, update = std::move(update)] {
            for (std::size_t other = 0; other < fleets_.size(); ++other) {
                if (other != gateway) {
                    fleets_[other]->apply_update(update, now_);
                }
            }
        });
    }
}

day_result experiment::run() {
    for (std::size_t index = 0; index < requests_.size(); ++index) {
        const auto& item = requests_[index];
        const auto& kind = mix.kinds[item.kind];
        schedule(item.arrived, [this, index] { attempt(index); });
        schedule(item.arrived + kind.time_limit, [this, index] { give_up(index); });
        schedule_idle_timeout(index);
    }
    while (!queue_.empty()) {
        auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    day_result result;
    for (const auto& item : requests_) {
        auto& sum = result.kinds[item.kind];
        const auto& kind = mix.kinds[item.kind];
        ++sum.count;
        sum.full_value += item.full_value;
        sum.earned += item.earned;
        sum.lost += item.current_stage != request::stage::done ? 1 : 0;
        sum.first_late +=
            item.has_first_event && item.first_event - item.arrived > kind.target_latency ? 1 : 0;
        sum.pause_late += item.longest_pause > kind.target_pause ? 1 : 0;
        auto& window =
            result.windows[static_cast<int>(seconds{item.arrived - day_start}.count() / 2) * 2];
        window.first += item.full_value;
        window.second += item.earned;
    }
    for (const auto& engine : engines_) {
        result.busy_seconds += seconds{engine.busy_time()}.count();
    }
    return result;
}

/// Simulates several days, with consecutive seeds and on several threads, and adds them up.
day_result run_days(const options& base, std::size_t days, std::size_t threads) {
    std::vector<day_result> results(days);
    std::vector<std::jthread> pool;
    for (std::size_t worker = 0; worker < threads; ++worker) {
        pool.emplace_back([&, worker] {
            for (std::size_t day = worker; day < days; day += threads) {
                auto one = base;
                one.seed = base.seed + day;
                results[day] = experiment{one}.run();
            }
        });
    }
    pool.clear();
    day_result sum;
    for (const auto& day : results) {
        for (std::size_t kind = 0; kind < mix.kinds.size(); ++kind) {
            sum.kinds[kind].full_value += day.kinds[kind].full_value;
            sum.kinds[kind].earned += day.kinds[kind].earned;
            sum.kinds[kind].count += day.kinds[kind].count;
            sum.kinds[kind].first_late += day.kinds[kind].first_late;
            sum.kinds[kind].pause_late += day.kinds[kind].pause_late;
            sum.kinds[kind].lost += day.kinds[kind].lost;
        }
        for (const auto& [from, window] : day.windows) {
            sum.windows[from].first += window.first;
            sum.windows[from].second += window.second;
        }
        sum.busy_seconds += day.busy_seconds;
    }
    return sum;
}

void print(const char* name, const day_result& result, bool has_windows) {
    double full_value = 0;
    double earned = 0;
    std::string text;
    for (std::size_t kind = 0; kind < mix.kinds.size(); ++kind) {
        const auto& sum = result.kinds[kind];
        full_value += sum.full_value;
        earned += sum.earned;
        const auto count = static_cast<double>(std::max<std::size_t>(sum.count, 1));
        std::array<char, 160> line{};
        std::snprintf(line.data(), line.size(),
                      "  %s %.3f (first late %.3f, pause %.3f, lost %.3f)", mix.kinds[kind].name,
                      sum.earned / sum.full_value, static_cast<double>(sum.first_late) / count,
                      static_cast<double>(sum.pause_late) / count,
                      static_cast<double>(sum.lost) / count);
        text += line.data();
    }
    std::printf("%-18s worth %.4f%s\n", name, earned / full_value, text.c_str());
    if (has_windows) {
        for (const auto& [from, window] : result.windows) {
            std::printf("  from %2d s: %.3f of %.0f\n", from, window.second / window.first,
                        window.first);
        }
    }
}

} // namespace
} // namespace magnolia::bench

int main(int argc, char** argv) {
    using namespace magnolia;
    using namespace magnolia::bench;
    cxxopts::Options flags{"placement_experiment",
                           "Compares placement policies on simulated engines."};
    flags.add_options()("days", "number of days to simulate, one seed each",
                        cxxopts::value<std::size_t>()->default_value("8"))(
        "seed", "seed of the first day", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "number of threads", cxxopts::value<std::size_t>()->default_value("4"))(
        "gateways", "gateways", cxxopts::value<std::size_t>()->default_value("6"))(
        "engines", "engines; as the mix by default", cxxopts::value<std::size_t>())(
        "mix", "usual or long-reads", cxxopts::value<std::string>()->default_value("usual"))(
        "load", "factor on all request rates", cxxopts::value<double>()->default_value("1"))(
        "policy", "run only this policy", cxxopts::value<std::string>()->default_value(""))(
        "windows", "print the share of value earned in each two-second window")("help",
                                                                                "print this help");
    const auto given = flags.parse(argc, argv);
    if (given.count("help") > 0) {
        std::puts(flags.help().c_str());
        return 0;
    }
    options base;
    mix = given["mix"].as<std::string>() == "long-reads" ? long_read_mix() : usual_mix();
    base.engines = given.count("engines") > 0 ? given["engines"].as<std::size_t>() : mix.engines;
    base.gateways = given["gateways"].as<std::size_t>();
    base.load = given["load"].as<double>();
    base.seed = given["seed"].as<std::uint64_t>();
    const std::array<std::pair<const char*, placement_policy>, 3> policies{
        {{"round robin", placement_policy::round_robin},
         {"least outstanding", placement_policy::least_outstanding},
         {"pause aware", placement_policy::pause_aware}}};
    const auto only_policy = given["policy"].as<std::string>();
    for (const auto& [name, policy] : policies) {
        if (!only_policy.empty() && only_policy != name) {
            continue;
        }
        base.policy = policy;
        print(name,
              run_days(base, given["days"].as<std::size_t>(), given["threads"].as<std::size_t>()),
              given.count("windows") > 0);
    }
    return 0;
}
