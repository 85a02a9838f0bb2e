/// Deletes objects of claims whose keys are too old to be claimed by anyone.
#pragma once

#include "claims.h"

#include <deque>
#include <random>

namespace magnolia {

/// Pure; any number may run at once. An object goes when its youngest key is older than the
/// retention plus twice the clock margin, by the wall clock of this process.
class claim_collector {
public:
    /// @param period  mean time between two rounds. @param seed  seed of its jitter.
    claim_collector(const claim_options& options, std::chrono::milliseconds period,
                    std::uint64_t seed);

    /// Call due now; its reply comes to on_reply() before the next call.
    [[nodiscard]] std::optional<platform_call> poll(time_point now, std::int64_t wall_ms);
    void on_reply(const result<platform_reply>& reply, time_point now, std::int64_t wall_ms);
    [[nodiscard]] time_point next_due() const { return next_round_; }
    /// Objects deleted since the start.
    [[nodiscard]] std::uint64_t deleted_objects() const { return deleted_objects_; }

private:
    [[nodiscard]] bool is_expired(const object_id& id, std::int64_t wall_ms) const;
    void end_round(time_point now);

    claim_options options_;
    std::chrono::milliseconds period_;
    std::mt19937_64 random_;
    std::deque<object_delete> expired_;
    /// Name after which the next page of the list starts.
    std::string list_after_;
    bool is_in_flight_ = false;
    bool is_listing_ = true;
    bool is_deleting_ = false;
    time_point next_round_{};
    std::uint64_t deleted_objects_ = 0;
};

} // namespace magnolia
