#include "endless_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace magnolia {

using tcp = boost::asio::ip::tcp;

/// Keeps itself alive through its pending operations.
struct endless_server::connection : std::enable_shared_from_this<connection> {
    connection(endless_server& owner, tcp::socket accepted)
        : server{owner}, socket{std::move(accepted)}, timer{socket.get_executor()} {}

    void read_request() {
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(input), "\r\n\r\n",
                                      [self = shared_from_this()](const auto& failure, auto) {
                                          if (!failure) {
                                              self->write(self->server.beginning_);
                                          }
                                      });
    }

    void write(const std::string& bytes) {
        boost::asio::async_write(
            socket, boost::asio::buffer(bytes),
            [self = shared_from_this()](const auto& failure, std::size_t count) {
                self->server.sent_bytes_ += count;
                if (failure) {
                    ++self->server.closed_connections_;
                } else if (self->server.pause_.count() > 0) {
                    self->write_after_pause();
                } else {
                    self->write(self->server.block_);
                }
            });
    }

    void write_after_pause() {
        timer.expires_after(server.pause_);
        timer.async_wait([self = shared_from_this()](const auto& failure) {
            if (!failure) {
                self->write(self->server.block_);
            }
        });
    }

    endless_server& server;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string input;
};

endless_server::endless_server(boost::asio::io_context& context, std::string beginning,
                               std::string block, std::chrono::milliseconds pause)
    : acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}},
      beginning_{std::move(beginning)}, block_{std::move(block)}, pause_{pause} {
    accept();
}

void endless_server::accept() {
    acceptor_.async_accept([this](const auto& failure, tcp::socket socket) {
        if (!failure) {
            std::make_shared<connection>(*this, std::move(socket))->read_request();
            accept();
        }
    });
}

} // namespace magnolia
