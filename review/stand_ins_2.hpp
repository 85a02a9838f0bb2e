// Stand-ins of the platform's store, of servers and of clients for the cases from 6 on, and the start
// of the system's own processes with the command of the deploy file. They speak what PROTOCOL.md
// says, over blocking sockets with a thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand_ins {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

inline const clock::time_point started_at = clock::now();

inline double now_s() {
    return std::chrono::duration<double>(clock::now() - started_at).count();
}

inline void sleep_until_s(double moment) {
    std::this_thread::sleep_until(started_at + std::chrono::duration_cast<clock::duration>(
                                                   std::chrono::duration<double>(moment)));
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// HTTP messages.

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // The body is complete by its own framing.
    bool is_complete = false;

    std::string header(std::string_view name) const {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), std::string{name}.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    int status() const {
        const auto begin = first_line.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(first_line.c_str() + begin + 1);
    }
};

// One connection, read and written with a time limit.
class connection {
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
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
    // Whether the peer has closed or reset the connection.
    bool is_closed() const {
        char byte = 0;
        const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    // Reads more bytes until the moment; false at the end, an error or that moment.
    bool read_more(double until) {
        pollfd waiting{fd_, POLLIN, 0};
        const int left_ms = std::max(0, static_cast<int>((until - now_s()) * 1000));
        if (::poll(&waiting, 1, left_ms) <= 0) {
            is_timed_out = true;
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            is_reset = count < 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool read_line(std::string& line, double until) {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!read_more(until)) {
                return false;
            }
        }
        line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return true;
    }
    bool read_bytes(std::string& out, std::size_t count, double until) {
        while (buffer.size() < count) {
            if (!read_more(until)) {
                out += buffer;
                buffer.clear();
                return false;
            }
        }
        out += buffer.substr(0, count);
        buffer.erase(0, count);
        return true;
    }
    // Reads a request or an answer; false if its header does not arrive.
    // @param on_body  called after each part of a body
    bool read(message& in, double until, bool is_answer,
              const std::function<void(const message&)>& on_body = {}) {
        in = {};
        if (!read_line(in.first_line, until)) {
            return false;
        }
        std::string line;
        while (true) {
            if (!read_line(line, until)) {
                return false;
            }
            if (line.empty()) {
                break;
            }
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? std::string{} : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            in.headers.emplace_back(line.substr(0, colon), value);
        }
        if (strcasecmp(in.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                if (!read_line(line, until)) {
                    return true;
                }
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (size == 0) {
                    in.is_complete = read_line(line, until);
                    return true;
                }
                if (!read_bytes(in.body, size, until) || !read_line(line, until)) {
                    return true;
                }
                if (on_body) {
                    on_body(in);
                }
            }
        }
        const auto length = in.header("Content-Length");
        if (!length.empty()) {
            in.is_complete = read_bytes(in.body, std::strtoul(length.c_str(), nullptr, 10), until);
        } else if (is_answer) {
            while (read_more(until)) {
            }
            in.body = std::exchange(buffer, {});
            in.is_complete = !is_reset && !is_timed_out;
        } else {
            in.is_complete = true;
        }
        return true;
    }

    std::string buffer;
    bool is_reset = false;
    bool is_timed_out = false;

private:
    int fd_;
};

inline sockaddr_in to_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A listening socket; port 0 takes a free one.
inline int listen_at(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = to_address(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline int free_port(const std::string& ip) {
    const int fd = listen_at(ip, 0);
    const int port = port_of(fd);
    ::close(fd);
    return port;
}

// -1 if the connection cannot be opened within a second.
inline int connect_to(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = to_address(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// Accepts connections for ever, each on a thread of its own.
inline void serve(int listener, std::function<void(connection&)> handle) {
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EBADF || errno == EINVAL) {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, &handle] {
                connection peer{fd};
                handle(peer);
            }).detach();
        }
    }).detach();
}

inline std::string answer_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store.
class store {
public:
    explicit store(const std::string& ip) : ip_{ip}, listener_{listen_at(ip, 0)} {
        serve(listener_, [this](connection& peer) { serve_peer(peer); });
    }
    std::string address() const { return ip_ + ":" + std::to_string(port_of(listener_)); }

