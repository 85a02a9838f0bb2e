/// One object of claims in the store: its content, the requests and outcomes that wait for it, and
/// its next call. Private to the implementation of claim_manager and claim_collector.
#pragma once

#include "claims.h"

#include <map>
#include <random>
#include <unordered_set>

namespace magnolia {

/// A moment on the monotonic clock and on the wall clock (ms since 1970).
struct claim_time {
    time_point now;
    std::int64_t wall_ms = 0;
};

/// Content of an object of claims.
struct claim_table {
    /// Version of the stored object; 0 if it does not exist.
    std::uint64_t version = 0;
    std::map<claim_key, claim_record> records;
    /// Upper bound of the length of the encoded records, in bytes.
    std::size_t bytes = 0;

    [[nodiscard]] const claim_record* find(const claim_key& key) const;
    /// Adds or replaces a record.
    void put(const claim_key& key, const claim_record& record);
    void erase(const claim_key& key);
};

/// Encodes the records as the JSON value of the object.
[[nodiscard]] std::string encode_claims(const claim_table& table);
/// Decodes an object; version 0 gives an empty table. Errors: internal if the value cannot be
/// decoded, in which case the object must not be overwritten.
[[nodiscard]] result<claim_table> decode_claims(const stored_object& object);

/// Object that stores the claim of a key: selected by the key's creation time and its hash.
[[nodiscard]] object_id claim_object_id(const claim_key& key, const claim_options& options);
/// Latest creation time (ms since 1970) of any key in an object; none if its name is not that of an
/// object of claims.
[[nodiscard]] std::optional<std::int64_t> latest_creation_ms(const object_id& id,
                                                             const claim_options& options);

/// Checks that a key is neither older than the retention nor newer than the maximum clock error
/// allows. Errors: key_expired.
[[nodiscard]] result<void> check_key_age(const claim_key& key, const claim_options& options,
                                         std::int64_t wall_ms);

/// A claim or lookup that has no event yet.
struct claim_request {
    claim_key key;
    request_id request;
    std::uint64_t fingerprint = 0;
    bool is_lookup = false;
    /// Start of the request; a cached object that is older may lack a claim made before it.
    time_point requested_at;
    time_point deadline;
};

/// An outcome that is not recorded yet.
struct pending_outcome {
    request_id request;
    outcome result = outcome::unknown;
    unsigned status = 0;
    std::string answer;
    /// Time at which it is written even if no other change shares the write.
    time_point due;
};

/// State that the shards of one claim manager share.
struct claim_context {
    std::uint64_t origin = 0;
    claim_options options;
    std::mt19937_64 random;
    std::vector<claim_event> events;
    /// Granted claims whose outcome is not recorded yet.
    std::unordered_set<request_id> granted;
};

/// One object of claims. Collects claims and outcomes and writes them together in a conditional
/// write; after a conflict or a lost reply it reads the object again. At most one call is in
/// flight. Owned by claim_manager; not thread-safe.
class claim_shard {
public:
    explicit claim_shard(object_id id) : id_{std::move(id)} {}

    void add_request(claim_request request) { requests_.push_back(std::move(request)); }
    /// Queues an outcome; it replaces an earlier one of the same key.
    void record_outcome(const claim_key& key, pending_outcome pending);

    /// Fails the requests whose deadline has passed: with platform_down if a call is in flight or
    /// has failed since the last success, other than by a conflict, and with platform_busy
    /// otherwise.
    void expire_requests(claim_context& context, claim_time at);
    /// Returns the call that is due, if any. Its reply has to reach on_reply() before the next
    /// call.
    [[nodiscard]] std::optional<platform_call> next_call(claim_context& context, claim_time at);
    void on_reply(const result<platform_reply>& reply, claim_context& context, claim_time at);

