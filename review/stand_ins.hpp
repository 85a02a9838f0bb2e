/// Stand-ins for the review's cases: the platform's store, workers, consumers and the platform's
/// start and stop of processes, as PROTOCOL.md and DEPLOY.md describe them. Blocking sockets, one
/// thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Writes record.txt: one line for each thing that was sent, answered or run, with the ms since the
/// start.
class record_file {
public:
    explicit record_file(const std::string& path) : out_{path, std::ios::trunc} {}
    void line(const std::string& text) {
        const std::scoped_lock lock{mutex_};
        const auto ms =
            std::chrono::duration_cast<milliseconds>(clock_type::now() - begin_).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", static_cast<double>(ms) / 1000);
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock_type::time_point begin_ = clock_type::now();
};

inline std::unique_ptr<record_file> the_record;
inline void record(const std::string& text) {
    the_record->line(text);
}

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

inline void sleep_until(clock_type::time_point when) {
    std::this_thread::sleep_until(when);
}

// Sockets and HTTP.

struct address {
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& from) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(from.port);
    inet_pton(AF_INET, from.ip.c_str(), &out.sin_addr);
    return out;
}

/// Opens a listener; port 0 takes a free one.
inline int open_listener(address& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto name = to_sockaddr(at);
    socklen_t size = sizeof(name);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&name), size) != 0 || ::listen(fd, 128) != 0) {
        std::perror("listener");
        std::_Exit(could_not_run);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    at.port = ntohs(name.sin_port);
    return fd;
}

/// A port that is free now, for TCP and UDP, below those that the system gives to outgoing
/// connections.
inline std::uint16_t free_port(const std::string& ip) {
    static std::uint16_t next = static_cast<std::uint16_t>(12000 + ::getpid() % 8000);
    for (int tries = 0; tries < 1000; ++tries) {
        const address at{ip, ++next};
        const auto name = to_sockaddr(at);
        bool is_free = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            is_free =
                is_free && ::bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
            ::close(fd);
        }
        if (is_free) {
            return at.port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::_Exit(could_not_run);
}

struct message {
    /// Request line or status line.
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() &&
                ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const {
        return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
    }
};

/// How the reading of a message ended.
enum class reading { complete, closed, reset, timed_out };

inline std::string to_text(reading end) {
    switch (end) {
    case reading::complete:
        return "complete";
    case reading::closed:
        return "connection closed";
    case reading::reset:
        return "connection reset";
    case reading::timed_out:
        return "time limit";
    }
    return {};
}

class connection {
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    void close() {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }
    bool write(std::string_view text) const {
        while (!text.empty()) {
            const auto count = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Whether the peer has closed the connection.
    [[nodiscard]] bool is_peer_gone() const {
        char byte{};
        const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /// Reads one message. What arrived of an incomplete one stays in `out`.
    reading read(message& out, clock_type::time_point until, bool is_answer) {
        out = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (const auto state = fill(until); state != reading::complete) {
                return state;
            }
        }
        parse_header(out, buffer_.substr(0, end + 2));
        buffer_.erase(0, end + 4);
        if (out.header("Transfer-Encoding") == "chunked") {
            return read_chunks(out, until);
        }
        const auto length = out.header("Content-Length");
        if (length.empty() && is_answer) {
            return read_to_end(out, until);
        }
        const auto wanted = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < wanted) {
            if (const auto state = fill(until); state != reading::complete) {
                out.body = buffer_;
                return state;
            }
        }
        out.body = buffer_.substr(0, wanted);
        buffer_.erase(0, wanted);
        return reading::complete;
    }

private:
    static void parse_header(message& out, const std::string& text) {
        std::istringstream lines{text};
        std::string line;
        const auto next = [&] {
            const bool is_read = static_cast<bool>(std::getline(lines, line));
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return is_read;
        };
        next();
        out.first_line = line;
        while (next()) {
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                out.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
            }
        }
    }
    reading fill(clock_type::time_point until) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        pollfd item{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0) {
            return reading::timed_out;
        }
        char bytes[16384];
        const auto count = ::recv(fd_, bytes, sizeof(bytes), 0);
        if (count == 0) {
            return reading::closed;
        }
        if (count < 0) {
            return reading::reset;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return reading::complete;
    }
    reading read_chunks(message& out, clock_type::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (const auto state = fill(until); state != reading::complete) {
                    return state;
                }
            }
            const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (const auto state = fill(until); state != reading::complete) {
                    return state;
                }
            }
            out.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return reading::complete;
            }
        }
    }
    reading read_to_end(message& out, clock_type::time_point until) {
        reading state = reading::complete;
        while ((state = fill(until)) == reading::complete) {
        }
        out.body = std::exchange(buffer_, {});
        return state == reading::closed ? reading::complete : state;
    }

    int fd_;
    std::string buffer_;
};

