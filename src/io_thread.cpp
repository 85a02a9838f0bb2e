#include "io_thread.h"

#include <pthread.h>

namespace magnolia {

io_thread::io_thread(std::string name)
    : name_{std::move(name)}, work_guard_{boost::asio::make_work_guard(context_)} {}

io_thread::~io_thread() {
    stop();
}

void io_thread::start() {
    thread_ = std::thread{[this] {
        pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
        context_.run();
    }};
}

void io_thread::stop() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace magnolia
