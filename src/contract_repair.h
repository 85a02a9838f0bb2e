/// Brings a table of contracts up to a peer's: compares buckets, then versions, then fetches.
#pragma once

#include "contract_table.h"
#include "outgoing_message.h"

#include <magnolia/types.h>

#include <deque>
#include <optional>

namespace magnolia {

/// A peer's state that the table has been brought up to.
struct repair_target {
    std::string peer;
    /// Moment up to which the peer's table was known to be complete, if it was.
    std::optional<time_point> confirmed;
    /// Revision of the peer's table.
    std::uint64_t revision = 0;
};

/// One repair at a time. Not thread-safe.
class contract_repair {
public:
    [[nodiscard]] bool is_running() const { return target_.has_value(); }

    /// Starts towards a peer, if none runs. Returns the first question.
    [[nodiscard]] std::optional<outgoing_message>
    start(repair_target target, const contract_table& table, std::uint32_t number, time_point now);

    /// Takes an answer of the peer. Contracts are put into the table by the caller before this
    /// call. Returns the next question.
    [[nodiscard]] std::optional<outgoing_message> on(const config_versions& message,
                                                     const contract_table& table, time_point now);
    [[nodiscard]] std::optional<outgoing_message> on(const config_contracts& message,
                                                     const contract_table& table, time_point now);

    /// The target, once the table holds all that the peer had.
    [[nodiscard]] std::optional<repair_target> take_finished();
    /// Gives up a peer that does not answer.
    void expire(time_point now);

private:
    outgoing_message request_versions(const contract_table& table) const;
    std::optional<outgoing_message> request_contracts(const contract_table& table);

    std::optional<repair_target> target_;
    std::optional<repair_target> finished_;
    std::uint32_t number_ = 0;
    time_point last_seen_{};
    std::deque<std::uint64_t> missing_names_;
    std::size_t requested_ = 0;
    /// First bucket that may still differ.
    std::uint32_t next_bucket_ = 0;
};

/// Contracts from the first on that fit into one message; at least one.
[[nodiscard]] std::size_t batch_size(std::span<const contract_version> contracts);

/// Answers of the side that is asked.
[[nodiscard]] config_versions answer_buckets(const config_buckets& message,
                                             const contract_table& table);
[[nodiscard]] config_contracts answer_fetch(const config_fetch& message,
                                            const contract_table& table);

} // namespace magnolia
