/// Threads that run one I/O context and do one kind of work each. Work is passed between them
/// through bounded rings only.
#pragma once

#include "ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace magnolia {

/// Owns an I/O context and the thread that runs it. start() and stop() are called by the owner;
/// handlers may be posted to context() from any thread.
class io_thread {
public:
    /// @param name  thread name shown by the operating system; cut to 15 characters.
    explicit io_thread(std::string name);
    ~io_thread();
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    /// Starts the thread.
    void start();
    /// Stops the context after the handler that is running, and joins the thread. Handlers that are
    /// still queued are not run. Idempotent.
    void stop();

private:
    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    std::thread thread_;
};

/// Bounded ring whose items are handled in FIFO order on the thread of an io_thread. push() and
/// try_push() may be called from any thread.
template <class T>
class inbox {
public:
    /// @param owner     runs the handler. Has to outlive the inbox, and has to be stopped before
    ///                  the inbox is destroyed.
    /// @param capacity  maximum number of queued items.
    inbox(io_thread& owner, std::size_t capacity, std::function<void(T)> handler)
        : owner_{owner}, ring_{capacity}, handler_{std::move(handler)} {}

    /// As push(), but returns false and leaves the item unchanged if the ring is full.
    [[nodiscard]] bool try_push(T& item) {
        const bool pushed = ring_.try_push(item);
        if (pushed) {
            schedule();
        }
        return pushed;
    }

    /// Queues an item for the handler. Errors: ring_full.
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