/// Connects within the time limit; null if that fails.
inline std::unique_ptr<connection> connect_to(const address& peer, milliseconds limit = 1000ms) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto name = to_sockaddr(peer);
    const int started = ::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    pollfd item{fd, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    const bool is_open =
        started == 0 ||
        (errno == EINPROGRESS && ::poll(&item, 1, static_cast<int>(limit.count())) == 1 &&
         ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0);
    if (!is_open) {
        ::close(fd);
        return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(fd);
}

/// Serves each connection on its own thread until the process ends.
class server {
public:
    using handler = std::function<void(connection&, const message&)>;

    server(std::string ip, handler on_request)
        : at_{std::move(ip), 0}, on_request_{std::move(on_request)} {
        fd_ = open_listener(at_);
        std::thread{[this] {
            while (true) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    const int on = 1;
                    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                    std::thread{[this, fd] { serve(fd); }}.detach();
                }
            }
        }}.detach();
    }
    [[nodiscard]] const address& at() const { return at_; }

private:
    void serve(int fd) {
        connection peer{fd};
        message request;
        while (peer.read(request, clock_type::now() + 60s, false) == reading::complete) {
            on_request_(peer, request);
        }
    }

    address at_;
    handler on_request_;
    int fd_ = -1;
};

inline std::string answer_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string json_answer(int status, const json& body) {
    return answer_text(status, "Content-Type: application/json\r\n", body.dump());
}

// The platform's store.

