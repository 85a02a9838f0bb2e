/// Measures traffic, CPU time and propagation delay of the exchange between many entries. Runs the
/// production code (membership, configuration, limits, codec) of all entries in one process, over a
/// simulated network with a virtual clock.
/// Usage: exchange_scale [NODES [CONTRACTS [OUTAGE_SECONDS]]]; prints one JSON object.
#include "contract_relay.h"
#include "limiter.h"
#include "membership.h"
#include "memory_net.h"
#include "memory_store.h"
#include "peer_codec.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <numeric>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration tick = 50ms;
constexpr duration platform_delay = 5ms;
constexpr std::size_t zone_count = 8;
/// Requests per second of one entry: 2,000 over 380 entries.
constexpr double requests_per_node = 2000.0 / 380;
/// Time between two changes of contracts; far more frequent than 1,300 changes a day.
constexpr duration change_period = 2s;

double cpu_seconds() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

std::size_t resident_bytes() {
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Sorts the values and returns the quantile `fraction`, 0..1; 0 if there are none.
double quantile(std::vector<double>& values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

/// Exchange components of one entry, its platform calls in progress with their send times, and its
/// admitted requests with their end times.
struct node {
    member_info self;
    std::unique_ptr<membership> members;
    std::unique_ptr<contract_relay> relay;
    std::unique_ptr<limiter> limits;
    std::vector<std::pair<numbered_call, time_point>> calls;
    std::vector<std::pair<limit_ticket, time_point>> running;
    bool was_cut_off = false;
};

/// Change of a contract, and the nodes in which it has come into force.
struct tracked_change {
    std::string workspace;
    std::uint64_t version = 0;
    time_point written_at{};
    std::vector<bool> arrived;
    std::size_t missing_nodes = 0;
};

/// Entries, the platform's store and the network between them.
class fleet {
public:
    fleet(std::size_t nodes, std::size_t contracts) : contracts_{contracts}, random_{1} {
        for (std::size_t index = 0; index < nodes; ++index) {
            seeds_.push_back({"entry-" + std::to_string(index),
                              "zone-" + std::to_string(index % zone_count), "10.0.0.1", 7000, 0,
                              host_state::live});
            index_[seeds_.back().name] = index;
        }
        for (std::size_t index = 0; index < contracts_; ++index) {
            write_contract(index);
        }
        for (std::size_t index = 0; index < nodes; ++index) {
            add_node(index);
        }
    }

    /// Advances the virtual clock by `span`.
    /// @param has_changes  whether contracts are changed meanwhile.
    void run(duration span, bool has_changes) {
        for (const auto end = now_ + span; now_ < end; now_ += tick) {
            if (has_changes && now_ >= next_change_) {
                next_change_ = now_ + change_period;
                change_random_contract();
            }
            for (auto& delivery : net_.take_due(now_)) {
                deliver(delivery);
            }
            for (auto& each : nodes_) {
                step(each);
            }
        }
    }

    /// Runs for `span` and reports traffic, CPU time and delays per node and second.
    nlohmann::json measure(duration span, bool has_changes) {
        net_.reset_traffic();
        delays_.clear();
        tracked_changes_.clear();
        const auto cpu = cpu_seconds();
        const auto calls = store_.calls() + failed_calls_;
        const auto started_at = now_;
        run(span, has_changes);
        const auto seconds = std::chrono::duration<double>(now_ - started_at).count();
        const auto count = static_cast<double>(nodes_.size());
        std::vector<double> bytes;
        for (const auto& [name, traffic] : net_.traffic()) {
            bytes.push_back(static_cast<double>(traffic.bytes_in + traffic.bytes_out) / seconds);
        }
        const auto total = std::accumulate(bytes.begin(), bytes.end(), 0.0);
        std::size_t missing_nodes = 0;
        for (const auto& change : tracked_changes_) {
            missing_nodes += now_ - change.written_at > 11s ? change.missing_nodes : 0;
        }
        std::size_t lapsed_entries = 0;
        for (const auto& each : nodes_) {
            lapsed_entries += each.relay->is_lapsed(now_) ? 1U : 0U;
        }
        return {{"virtual_seconds", seconds},
                {"bytes_per_second_mean", total / count},
                {"bytes_per_second_p99", quantile(bytes, 0.99)},
                {"bytes_per_second_most", quantile(bytes, 1)},
                {"core_percent_per_node", (cpu_seconds() - cpu) / seconds / count * 100},
                {"in_force_seconds_p50", quantile(delays_, 0.5)},
                {"in_force_seconds_p99", quantile(delays_, 0.99)},
                {"in_force_seconds_worst", quantile(delays_, 1)},
                {"not_in_force_after_11_s", missing_nodes},
                {"entries_lapsed_at_end", lapsed_entries},
                {"platform_calls_per_second",
                 static_cast<double>(store_.calls() + failed_calls_ - calls) / seconds}};
    }

    /// Cost per node if each entry sent a heartbeat to every other entry each second, for
    /// comparison.
    nlohmann::json measure_all_to_all() {
        std::string frame;
        const auto bytes = append_frame(ping_message{1, {}, 1, {1, 1}}, frame).value_or(0);
        const auto others = static_cast<double>(nodes_.size() - 1);
        const auto cpu = cpu_seconds();
        constexpr int samples = 20000;
        for (int index = 0; index < samples; ++index) {
            frame.clear();
            (void)append_frame(ping_message{1, {}, 1, {1, 1}}, frame);
            (void)read_frame(std::span{reinterpret_cast<const std::uint8_t*>(frame.data()) + 4,
                                       frame.size() - 4});
        }
        const auto cpu_per_message = (cpu_seconds() - cpu) / samples;
        return {{"bytes_per_second", 2 * others * static_cast<double>(bytes)},
                {"core_percent_per_node", others * cpu_per_message * 100},
                {"platform_calls_per_second_if_each_entry_watches",
                 static_cast<double>(nodes_.size())}};
    }

    void set_loss(double loss) { net_.set_loss(loss); }
    void cut_zone(const std::string& zone) {
        cut_zone_ = zone;
        net_.set_partition([this, zone](const std::string& from, const std::string& to) {
            return !zone.empty() && (zone_of(from) == zone) != (zone_of(to) == zone);
        });
    }
    void set_platform(bool is_up) { is_platform_up_ = is_up; }
    /// Runs until all contract tables are equal and no configuration lease has lapsed, for at most
    /// two minutes. Returns the virtual seconds that it took.
    double run_until_settled() {
        const auto started_at = now_;
        while (!is_settled() && now_ - started_at < 120s) {
            run(100ms, false);
        }
        return std::chrono::duration<double>(now_ - started_at).count();
    }

private:
    const std::string& zone_of(const std::string& name) const {
        return seeds_[index_.at(name)].zone;
    }

    void add_node(std::size_t index) {
        node created;
        created.self = seeds_[index];
        created.self.incarnation = 1;
        created.members = std::make_unique<membership>(created.self, index + 1);
        created.members->add_seeds(seeds_, true, now_);
        created.relay =
            std::make_unique<contract_relay>(created.self.name, created.self.zone, index + 1);
        created.limits = std::make_unique<limiter>(created.self.name, created.self.zone, index + 1);
        nodes_.push_back(std::move(created));
    }

    void write_contract(std::size_t number) {
        contract value;
        value.workspace = "workspace-" + std::to_string(number);
        value.key_hashes = {std::string(64, 'a')};
        value.models = {"model-a", "model-b"};
        store_.write({"contract", value.workspace}, nlohmann::json(value).dump());
    }

    /// Writes a new version of a random contract to the store and tracks its propagation.
    void change_random_contract() {
        const auto number = random_() % contracts_;
        write_contract(number);
        const auto name = "workspace-" + std::to_string(number);
        const auto page = store_.answer(object_get{{"contract", name}});
        std::erase_if(tracked_changes_, [&](const auto& each) { return each.workspace == name; });
        tracked_changes_.push_back({name, std::get<stored_object>(*page).version, now_,
                                    std::vector<bool>(nodes_.size(), false), nodes_.size()});
    }

    void deliver(const delivered_message& delivery) {
        auto& to = nodes_[index_.at(delivery.to)];
        to.members->on_message(delivery.from, delivery.message, now_);
        to.relay->on_message(delivery.from, delivery.message, now_);
        to.limits->on_message(delivery.from, delivery.message, now_);
    }

    /// Runs one tick of a node and sends its messages.
    void step(node& entry) {
        answer_calls(entry);
        std::vector<outgoing_message> messages = entry.members->poll(now_);
        std::vector<numbered_call> calls;
        update_members(entry);
        entry.relay->poll(now_, messages, calls);
        for (auto& call : calls) {
            entry.calls.emplace_back(std::move(call), now_);
        }
        for (const auto& peer : entry.members->take_config_differences()) {
            entry.relay->on_digest_mismatch(peer, now_);
        }
        record_changes(entry);
        generate_load(entry);
        std::ranges::move(entry.limits->poll(now_), std::back_inserter(messages));
        for (auto& message : messages) {
            net_.send(entry.self.name, std::move(message), now_);
        }
    }

    void update_members(node& entry) {
        const bool is_cut_off = entry.members->is_cut_off(now_) || entry.relay->is_lapsed(now_);
        if (entry.members->take_events().empty() && is_cut_off == entry.was_cut_off) {
            return;
        }
        entry.was_cut_off = is_cut_off;
        const auto members = entry.members->members();
        entry.relay->set_members(members, now_);
        std::vector<limit_member> visible{{entry.self.name, entry.self.zone, host_state::live}};
        for (const auto& member : members) {
            visible.push_back({member.name, member.zone, member.state});
        }
        entry.limits->set_members(visible, is_cut_off, now_);
    }

    /// Passes changed contracts on to the limiter, and records when a tracked change has come into
    /// force in this node.
    void record_changes(node& entry) {
        const auto changes = entry.relay->take_changes();
        if (changes.empty()) {
            return;
        }
        entry.members->set_config_digest(entry.relay->table().digest());
        const auto position = index_.at(entry.self.name);
        for (const auto& value : changes) {
            entry.limits->put_contract(value.value, value.version, now_);
            for (auto& change : tracked_changes_) {
                if (change.workspace == value.value.workspace && value.version >= change.version &&
                    !change.arrived[position]) {
                    change.arrived[position] = true;
                    --change.missing_nodes;
                    delays_.push_back(
                        std::chrono::duration<double>(now_ - change.written_at).count());
                }
            }
        }
    }

    /// Ends finished requests and starts new ones. The workspaces are skewed: a few get most of the
    /// requests.
    void generate_load(node& entry) {
        std::erase_if(entry.running, [&](const auto& item) {
            if (now_ < item.second) {
                return false;
            }
            entry.limits->settle(item.first, item.first.prompt_tokens, 100, now_);
            return true;
        });
        std::poisson_distribution<int> count{requests_per_node *
                                             std::chrono::duration<double>(tick).count()};
        for (int remaining = count(random_); remaining > 0; --remaining) {
            const auto draw = std::uniform_real_distribution<double>{0, 1}(random_);
            const auto number =
                static_cast<std::size_t>(draw * draw * draw * static_cast<double>(contracts_));
            auto ticket =
                entry.limits->admit("workspace-" + std::to_string(number), 2000, 400, now_);
            if (ticket) {
                entry.running.emplace_back(std::move(*ticket), now_ + 5s);
            }
        }
    }

    /// Answers the platform calls of a node after the platform delay; a watch waits for a change.
    void answer_calls(node& entry) {
        const bool is_reachable = is_platform_up_ && entry.self.zone != cut_zone_;
        auto calls = std::exchange(entry.calls, {});
        for (auto& [call, sent] : calls) {
            const auto* watch = std::get_if<object_watch>(&call.call);
            const bool waits =
                is_reachable && watch && now_ - sent < watch->wait && !store_.has_changes(*watch);
            if (waits || now_ - sent < platform_delay) {
                entry.calls.emplace_back(std::move(call), sent);
                continue;
            }
            failed_calls_ += is_reachable ? 0 : 1;
            entry.relay->on_reply(
                call.number,
                is_reachable ? store_.answer(call.call) : fail(error_code::platform_down), now_);
        }
    }

    bool is_settled() const {
        return std::ranges::all_of(nodes_, [&](const auto& each) {
            return !each.relay->is_lapsed(now_) &&
                   each.relay->table().digest() == nodes_.front().relay->table().digest();
        });
    }

    std::size_t contracts_;
    std::mt19937_64 random_;
    memory_net net_{{0, 0, 500us, 8ms, true}, 7};
    memory_store store_;
    std::vector<member_info> seeds_;
    std::map<std::string, std::size_t> index_;
    std::vector<node> nodes_;
    std::vector<tracked_change> tracked_changes_;
    std::vector<double> delays_;
    std::string cut_zone_;
    bool is_platform_up_ = true;
    std::uint64_t failed_calls_ = 0;
    time_point next_change_{};
    time_point now_ = start;
};

nlohmann::json run_all(std::size_t nodes, std::size_t contracts, int outage_seconds) {
    nlohmann::json report;
    const auto before = resident_bytes();
    fleet entries{nodes, contracts};
    report["nodes"] = nodes;
    report["zones"] = zone_count;
    report["contracts"] = contracts;
    report["start_settle_seconds"] = entries.run_until_settled();
    entries.run(10s, false);
    report["normal"] = entries.measure(40s, true);
    report["memory_bytes_per_node"] = (resident_bytes() - before) / nodes;
    report["plain_ways"] = entries.measure_all_to_all();
    entries.set_loss(0.05);
    report["loss_5_percent"] = entries.measure(40s, true);
    entries.set_loss(0);
    entries.cut_zone("zone-1");
    report["zone_cut"] = entries.measure(30s, true);
    entries.cut_zone("");
    report["zone_cut"]["settle_seconds"] = entries.run_until_settled();
    entries.set_platform(false);
    report["platform_down"] = entries.measure(std::chrono::seconds{outage_seconds}, false);
    entries.set_platform(true);
    report["platform_down"]["settle_seconds"] = entries.run_until_settled();
    return report;
}

} // namespace
} // namespace magnolia

int main(int argc, char** argv) {
    constexpr std::size_t default_nodes = 8;
    constexpr std::size_t default_contracts = 500;
    constexpr int default_outage_seconds = 600;
    const std::size_t nodes = argc > 1 ? std::stoul(argv[1]) : default_nodes;
    const std::size_t contracts = argc > 2 ? std::stoul(argv[2]) : default_contracts;
    const int outage = argc > 3 ? std::stoi(argv[3]) : default_outage_seconds;
    std::puts(magnolia::run_all(nodes, contracts, outage).dump(2).c_str());
    return 0;
}
