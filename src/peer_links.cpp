#include "peer_links.h"

#include "peer_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace magnolia {
namespace {

namespace asio = boost::asio;
namespace intrusive = boost::intrusive;
using asio::ip::tcp;
using io_error = boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 16384;
/// Time between two searches for expired connections.
constexpr std::chrono::milliseconds sweep_period{500};
/// TCP_USER_TIMEOUT: time after which unacknowledged data breaks a connection.
constexpr int tcp_user_timeout_ms = 5000;
using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
/// Capacity of the queue of commands from other threads.
constexpr std::size_t command_slots = 8192;

/// Counters written by the owner's thread and read by any thread; see link_counters.
struct shared_counters {
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> frames_in{0};
    std::atomic<std::uint64_t> frames_out{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> invalid{0};
    std::atomic<std::uint64_t> open{0};
};

/// One connection. Links itself into the list of all connections, which is sorted by last use. The
/// reference count is not atomic: connections are used on the owner's thread only.
struct link : boost::intrusive_ref_counter<link, boost::thread_unsafe_counter>,
              intrusive::list_base_hook<intrusive::link_mode<intrusive::auto_unlink>> {
    explicit link(tcp::socket peer_socket) : socket{std::move(peer_socket)} {}

    tcp::socket socket;
    /// Name of the peer; empty for an accepted connection until its hello has arrived.
    std::string member;
    /// Hello of the peer; its name is empty until it has arrived.
    hello_message hello;
    frame_splitter splitter;
    std::array<std::uint8_t, read_buffer_bytes> read_buffer{};
    /// Encoded frames of the write in progress, and those queued behind it.
    std::string being_written;
    std::string queued;
    std::size_t queued_frames = 0;
    time_point last_used{};
    time_point opened_at{};
    bool is_outgoing = false;
    bool is_connected = false;
    bool is_closed = false;
};

using link_ptr = boost::intrusive_ptr<link>;
using link_list = intrusive::list<link, intrusive::constant_time_size<false>>;

/// Backoff of the connection attempts to one member.
struct dial_backoff {
    time_point not_before{};
    std::chrono::milliseconds interval{0};
};

/// Message to send, with the name of its receiver, or the new addresses.
using link_command = std::variant<std::pair<std::string, peer_message>, std::vector<peer_address>>;

} // namespace

class peer_links::state {
public:
    state(io_thread& owner, hello_message self, std::uint64_t seed,
          std::function<void(peer_delivery)> deliver, link_options options)
        : context_{owner.context()}, self_{std::move(self)}, random_{seed},
          deliver_{std::move(deliver)}, options_{options}, acceptor_{context_}, timer_{context_},
          commands_{owner, command_slots,
                    [this](link_command command) { execute(std::move(command)); }} {
        schedule_sweep();
    }

    ~state() { close_all(); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    result<std::uint16_t> listen(const endpoint& where) {
        io_error failure;
        const auto address = asio::ip::make_address(where.address, failure);
        if (failure) {
            return fail(error_code::connection, where.address);
        }
        const tcp::endpoint local{address, where.port};
        acceptor_.open(local.protocol(), failure);
        if (!failure) {
            acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure);
            acceptor_.bind(local, failure);
        }
        if (!failure) {
            acceptor_.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return fail(error_code::connection, where.address + ":" + std::to_string(where.port));
        }
        accept();
        return acceptor_.local_endpoint().port();
    }

    result<void> push(link_command command) { return commands_.push(std::move(command)); }

    const shared_counters& counters() const { return counters_; }

private:
    void execute(link_command command) {
        if (auto* addresses = std::get_if<std::vector<peer_address>>(&command)) {
            addresses_.clear();
            for (auto& address : *addresses) {
                auto name = address.member;
                addresses_.insert_or_assign(std::move(name), std::move(address));
            }
            std::erase_if(backoffs_,
                          [&](const auto& item) { return !addresses_.contains(item.first); });
            return;
        }
        const auto& [member, message] = std::get<0>(command);
        send(member, message);
    }

    void send(const std::string& member, const peer_message& message) {
        const auto target = link_to(member);
        if (!target || target->queued.size() > options_.max_unsent_bytes) {
            ++counters_.dropped;
            return;
        }
        if (!append_frame(message, target->queued)) {
            ++counters_.dropped;
            return;
        }
        ++target->queued_frames;
        write(target);
    }

