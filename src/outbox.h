/// Output queue towards another thread's inbox that tolerates a full ring.
#pragma once

#include "io_thread.h"

#include <deque>

namespace magnolia {

/// Keeps items in order until the target's ring has free capacity. Not thread-safe; used by the
/// sending thread only. The owner must accept no new work while is_blocked(), which bounds the
/// number of pending items to those that the work already in progress produces.
template <class T>
class outbox {
public:
    explicit outbox(inbox<T>& target) : target_{target} {}

    /// Queues an item and sends as many pending items as the target accepts.
    void push(T item) {
        pending_.push_back(std::move(item));
        flush();
    }

    /// Sends pending items until none is left or the target's ring is full. The owner calls it
    /// again later while is_blocked().
    void flush() {
        while (!pending_.empty() && target_.try_push(pending_.front())) {
            pending_.pop_front();
        }
    }

    /// Whether items are pending because the target's ring is full.
    [[nodiscard]] bool is_blocked() const { return !pending_.empty(); }

private:
    inbox<T>& target_;
    std::deque<T> pending_;
};

} // namespace magnolia