    // Creates or replaces an object, as its writer. Returns its revision.
    std::uint64_t put(const std::string& kind, const std::string& name, json spec) {
        const std::scoped_lock lock{mutex_};
        return write(kind, name, std::move(spec));
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::scoped_lock lock{mutex_};
        erase(kind, name);
    }

private:
    struct object {
        json spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        json content;
        bool is_deleted = false;
    };

    static json content_of(const std::string& name, const object& from) {
        return {{"Metadata",
                 {{"Name", name},
                  {"Revision", from.revision},
                  {"Created", from.created},
                  {"Finalizers", json::array()},
                  {"Deleting", false}}},
                {"Spec", from.spec},
                {"Status", nullptr}};
    }
    std::uint64_t write(const std::string& kind, const std::string& name, json spec) {
        auto& target = objects_[kind][name];
        if (target.revision != 0 && target.spec == spec) {
            return target.revision;
        }
        target.spec = std::move(spec);
        target.revision = ++revision_;
        target.created = target.created == 0 ? revision_ : target.created;
        events_.push_back({revision_, kind, content_of(name, target), false});
        changed_.notify_all();
        return revision_;
    }
    void erase(const std::string& kind, const std::string& name) {
        const auto found = objects_[kind].find(name);
        if (found != objects_[kind].end()) {
            auto content = content_of(name, found->second);
            content["Metadata"]["Revision"] = ++revision_;
            events_.push_back({revision_, kind, std::move(content), true});
            objects_[kind].erase(found);
            changed_.notify_all();
        }
    }
    static std::string parameter(const std::string& target, const std::string& name) {
        std::smatch found;
        return std::regex_search(target, found, std::regex{"[?&]" + name + "=([^&]*)"})
                   ? found[1].str()
                   : std::string{};
    }
    static std::string reply(int status, const json& body) {
        return answer_text(status, "Content-Type: application/json\r\n", body.dump());
    }
    void serve_peer(connection& peer) {
        message request;
        while (peer.read(request, now_s() + 300, false)) {
            if (!peer.write(handle(request))) {
                return;
            }
        }
    }
    std::string handle(const message& request) {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        const std::string root = "/-/objects/";
        if (path.rfind(root, 0) != 0) {
            return reply(404, json::object());
        }
        auto kind = path.substr(root.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        std::unique_lock lock{mutex_};
        const auto method = request.method();
        if (method == "GET" && name.empty()) {
            const auto watch = parameter(target, "Watch");
            return watch.empty() ? list(kind) : watch_reply(lock, kind, target, watch);
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (method == "POST") {
            name = body["Metadata"]["Name"].get<std::string>();
            if (objects_[kind].contains(name)) {
                return reply(409, content_of(name, objects_[kind][name]));
            }
            write(kind, name, body["Spec"]);
            return reply(200, content_of(name, objects_[kind][name]));
        }
        if (!objects_[kind].contains(name)) {
            return reply(404, json::object());
        }
        const auto& current = objects_[kind][name];
        if (method == "GET") {
            return reply(200, content_of(name, current));
        }
        const auto stated = method == "PUT" && body["Metadata"].contains("Revision")
                                ? std::to_string(body["Metadata"]["Revision"].get<std::uint64_t>())
                                : parameter(target, "Revision");
        if (!stated.empty() && stated != std::to_string(current.revision)) {
            return reply(409, content_of(name, current));
        }
        const auto content = content_of(name, current);
        if (method == "PUT") {
            write(kind, name, body["Spec"]);
            return reply(200, content_of(name, objects_[kind][name]));
        }
        erase(kind, name);
        return reply(200, content);
    }
    std::string list(const std::string& kind) {
        auto items = json::array();
        for (const auto& [name, item] : objects_[kind]) {
            items.push_back(content_of(name, item));
        }
        return reply(200, {{"Items", items}, {"HasMore", false}, {"StoreRevision", revision_}});
    }
    std::string watch_reply(std::unique_lock<std::mutex>& lock, const std::string& kind,
                            const std::string& target, const std::string& watch) {
        const auto after = std::stoull(watch);
        const auto until =
            clock::now() + std::chrono::milliseconds(std::atoi(parameter(target, "WaitMs").c_str()));
        while (true) {
            auto events = json::array();
            for (const auto& item : events_) {
                if (item.kind == kind && item.revision > after) {
                    events.push_back({{"Deleted", item.is_deleted}, {"Object", item.content}});
                }
            }
            if (!events.empty() || clock::now() >= until) {
                return reply(200, {{"events", events}, {"StoreRevision", revision_}});
            }
            changed_.wait_until(lock, until);
        }
    }

    std::string ip_;
    int listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<event> events_;
};

// Processes of the system and of servers; all that still run are ended at the end.
class processes {
public:
    ~processes() {
        for (const auto& [pid, name] : running_) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
        }
        for (const auto& [pid, name] : running_) {
            ::waitpid(pid, nullptr, 0);
        }
    }
    pid_t start(const std::string& name, const std::vector<std::string>& words,
                const std::string& output, const std::vector<std::string>& environment) {
        std::vector<char*> arguments;
        std::vector<char*> variables;
        for (const auto& word : words) {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        for (const auto& variable : environment) {
            variables.push_back(const_cast<char*>(variable.c_str()));
        }
        arguments.push_back(nullptr);
        variables.push_back(nullptr);
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execve(arguments.front(), arguments.data(), variables.data());
            ::_exit(127);
        }
        ::close(log);
        running_[pid] = name;
        return pid;
    }
    void kill(pid_t pid) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        running_.erase(pid);
    }
    // Whether the process still runs; forgets it if not.
    bool is_running(pid_t pid) {
        if (running_.contains(pid) && ::waitpid(pid, nullptr, WNOHANG) == pid) {
            running_.erase(pid);
        }
        return running_.contains(pid);
    }

private:
    std::map<pid_t, std::string> running_;
};

