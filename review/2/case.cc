/// A key is taken away while the cut of one machine from the store ends and that of its neighbour
/// begins.
#include "../stand_ins.hpp"

using namespace review;

namespace {

constexpr int most_tries = 13;
/// Relays between hosts know each other by address, so that all hosts share the one that outgoing
/// connections have.
const std::string ip = "127.0.0.1";
const std::string key = "hq3k0x7pz1m4v8s2d6fw";

std::string lookup(const std::string& attempt) {
    return request_text("GET", "/stock/item", attempt,
                        "Api-Key: " + key + "\r\nX-Deadline-Ms: 600\r\n");
}

/// The configuration with so many idle routes, with the key or without it.
json config_of(int version, int idle_routes, bool has_key) {
    auto config = small_config();
    config["Version"] = version;
    for (int route = 0; route < idle_routes; ++route) {
        auto idle = config["Routes"][4];
        idle["Name"] = "idle-" + std::to_string(route);
        idle["PathPrefix"] = "/idle-" + std::to_string(route) + "/";
        config["Routes"].push_back(idle);
    }
    config["Tenants"].push_back(
        {{"Name", "shop-2"}, {"ApiKeys", has_key ? json::array({key}) : json::array()}});
    return config;
}

bool wait_for(const machine& host, int status) {
    const auto until = clock_type::now() + 10s;
    while (clock_type::now() < until) {
        if (send_request(host.front(), lookup("w"), 600ms).answer.status() == status) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

int main(int argc, char** argv) {
    open_record(argc, argv);
    store platform{ip};
    cuttable_link first_link{ip, platform.at()};
    cuttable_link second_link{ip, platform.at()};
    std::mutex mutex;
    std::vector<std::string> runs;
    worker desk{ip, "i-1", "trade-desk", "salt-lake",
                [&](connection& peer, const message& request) {
                    {
                        const std::scoped_lock lock{mutex};
                        runs.push_back(request.header("X-Attempt-Id"));
                    }
                    peer.write(answer_text(200, signed_headers(request), "7 in stock"));
                }};
    int version = 7;
    int idle_routes = 0;
    platform.put("servers", "i-1", desk.entry(6));
    platform.put("config", "main", config_of(version, idle_routes, true));
    machine first{argv[2], "front-salt-lake-1", ip, "salt-lake", first_link.at(), free_port(ip)};
    machine second{argv[2], "front-howrah-1", ip, "howrah", second_link.at(), free_port(ip)};
    const auto end = [&](int code) {
        second.stop_now();
        finish(first, code);
    };
    first.start();
    second.start();
    if (!first.wait_until_ready(15s) || !second.wait_until_ready(15s)) {
        record("the gateways did not get ready");
        end(could_not_run);
    }
    const auto begun = clock_type::now();
    for (int number = 1; number <= most_tries && clock_type::now() - begun < 90s; ++number) {
        platform.put("config", "main", config_of(++version, idle_routes, true));
        if (!wait_for(first, 200) || !wait_for(second, 200)) {
            record("the key is not served");
            end(could_not_run);
        }
        record("try " + std::to_string(number));
        const auto cut_end = clock_type::now() + 2700ms;
        if (has_trouble()) {
            first_link.cut();
            record("front-salt-lake-1 is cut off from the store");
        }
        // Each try at a slightly other moment.
        sleep_until(cut_end - 690ms + 30ms * (number % 4));
        platform.put("config", "main", config_of(++version, ++idle_routes, true));
        record("version " + std::to_string(version) + " confirmed, one more idle route");
        sleep_until(cut_end - 300ms + 30ms * (number % 4));
        if (has_trouble()) {
            second_link.cut();
            record("front-howrah-1 is cut off from the store");
        }
        sleep_until(cut_end);
        first_link.heal();
        record("front-salt-lake-1 reaches the store again");
        sleep_until(cut_end + 100ms);
        platform.put("config", "main", config_of(++version, idle_routes, false));
        record("version " + std::to_string(version) + " confirmed, the key is taken away");
        // ContactMs after the end of the cut, and more than ConfigApplyMs after the confirmation.
        sleep_until(cut_end + 3050ms);
        bool is_broken = false;
        for (int request = 0; !is_broken && clock_type::now() < cut_end + 4000ms; ++request) {
            const auto attempt = "k" + std::to_string(number) + "-" + std::to_string(request);
            const auto result = send_request(first.front(), lookup(attempt), 600ms);
            const std::scoped_lock lock{mutex};
            is_broken = std::ranges::find(runs, attempt) != runs.end();
            if (request == 0 || is_broken) {
                record("consumer sends " + attempt +
                       " with the key to front-salt-lake-1: " + result.text());
            }
            std::this_thread::sleep_for(10ms);
        }
        second_link.heal();
        if (is_broken) {
            record("CONFIG broken: the worker ran a request with a key that no configuration has "
                   "held for over 2 s");
            end(rule_broken);
        }
    }
    record("CONFIG held");
    end(rule_held);
}
