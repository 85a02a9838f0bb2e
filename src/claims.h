/// At most once: durable claims of idempotency keys in the platform's store, many in one
/// conditional write.
#pragma once

#include "platform_port.h"

#include <magnolia/config.h>

#include <memory>
#include <optional>

namespace magnolia {

/// Identity of an unrepeatable call.
struct claim_key {
    std::string workspace;
    std::string key;
    /// Creation of the key, ms since 1970, from the key itself (UUIDv7) or the caller's header.
    std::int64_t created_ms = 0;

    auto operator<=>(const claim_key&) const = default;
};

/// What the store knows of a claimed call.
struct claim_record {
    request_id owner;
    /// Hash of the call's path and body; another call under the same key is refused.
    std::uint64_t fingerprint = 0;
    /// Absent while the call is under way.
    std::optional<outcome> result;
    /// Status and the first bytes of the answer, config::max_claim_answer_bytes at most.
    unsigned status = 0;
    std::string answer;
    /// Wall clock of the claim, ms since 1970.
    std::int64_t claimed_ms = 0;
};

/// The claim is durable and the call may be dispatched, once, by this process.
struct claim_granted {
    request_id request;
};

/// The key was claimed before; the record tells by whom and what became of it.
struct claim_exists {
    request_id request;
    claim_record record;
};

/// The claim was not made, and never will be under this request: key_expired, key_reused,
/// platform_down, ...
struct claim_failed {
    request_id request;
    error failure;
};

/// Answer to a lookup.
struct claim_found {
    request_id request;
    /// Absent if the key is not claimed.
    std::optional<claim_record> record;
};

using claim_event = std::variant<claim_granted, claim_exists, claim_failed, claim_found>;

/// How claims are laid out in the store and gathered.
struct claim_options {
    /// Time for which a key is remembered.
    std::chrono::milliseconds retention{86400000};
    /// Fleet-wide; see config.h.
    std::uint32_t shards = config::claim_shards;
    std::chrono::milliseconds bucket = config::claim_bucket;
    std::chrono::milliseconds max_clock_error = config::max_clock_error;
    /// Longest wait of an outcome for a write that it can share.
    std::chrono::milliseconds max_outcome_delay{1000};
    /// First and longest pause after a failed call.
    std::chrono::milliseconds initial_backoff{50};
    std::chrono::milliseconds max_backoff{1000};
};

/// Call to the platform that the claims want made; the reply comes back with the same number.
struct claim_call {
    std::uint64_t number = 0;
    platform_call call;
};

/// Claims of one entry. Not thread-safe; owned by the duty of decisions.
class claim_manager {
public:
    /// @param origin   random number of the process's start; owner of its claims.
    claim_manager(std::uint64_t origin, const claim_options& options);
    claim_manager(std::uint64_t origin, std::chrono::milliseconds retention);
    ~claim_manager();

    /// Asks for a claim. Exactly one claim_event follows, at the latest when `patience` has passed.
    /// A claim that was not granted never leads to a run; if its write lands late, it is taken
    /// back.
    void request(const claim_key& key, request_id request, std::uint64_t fingerprint,
                 duration timeout, time_point now, std::int64_t wall_ms);

    /// Records the outcome of a granted claim, as soon as the store can be reached. not_run frees
    /// the key for a later retry.
    void record_outcome(const claim_key& key, request_id request, outcome result, unsigned status,
                        std::string_view answer, time_point now);

    /// Asks what is recorded for a key. One claim_found or claim_failed follows.
    void look_up(const claim_key& key, request_id request, duration timeout, time_point now);

    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now,
                  std::int64_t wall_ms);

    /// Calls due now.
    [[nodiscard]] std::vector<claim_call> poll(time_point now, std::int64_t wall_ms);
    /// Events since the last call.
    [[nodiscard]] std::vector<claim_event> take_events();
    /// Time of the next poll that matters.
    [[nodiscard]] time_point next_due() const;
    /// Whether outcomes wait to be recorded; a planned stop waits for them.
    [[nodiscard]] bool has_unrecorded_outcomes() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