// Settings of one machine, as the platform's fields.
struct machine {
    std::string name;
    std::string zone;
    std::string ip;
    int front = 0;
    int ready = 0;
    int inner = 0;
    std::string settings_file;
    std::string log;
    pid_t pid = -1;
};

inline std::string read_file(const std::string& path) {
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Fills in the template of the deploy file. Sections are left out: the bounds have neither
// evacuations nor cold servers.
inline std::string render_settings(std::string text, const std::map<std::string, std::string>& fields) {
    const std::regex section{R"(\{\{#([A-Za-z.]+)\}\}[^]*?\{\{/\1\}\})"};
    text = std::regex_replace(text, section, "");
    for (const auto& [name, value] : fields) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

// Starts a machine with the command of the deploy file; its settings file stands in the folder.
inline void start_machine(processes& all, machine& host, const std::string& store_address,
                          const std::string& folder) {
    host.settings_file = folder + "/" + host.name + ".toml";
    host.log = folder + "/" + host.name + ".log";
    const std::map<std::string, std::string> fields{
        {"NodeName", host.name},
        {"Zone", host.zone},
        {"Ip", host.ip},
        {"Platform.Address", store_address},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetWindowS", "10"},
        {"Bounds.BudgetSlack", "100"},
        {"Bounds.GraceS", "8"},
        {"Bounds.ContactMs", "3000"},
        {"Bounds.FreeMs", "4000"},
        {"Bounds.MaxHoldMs", "20000"},
        {"Limits.CpuShare", "0.25"},
        {"Listen.Front", host.ip + ":" + std::to_string(host.front)},
        {"Listen.Ready", host.ip + ":" + std::to_string(host.ready)},
        {"InternalPorts.0", std::to_string(host.inner)}};
    std::ofstream{host.settings_file} << render_settings(read_file("deploy/gateway.yaml.in"), fields);
    std::smatch run;
    const auto deploy = read_file("deploy/system.toml");
    if (!std::regex_search(deploy, run, std::regex{R"(\nrun = "([^"]*)\")"})) {
        std::fprintf(stderr, "no command in the deploy file\n");
        std::exit(2);
    }
    std::istringstream words{run[1].str()};
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
        command.push_back(word == "/etc/magnoliachute/node.toml" ? host.settings_file : word);
    }
    host.pid = all.start(host.name, command, host.log,
                         {"PATH=/usr/bin:/bin", "HOME=" + folder, "LANG=C.UTF-8",
                          "MAGNOLIACHUTE_BOOT=" + host.settings_file});
}

// Waits until the machine says that it is ready.
inline bool wait_ready(const machine& host, double until) {
    while (now_s() < until) {
        connection peer{connect_to(host.ip, host.ready)};
        message answer;
        if (peer.fd() >= 0 &&
            peer.write("GET /-/readiness HTTP/1.1\r\nHost: " + host.ip + "\r\nConnection: close\r\n\r\n") &&
            peer.read(answer, now_s() + 1, true) && answer.status() == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

// A temporary folder, removed at the end.
class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace stand_ins
