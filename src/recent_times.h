/// Times of recent events by key, in bounded memory.
#pragma once

#include <magnolia/types.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace magnolia {

/// Keeps the last time of each of the keys recorded last: at least `capacity` keys, at most twice
/// as many. Not thread-safe.
class recent_times {
public:
    explicit recent_times(std::size_t capacity) : capacity_{capacity} {}

    void record(const std::string& key, time_point now) {
        newer_[key] = now;
        if (newer_.size() >= capacity_) {
            older_ = std::exchange(newer_, {});
        }
    }

    [[nodiscard]] std::optional<time_point> find(const std::string& key) const {
        for (const auto* times : {&newer_, &older_}) {
            if (const auto found = times->find(key); found != times->end()) {
                return found->second;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t capacity_;
    std::unordered_map<std::string, time_point> newer_;
    /// Full; dropped when `newer_` is full.
    std::unordered_map<std::string, time_point> older_;
};

} // namespace magnolia
