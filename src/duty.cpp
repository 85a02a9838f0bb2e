#include "duty.h"

#include <pthread.h>

namespace magnolia {

duty::duty(std::string name)
    : name_{std::move(name)}, work_{boost::asio::make_work_guard(context_)} {}

duty::~duty() {
    stop();
}

void duty::start() {
    thread_ = std::thread{[this] {
        pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
        context_.run();
    }};
}

void duty::stop() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace magnolia
