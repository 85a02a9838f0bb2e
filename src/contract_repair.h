/// Anti-entropy repair of a contract table from a peer: compares bucket hashes, then versions, and
/// fetches the contracts that are missing or older.
#pragma once

#include "contract_table.h"
#include "outgoing_message.h"

#include <magnolia/types.h>

#include <deque>
#include <optional>

namespace magnolia {

/// State of a peer that a repair brings the table up to.
struct repair_target {
    std::string peer;
    /// Time as of which the peer's table was confirmed to be complete; absent if it was not.
    std::optional<time_point> confirmed_at;
    /// Store revision of the peer's table.
    std::uint64_t revision = 0;
};

/// Requesting side of one repair at a time. Owned by contract_relay; not thread-safe.
class contract_repair {
public:
    [[nodiscard]] bool is_running() const { return target_.has_value(); }

    /// Starts a repair from a peer and returns the first request; none if a repair is running.
    [[nodiscard]] std::optional<outgoing_message>
    start(repair_target target, const contract_table& table, std::uint32_t number, time_point now);

    /// Handles an answer of the peer and returns the next request, if any. The caller has put the
    /// contracts of the message into the table before.
    [[nodiscard]] std::optional<outgoing_message> on(const config_versions& message,
                                                     const contract_table& table, time_point now);
    [[nodiscard]] std::optional<outgoing_message> on(const config_contracts& message,
                                                     const contract_table& table, time_point now);

    /// Returns the target once, after the table has everything that the peer had.
    [[nodiscard]] std::optional<repair_target> take_finished();
    /// Abandons the repair if the peer has not answered for 2 s.
    void expire(time_point now);

private:
    /// Requests the versions in the buckets that differ, from next_bucket_ on.
    outgoing_message request_versions(const contract_table& table) const;
    /// Requests the next missing contracts, or the next versions if none are missing.
    std::optional<outgoing_message> request_contracts(const contract_table& table);

    std::optional<repair_target> target_;
    std::optional<repair_target> finished_;
    std::uint32_t repair_number_ = 0;
    /// Time of the peer's last answer, or of the start.
    time_point last_seen_{};
    std::deque<std::uint64_t> missing_names_;
    /// Number of contracts in the unanswered request; 0 if it is for versions.
    std::size_t requested_ = 0;
    /// First bucket not compared yet.
    std::uint32_t next_bucket_ = 0;
};

/// Number of contracts from the start of the list that fit into one message; at least one.
[[nodiscard]] std::size_t batch_size(std::span<const contract_version> contracts);

/// Answering side of a repair; it has no state.
[[nodiscard]] config_versions answer_buckets(const config_buckets& message,
                                             const contract_table& table);
[[nodiscard]] config_contracts answer_fetch(const config_fetch& message,
                                            const contract_table& table);

} // namespace magnolia
