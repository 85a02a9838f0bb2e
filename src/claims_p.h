/// One object of claims: its content, what waits for it, and the next call that moves it on.
/// Private to the claims.
#pragma once

#include "claims.h"

#include <map>
#include <random>
#include <unordered_set>

namespace magnolia {

/// Moment on both clocks.
struct claim_time {
    time_point now;
    std::int64_t wall_ms = 0;
};

/// Content of an object of claims.
struct claim_table {
    std::uint64_t version = 0;
    std::map<claim_key, claim_record> records;
    /// Upper bound of the encoded length.
    std::size_t bytes = 0;

    [[nodiscard]] const claim_record* find(const claim_key& key) const;
    void put(const claim_key& key, const claim_record& record);
    void erase(const claim_key& key);
};

[[nodiscard]] std::string encode_claims(const claim_table& table);
/// Errors: internal if the text cannot be read; the object must then not be written.
[[nodiscard]] result<claim_table> decode_claims(const stored_object& object);

/// Object that a key belongs to.
[[nodiscard]] object_id claim_object_id(const claim_key& key, const claim_options& options);
/// Last creation time of the keys in an object; none if the name is not one of the claims'.
[[nodiscard]] std::optional<std::int64_t> latest_creation_ms(const object_id& id,
                                                             const claim_options& options);

/// Whether a key is young enough to be claimed. Errors: key_expired.
[[nodiscard]] result<void> check_key_age(const claim_key& key, const claim_options& options,
                                         std::int64_t wall_ms);

/// A claim or lookup that waits for its event.
struct claim_request {
    claim_key key;
    request_id request;
    std::uint64_t fingerprint = 0;
    bool is_lookup = false;
    time_point requested_at;
    time_point deadline;
};

/// Outcome that waits to be recorded.
struct pending_outcome {
    request_id request;
    outcome result = outcome::unknown;
    unsigned status = 0;
    std::string answer;
    time_point due;
};

/// What the objects of one book share.
struct claim_context {
    std::uint64_t origin = 0;
    claim_options options;
    std::mt19937_64 random;
    std::vector<claim_event> events;
    /// Granted claims whose outcome is not recorded yet.
    std::unordered_set<request_id> granted;
};

/// One object. At most one call is under way.
class claim_shard {
public:
    explicit claim_shard(object_id id) : id_{std::move(id)} {}

    void add(claim_request request) { requests_.push_back(std::move(request)); }
    void record_outcome(const claim_key& key, pending_outcome pending);

    /// Fails requests whose patience is over.
    void expire_requests(claim_context& context, claim_time at);
    /// Call due now; its reply comes to on_reply() before the next call.
    [[nodiscard]] std::optional<platform_call> next_call(claim_context& context, claim_time at);
    void on_reply(const result<platform_reply>& reply, claim_context& context, claim_time at);

    [[nodiscard]] time_point next_due(const claim_context& context) const;
    [[nodiscard]] bool has_pending_outcomes() const { return !pending_outcomes_.empty(); }
    /// Whether nothing is lost if this object's state is dropped.
    [[nodiscard]] bool is_idle(const claim_context& context) const;
    [[nodiscard]] time_point last_used() const { return last_used_; }

private:
    /// A call under way.
    struct in_flight_call {
        time_point sent;
        /// Absent for a read.
        std::optional<claim_table> proposed;
        /// Requests whose claims the write includes, and outcomes that it records.
        std::unordered_set<request_id> claims;
        std::unordered_set<request_id> recorded;
    };

    /// What a write would change.
    struct write_plan {
        in_flight_call changes;
        bool has_changes = false;
        bool may_wait = true;
    };

    void answer_requests(claim_context& context, claim_time at);
    [[nodiscard]] std::optional<claim_event> answer(const claim_request& request,
                                                    claim_context& context, claim_time at) const;
    [[nodiscard]] claim_event grant(const claim_request& request, claim_context& context,
                                    claim_time at) const;
    [[nodiscard]] bool is_fresh(const claim_request& request) const;
    [[nodiscard]] bool is_orphan(const claim_record& record, const claim_context& context) const;
    [[nodiscard]] bool has_orphans(const claim_context& context) const;
    [[nodiscard]] bool has_work(const claim_context& context, time_point now) const;
    [[nodiscard]] bool needs_read() const;
    [[nodiscard]] write_plan plan_write(claim_context& context, claim_time at);
    void apply(claim_table& table, const claim_key& key, const pending_outcome& pending) const;
    void plan_outcomes(write_plan& next, claim_context& context, time_point now);
    void plan_orphans(write_plan& next, const claim_context& context);
    void plan_claims(write_plan& next, claim_context& context, claim_time at);
    platform_call read(time_point now);
    platform_call write(write_plan next, time_point now);
    void on_read(const in_flight_call& call, const result<platform_reply>& reply,
                 claim_context& context, claim_time at);
    void on_written(in_flight_call call, std::uint64_t version, claim_context& context,
                    claim_time at);
    void on_write_failed(const error& failure, claim_context& context, time_point now);
    void back_off(claim_context& context, std::chrono::milliseconds min_delay, time_point now);

    object_id id_;
    /// Content as last read or written; absent if it has to be read.
    std::optional<claim_table> cached_;
    /// Start of the call that the content is from; it is no older than that.
    time_point cached_since_{};
    std::vector<claim_request> requests_;
    std::map<claim_key, pending_outcome> pending_outcomes_;
    std::optional<in_flight_call> in_flight_;
    /// Expected version of a write whose answer was lost and that may still take effect.
    std::optional<std::uint64_t> uncertain_version_;
    /// Others write this object too, so its content is read before each write.
    bool is_contended_ = false;
    /// The content is from a read that no write has followed.
    bool is_just_read_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t conflicts_ = 0;
    time_point backoff_until_{};
    time_point last_used_{};
};

} // namespace magnolia