    /// Returns the connection to a member, opened if necessary; null if the member has no address
    /// or its backoff has not passed.
    link_ptr link_to(const std::string& member) {
        if (const auto found = by_member_.find(member); found != by_member_.end()) {
            return found->second;
        }
        const auto address = addresses_.find(member);
        const auto now = steady_now();
        if (address == addresses_.end() || now < backoffs_[member].not_before) {
            return nullptr;
        }
        return dial(address->second, now);
    }

    /// Starts to connect to a member; null if its address is not an IP address.
    link_ptr dial(const peer_address& to, time_point now) {
        io_error failure;
        const auto address = asio::ip::make_address(to.address, failure);
        if (failure) {
            return nullptr;
        }
        auto connection = add_link(tcp::socket{context_}, now);
        connection->is_outgoing = true;
        connection->member = to.member;
        by_member_[to.member] = connection;
        append_hello(*connection, to.member);
        connection->socket.async_connect(
            {address, to.port},
            [this, connection](const io_error& error) { on_connected(connection, error); });
        return connection;
    }

    void on_connected(const link_ptr& connection, const io_error& error) {
        if (error || connection->is_closed) {
            delay_dial(connection->member);
            close(connection);
            return;
        }
        connection->is_connected = true;
        set_options(*connection);
        write(connection);
        read(connection);
    }

    /// Exponential backoff with jitter: doubles the interval with each failure in a row, and delays
    /// the next attempt by a random time between half the interval and the whole.
    void delay_dial(const std::string& member) {
        auto& backoff = backoffs_[member];
        backoff.interval =
            std::clamp(backoff.interval * 2, options_.min_backoff, options_.max_backoff);
        std::uniform_int_distribution<std::int64_t> jitter{backoff.interval.count() / 2,
                                                           backoff.interval.count()};
        backoff.not_before = steady_now() + std::chrono::milliseconds{jitter(random_)};
    }

    void accept() {
        acceptor_.async_accept([this](const io_error& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                on_accepted(std::move(socket));
            }
            accept();
        });
    }

    void on_accepted(tcp::socket socket) {
        const auto connection = add_link(std::move(socket), steady_now());
        connection->is_connected = true;
        set_options(*connection);
        append_hello(*connection, {});
        write(connection);
        read(connection);
    }

    static void set_options(link& connection) {
        io_error ignored;
        connection.socket.set_option(tcp::no_delay{true}, ignored);
        connection.socket.set_option(tcp_user_timeout{tcp_user_timeout_ms}, ignored);
    }

    void append_hello(link& connection, const std::string& to) {
        auto hello = self_;
        hello.to = to;
        if (append_frame(hello, connection.queued)) {
            ++connection.queued_frames;
        }
    }

    /// Registers a connection; closes the least recently used ones if there are too many.
    link_ptr add_link(tcp::socket socket, time_point now) {
        while (links_.size() >= options_.max_links) {
            close(link_ptr{&lru_.front()});
        }
        const link_ptr connection{new link{std::move(socket)}};
        connection->last_used = now;
        connection->opened_at = now;
        lru_.push_back(*connection);
        links_.emplace(connection.get(), connection);
        counters_.open = links_.size();
        return connection;
    }

    /// Moves a connection to the end of the list of last use.
    void mark_used(link& connection) {
        connection.last_used = steady_now();
        lru_.erase(lru_.iterator_to(connection));
        lru_.push_back(connection);
    }

    /// Starts to write the queued frames unless a write is in progress.
    void write(const link_ptr& target) {
        if (!target->is_connected || target->is_closed || !target->being_written.empty() ||
            target->queued.empty()) {
            return;
        }
        target->being_written.swap(target->queued);
        counters_.frames_out += std::exchange(target->queued_frames, 0);
        mark_used(*target);
        asio::async_write(target->socket, asio::buffer(target->being_written),
                          [this, target](const io_error& error, std::size_t bytes) {
                              on_written(target, error, bytes);
                          });
    }

    void on_written(const link_ptr& target, const io_error& error, std::size_t bytes) {
        counters_.bytes_out += bytes;
        target->being_written.clear();
        if (error) {
            close(target);
            return;
        }
        write(target);
    }

    void read(const link_ptr& source) {
        source->socket.async_read_some(asio::buffer(source->read_buffer),
                                       [this, source](const io_error& error, std::size_t bytes) {
                                           if (error || source->is_closed) {
                                               close(source);
                                               return;
                                           }
                                           on_read(source, bytes);
                                       });
    }

