// Case 7: a grey server fails orders after it has run them. See claim.txt. Exits with 1 if the rule
// REFUSED is broken, 0 if it holds, 2 if the case could not run.
#include "../stand_ins_2.hpp"

#include <set>

using namespace stand_ins;

namespace {

constexpr int servers = 8;
constexpr double grey_s = 6.5;

struct outcome {
    std::string id;
    double sent = 0;
    double ended = 0;
    int status = 0;
};

std::mutex mutex;
std::vector<outcome> outcomes;
std::atomic<int> open_calls{0};

// Sends an order; after a promise that it was not run it sends it once more, as another attempt.
void order(const machine& host, const std::string& name) {
    ++open_calls;
    std::thread([&host, name] {
        for (int attempt = 1; attempt <= 2; ++attempt) {
            outcome result{name + "-" + std::to_string(attempt), now_s()};
            connection peer{connect_to(host.ip, host.front)};
            message answer;
            if (peer.fd() >= 0 &&
                peer.write("POST /order/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + result.id +
                           "\r\nX-Deadline-Ms: 3000\r\nApi-Key: k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n" + "part") &&
                peer.read(answer, now_s() + 3, true)) {
                result.status = answer.status();
            }
            result.ended = now_s();
            const std::scoped_lock lock{mutex};
            outcomes.push_back(result);
            if (result.status != 503 && result.status != 429) {
                break;
            }
        }
        --open_calls;
    }).detach();
}

int play() {
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string{trouble} != "0";
    const temporary_folder folder;
    processes all;
    const auto net = "127." + std::to_string(64 + ::getpid() % 128) + "." +
                     std::to_string(1 + (::getpid() / 128) % 250) + ".";
    // Threads of its connections go on until this process ends.
    auto& platform = *new store{net + "1"};
    platform.put("config", "main",
                 {{"Version", 3},
                  {"Routes", {{{"Name", "order"}, {"Host", "desk.example"}, {"PathPrefix", "/order/"}, {"Kind", "unsafe"},
                               {"TimeoutMs", 1500}, {"TargetLatencyMs", 300}, {"Priority", 1}, {"Service", "desk"},
                               {"Attempts", 1}, {"Public", false}}}},
                  {"Services", {{{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConnections", 48}}}},
                  {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
                  {"Tenants", {{{"Name", "archive"}, {"ApiKeys", {"k1"}}, {"Priority", 1}}}}});
    const std::vector<std::string> zones{"za", "zb", "zc"};
    const auto runs = folder.path() + "/runs";
    pid_t first = -1;
    for (int number = 0; number < servers; ++number) {
        const auto ip = net + std::to_string(101 + number);
        const int port = free_port(ip);
        const auto id = "i-d" + std::to_string(number);
        const auto born = unix_ms();
        const auto pid = all.start(id, {"build-review-2/worker", ip, std::to_string(port), id, "1", "30", runs, std::to_string(born)},
                                   folder.path() + "/" + id + ".log", {"PATH=/usr/bin:/bin"});
        first = number == 0 ? pid : first;
        platform.put("servers", id,
                     {{"Service", "desk"}, {"Address", ip + ":" + std::to_string(port)},
                      {"Zone", zones[static_cast<std::size_t>(number) % 3]}, {"Version", "v1"}, {"Slots", 6},
                      {"State", "ready"}, {"ColdRemainingMs", 0}, {"Sequence", 0}, {"born", born}});
    }
    std::vector<machine> machines;
    for (int number = 0; number < 3; ++number) {
        const auto ip = net + std::to_string(11 + number);
        machine host{"front-" + std::to_string(number + 1), zones[static_cast<std::size_t>(number)], ip};
        host.front = free_port(ip);
        host.ready = free_port(ip);
        host.inner = free_port(ip);
        machines.push_back(host);
    }
    for (auto& host : machines) {
        start_machine(all, host, platform.address(), folder.path());
    }
    for (const auto& host : machines) {
        if (!wait_ready(host, 15)) {
            std::fprintf(stderr, "%s is not ready\n%s", host.name.c_str(), read_file(host.log).c_str());
            return 2;
        }
    }
    const double begin = now_s() + 10;
    sleep_until_s(begin);
    int number = 0;
    const double grey_from = begin + 2;
    for (double at = begin; at < begin + 12; at += 0.05, ++number) {
        sleep_until_s(at);
        if (has_trouble) {
            ::kill(first, at >= grey_from && at < grey_from + grey_s ? SIGUSR1 : SIGUSR2);
        }
        order(machines[static_cast<std::size_t>(number) % machines.size()], "order-" + std::to_string(number));
    }
    while (open_calls > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::map<std::string, std::string> run_at;
    std::istringstream lines{read_file(runs)};
    std::string time;
    std::string word;
    std::string id;
    std::string server;
    while (lines >> time >> word >> id >> word >> server) {
        run_at[id] += " " + server;
    }
    std::FILE* record = std::fopen("review/7/record.txt", "w");
    std::map<std::string, int> ends;
    std::set<std::string> twice;
    int refused_though_run = 0;
    const std::scoped_lock lock{mutex};
    std::fprintf(record, "seconds from the start of the case; one of %d servers is grey: %s\n", servers, has_trouble ? "yes" : "no");
    for (const auto& item : outcomes) {
        const bool is_promise = item.status == 503 || item.status == 429 || item.status == 408 || item.status == 421;
        const bool is_false = is_promise && run_at.contains(item.id);
        refused_though_run += is_false ? 1 : 0;
        const auto name = item.id.substr(0, item.id.rfind('-'));
        if (run_at.contains(name + "-1") && run_at.contains(name + "-2")) {
            twice.insert(name);
        }
        ends["answered " + std::to_string(item.status) + (run_at.contains(item.id) ? ", run" : ", not run")]++;
        std::fprintf(record, "%s sent %.3f ended %.3f status %d run at%s\n", item.id.c_str(), item.sent, item.ended,
                     item.status, run_at.contains(item.id) ? run_at[item.id].c_str() : " none");
    }
    for (std::FILE* out : {record, stdout}) {
        for (const auto& [name, count] : ends) {
            std::fprintf(out, "%s: %d\n", name.c_str(), count);
        }
        std::fprintf(out, "promised not to have run, though it has: %d; orders placed twice by their consumers: %zu\n%s\n",
                     refused_though_run, twice.size(), refused_though_run > 0 ? "REFUSED broken" : "REFUSED held");
    }
    std::fclose(record);
    std::fflush(stdout);
    return refused_though_run > 0 ? 1 : 0;
}

} // namespace

int main() {
    std::_Exit(play());
}
