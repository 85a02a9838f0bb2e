/// At most once: durable claims of idempotency keys in the platform's store, many in one
/// conditional write.
#pragma once

#include "platform_port.h"

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
    /// Status and the first bytes of the answer.
    unsigned status = 0;
    std::string answer;
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

using claim_event = std::variant<claim_granted, claim_exists, claim_failed>;

/// Call to the platform that the claims want made; the reply comes back with the same number.
struct claim_call {
    std::uint64_t number = 0;
    platform_call call;
};

/// Claims of one entry. Not thread-safe; owned by the duty of decisions.
class claim_book {
public:
    /// @param origin     random number of the process's start; owner of its claims.
    /// @param retention  time for which a key is remembered.
    claim_book(std::uint64_t origin, std::chrono::milliseconds retention);
    ~claim_book();

    /// Asks for a claim. Exactly one claim_event follows, at the latest when `patience` has passed.
    void request(const claim_key& key, request_id request, std::uint64_t fingerprint,
                 duration patience, time_point now, std::int64_t wall_ms);

    /// Records the outcome of a granted claim. not_run frees the key for a later retry.
    void settle(const claim_key& key, request_id request, outcome result, unsigned status,
                std::string_view answer, time_point now);

    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now);

    /// Calls due now.
    [[nodiscard]] std::vector<claim_call> poll(time_point now, std::int64_t wall_ms);
    /// Events since the last call.
    [[nodiscard]] std::vector<claim_event> take_events();
    /// Time of the next poll that matters.
    [[nodiscard]] time_point next_due() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