    void on_read(const link_ptr& source, std::size_t bytes) {
        counters_.bytes_in += bytes;
        mark_used(*source);
        source->splitter.append(std::span{source->read_buffer}.first(bytes));
        auto frame = source->splitter.next();
        while (frame && *frame && !source->is_closed) {
            on_frame(source, std::move(**frame));
            frame = source->splitter.next();
        }
        if (!frame) {
            ++counters_.invalid;
            close(source);
        }
        if (!source->is_closed) {
            read(source);
        }
    }

    void on_frame(const link_ptr& source, received_frame frame) {
        ++counters_.frames_in;
        if (!frame.message) {
            return;
        }
        if (auto* hello = std::get_if<hello_message>(&*frame.message)) {
            on_hello(source, std::move(*hello));
            return;
        }
        if (source->hello.name.empty()) {
            ++counters_.invalid;
            close(source);
            return;
        }
        deliver_({source->hello.name, source->hello.zone, source->hello.boot,
                  std::move(*frame.message)});
    }

    /// Accepts the peer's hello, or closes the connection if the peer is not the member that was
    /// dialled or expects another receiver than this entry.
    void on_hello(const link_ptr& source, hello_message hello) {
        const bool is_wrong_sender = source->is_outgoing && hello.name != source->member;
        const bool is_wrong_receiver = !hello.to.empty() && hello.to != self_.name;
        if (hello.name.empty() || is_wrong_sender || is_wrong_receiver) {
            if (source->is_outgoing) {
                delay_dial(source->member);
            }
            close(source);
            return;
        }
        if (source->is_outgoing) {
            backoffs_.erase(source->member);
        }
        source->member = hello.name;
        source->hello = std::move(hello);
        by_member_.try_emplace(source->member, source);
    }

    void close(const link_ptr& connection) {
        if (std::exchange(connection->is_closed, true)) {
            return;
        }
        io_error ignored;
        connection->socket.close(ignored);
        counters_.dropped += connection->queued_frames;
        const auto found = by_member_.find(connection->member);
        if (found != by_member_.end() && found->second == connection) {
            by_member_.erase(found);
        }
        connection->unlink();
        links_.erase(connection.get());
        counters_.open = links_.size();
    }

    void close_all() {
        while (!lru_.empty()) {
            close(link_ptr{&lru_.front()});
        }
    }

    void schedule_sweep() {
        timer_.expires_after(sweep_period);
        timer_.async_wait([this](const io_error& error) {
            if (!error) {
                sweep(steady_now());
                schedule_sweep();
            }
        });
    }

    /// Closes idle connections, and those that were not established or whose hello did not arrive
    /// in time.
    void sweep(time_point now) {
        std::vector<link_ptr> expired;
        for (auto& each : lru_) {
            const bool has_no_hello = each.hello.name.empty();
            if (now - each.last_used > options_.idle_timeout ||
                (has_no_hello && now - each.opened_at > options_.connect_timeout)) {
                expired.emplace_back(&each);
            }
        }
        for (const auto& each : expired) {
            if (each->is_outgoing && each->hello.name.empty()) {
                delay_dial(each->member);
            }
            close(each);
        }
    }

    asio::io_context& context_;
    hello_message self_;
    std::mt19937_64 random_;
    std::function<void(peer_delivery)> deliver_;
    link_options options_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    shared_counters counters_;
    std::map<std::string, peer_address> addresses_;
    std::map<std::string, dial_backoff> backoffs_;
    std::map<std::string, link_ptr> by_member_;
    std::map<link*, link_ptr> links_;
    /// All connections, least recently used first.
    link_list lru_;
    inbox<link_command> commands_;
};

peer_links::peer_links(io_thread& owner, hello_message self, std::uint64_t seed,
                       std::function<void(peer_delivery)> deliver, link_options options)
    : state_{std::make_unique<state>(owner, std::move(self), seed, std::move(deliver), options)} {}

peer_links::~peer_links() = default;

result<std::uint16_t> peer_links::listen(const endpoint& where) {
    return state_->listen(where);
}

result<void> peer_links::set_members(std::vector<peer_address> members) {
    return state_->push(std::move(members));
}

result<void> peer_links::send(std::string member, peer_message message) {
    return state_->push(std::pair{std::move(member), std::move(message)});
}

link_counters peer_links::counters() const {
    const auto& shared = state_->counters();
    return {shared.bytes_in, shared.bytes_out, shared.frames_in, shared.frames_out,
            shared.dropped,  shared.invalid,   shared.open};
}

} // namespace magnolia
