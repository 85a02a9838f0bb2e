/// A request that waits for a free worker when a planned stop ends.
#include "../stand_ins.hpp"

using namespace review;

namespace {

std::string audit(const std::string& attempt, int prompt_tokens) {
    return request_text("POST", "/audit/bom", attempt,
                        api_key + "X-Model: m\r\nX-Token-Usage: " + std::to_string(prompt_tokens) +
                            ",700\r\nX-Prompt-Prefix: 5c1e07a2:40," + attempt + ":" +
                            std::to_string(prompt_tokens - 40) + "\r\nX-Deadline-Ms: 15000\r\n",
                        "{\"audit\":\"" + attempt + "\"}");
}

} // namespace

int main(int argc, char** argv) {
    open_record(argc, argv);
    store platform{"127.41.0.1"};
    std::mutex mutex;
    std::string busy_worker;
    std::atomic<int> events_seen{0};
    const auto on_request = [&](const std::string& id) {
        return [&, id](connection& peer, const message& request) {
            const auto attempt = request.header("X-Attempt-Id");
            bool is_mine = false;
            {
                const std::scoped_lock lock{mutex};
                if (busy_worker.empty()) {
                    busy_worker = id;
                }
                is_mine = busy_worker == id;
            }
            if (attempt == "a1" && is_mine) {
                record("worker " + id + " runs a1");
                ++events_seen;
                const bool is_sent = stream_events(peer, request, 1, 14, 950ms);
                record("worker " + id +
                       (is_sent ? " has answered a1" : " was left by the gateway during a1"));
                return;
            }
            record("worker " + id + " is full and rejects " + attempt + " (503, X-Not-Executed)");
            peer.write(
                answer_text(503, "X-Not-Executed: 1\r\nX-Attempt-Id: " + attempt + "\r\n", ""));
        };
    };
    worker first{"127.41.0.2", "i-1", "chute-llm", "salt-lake", on_request("i-1")};
    worker second{"127.41.0.3", "i-2", "chute-llm", "salt-lake", on_request("i-2")};
    platform.put("config", "main", small_config());
    platform.put("servers", "i-1", first.entry(16));
    platform.put("servers", "i-2", second.entry(16));
    machine host{argv[2], "front-salt-lake-1", "127.41.0.10", "salt-lake", platform.at()};
    host.start();
    if (!host.wait_until_ready(15s)) {
        record("the gateway did not get ready");
        finish(host, could_not_run);
    }
    outcome long_audit;
    std::thread long_consumer{
        [&] { long_audit = send_request(host.front(), audit("a1", 150000), 15s); }};
    while (events_seen == 0) {
        std::this_thread::sleep_for(10ms);
    }
    std::this_thread::sleep_for(1s);
    const auto stop_at = clock_type::now();
    if (has_trouble()) {
        record("platform sends SIGTERM to " + host.name());
        host.send_signal(SIGTERM);
    }
    sleep_until(stop_at + 1s);
    record("consumer sends b1, time limit 15 s");
    outcome waiting;
    std::thread waiting_consumer{
        [&] { waiting = send_request(host.front(), audit("b1", 120000), 15s); }};
    sleep_until(stop_at + 8s);
    if (has_trouble()) {
        record(host.has_ended() ? host.name() + " has ended"
                                : "platform sends SIGKILL to " + host.name());
        host.stop_now();
    }
    waiting_consumer.join();
    long_consumer.join();
    record("b1: " + waiting.text() + ", Retry-After \"" + waiting.answer.header("Retry-After") +
           "\"");
    record("a1: " + long_audit.text());
    if (!waiting.is_connected) {
        record("b1 was not taken");
        finish(host, could_not_run);
    }
    record(waiting.is_answered() ? "LOST held: b1 was answered"
                                 : "LOST broken: b1 was read and ended without an answer");
    finish(host, waiting.is_answered() ? rule_held : rule_broken);
}
