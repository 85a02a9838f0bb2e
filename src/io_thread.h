/// One thread with one job. Duties meet only in bounded rings.
#pragma once

#include "ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace magnolia {

/// Thread that runs an I/O context until it is stopped.
class io_thread {
public:
    /// @param name  shown by the system's thread list; at most 15 characters.
    explicit io_thread(std::string name);
    ~io_thread();
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    void start();
    /// Ends the thread after the handler that runs now, and joins it. Idempotent.
    void stop();

private:
    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// Ring into a io_thread; items are handled in order on the io_thread's thread.
template <class T>
class inbox {
public:
    inbox(io_thread& owner, std::size_t capacity, std::function<void(T)> handler)
        : owner_{owner}, ring_{capacity}, handler_{std::move(handler)} {}

    /// As push(), but a refused item stays where it is.
    [[nodiscard]] bool try_push(T& item) {
        const bool pushed = ring_.try_push(item);
        if (pushed) {
            schedule();
        }
        return pushed;
    }

    /// Hands an item to the io_thread, from any thread. Errors: ring_full.
    [[nodiscard]] result<void> push(T item) {
        auto pushed = ring_.push(std::move(item));
        if (pushed) {
            schedule();
        }
        return pushed;
    }

private:
    void schedule() {
        if (!is_scheduled_.exchange(true)) {
            boost::asio::post(owner_.context(), [this] { drain(); });
        }
    }

    void drain() {
        is_scheduled_.store(false);
        while (auto item = ring_.pop()) {
            handler_(std::move(*item));
        }
    }

    io_thread& owner_;
    bounded_ring<T> ring_;
    std::function<void(T)> handler_;
    std::atomic<bool> is_scheduled_{false};
};

} // namespace magnolia