class store {
public:
    explicit store(const std::string& ip)
        : server_{ip,
                  [this](connection& peer, const message& request) { on_request(peer, request); }} {
    }
    [[nodiscard]] const address& at() const { return server_.at(); }
    /// Writes an object as the operator or a worker does.
    void put(const std::string& kind, const std::string& name, const json& spec) {
        const std::scoped_lock lock{mutex_};
        change(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::scoped_lock lock{mutex_};
        erase(kind, name);
    }

private:
    struct event {
        std::uint64_t revision;
        std::string kind;
        json item;
    };

    json change(const std::string& kind, const std::string& name, const json& spec) {
        ++revision_;
        objects_[kind][name] = {{"Metadata", {{"Name", name}, {"Revision", revision_}}},
                                {"Spec", spec}};
        events_.push_back(
            {revision_, kind, {{"Object", objects_[kind][name]}, {"Deleted", false}}});
        changed_.notify_all();
        return objects_[kind][name];
    }
    void erase(const std::string& kind, const std::string& name) {
        const auto found = objects_[kind].find(name);
        if (found != objects_[kind].end()) {
            ++revision_;
            events_.push_back({revision_, kind, {{"Object", found->second}, {"Deleted", true}}});
            objects_[kind].erase(found);
            changed_.notify_all();
        }
    }
    void on_request(connection& peer, const message& request) {
        std::this_thread::sleep_for(4ms);
        const std::string prefix = "/-/objects/";
        const auto target = request.target();
        const auto query_at = target.find('?');
        const auto path = target.substr(0, query_at);
        if (!path.starts_with(prefix)) {
            peer.write(json_answer(404, json::object()));
            return;
        }
        const auto query =
            query_at == std::string::npos ? std::string{} : "&" + target.substr(query_at + 1);
        const auto number = [&query](const std::string& name) -> std::optional<std::uint64_t> {
            const auto found = query.find("&" + name + "=");
            return found == std::string::npos
                       ? std::nullopt
                       : std::optional{std::stoull(query.substr(found + name.size() + 2))};
        };
        const auto rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
        std::unique_lock lock{mutex_};
        peer.write(
            answer(request, kind, name, number("Watch"), number("WaitMs").value_or(0), lock));
    }
    std::string answer(const message& request, const std::string& kind, const std::string& name,
                       std::optional<std::uint64_t> watch, std::uint64_t wait_ms,
                       std::unique_lock<std::mutex>& lock) {
        const auto method = request.method();
        if (method == "GET" && watch) {
            json events = json::array();
            const auto has_events = [&] {
                for (const auto& item : events_) {
                    if (item.revision > *watch && item.kind == kind) {
                        events.push_back(item.item);
                    }
                }
                return !events.empty();
            };
            changed_.wait_for(lock, milliseconds{wait_ms}, has_events);
            return json_answer(200, {{"events", events}, {"StoreRevision", revision_}});
        }
        if (method == "GET" && name.empty()) {
            json items = json::array();
            for (const auto& [key, value] : objects_[kind]) {
                items.push_back(value);
            }
            return json_answer(
                200, {{"Items", items}, {"HasMore", false}, {"StoreRevision", revision_}});
        }
        const auto found = objects_[kind].find(name);
        if (method == "GET") {
            return found == objects_[kind].end() ? json_answer(404, json::object())
                                                 : json_answer(200, found->second);
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (method == "POST" && body.is_object()) {
            const auto created = body["Metadata"].value("Name", std::string{});
            const auto known = objects_[kind].find(created);
            return known != objects_[kind].end()
                       ? json_answer(409, known->second)
                       : json_answer(201, change(kind, created, body["Spec"]));
        }
        if (method == "PUT" && body.is_object() && found != objects_[kind].end()) {
            const auto expected = body["Metadata"].value("Revision", std::uint64_t{0});
            const auto current = found->second["Metadata"]["Revision"].get<std::uint64_t>();
            return expected != 0 && expected != current
                       ? json_answer(409, found->second)
                       : json_answer(200, change(kind, name, body["Spec"]));
        }
        return json_answer(404, json::object());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    server server_;
};

// Workers.

inline std::string event_text(int id) {
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string signed_headers(const message& request) {
    return "X-Attempt-Id: " + request.header("X-Attempt-Id") +
           "\r\nX-Response-Signature: 3e1b.07." + request.header("X-Attempt-Id") + "\r\n";
}

/// A worker: answers reports, 421 where another instance is expected, and passes requests to its
/// handler.
class worker {
public:
    worker(const std::string& ip, std::string id, std::string service, std::string zone,
           server::handler on_request)
        : id_{std::move(id)}, service_{std::move(service)}, zone_{std::move(zone)},
          on_request_{std::move(on_request)},
          server_{ip, [this](connection& peer, const message& request) { serve(peer, request); }} {}
    [[nodiscard]] const address& at() const { return server_.at(); }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] json entry(int slots, const std::string& state = "ready") const {
        return {{"Service", service_},  {"Address", at().text()}, {"Zone", zone_},
                {"Version", "1"},       {"Slots", slots},         {"State", state},
                {"ColdRemainingMs", 0}, {"Sequence", 1},          {"born", 1764900000000}};
    }

private:
    void serve(connection& peer, const message& request) {
        if (request.target() == "/-/report") {
            peer.write(json_answer(200, {{"Stage", "both"},
                                         {"Models", json::array({{{"Name", "m"}, {"Version", 1}}})},
                                         {"Busy", false},
                                         {"Sequence", 0},
                                         {"Waiting", 0},
                                         {"Running", 1},
                                         {"KvUsed", 0},
                                         {"KvTotal", 232000},
                                         {"Handles", 0}}));
            return;
        }
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            peer.write(answer_text(421, "X-Instance-Id: " + id_ + "\r\n", ""));
            return;
        }
        on_request_(peer, request);
    }

    std::string id_;
    std::string service_;
    std::string zone_;
    server::handler on_request_;
    server server_;
};

/// Streams events, one after each pause, and stops early if the gateway leaves. Returns whether all
/// were sent.
inline bool stream_events(connection& peer, const message& request, int first, int last,
                          milliseconds pause) {
    peer.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
        signed_headers(request) + "\r\n");
    for (int id = first; id <= last; ++id) {
        if (peer.is_peer_gone() || !peer.write(chunk(event_text(id)))) {
            return false;
        }
        if (id < last) {
            std::this_thread::sleep_for(pause);
        }
    }
    return peer.write("0\r\n\r\n");
}

// Consumers.

struct outcome {
    reading end = reading::closed;
    message answer;
    clock_type::time_point sent_at{};
    clock_type::time_point ended_at{};
    bool is_connected = false;
    [[nodiscard]] bool is_answered() const { return end == reading::complete; }
    [[nodiscard]] std::string text() const {
        return std::string{is_connected ? "" : "no connection, "} + "status " +
               std::to_string(answer.status()) + ", " + to_text(end) + ", " +
               std::to_string(answer.body.size()) + " bytes, after " +
               std::to_string(
                   std::chrono::duration_cast<milliseconds>(ended_at - sent_at).count()) +
               " ms";
    }
};

/// Sends a request on a new connection and waits for its answer until the consumer's time limit.
inline outcome send_request(const address& to, const std::string& request, milliseconds limit) {
    outcome result;
    result.sent_at = clock_type::now();
    if (const auto peer = connect_to(to); peer && peer->write(request)) {
        result.is_connected = true;
        result.end = peer->read(result.answer, result.sent_at + limit, true);
    }
    result.ended_at = clock_type::now();
    return result;
}

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& attempt, const std::string& headers,
                                const std::string& body = {}) {
    const auto length =
        method == "GET" ? std::string{} : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: parts.example\r\nX-Attempt-Id: " + attempt +
           "\r\n" + headers + length + "\r\n" + body;
}

