#include "event_collector.h"

#include "json_text.h"
#include "log.h"
#include "schema_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;
using io_error = boost::system::error_code;

constexpr std::size_t max_line_bytes = std::size_t{64} << 10U;
constexpr std::size_t max_connections = 4000;

} // namespace

result<timeline_event> read_event_line(std::string_view line) {
    const auto document = parse_json(line);
    if (document.is_discarded()) {
        return fail(error_code::frame_invalid, "not JSON");
    }
    schema_reader reader{unknown_keys::accept};
    timeline_event event;
    read(document, reader, event);
    if (!reader.errors().empty()) {
        return fail(error_code::frame_invalid, reader.errors().front().path);
    }
    return event;
}

class event_collector::state : public std::enable_shared_from_this<state> {
public:
    state(boost::asio::io_context& context, metrics_registry& metrics, handler on_event)
        : context_{context}, on_event_{std::move(on_event)},
          received_events_{
              metrics.make_counter("magnolia_timeline_events_total", "Events received.")},
          refused_connections_{
              metrics.make_counter("magnolia_timeline_connections_refused_total",
                                   "Connections closed for a bad line or for their number.")} {}

    result<void> listen(const endpoint& local) {
        io_error failure;
        const auto address = boost::asio::ip::make_address(local.address, failure);
        const tcp::endpoint target{address, local.port};
        if (!failure) {
            acceptor_.open(target.protocol(), failure);
        }
        if (!failure) {
            acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure);
            acceptor_.bind(target, failure);
        }
        if (!failure) {
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return fail(error_code::connection, local.address + ":" + std::to_string(local.port) +
                                                    " cannot be opened for listening");
        }
        accept();
        return {};
    }

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void close() {
        io_error ignored;
        acceptor_.close(ignored);
    }

private:
    /// A connection of an event sender, with the bytes that do not form a complete line yet.
    struct connection {
        explicit connection(tcp::socket peer) : socket{std::move(peer)} {}
        tcp::socket socket;
        std::string buffer;
    };

    void accept() {
        acceptor_.async_accept([self = shared_from_this()](io_error failure, tcp::socket socket) {
            if (!self->acceptor_.is_open()) {
                return;
            }
            if (!failure) {
                self->admit(std::move(socket));
            }
            self->accept();
        });
    }

    void admit(tcp::socket socket) {
        if (connections_ >= max_connections) {
            refused_connections_.add();
            return;
        }
        ++connections_;
        read_line(std::make_shared<connection>(std::move(socket)));
    }

    void read_line(const std::shared_ptr<connection>& peer) {
        boost::asio::async_read_until(
            peer->socket, boost::asio::dynamic_buffer(peer->buffer, max_line_bytes), '\n',
            [self = shared_from_this(), peer](io_error failure, std::size_t length) {
                if (failure) {
                    --self->connections_;
                    return;
                }
                self->on_line(peer, length);
            });
    }

    void on_line(const std::shared_ptr<connection>& peer, std::size_t length) {
        auto event = read_event_line(std::string_view{peer->buffer}.substr(0, length));
        peer->buffer.erase(0, length);
        if (!event) {
            logger_.warn("Closed a connection that sent an invalid event line: " +
                         to_string(event.error()) + ".");
            refused_connections_.add();
            --connections_;
            return;
        }
        received_events_.add();
        on_event_(std::move(*event));
        read_line(peer);
    }

    boost::asio::io_context& context_;
    handler on_event_;
    counter received_events_;
    counter refused_connections_;
    logger logger_{"timeline"};
    tcp::acceptor acceptor_{context_};
    std::size_t connections_ = 0;
};

event_collector::event_collector(boost::asio::io_context& context, metrics_registry& metrics,
                                 handler on_event)
    : state_{std::make_shared<state>(context, metrics, std::move(on_event))} {}

event_collector::~event_collector() {
    state_->close();
}

result<void> event_collector::listen(const endpoint& local) {
    return state_->listen(local);
}

std::uint16_t event_collector::port() const {
    return state_->port();
}

} // namespace magnolia
