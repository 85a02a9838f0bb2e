#include "port_wait.h"

#include <boost/asio/error.hpp>

namespace magnolia {
namespace {

constexpr std::chrono::milliseconds port_retry_interval{100};

bool may_become_free(const result<void>& opened) {
    return !opened && opened.error().retry_after.count() > 0;
}

} // namespace

error listen_failure(const std::string& address, const boost::system::error_code& failure) {
    const bool is_taken = failure == boost::asio::error::address_in_use;
    return {error_code::connection, address + ": " + failure.message(),
            is_taken ? port_retry_interval : std::chrono::milliseconds{0}};
}

result<void> open_when_free(const logger& log, const std::function<result<void>()>& open,
                            const std::function<bool(std::chrono::milliseconds)>& wait) {
    const auto give_up_at = steady_now() + max_port_wait;
    auto opened = open();
    if (may_become_free(opened)) {
        log.warn(opened.error().subject +
                 "; waits for the port, max_wait_s=" + std::to_string(max_port_wait.count()));
    }
    while (may_become_free(opened) && steady_now() < give_up_at &&
           wait(opened.error().retry_after)) {
        opened = open();
    }
    return opened;
}

} // namespace magnolia