// The system's processes.

/// A link between a machine and the store that can be cut: open connections are reset, new ones
/// too.
class cuttable_link {
public:
    cuttable_link(const std::string& ip, address target) : at_{ip, 0}, target_{std::move(target)} {
        fd_ = open_listener(at_);
        std::thread{[this] {
            while (true) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    std::thread{[this, fd] { forward(fd); }}.detach();
                }
            }
        }}.detach();
    }
    [[nodiscard]] const address& at() const { return at_; }
    void cut() { is_cut_ = true; }
    void heal() { is_cut_ = false; }

private:
    static void reset(int fd) {
        const linger now{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::close(fd);
    }
    static bool pass(int from, int to) {
        char bytes[16384];
        const auto count = ::recv(from, bytes, sizeof(bytes), 0);
        return count > 0 &&
               ::send(to, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
    }
    void forward(int fd) {
        const int up = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto name = to_sockaddr(target_);
        bool is_open =
            !is_cut_ && ::connect(up, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
        while (is_open && !is_cut_) {
            pollfd items[]{{fd, POLLIN, 0}, {up, POLLIN, 0}};
            ::poll(items, 2, 5);
            is_open =
                (items[0].revents == 0 || pass(fd, up)) && (items[1].revents == 0 || pass(up, fd));
        }
        ::close(up);
        reset(fd);
    }

    address at_;
    address target_;
    std::atomic<bool> is_cut_{false};
    int fd_ = -1;
};

/// One machine with one gateway, started as deploy/system.toml says.
class machine {
public:
    machine(std::filesystem::path folder, std::string name, std::string ip, std::string zone,
            const address& platform, std::uint16_t metrics_port = 9464)
        : folder_{std::move(folder)}, name_{std::move(name)}, front_{ip, free_port(ip)},
          ready_{ip, free_port(ip)} {
        // As deploy/gateway.yaml.in is filled in from the settings of DEPLOY.md.
        std::ofstream{file()}
            << "process:\n  name: \"" << name_ << "\"\n  zone: \"" << zone
            << "\"\n  log_level: info\n  log_to_output: true\n  metrics: \"" << ip << ":"
            << metrics_port << "\"\n  platform: \"" << platform.text() << "\"\nlisten: \""
            << front_.text() << "\"\nreadiness: \"" << ready_.text() << "\"\npeer_listen: \"" << ip
            << ":" << free_port(ip)
            << "\"\nretry:\n  ratio: 0.2\n  window_s: 10\n  slack: 104\nstop_timeout_s: 8\n"
               "contact_ms: 3000\nlate_reservation_ms: 4000\nmax_reservation_ms: 20000\n"
               "processor_share: 0.25\ndiscovery_ms: 2500\n";
    }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    ~machine() { stop_now(); }

    [[nodiscard]] const address& front() const { return front_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] pid_t pid() const { return pid_; }

    void start() {
        const auto log = (folder_ / (name_ + ".log")).string();
        const auto settings = file().string();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl("target/magnolia-gateway", "target/magnolia-gateway", "--settings",
                    settings.c_str(), nullptr);
            std::_Exit(127);
        }
        record("platform starts " + name_);
    }
    void send_signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    /// Whether the process has ended.
    bool has_ended() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ <= 0;
    }
    [[nodiscard]] int status() const { return status_; }
    void stop_now() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }
    /// Status that the platform's readiness question gets; 0 if none.
    [[nodiscard]] int readiness() const {
        const auto result = send_request(
            ready_, "GET /-/readiness HTTP/1.1\r\nHost: machine\r\nConnection: close\r\n\r\n",
            1000ms);
        return result.is_answered() ? result.answer.status() : 0;
    }
    bool wait_until_ready(milliseconds limit) {
        const auto until = clock_type::now() + limit;
        while (clock_type::now() < until && !has_ended()) {
            if (readiness() == 200) {
                record(name_ + " says that it is ready");
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

private:
    [[nodiscard]] std::filesystem::path file() const { return folder_ / (name_ + ".yaml"); }

    std::filesystem::path folder_;
    std::string name_;
    address front_;
    address ready_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// Configuration of a small deployment, with the figures of hpx-chute.
inline json small_config() {
    const json engine{{"Slots", 16},           {"KvTokens", 232000},
                      {"Stride", 43},          {"step_ms", 1.02},
                      {"per_seq_ms", 0.00226}, {"context_per_k", 0.00431},
                      {"read_per_s", 206000},  {"pairs_per_m", 0.138},
                      {"chunk", 2048},         {"usual", {{"prompt", 12000}, {"answer", 1300}}},
                      {"report_lag_ms", 200}};
    const auto stream = [](const std::string& name, const std::string& path, int target, int gap,
                           int timeout) {
        return json{{"Name", name},           {"Host", "parts.example"},
                    {"PathPrefix", path},     {"Kind", "streaming"},
                    {"Resumable", true},      {"Sticky", true},
                    {"Service", "chute-llm"}, {"TimeoutMs", timeout},
                    {"Attempts", 2},          {"TargetLatencyMs", target},
                    {"TargetGapMs", gap},     {"Priority", 1}};
    };
    const auto plain = [](const std::string& name, const std::string& path, const std::string& kind,
                          int attempts) {
        return json{{"Name", name},         {"Host", "parts.example"}, {"PathPrefix", path},
                    {"Kind", kind},         {"TimeoutMs", 600},        {"TargetLatencyMs", 120},
                    {"Attempts", attempts}, {"Service", "trade-desk"}, {"Priority", 2}};
    };
    return {{"Version", 7},
            {"Routes", json::array({stream("part-quote", "/quote/", 300, 250, 10000),
                                    stream("sheet-compare", "/sheet/", 1500, 600, 10000),
                                    stream("bom-audit", "/audit/", 2500, 1000, 15000),
                                    plain("po-place", "/order/", "unsafe", 1),
                                    plain("stock-check", "/stock/", "safe", 2)})},
            {"Services",
             json::array(
                 {{{"Name", "chute-llm"},
                   {"HealthPath", "/health"},
                   {"MaxConnections", 434},
                   {"Engine", engine}},
                  {{"Name", "trade-desk"}, {"HealthPath", "/health"}, {"MaxConnections", 110}}})},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants", json::array({{{"Name", "shop-1"},
                                      {"ApiKeys", json::array({"n2ctnfzs989anu6wsjnb"})}}})}};
}

inline const std::string api_key = "Api-Key: n2ctnfzs989anu6wsjnb\r\n";

/// Ends the process at once: the threads of the stand-ins have no end of their own.
[[noreturn]] inline void finish(machine& host, int code) {
    host.stop_now();
    std::_Exit(code);
}

/// Opens the record. Arguments: its path, and the folder for settings and logs.
inline void open_record(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        std::_Exit(could_not_run);
    }
    the_record = std::make_unique<record_file>(argv[1]);
    record(has_trouble() ? "with the disruption" : "without the disruption");
}

} // namespace review
