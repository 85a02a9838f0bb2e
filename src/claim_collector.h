/// Garbage collection of claims: deletes objects of claims whose keys are too old to be claimed.
#pragma once

#include "claims.h"

#include <deque>
#include <random>

namespace magnolia {

/// Deletes expired objects of claims, in rounds with a random interval. An object is deleted when
/// its youngest possible key is older than the retention plus twice the maximum clock error, by the
/// wall clock of this process, so that no process still accepts its keys. Any number of collectors
/// may run at the same time. Does no I/O; not thread-safe.
class claim_collector {
public:
    /// @param period  mean interval between two rounds.
    /// @param seed    seed of the random interval.
    claim_collector(const claim_options& options, std::chrono::milliseconds period,
                    std::uint64_t seed);

    /// Returns the call that is due, if any. Its reply has to reach on_reply() before the next
    /// call.
    [[nodiscard]] std::optional<platform_call> poll(time_point now, std::int64_t wall_ms);
    void on_reply(const result<platform_reply>& reply, time_point now, std::int64_t wall_ms);
    [[nodiscard]] time_point next_due() const { return next_round_; }
    /// Number of objects deleted since the start.
    [[nodiscard]] std::uint64_t deleted_objects() const { return deleted_objects_; }

private:
    /// Whether every process refuses all keys of the object.
    [[nodiscard]] bool is_expired(const object_id& id, std::int64_t wall_ms) const;
    /// Schedules the next round, half to one and a half periods from now.
    void end_round(time_point now);

    claim_options options_;
    std::chrono::milliseconds period_;
    std::mt19937_64 random_;
    /// Expired objects of the last page that are not deleted yet.
    std::deque<object_delete> expired_;
    /// Name after which the next page starts.
    std::string list_after_;
    bool is_in_flight_ = false;
    /// Whether more pages may have expired objects.
    bool is_listing_ = true;
    /// Whether the call in flight is a deletion.
    bool is_deleting_ = false;
    time_point next_round_{};
    std::uint64_t deleted_objects_ = 0;
};

} // namespace magnolia
