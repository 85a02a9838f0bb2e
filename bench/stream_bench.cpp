/// Measures how many streamed tokens per second one core handles in engine_client, compared to
/// receiving the same lines with http_client without parsing them.
/// Usage: stream_bench [STREAMS [TOKENS]]
#include "engine_client.h"
#include "http_client.h"
#include "http_server.h"
#include "io_thread.h"

#include <ctime>
#include <future>
#include <iostream>

namespace {

using namespace magnolia;

/// Lines per write of the server.
constexpr std::uint32_t burst_lines = 64;

/// Returns the line of one token event in the engine protocol.
std::string token_line(const std::string& attempt, std::uint32_t offset) {
    return R"({"attempt":")" + attempt + R"(","count":1,"kind":"tokens","offset":)" +
           std::to_string(offset) + R"(,"text":" abc"})" + "\n";
}

/// Writes the remaining lines of one answer, a burst at a time, as fast as the peer reads them.
void write_burst(const http_responder& responder, const std::string& attempt, std::uint32_t offset,
                 std::uint32_t tokens) {
    std::string text;
    const auto end = std::min(offset + burst_lines, tokens);
    for (; offset < end; ++offset) {
        text += token_line(attempt, offset);
    }
    if (offset == tokens) {
        text += R"({"attempt":")" + attempt +
                R"(","kind":"finished","prompt_tokens":1,"generated_tokens":1})" + "\n";
        responder.write(text);
        responder.finish();
        return;
    }
    responder.write(text, [responder, attempt, offset, tokens] {
        write_burst(responder, attempt, offset, tokens);
    });
}

/// Returns the CPU time of the calling thread, s.
double thread_cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void print_throughput(const char* name, double tokens, double seconds) {
    std::cout << name << ": " << tokens / seconds << " tokens/s of one core, "
              << seconds / tokens * 1e6 << " us a token\n";
}

engine_start make_command(std::uint64_t number, std::uint32_t tokens) {
    engine_start command;
    command.id = {{1, number}, 1};
    command.engine = engine_handle{0};
    command.prompt = std::make_shared<std::string>("prompt");
    command.max_generated_tokens = tokens;
    command.time_left = std::chrono::seconds{60};
    return command;
}

/// Baseline: receives all streams with http_client and counts their bytes only.
void measure_http_client(const endpoint& peer, std::uint64_t streams, std::uint32_t tokens) {
    boost::asio::io_context context;
    http_client client{context};
    std::size_t bytes = 0;
    const auto before = thread_cpu_seconds();
    for (std::uint64_t number = 0; number < streams; ++number) {
        http_stream_handlers handlers;
        handlers.on_body = [&bytes](std::string_view text) { bytes += text.size(); };
        handlers.on_end = [](const http_failure*) {};
        client.stream(peer, encode(make_command(number, tokens), {}, {}),
                      {.max_body_bytes = std::size_t{1} << 30U}, std::move(handlers));
    }
    context.run();
    print_throughput("direct", static_cast<double>(streams) * tokens,
                     thread_cpu_seconds() - before);
}

/// Receives all streams with engine_client, which parses and checks each line.
void measure_engine_client(const endpoint& peer, std::uint64_t streams, std::uint32_t tokens) {
    boost::asio::io_context context;
    engine_client client{context, {.owner = "bench", .load_interval = {}}};
    client.put_engine(engine_handle{0}, http_engine{peer});
    std::uint64_t received_tokens = 0;
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    client.set_event_sink([&](engine_event& event) {
        if (const auto* value = std::get_if<engine_tokens>(&event)) {
            received_tokens += value->count;
        } else {
            ++ended;
            failed += std::holds_alternative<engine_failed>(event) ? 1U : 0U;
        }
        return true;
    });
    const auto before = thread_cpu_seconds();
    for (std::uint64_t number = 0; number < streams; ++number) {
        client.submit(make_command(number, tokens));
    }
    while (ended < streams && context.run_one_for(std::chrono::seconds{30}) > 0) {
    }
    print_throughput("engine_client", static_cast<double>(received_tokens),
                     thread_cpu_seconds() - before);
    std::cout << "streams " << ended << ", failed " << failed << ", tokens " << received_tokens
              << '\n';
}

} // namespace

int main(int argc, char** argv) {
    const auto streams = argc > 1 ? std::stoull(argv[1]) : 100;
    const auto tokens = static_cast<std::uint32_t>(argc > 2 ? std::stoul(argv[2]) : 2000);
    io_thread engine{"engine"};
    http_server server{engine.context(),
                       {},
                       [tokens](const http_request& request, const http_responder& responder) {
                           const auto fields = find_header(request.headers, "engine-call");
                           const auto begin = fields.find("\"attempt\":\"") + 11;
                           const auto end = fields.find('"', begin);
                           responder.start(200, {});
                           write_burst(responder, std::string{fields.substr(begin, end - begin)}, 0,
                                       tokens);
                       }};
    if (!server.listen({"127.0.0.1", 0})) {
        return 1;
    }
    const endpoint peer{"127.0.0.1", server.port()};
    engine.start();
    measure_http_client(peer, streams, tokens);
    measure_engine_client(peer, streams, tokens);
    std::promise<void> closed;
    boost::asio::post(engine.context(), [&] {
        server.close();
        closed.set_value();
    });
    closed.get_future().wait();
    engine.stop();
    return 0;
}
