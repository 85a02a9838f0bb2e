/// Claims per platform write and added latency: many claims per conditional write compared with one
/// object per claim, over a simulated store with a delay, at several loads and numbers of entries.
///
/// Usage: claim_bench [SECONDS [DELAY_MS [ENTRIES]]]
#include "claims.h"
#include "object_store.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace {

using namespace magnolia;
using std::chrono::milliseconds;

constexpr std::int64_t start_wall_ms = 1'800'000'000'000;
constexpr auto step = milliseconds{1};
constexpr auto claim_timeout = milliseconds{2000};

/// Load of one run. `claims_per_second` counts the claims of all entries.
struct load {
    std::size_t entries = 0;
    double claims_per_second = 0;
    std::uint32_t shards = 0;
    /// Write rate of all entries together.
    double writes_per_second = 400;
};

/// Counters of one run.
struct measurements {
    std::uint64_t granted = 0;
    std::uint64_t failed = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    /// Size of the largest value written, in bytes.
    std::size_t largest = 0;
    std::vector<double> latency_ms;
};

/// A call in flight: it takes effect after half of the delay and is answered after all of it.
struct call_in_flight {
    time_point effect_at;
    std::size_t entry = 0;
    claim_call call;

    bool operator>(const call_in_flight& other) const { return effect_at > other.effect_at; }
};

/// Reply to a call, on its way back to the entry.
struct pending_reply {
    time_point due_at;
    std::size_t entry = 0;
    std::uint64_t number = 0;
    result<platform_reply> reply;

    bool operator>(const pending_reply& other) const { return due_at > other.due_at; }
};

template <class T>
using time_ordered_queue = std::priority_queue<T, std::vector<T>, std::greater<>>;

/// Claim managers of several entries over one store, in steps of 1 ms.
class simulation {
public:
    simulation(const load& parameters, milliseconds delay) : load_{parameters}, delay_{delay} {
        claim_options options;
        options.shards = parameters.shards;
        for (std::size_t index = 0; index < parameters.entries; ++index) {
            managers_.push_back(std::make_unique<claim_manager>(index + 1, options));
        }
    }

    measurements run(std::chrono::seconds time) {
        for (; now_ < time_point{} + time; now_ += step) {
            write_tokens_ = std::min(load_.writes_per_second / 10,
                                     write_tokens_ + (load_.writes_per_second / 1000));
            generate_requests();
            finish_calls();
            deliver_replies();
            for (std::size_t index = 0; index < managers_.size(); ++index) {
                poll_entry(index);
            }
        }
        return std::move(measurements_);
    }

private:
    [[nodiscard]] std::int64_t wall() const {
        return start_wall_ms + (now_.time_since_epoch() / milliseconds{1});
    }

    /// Requests claims of new keys as a Poisson process, at random entries.
    void generate_requests() {
        std::poisson_distribution<int> count{load_.claims_per_second / 1000};
        std::uniform_int_distribution<std::size_t> entry{0, managers_.size() - 1};
        for (int remaining = count(random_); remaining > 0; --remaining) {
            const request_id id{entry(random_) + 1, ++sequence_};
            const claim_key key{"workspace", "0198c0de-7000-7000-8000-" + std::to_string(sequence_),
                                wall()};
            requests_[id] = {key, now_};
            managers_[id.origin - 1]->request(key, id, 1, claim_timeout, now_, wall());
        }
    }

    /// Records the outcomes of granted calls, which run for 50 ms.
    void finish_calls() {
        while (!dispatched_.empty() && dispatched_.front().second <= now_) {
            const auto id = dispatched_.front().first;
            dispatched_.pop_front();
            managers_[id.origin - 1]->record_outcome(requests_.at(id).first, id, outcome::done, 200,
                                                     "ok", now_);
            requests_.erase(id);
        }
    }

    void deliver_replies() {
        while (!calls_in_flight_.empty() && calls_in_flight_.top().effect_at <= now_) {
            const auto sent = calls_in_flight_.top();
            calls_in_flight_.pop();
            answers_.push({sent.effect_at + (delay_ / 2), sent.entry, sent.call.number,
                           execute(sent.call.call)});
        }
        while (!answers_.empty() && answers_.top().due_at <= now_) {
            const auto& top = answers_.top();
            managers_[top.entry]->on_reply(top.number, top.reply, now_, wall());
            answers_.pop();
        }
    }

    result<platform_reply> execute(const platform_call& call) {
        if (const auto* get = std::get_if<object_get>(&call)) {
            return platform_reply{store_.get(get->id)};
        }
        const auto& put = std::get<object_put>(call);
        auto written = store_.put(put);
        measurements_.conflicts += written ? 0 : 1;
        measurements_.largest = std::max(measurements_.largest, put.value.size());
        return std::move(written).map([](stored_object value) { return platform_reply{value}; });
    }

