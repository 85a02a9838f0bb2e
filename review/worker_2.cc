// A model server as a process: reads prompts in pieces, all that it has in turn, and writes a stream
// of events. Arguments: IP PORT ID TOKENS_PER_S EVENT_MS RUNS_FILE BORN. It writes a line for each request
// that it runs into the file.
// SIGUSR1 makes it grey, SIGUSR2 sound: a grey one fails two of five requests without a prompt after it
// has run them, while its health answers stay good.
#include "stand_ins_2.hpp"

#include <set>

using namespace stand_ins;

namespace {

struct reading {
    double tokens_left = 0;
};

std::mutex mutex;
std::condition_variable read_on;
std::set<reading*> readings;

// Every prompt gets an even share of the speed.
void read_prompts(double tokens_per_s) {
    auto last = now_s();
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        const auto now = now_s();
        const std::scoped_lock lock{mutex};
        if (!readings.empty()) {
            const auto share = tokens_per_s * (now - last) / static_cast<double>(readings.size());
            for (auto* item : readings) {
                item->tokens_left -= share;
            }
            read_on.notify_all();
        }
        last = now;
    }
}

// Reads so many tokens; false if the peer has left meanwhile.
bool read_tokens(double tokens, const connection& peer) {
    reading mine{tokens};
    std::unique_lock lock{mutex};
    readings.insert(&mine);
    read_on.wait(lock, [&] { return mine.tokens_left <= 0 || peer.is_closed(); });
    readings.erase(&mine);
    return mine.tokens_left <= 0;
}

// Lets another server read a part; false if it is gone.
bool read_elsewhere(const std::string& address, double tokens) {
    const auto colon = address.find(':');
    connection helper{connect_to(address.substr(0, colon), std::atoi(address.c_str() + colon + 1))};
    message answer;
    return helper.fd() >= 0 &&
           helper.write("POST /part HTTP/1.1\r\nContent-Length: 0\r\nX-Part: " + std::to_string(tokens) + "\r\n\r\n") &&
           helper.read(answer, now_s() + 30, true) && answer.status() == 200;
}

std::string chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::atomic<bool> is_grey{false};
std::atomic<int> plain_requests{0};

} // namespace

int main(int, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGUSR1, [](int) { is_grey = true; });
    signal(SIGUSR2, [](int) { is_grey = false; });
    const std::string ip = argv[1];
    const std::string id = argv[3];
    const double tokens_per_s = std::atof(argv[4]);
    const int event_ms = std::atoi(argv[5]);
    const std::string runs_file = argv[6];
    const auto own_address = ip + ":" + argv[2];
    const auto born = std::atoll(argv[7]);
    const int listener = listen_at(ip, std::atoi(argv[2]));
    if (listener < 0) {
        return 2;
    }
    std::thread([tokens_per_s] { read_prompts(tokens_per_s); }).detach();
    serve(listener, [&](connection& peer) {
        message request;
        if (!peer.read(request, now_s() + 60, false)) {
            return;
        }
        const std::string common = "X-Instance-Id: " + id + "\r\nConnection: close\r\n";
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != id) {
            peer.write(answer_text(421, common, ""));
            return;
        }
        if (request.target() == "/-/report") {
            const std::scoped_lock lock{mutex};
            const json report{{"Stage", "both"}, {"Busy", false}, {"Sequence", 0},
                              {"Waiting", 0},    {"Running", readings.size()},
                              {"KvUsed", 0},     {"KvTotal", 1300000}, {"Handles", 0},
                              {"pace", 1.0},     {"born", born},
                              {"Models", json::array({{{"Name", "m"}, {"Version", 1}, {"Adapters", json::array()}}})}};
            peer.write(answer_text(200, common + "Content-Type: application/json\r\n", report.dump()));
            return;
        }
        if (request.target() == "/-/order") {
            peer.write(answer_text(200, common + "Content-Type: application/json\r\n",
                                   json{{"Free", 1000000}, {"born", born}}.dump()));
            return;
        }
        if (request.target() == "/part") {
            read_tokens(std::atof(request.header("X-Part").c_str()), peer);
            peer.write(answer_text(200, common, ""));
            return;
        }
        const auto attempt = request.header("X-Attempt-Id");
        if (request.target() == "/health" || attempt.empty()) {
            peer.write(answer_text(request.target() == "/health" ? 200 : 400, common + "X-Not-Executed: 1\r\n", ""));
            return;
        }
        {
            const std::scoped_lock lock{mutex};
            std::ofstream{runs_file, std::ios::app} << now_s() << " run " << attempt << " at " << id << "\n";
        }
        const auto echo = common + "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s." + attempt + "\r\n";
        const auto usage = request.header("X-Token-Usage");
        if (usage.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(event_ms));
            const bool fails = plain_requests++ % 5 < 2 && is_grey;
            peer.write(fails ? answer_text(503, echo, "failed " + attempt) : answer_text(200, echo, "plain " + attempt));
            return;
        }
        std::vector<std::string> helpers;
        std::istringstream list{request.header("X-Helpers")};
        for (std::string entry; std::getline(list, entry, ',');) {
            const auto address = entry.substr(0, entry.find('/'));
            if (address != own_address) {
                helpers.push_back(address);
            }
        }
        const auto part = std::atof(usage.c_str()) / static_cast<double>(helpers.size() + 1);
        std::atomic<bool> has_all{true};
        std::vector<std::thread> others;
        for (const auto& address : helpers) {
            others.emplace_back([&has_all, address, part] { has_all = read_elsewhere(address, part) && has_all; });
        }
        const bool is_read = read_tokens(part, peer);
        for (auto& other : others) {
            other.join();
        }
        if (!is_read) {
            return;
        }
        if (!has_all) {
            peer.write(answer_text(503, echo + "X-Not-Executed: 1\r\n", ""));
            return;
        }
        if (!peer.write("HTTP/1.1 200 OK\r\n" + echo +
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return;
        }
        const auto resumed = std::atoi(request.header("Last-Event-Id").c_str());
        for (int event = resumed + 1; event <= 8; ++event) {
            if (!peer.write(chunk("id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n"))) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(event_ms));
        }
        peer.write("0\r\n\r\n");
    });
    while (true) {
        ::pause();
    }
}
