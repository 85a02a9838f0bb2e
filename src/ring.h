/// Bounded ring between two duties.
#pragma once

#include <magnolia/error.h>

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <optional>

namespace magnolia {

/// Queue of fixed size for any number of writers and one reader. A full ring refuses; it never
/// blocks or drops.
template <class T>
class bounded_ring {
public:
    /// @param capacity  number of items that fit.
    explicit bounded_ring(std::size_t capacity) : items_{capacity} {}

    /// Adds an item. Errors: ring_full.
    [[nodiscard]] result<void> push(T item) {
        if (!try_push(item)) {
            return fail(error_code::ring_full);
        }
        return {};
    }

    /// Moves the item in if there is room; else leaves it as it is.
    [[nodiscard]] bool try_push(T& item) {
        const std::scoped_lock lock{mutex_};
        if (items_.full()) {
            return false;
        }
        items_.push_back(std::move(item));
        return true;
    }

    /// Takes the oldest item, if there is one.
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
