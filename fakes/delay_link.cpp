#include "delay_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <random>
#include <vector>

namespace magnolia::fakes {
namespace {

using boost::asio::ip::tcp;
using io_error = boost::system::error_code;

/// Size of a read.
constexpr std::size_t max_chunk_bytes = std::size_t{64} << 10U;

tcp::endpoint to_tcp(const endpoint& where) {
    return {boost::asio::ip::make_address(where.address), where.port};
}

/// Data of one read and the time at which it is forwarded; empty at the end of the stream.
struct delayed_chunk {
    time_point due{};
    std::vector<char> bytes;
};

/// Relays one direction of a connection. Keeps itself alive through its pending operations.
class one_way_relay : public std::enable_shared_from_this<one_way_relay> {
public:
    /// @param is_silent  whether bytes are dropped.
    one_way_relay(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                  std::shared_ptr<const bool> is_silent, const delay_link_settings& settings,
                  std::uint64_t seed)
        : from_{std::move(from)}, to_{std::move(to)}, is_silent_{std::move(is_silent)},
          timer_{from_->get_executor()}, delay_{settings.delay},
          extra_delay_{0, settings.spread.count()}, random_{seed} {}

    /// Reads the next chunk.
    void read() {
        is_reading_ = true;
        std::vector<char> bytes(max_chunk_bytes);
        const auto space = boost::asio::buffer(bytes);
        from_->async_read_some(space, [self = shared_from_this(), bytes = std::move(bytes)](
                                          io_error failure, std::size_t length) mutable {
            bytes.resize(failure ? 0 : length);
            self->on_read(std::move(bytes));
        });
    }

private:
    void on_read(std::vector<char> bytes) {
        is_reading_ = false;
        const bool is_end = bytes.empty();
        if (*is_silent_) {
            return is_end ? void() : read();
        }
        const auto due = steady_now() + delay_ + duration{extra_delay_(random_)};
        last_due_ = std::max(last_due_, due);
        buffered_bytes_ += bytes.size();
        buffered_.push_back({last_due_, std::move(bytes)});
        if (!is_writing_) {
            schedule_write();
        }
        if (!is_end && buffered_bytes_ < max_buffered_bytes) {
            read();
        }
    }

    /// Waits until the first buffered chunk is due.
    void schedule_write() {
        is_writing_ = true;
        timer_.expires_after(std::max(buffered_.front().due - steady_now(), duration{0}));
        timer_.async_wait([self = shared_from_this()](io_error failure) {
            if (!failure) {
                self->write_front();
            }
        });
    }

    /// Writes the first buffered chunk, or shuts the direction down at the end of the stream.
    void write_front() {
        if (*is_silent_) {
            return;
        }
        const auto& chunk = buffered_.front();
        if (chunk.bytes.empty()) {
            io_error ignored;
            to_->shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        boost::asio::async_write(*to_, boost::asio::buffer(chunk.bytes),
                                 [self = shared_from_this()](io_error failure, std::size_t) {
                                     self->on_written(failure);
                                 });
    }

    void on_written(io_error failure) {
        if (failure) {
            io_error ignored;
            from_->close(ignored);
            return;
        }
        const bool was_full = buffered_bytes_ >= max_buffered_bytes;
        buffered_bytes_ -= buffered_.front().bytes.size();
        buffered_.pop_front();
        is_writing_ = false;
        if (!buffered_.empty()) {
            schedule_write();
        }
        if (was_full && buffered_bytes_ < max_buffered_bytes && !is_reading_) {
            read();
        }
    }

    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    std::shared_ptr<const bool> is_silent_;
    boost::asio::steady_timer timer_;
    duration delay_;
    std::uniform_int_distribution<duration::rep> extra_delay_;
    std::minstd_rand random_;
    std::deque<delayed_chunk> buffered_;
    std::size_t buffered_bytes_ = 0;
    /// Due time of the last chunk; later chunks are not due earlier, which keeps their order.
    time_point last_due_{};
    bool is_reading_ = false;
    bool is_writing_ = false;
};

} // namespace

class delay_link::state : public std::enable_shared_from_this<state> {
public:
    state(boost::asio::io_context& context, delay_link_settings settings)
        : context_{context}, settings_{std::move(settings)} {}

    result<void> listen() {
        io_error failure;
        address_ = to_tcp(settings_.listen);
        port_holder_.open(address_.protocol(), failure);
        port_holder_.set_option(tcp::acceptor::reuse_address{true}, failure);
        port_holder_.bind(address_, failure);
        if (failure) {
            return fail(error_code::connection,
                        settings_.listen.address + ":" + std::to_string(settings_.listen.port));
        }
        address_ = port_holder_.local_endpoint();
        if (const auto opened = open_acceptor(); !opened) {
            return opened;
        }
        acceptor_.listen();
        accept();
        return {};
    }

    [[nodiscard]] std::uint16_t port() const { return address_.port(); }

