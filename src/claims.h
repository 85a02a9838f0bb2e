/// Durable claims of idempotency keys, by which a non-repeatable call runs at most once. The claims
/// are stored in the platform's store; one conditional write (compare-and-set) carries many of
/// them.
#pragma once

#include "platform_port.h"

#include <magnolia/config.h>

#include <memory>
#include <optional>

namespace magnolia {

/// Identifies a non-repeatable call.
struct claim_key {
    std::string workspace;
    std::string key;
    /// Creation time of the key, ms since 1970; taken from the key itself (UUIDv7) or from a header
    /// of the caller.
    std::int64_t created_ms = 0;

    auto operator<=>(const claim_key&) const = default;
};

/// Stored state of a claimed call.
struct claim_record {
    /// Request that made the claim.
    request_id owner;
    /// Hash of the call's path and body. A different call with the same key is refused.
    std::uint64_t fingerprint = 0;
    /// Outcome of the call; absent until it is recorded.
    std::optional<outcome> result;
    /// Status and beginning of the answer, at most config::max_claim_answer_bytes.
    unsigned status = 0;
    std::string answer;
    /// Wall clock time of the claim, ms since 1970.
    std::int64_t claimed_ms = 0;
};

/// The claim is durable. This process may dispatch the call, once.
struct claim_granted {
    request_id request;
};

/// The key was claimed before; the record has its owner and, if recorded, its outcome.
struct claim_exists {
    request_id request;
    claim_record record;
};

/// The claim was not granted and never will be for this request. Errors: bad_request, key_expired,
/// key_reused, overloaded, platform_busy, platform_down.
struct claim_failed {
    request_id request;
    error failure;
};

/// Result of a lookup.
struct claim_found {
    request_id request;
    /// Absent if the key is not claimed.
    std::optional<claim_record> record;
};

using claim_event = std::variant<claim_granted, claim_exists, claim_failed, claim_found>;

/// Storage layout, batching and retry parameters of claims.
struct claim_options {
    /// Maximum age of a key, from its creation. Older keys are refused and their claims deleted.
    std::chrono::milliseconds retention{86400000};
    /// Number of objects per bucket of creation time. All processes that share a platform must use
    /// the same value and the same `bucket`; see config.h.
    std::uint32_t shards = config::claim_shards;
    std::chrono::milliseconds bucket = config::claim_bucket;
    std::chrono::milliseconds max_clock_error = config::max_clock_error;
    /// Longest time for which a recorded outcome waits for a write to share.
    std::chrono::milliseconds max_outcome_delay{1000};
    /// Bounds of the exponential backoff after failed calls and repeated conflicts.
    std::chrono::milliseconds initial_backoff{50};
    std::chrono::milliseconds max_backoff{1000};
};

/// A call to the platform. Its reply is passed to on_reply() with the same number.
struct claim_call {
    std::uint64_t number = 0;
    platform_call call;
};

/// Claims of one entry. Groups requests by shard (one object of the store each), and keeps at most
/// one call per shard in flight. Does no I/O: the owner executes the calls of poll() and passes
/// their replies to on_reply(). Owned by entry_core; not thread-safe.
class claim_manager {
public:
    /// @param origin   random number drawn at the start of the process; the origin of its request
    ///                 ids, by which it recognises its own claims.
    claim_manager(std::uint64_t origin, const claim_options& options);
    claim_manager(std::uint64_t origin, std::chrono::milliseconds retention);
    ~claim_manager();

    /// Requests a claim. Exactly one claim_granted, claim_exists or claim_failed follows, within
    /// `timeout`. A call whose claim was not granted must not run; if the write of a failed claim
    /// takes effect late, the claim is removed again.
    void request(const claim_key& key, request_id request, std::uint64_t fingerprint,
                 duration timeout, time_point now, std::int64_t wall_ms);

    /// Records the outcome of a granted claim as soon as the store is reachable; ignored for a
    /// request that was not granted. not_run removes the claim, so that the call can be retried
    /// with the key.
    void record_outcome(const claim_key& key, request_id request, outcome result, unsigned status,
                        std::string_view answer, time_point now);

    /// Looks up the stored record of a key. One claim_found or claim_failed follows, within
    /// `timeout`.
    void look_up(const claim_key& key, request_id request, duration timeout, time_point now);

    /// Passes the reply to a call of poll(); an unknown number is ignored.
    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now,
                  std::int64_t wall_ms);

    /// Returns the calls that are due, and fails the requests whose timeout has passed.
    [[nodiscard]] std::vector<claim_call> poll(time_point now, std::int64_t wall_ms);
    /// Returns the events since the last call.
    [[nodiscard]] std::vector<claim_event> take_events();
    /// Time at which poll() has to be called next; max() if nothing is pending.
    [[nodiscard]] time_point next_due() const;
    /// Whether outcomes are not yet recorded. A planned stop of the process waits until there are
    /// none.
    [[nodiscard]] bool has_unrecorded_outcomes() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