    /// Time at which expire_requests() or next_call() has something to do; max() if never.
    [[nodiscard]] time_point next_due(const claim_context& context) const;
    [[nodiscard]] bool has_pending_outcomes() const { return !pending_outcomes_.empty(); }
    /// Whether the shard's state can be dropped without losing a request, an outcome or the removal
    /// of an orphan.
    [[nodiscard]] bool is_idle(const claim_context& context) const;
    [[nodiscard]] time_point last_used() const { return last_used_; }

private:
    /// The call in flight.
    struct in_flight_call {
        time_point sent_at;
        /// Content that the write stores; absent for a read.
        std::optional<claim_table> proposed;
        /// Requests whose claims the write adds, and requests whose outcomes it records.
        std::unordered_set<request_id> claims;
        std::unordered_set<request_id> recorded;
    };

    /// The next write and whether it changes anything.
    struct write_plan {
        in_flight_call changes;
        bool has_changes = false;
        bool may_wait = true;
    };

    /// Emits the events of all requests that the cached content decides.
    void answer_requests(claim_context& context, claim_time at);
    /// Event that the cached content gives for a request; none if a read or write is needed first.
    [[nodiscard]] std::optional<claim_event> answer(const claim_request& request,
                                                    claim_context& context, claim_time at) const;
    /// Grants a claim whose write took effect, unless the key has expired meanwhile.
    [[nodiscard]] claim_event grant(const claim_request& request, claim_context& context,
                                    claim_time at) const;
    /// Whether the cached content is at least as new as the request.
    [[nodiscard]] bool is_fresh(const claim_request& request) const;
    /// Whether a stored claim of this process belongs to a request that failed before its write was
    /// known to have taken effect. Such claims are removed, so that the key is free again.
    [[nodiscard]] bool is_orphan(const claim_record& record, const claim_context& context) const;
    [[nodiscard]] bool has_orphans(const claim_context& context) const;
    /// Whether a call would make progress for a request, an outcome that is due, an uncertain write
    /// or an orphan.
    [[nodiscard]] bool has_work(const claim_context& context, time_point now) const;
    /// Whether a request cannot be decided from the cached content.
    [[nodiscard]] bool needs_read() const;
    /// Builds the next write from the cached content and all pending changes.
    [[nodiscard]] write_plan plan_write(claim_context& context, claim_time at);
    /// Applies an outcome to the table; drops the stored answer if the object would get too large.
    void apply_outcome(claim_table& table, const claim_key& key,
                       const pending_outcome& pending) const;
    /// Adds all pending outcomes to a write that takes place anyway, else only those that are due.
    void plan_outcomes(write_plan& plan, claim_context& context, time_point now);
    /// Removes orphaned claims.
    void plan_orphans(write_plan& plan, const claim_context& context);
    /// Adds the requested claims; fails them with overloaded if the object is full.
    void plan_claims(write_plan& plan, claim_context& context, claim_time at);
    platform_call read(time_point now);
    platform_call write(write_plan plan, time_point now);
    void on_read(const in_flight_call& call, const result<platform_reply>& reply,
                 claim_context& context, claim_time at);
    void on_write_succeeded(in_flight_call call, std::uint64_t version, claim_context& context,
                            claim_time at);
    void on_write_failed(const error& failure, claim_context& context, time_point now);
    /// Delays the next call by a random exponential backoff of at least `min_delay`.
    void back_off(claim_context& context, std::chrono::milliseconds min_delay, time_point now);

    object_id id_;
    /// Content as last read or written; absent if it has to be read.
    std::optional<claim_table> cached_;
    /// Time at which the call that returned the cached content was sent; the content is at least
    /// that new.
    time_point cached_since_{};
    std::vector<claim_request> requests_;
    std::map<claim_key, pending_outcome> pending_outcomes_;
    std::optional<in_flight_call> in_flight_;
    /// Expected version of a write whose reply was lost and that may still take effect.
    std::optional<std::uint64_t> uncertain_version_;
    /// Other processes write this object too, so it is read before each write to avoid conflicts.
    bool is_contended_ = false;
    /// No write has been sent since the cached content was read.
    bool is_just_read_ = false;
    /// Failed calls since the last success, without conflicts.
    std::uint32_t failures_ = 0;
    /// Conflicts since the last successful write.
    std::uint32_t conflicts_ = 0;
    time_point backoff_until_{};
    time_point last_used_{};
};

} // namespace magnolia
