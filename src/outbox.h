/// Ordered way out of a io_thread into another io_thread's ring, which may be full for a while.
#pragma once

#include "io_thread.h"

#include <deque>

namespace magnolia {

/// Keeps items in order until the ring takes them. Used by one thread; its owner stops taking new
/// work while is_blocked(), so that the number kept is bounded by what the work under way produces.
template <class T>
class outbox {
public:
    explicit outbox(inbox<T>& target) : target_{target} {}

    void push(T item) {
        pending_.push_back(std::move(item));
        flush();
    }

    /// Hands over what the ring takes.
    void flush() {
        while (!pending_.empty() && target_.try_push(pending_.front())) {
            pending_.pop_front();
        }
    }

    [[nodiscard]] bool is_blocked() const { return !pending_.empty(); }

private:
    inbox<T>& target_;
    std::deque<T> pending_;
};

} // namespace magnolia
