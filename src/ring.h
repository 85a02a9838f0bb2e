/// Bounded queue between threads.
#pragma once

#include <magnolia/error.h>

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <optional>

namespace magnolia {

/// Multi-producer, single-consumer FIFO queue of fixed capacity, protected by a mutex. A full ring
/// refuses new items; it never waits for space and never drops an item.
template <class T>
class bounded_ring {
public:
    /// @param capacity  maximum number of queued items.
    explicit bounded_ring(std::size_t capacity) : items_{capacity} {}

    /// Appends an item. Errors: ring_full.
    [[nodiscard]] result<void> push(T item) {
        if (!try_push(item)) {
            return fail(error_code::ring_full);
        }
        return {};
    }

    /// Moves the item into the ring and returns true, or returns false and leaves the item
    /// unchanged if the ring is full.
    [[nodiscard]] bool try_push(T& item) {
        const std::scoped_lock lock{mutex_};
        if (items_.full()) {
            return false;
        }
        items_.push_back(std::move(item));
        return true;
    }

    /// Removes and returns the oldest item; nullopt if the ring is empty.
    [[nodiscard]] std::optional<T> pop() {
        const std::scoped_lock lock{mutex_};
        if (items_.empty()) {
            return std::nullopt;
        }
        std::optional<T> item{std::move(items_.front())};
        items_.pop_front();
        return item;
    }

private:
    std::mutex mutex_;
    boost::circular_buffer<T> items_;
};

} // namespace magnolia