    /// Sends the due calls of one entry and handles its events.
    void poll_entry(std::size_t index) {
        for (auto& call : managers_[index]->poll(now_, wall())) {
            unsent_calls_.push_back({now_, index, std::move(call)});
        }
        std::erase_if(unsent_calls_,
                      [this](const call_in_flight& call_to_send) { return send(call_to_send); });
        for (const auto& event : managers_[index]->take_events()) {
            on_event(event);
        }
    }

    /// Sends a call; returns false for a write that has to wait for the write rate.
    bool send(const call_in_flight& call_to_send) {
        const bool is_write = std::holds_alternative<object_put>(call_to_send.call.call);
        if (is_write && write_tokens_ < 1) {
            return false;
        }
        write_tokens_ -= is_write ? 1 : 0;
        ++(is_write ? measurements_.writes : measurements_.reads);
        calls_in_flight_.push({now_ + (delay_ / 2), call_to_send.entry, call_to_send.call});
        return true;
    }

    void on_event(const claim_event& event) {
        if (const auto* granted = std::get_if<claim_granted>(&event)) {
            ++measurements_.granted;
            const auto waited = now_ - requests_.at(granted->request).second;
            measurements_.latency_ms.push_back(static_cast<double>(waited.count()) / 1000);
            dispatched_.emplace_back(granted->request, now_ + milliseconds{50});
        } else {
            ++measurements_.failed;
        }
    }

    load load_;
    duration delay_;
    time_point now_{};
    std::mt19937_64 random_{20261203};
    object_store store_{1};
    std::vector<std::unique_ptr<claim_manager>> managers_;
    std::map<request_id, std::pair<claim_key, time_point>> requests_;
    std::deque<std::pair<request_id, time_point>> dispatched_;
    std::vector<call_in_flight> unsent_calls_;
    time_ordered_queue<call_in_flight> calls_in_flight_;
    time_ordered_queue<pending_reply> answers_;
    std::uint64_t sequence_ = 0;
    double write_tokens_ = 1;
    measurements measurements_;
};

/// The quantile `share` (0 to 1) of the values; 0 without values.
double quantile(std::vector<double>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

/// Calculated figures for one object per claim: one write for the claim and one for its outcome,
/// through one queue with the write rate.
void print_one_object_per_claim(const load& parameters, double delay_ms) {
    const double writes = 2 * parameters.claims_per_second;
    const double utilization = writes / parameters.writes_per_second;
    // Mean waiting time of a queue with random arrivals and a constant service time (M/D/1).
    const double service_ms = 1000 / parameters.writes_per_second;
    const double wait_ms =
        utilization < 1 ? service_ms * utilization / (2 * (1 - utilization)) : INFINITY;
    std::printf("%7zu %9.0f %7s %8.2f %8.2f %9s %9s %10.1f %10s %9s\n", parameters.entries,
                parameters.claims_per_second, "one", 0.5, 0.0, "-", "-", delay_ms + wait_ms, "-",
                utilization < 1 ? "-" : "overload");
}

void print_shared_objects(const load& parameters, milliseconds delay, std::chrono::seconds time) {
    simulation run{parameters, delay};
    auto measured = run.run(time);
    const auto per_write = static_cast<double>(measured.granted) /
                           std::max<double>(1, static_cast<double>(measured.writes));
    const auto conflicts = static_cast<double>(measured.conflicts) /
                           std::max<double>(1, static_cast<double>(measured.writes));
    std::printf("%7zu %9.0f %7u %8.2f %8.2f %9.1f %9.1f %10.1f %10.1f %9llu %9zu\n",
                parameters.entries, parameters.claims_per_second, parameters.shards, per_write,
                conflicts, static_cast<double>(measured.writes) / static_cast<double>(time.count()),
                static_cast<double>(measured.reads) / static_cast<double>(time.count()),
                quantile(measured.latency_ms, 0.5), quantile(measured.latency_ms, 0.99),
                static_cast<unsigned long long>(measured.failed), measured.largest);
}

} // namespace

int main(int argc, char** argv) {
    const std::chrono::seconds time{argc > 1 ? std::atoi(argv[1]) : 20};
    const milliseconds delay{argc > 2 ? std::atoi(argv[2]) : 4};
    std::printf("%7s %9s %7s %8s %8s %9s %9s %10s %10s %9s %9s\n", "entries", "claims/s", "shards",
                "claims/w", "conf/w", "writes/s", "reads/s", "p50 ms", "p99 ms", "failed",
                "largest");
    const auto entries = static_cast<std::size_t>(argc > 3 ? std::atoi(argv[3]) : 6);
    for (const double rate : {20.0, 100.0, 200.0, 400.0}) {
        print_one_object_per_claim({entries, rate, 0}, static_cast<double>(delay.count()));
        for (const std::uint32_t shards : {1U, 4U, 16U}) {
            print_shared_objects({entries, rate, shards}, delay, time);
        }
    }
    return 0;
}