    void set_partitioned(bool is_partitioned) {
        is_partitioned_ = is_partitioned;
        if (is_partitioned) {
            close_connections();
        }
    }

    result<void> set_fault(link_fault fault) {
        stop_listening();
        if (fault == link_fault::hang) {
            silence_connections();
        } else if (fault == link_fault::reset) {
            reset_connections();
        }
        const bool is_refused = fault == link_fault::reset || fault == link_fault::refuse_new;
        if (is_refused) {
            return {};
        }
        if (const auto opened = open_acceptor(); !opened) {
            return opened;
        }
        if (fault == link_fault::hang) {
            fill_backlog();
        } else {
            acceptor_.listen();
            accept();
        }
        return {};
    }

    void silence_connections() { *std::exchange(is_silent_, std::make_shared<bool>(false)) = true; }

    void close() {
        io_error ignored;
        acceptor_.close(ignored);
        port_holder_.close(ignored);
        close_connections();
    }

private:
    /// Opens the acceptor at the link's address without listening.
    result<void> open_acceptor() {
        io_error failure;
        acceptor_.open(address_.protocol(), failure);
        acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure);
        acceptor_.bind(address_, failure);
        if (failure) {
            return fail(error_code::connection, failure.message());
        }
        return {};
    }

    void stop_listening() {
        io_error ignored;
        acceptor_.close(ignored);
        backlog_.clear();
    }

    void reset_connections() {
        for (const auto& weak_socket : sockets_) {
            if (const auto socket = weak_socket.lock(); socket && socket->is_open()) {
                io_error ignored;
                socket->set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            }
        }
        close_connections();
    }

    /// Listens without accepting, and occupies the places of connections that wait for that: the
    /// kernel answers no further ones.
    void fill_backlog() {
        constexpr int places = 2;
        io_error ignored;
        acceptor_.listen(0, ignored);
        for (int place = 0; place < places; ++place) {
            auto& socket = backlog_.emplace_back(context_);
            socket.async_connect(address_, [](io_error /*failure*/) {});
        }
    }

    void close_connections() {
        for (const auto& weak_socket : sockets_) {
            if (const auto socket = weak_socket.lock()) {
                io_error ignored;
                socket->close(ignored);
            }
        }
        sockets_.clear();
    }

    void accept() {
        acceptor_.async_accept([self = shared_from_this()](io_error failure, tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted || !self->acceptor_.is_open()) {
                return;
            }
            if (!failure && !self->is_partitioned_) {
                self->connect(std::make_shared<tcp::socket>(std::move(socket)));
            }
            self->accept();
        });
    }

    void connect(std::shared_ptr<tcp::socket> near) {
        auto far = std::make_shared<tcp::socket>(context_);
        std::erase_if(sockets_, [](const auto& weak_socket) { return weak_socket.expired(); });
        sockets_.emplace_back(near);
        sockets_.emplace_back(far);
        auto& target = *far;
        target.async_connect(to_tcp(settings_.target), [self = shared_from_this(), near,
                                                        far](io_error failure) {
            if (failure) {
                io_error ignored;
                near->close(ignored);
                return;
            }
            near->set_option(tcp::no_delay{true});
            far->set_option(tcp::no_delay{true});
            const auto seed = self->settings_.seed + 2 * ++self->connections_;
            const auto& is_silent = self->is_silent_;
            std::make_shared<one_way_relay>(near, far, is_silent, self->settings_, seed)->read();
            std::make_shared<one_way_relay>(far, near, is_silent, self->settings_, seed + 1)
                ->read();
        });
    }

    boost::asio::io_context& context_;
    delay_link_settings settings_;
    /// Bound and never listening. It keeps the port from being given to another connection of the
    /// machine while the link refuses connections.
    tcp::acceptor port_holder_{context_};
    tcp::acceptor acceptor_{context_};
    /// Address that the link listens at, also while it does not.
    tcp::endpoint address_;
    /// Connections that wait to be accepted during link_fault::hang.
    std::deque<tcp::socket> backlog_;
    std::vector<std::weak_ptr<tcp::socket>> sockets_;
    std::uint64_t connections_ = 0;
    /// Of the connections opened since the last silence.
    std::shared_ptr<bool> is_silent_ = std::make_shared<bool>(false);
    bool is_partitioned_ = false;
};

delay_link::delay_link(boost::asio::io_context& context, delay_link_settings settings)
    : state_{std::make_shared<state>(context, std::move(settings))} {}

delay_link::~delay_link() {
    state_->close();
}

result<void> delay_link::listen() {
    return state_->listen();
}

std::uint16_t delay_link::port() const {
    return state_->port();
}

result<void> delay_link::set_fault(link_fault fault) {
    return state_->set_fault(fault);
}

void delay_link::silence_connections() {
    state_->silence_connections();
}

void delay_link::set_partitioned(bool is_partitioned) {
    state_->set_partitioned(is_partitioned);
}

} // namespace magnolia::fakes
