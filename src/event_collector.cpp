#include "event_collector.h"

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
    constexpr bool no_exceptions = false;
    const auto document = nlohmann::json::parse(line, nullptr, no_exceptions);
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
    state(boost::asio::io_context& context, metrics_registry& metrics, handler receive)
        : context_{context}, receive_{std::move(receive)},
          received_{metrics.make_counter("magnolia_timeline_events_total", "Events received.")},
          refused_{metrics.make_counter("magnolia_timeline_connections_refused_total",
                                        "Connections closed for a bad line or for their number.")} {
    }

    result<void> listen(const endpoint& where) {
        io_error failure;
        const auto address = boost::asio::ip::make_address(where.address, failure);
        const tcp::endpoint local{address, where.port};
        if (!failure) {
            acceptor_.open(local.protocol(), failure);
        }
        if (!failure) {
            acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure);
            acceptor_.bind(local, failure);
        }
        if (!failure) {
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return fail(error_code::connection, where.address + ":" + std::to_string(where.port) +
                                                    " cannot be listened on");
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
    struct source {
        explicit source(tcp::socket from) : socket{std::move(from)} {}
        tcp::socket socket;
        std::string text;
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
            refused_.add();
            return;
        }
        ++connections_;
        read_line(std::make_shared<source>(std::move(socket)));
    }

    void read_line(const std::shared_ptr<source>& from) {
        boost::asio::async_read_until(
            from->socket, boost::asio::dynamic_buffer(from->text, max_line_bytes), '\n',
            [self = shared_from_this(), from](io_error failure, std::size_t length) {
                if (failure) {
                    --self->connections_;
                    return;
                }
                self->on_line(from, length);
            });
    }

    void on_line(const std::shared_ptr<source>& from, std::size_t length) {
        auto event = read_event_line(std::string_view{from->text}.substr(0, length));
        from->text.erase(0, length);
        if (!event) {
            logger_.warn("A line is no event: " + to_string(event.error()) + ".");
            refused_.add();
            --connections_;
            return;
        }
        received_.add();
        receive_(std::move(*event));
        read_line(from);
    }

    boost::asio::io_context& context_;
    handler receive_;
    counter received_;
    counter refused_;
    logger logger_{"timeline"};
    tcp::acceptor acceptor_{context_};
    std::size_t connections_ = 0;
};

event_collector::event_collector(boost::asio::io_context& context, metrics_registry& metrics,
                                 handler receive)
    : state_{std::make_shared<state>(context, metrics, std::move(receive))} {}

event_collector::~event_collector() {
    state_->close();
}

result<void> event_collector::listen(const endpoint& where) {
    return state_->listen(where);
}

std::uint16_t event_collector::port() const {
    return state_->port();
}

} // namespace magnolia
