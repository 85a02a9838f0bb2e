/// Claims per platform write and added latency: many claims in one conditional write against one
/// object a claim, over a simulated store with a delay, at several loads and numbers of entries.
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

constexpr std::int64_t wall_start = 1'800'000'000'000;
constexpr auto tick = milliseconds{1};
constexpr auto patience = milliseconds{2000};

struct load {
    std::size_t entries = 0;
    double claims_per_second = 0;
    std::uint32_t shards = 0;
    /// The whole fleet's writes a second.
    double writes_per_second = 400;
};

struct figures {
    std::uint64_t granted = 0;
    std::uint64_t failed = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::size_t largest = 0;
    std::vector<double> latency_ms;
};

/// Call on its way: takes effect after half of the delay and is answered after the whole.
struct flight {
    time_point effect;
    std::size_t entry = 0;
    claim_call call;

    bool operator>(const flight& other) const { return effect > other.effect; }
};

struct answer {
    time_point due;
    std::size_t entry = 0;
    std::uint64_t number = 0;
    result<platform_reply> reply;

    bool operator>(const answer& other) const { return due > other.due; }
};

template <class T>
using by_time = std::priority_queue<T, std::vector<T>, std::greater<>>;

class simulation {
public:
    simulation(const load& wanted, milliseconds delay) : load_{wanted}, delay_{delay} {
        claim_options options;
        options.shards = wanted.shards;
        for (std::size_t index = 0; index < wanted.entries; ++index) {
            books_.push_back(std::make_unique<claim_manager>(index + 1, options));
        }
    }

    figures run(std::chrono::seconds time) {
        for (; now_ < time_point{} + time; now_ += tick) {
            tokens_ =
                std::min(load_.writes_per_second / 10, tokens_ + (load_.writes_per_second / 1000));
            arrive();
            settle();
            deliver();
            for (std::size_t index = 0; index < books_.size(); ++index) {
                advance(index);
            }
        }
        return std::move(figures_);
    }

private:
    [[nodiscard]] std::int64_t wall() const {
        return wall_start + (now_.time_since_epoch() / milliseconds{1});
    }

    void arrive() {
        std::poisson_distribution<int> count{load_.claims_per_second / 1000};
        std::uniform_int_distribution<std::size_t> entry{0, books_.size() - 1};
        for (int left = count(random_); left > 0; --left) {
            const request_id id{entry(random_) + 1, ++sequence_};
            const claim_key key{"workspace", "0198c0de-7000-7000-8000-" + std::to_string(sequence_),
                                wall()};
            asked_[id] = {key, now_};
            books_[id.origin - 1]->request(key, id, 1, patience, now_, wall());
        }
    }

    /// Calls run for 50 ms.
    void settle() {
        while (!running_.empty() && running_.front().second <= now_) {
            const auto id = running_.front().first;
            running_.pop_front();
            books_[id.origin - 1]->record_outcome(asked_.at(id).first, id, outcome::done, 200, "ok",
                                                  now_);
            asked_.erase(id);
        }
    }

    void deliver() {
        while (!flights_.empty() && flights_.top().effect <= now_) {
            const auto sent = flights_.top();
            flights_.pop();
            answers_.push({sent.effect + (delay_ / 2), sent.entry, sent.call.number,
                           execute(sent.call.call)});
        }
        while (!answers_.empty() && answers_.top().due <= now_) {
            const auto& top = answers_.top();
            books_[top.entry]->on_reply(top.number, top.reply, now_, wall());
            answers_.pop();
        }
    }

    result<platform_reply> execute(const platform_call& call) {
        if (const auto* get = std::get_if<object_get>(&call)) {
            return platform_reply{store_.get(get->id)};
        }
        const auto& put = std::get<object_put>(call);
        auto written = store_.put(put);
        figures_.conflicts += written ? 0 : 1;
        figures_.largest = std::max(figures_.largest, put.value.size());
        return std::move(written).map([](stored_object value) { return platform_reply{value}; });
    }

    void advance(std::size_t index) {
        for (auto& call : books_[index]->poll(now_, wall())) {
            waiting_.push_back({now_, index, std::move(call)});
        }
        std::erase_if(waiting_, [this](const flight& next) { return send(next); });
        for (const auto& event : books_[index]->take_events()) {
            on_event(event);
        }
    }

    /// Writes wait for the fleet's rate.
    bool send(const flight& next) {
        const bool is_write = std::holds_alternative<object_put>(next.call.call);
        if (is_write && tokens_ < 1) {
            return false;
        }
        tokens_ -= is_write ? 1 : 0;
        ++(is_write ? figures_.writes : figures_.reads);
        flights_.push({now_ + (delay_ / 2), next.entry, next.call});
        return true;
    }

    void on_event(const claim_event& event) {
        if (const auto* granted = std::get_if<claim_granted>(&event)) {
            ++figures_.granted;
            const auto waited = now_ - asked_.at(granted->request).second;
            figures_.latency_ms.push_back(static_cast<double>(waited.count()) / 1000);
            running_.emplace_back(granted->request, now_ + milliseconds{50});
        } else {
            ++figures_.failed;
        }
    }

    load load_;
    duration delay_;
    time_point now_{};
    std::mt19937_64 random_{20261203};
    object_store store_{1};
    std::vector<std::unique_ptr<claim_manager>> books_;
    std::map<request_id, std::pair<claim_key, time_point>> asked_;
    std::deque<std::pair<request_id, time_point>> running_;
    std::vector<flight> waiting_;
    by_time<flight> flights_;
    by_time<answer> answers_;
    std::uint64_t sequence_ = 0;
    double tokens_ = 1;
    figures figures_;
};

double quantile(std::vector<double>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(place));
    return values[place];
}

/// One object a claim: a write for the claim and one for its outcome, on one queue for the rate.
void print_plain(const load& wanted, double delay_ms) {
    const double writes = 2 * wanted.claims_per_second;
    const double use = writes / wanted.writes_per_second;
    // Mean wait of a queue with random arrivals and a fixed service time (M/D/1).
    const double service_ms = 1000 / wanted.writes_per_second;
    const double wait_ms = use < 1 ? service_ms * use / (2 * (1 - use)) : INFINITY;
    std::printf("%7zu %9.0f %7s %8.2f %8.2f %9s %9s %10.1f %10s %9s\n", wanted.entries,
                wanted.claims_per_second, "one", 0.5, 0.0, "-", "-", delay_ms + wait_ms, "-",
                use < 1 ? "-" : "overload");
}

void print_grouped(const load& wanted, milliseconds delay, std::chrono::seconds time) {
    simulation run{wanted, delay};
    auto measured = run.run(time);
    const auto per_write = static_cast<double>(measured.granted) /
                           std::max<double>(1, static_cast<double>(measured.writes));
    const auto conflicts = static_cast<double>(measured.conflicts) /
                           std::max<double>(1, static_cast<double>(measured.writes));
    std::printf("%7zu %9.0f %7u %8.2f %8.2f %9.1f %9.1f %10.1f %10.1f %9llu %9zu\n", wanted.entries,
                wanted.claims_per_second, wanted.shards, per_write, conflicts,
                static_cast<double>(measured.writes) / static_cast<double>(time.count()),
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
        print_plain({entries, rate, 0}, static_cast<double>(delay.count()));
        for (const std::uint32_t shards : {1U, 4U, 16U}) {
            print_grouped({entries, rate, shards}, delay, time);
        }
    }
    return 0;
}
