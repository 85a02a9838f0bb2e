#include "repeating_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace magnolia {

using tcp = boost::asio::ip::tcp;

/// Keeps itself alive through its pending operations. Requests are small enough to arrive with the
/// first bytes after their header, or to be taken for a part of the next header.
struct repeating_server::connection : std::enable_shared_from_this<connection> {
    connection(repeating_server& owner, tcp::socket accepted)
        : server{owner}, socket{std::move(accepted)} {}

    void read_request() {
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(input), "\r\n\r\n",
                                      [self = shared_from_this()](const auto& failure, auto) {
                                          if (!failure) {
                                              self->answer();
                                          }
                                      });
    }

    void answer() {
        input.clear();
        if (!std::exchange(server.has_refused_, true)) {
            is_faulty = true;
            output = server.refusal_;
        } else {
            ++server.run_count_;
            output = (is_faulty ? server.refusal_ : "") + server.answer_;
        }
        boost::asio::async_write(socket, boost::asio::buffer(output),
                                 [self = shared_from_this()](const auto& failure, auto) {
                                     if (!failure) {
                                         self->read_request();
                                     }
                                 });
    }

    repeating_server& server;
    tcp::socket socket;
    std::string input;
    std::string output;
    /// It has refused a request on this connection.
    bool is_faulty = false;
};

repeating_server::repeating_server(boost::asio::io_context& context, std::string refusal,
                                   std::string answer)
    : acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}},
      refusal_{std::move(refusal)}, answer_{std::move(answer)} {
    accept();
}

void repeating_server::accept() {
    acceptor_.async_accept([this](const auto& failure, tcp::socket socket) {
        if (!failure) {
            std::make_shared<connection>(*this, std::move(socket))->read_request();
            accept();
        }
    });
}

} // namespace magnolia
