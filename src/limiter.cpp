#include "limiter.h"

#include "allocator_client.h"
#include "limit_allocator.h"
#include "limit_amounts.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace magnolia {
namespace {

/// Longest time for which a request is pending.
constexpr std::chrono::milliseconds max_pending_time{300};
/// Time without an answer from the primary after which the standby gets the demand.
constexpr std::chrono::milliseconds allocator_timeout{100};
/// Shortest time between two demands while the allocator is borrowing from other zones.
constexpr std::chrono::milliseconds borrowing_demand_period{25};
/// Time between two demands that renew a quota in use.
constexpr std::chrono::milliseconds renew_period{1000};
/// The same for a workspace with less than one request per second at this entry.
constexpr std::chrono::milliseconds slow_renew_period{2000};
/// Time without requests after which a quota is removed.
constexpr std::chrono::seconds idle_timeout{5};
constexpr std::chrono::seconds eviction_period{1};
/// Time without any call after which the process is taken to have been paused.
constexpr std::chrono::seconds pause_threshold{1};
/// Time constant of the exponential average of demand.
constexpr double demand_time_constant_seconds = 1.0;
/// Seconds of the average demand that a quota is filled for.
constexpr double prefetch_seconds = 1.0;
/// retry_after of a request that is refused because all slots of its workspace are in use.
constexpr std::chrono::milliseconds concurrency_retry_after{200};
/// Upper bound of retry_after, and its value when the end of the refusal cannot be predicted.
constexpr std::chrono::milliseconds max_retry_after{60000};

/// Transparent hash: looks up a std::string key by a std::string_view.
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

template <class T>
using by_name = boost::unordered_flat_map<std::string, T, string_hash, std::equal_to<>>;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

error_code to_error_code(limit_kind kind) {
    switch (kind) {
    case limit_kind::prompt_tokens:
        return error_code::limit_prompt_tokens;
    case limit_kind::generated_tokens:
        return error_code::limit_generated_tokens;
    case limit_kind::concurrency:
        return error_code::limit_concurrency;
    case limit_kind::none:
    case limit_kind::requests:
        break;
    }
    return error_code::limit_requests;
}

/// Quota of a workspace with traffic at this entry.
struct local_quota {
    allocator_pair allocators;
    allocator_client primary;
    allocator_client standby;
    /// Requests since the last demand that the quota did not suffice for.
    std::uint32_t unserved_requests = 0;
    /// Time until which requests may be pending.
    time_point pending_until{};
    /// Exponential average of the demand per second, as of demand_updated_at.
    limit_amounts demand;
    time_point demand_updated_at{};
    time_point last_used{};
};

} // namespace

class limiter::state {
public:
    state(std::string self, std::string zone, std::uint64_t boot)
        : topology_{std::move(self), std::move(zone)}, allocator_{topology_, boot}, boot_{boot} {}

    void put_contract(const contract& value, std::uint64_t version, time_point now) {
        auto& limits = contracts_[value.workspace];
        if (version < limits.version) {
            return;
        }
        limits = to_contract_limits(value, version);
        allocator_.reconfigure(value.workspace, limits, now);
    }

    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now) {
        detect_pause(now);
        topology_.set_members(members, is_cut_off, now);
        for (const auto& [name, limits] : contracts_) {
            allocator_.reconfigure(name, limits, now);
        }
        for (auto& [name, quota] : quotas_) {
            update_allocators(name, quota, now);
        }
    }

    limit_decision decide(std::string_view workspace, std::uint32_t prompt_tokens,
                          std::uint32_t generated_tokens, time_point since, time_point now) {
        detect_pause(now);
        const auto found = contracts_.find(workspace);
        if (found == contracts_.end()) {
            return error{error_code::workspace_unknown, std::string{workspace}, {}};
        }
        if (auto refusal =
                check_contract(found->second, workspace, prompt_tokens, generated_tokens)) {
            return *refusal;
        }
        auto& quota = find_or_create_quota(workspace, now);
        const limit_amounts needed{1, static_cast<double>(prompt_tokens),
                                   static_cast<double>(generated_tokens)};
        if (since == now) {
            record_demand(quota, needed, now);
        }
        auto slot = try_take(quota, needed, now);
        if (!slot && request_quota(quota, workspace, needed, since, now)) {
            slot = try_take(quota, needed, now);
        }
        if (slot) {
            return limit_ticket{std::string{workspace}, prompt_tokens, generated_tokens,
                                *slot == allocator_role::standby};
        }
        return wait_or_refuse(quota, workspace, needed, since, now);
    }

    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now) {
        const auto found = quotas_.find(ticket.workspace);
        if (found == quotas_.end()) {
            return;
        }
        auto& quota = found->second;
        (ticket.has_standby_slot ? quota.standby : quota.primary).release_slot();
        quota.last_used = now;
        const auto unused = [](std::uint32_t taken, std::uint32_t used) {
            return static_cast<double>(taken - std::min(taken, used));
        };
        quota.primary.return_unused({0, unused(ticket.prompt_tokens, prompt_tokens),
                                     unused(ticket.generated_tokens, generated_tokens)},
                                    now);
        if (now < quota.pending_until) {
            due_workspaces_.insert(ticket.workspace);
        }
    }

    void on_message(std::string_view from, const peer_message& message, time_point now) {
        detect_pause(now);
        std::visit([&](const auto& value) { on(from, value, now); }, message);
    }

    std::vector<outgoing_message> poll(time_point now) {
        detect_pause(now);
        for (auto& [name, quota] : quotas_) {
            poll_quota(name, quota, now);
        }
        for (auto& name : allocator_.take_workspaces_with_loans()) {
            due_workspaces_.insert(std::move(name));
        }
        if (now >= next_eviction_) {
            next_eviction_ = now + eviction_period;
            allocator_.evict_idle(now);
            boost::unordered::erase_if(quotas_,
                                       [&](auto& item) { return is_idle(item.second, now); });
        }
        auto messages = allocator_.take_messages();
        std::ranges::move(outgoing_, std::back_inserter(messages));
        outgoing_.clear();
        return messages;
    }

    std::vector<std::string> take_due_workspaces() {
        std::vector<std::string> names{due_workspaces_.begin(), due_workspaces_.end()};
        due_workspaces_.clear();
        return names;
    }

    std::size_t active_count() const { return quotas_.size() + allocator_.size(); }

private:
    /// Resets the allocator after a pause of the process: other entries may have granted the
    /// amounts that its pools still hold.
    void detect_pause(time_point now) {
        if (last_call_at_ && now - *last_call_at_ >= pause_threshold) {
            topology_.reset_after_pause(now);
            allocator_.reset_after_pause(now);
        }
        last_call_at_ = now;
    }

    /// Checks the conditions that do not depend on the quota.
    std::optional<error> check_contract(const contract_limits& limits, std::string_view workspace,
                                        std::uint32_t prompt_tokens,
                                        std::uint32_t generated_tokens) const {
        if (limits.state == contract_state::retired) {
            return error{error_code::workspace_retired, std::string{workspace}, {}};
        }
        if (prompt_tokens > limits.max_prompt_tokens ||
            generated_tokens > limits.max_generated_tokens) {
            return error{error_code::too_large, std::string{workspace}, {}};
        }
        if (topology_.is_cut_off() && limits.cut_off == cut_off_rule::refuse) {
            return error{error_code::cut_off, std::string{workspace}, max_retry_after};
        }
        return std::nullopt;
    }

    /// Returns the quota of a workspace, created if there is none.
    local_quota& find_or_create_quota(std::string_view workspace, time_point now) {
        auto found = quotas_.find(workspace);
        if (found == quotas_.end()) {
            found = quotas_.emplace(std::string{workspace}, local_quota{}).first;
            found->second.allocators = topology_.allocators(workspace);
            found->second.demand_updated_at = now;
        }
        found->second.last_used = now;
        return found->second;
    }

    /// Applies a change of allocators. A new primary gets a demand at once if requests are in
    /// progress, so that it counts their slots.
    void update_allocators(std::string_view workspace, local_quota& quota, time_point now) {
        const auto before = std::exchange(quota.allocators, topology_.allocators(workspace));
        if (before.primary != quota.allocators.primary) {
            quota.primary.reset();
            if (quota.primary.slots_in_use() > 0 && !quota.allocators.primary.empty()) {
                (void)send_demand(quota, workspace, quota.allocators.primary, quota.primary, {},
                                  now);
            }
        }
        if (before.standby != quota.allocators.standby) {
            quota.standby.reset();
        }
    }

    /// Adds a request to the average of demand.
    void record_demand(local_quota& quota, const limit_amounts& needed, time_point now) const {
        decay_demand(quota, now);
        quota.demand = sum(quota.demand, scaled(needed, 1.0 / demand_time_constant_seconds));
    }

    static void decay_demand(local_quota& quota, time_point now) {
        const auto elapsed = seconds(std::max(now - quota.demand_updated_at, duration{0}));
        quota.demand = scaled(quota.demand, std::exp(-elapsed / demand_time_constant_seconds));
        quota.demand_updated_at = now;
    }

    /// Takes the needed amounts and a slot, each from the grants of the primary or of the standby.
    /// Returns the role of the allocator that granted the slot, or nothing if the quota is too
    /// small.
    static std::optional<allocator_role> try_take(local_quota& quota, const limit_amounts& needed,
                                                  time_point now) {
        const bool has_standby_slot = quota.primary.slots_in_use() >= quota.primary.slots(now);
        auto& slot_client = has_standby_slot ? quota.standby : quota.primary;
        if (slot_client.slots_in_use() >= slot_client.slots(now) ||
            (!quota.primary.try_take(needed, now) && !quota.standby.try_take(needed, now))) {
            return std::nullopt;
        }
        (void)slot_client.try_take_slot(now);
        return has_standby_slot ? allocator_role::standby : allocator_role::primary;
    }

    /// Requests more quota unless a demand is already pending. Returns whether a grant was received
    /// at once, which happens if this entry is the allocator.
    bool request_quota(local_quota& quota, std::string_view workspace, const limit_amounts& needed,
                       time_point since, time_point now) {
        ++quota.unserved_requests;
        quota.pending_until = std::max(quota.pending_until, since + max_pending_time);
        return request_from_allocators(quota, workspace, needed, now);
    }

    /// Sends a demand to the primary, or to the standby if the primary does not answer. Returns as
    /// send_demand() does.
    bool request_from_allocators(local_quota& quota, std::string_view workspace,
                                 const limit_amounts& needed, time_point now) {
        if (may_send_demand(quota.primary, now) && !quota.allocators.primary.empty()) {
            return send_demand(quota, workspace, quota.allocators.primary, quota.primary, needed,
                               now);
        }
        const bool has_primary_timed_out =
            quota.primary.is_awaiting_grant() &&
            now - *quota.primary.demand_sent_at() >= allocator_timeout;
        if (has_primary_timed_out && may_send_demand(quota.standby, now) &&
            !quota.allocators.standby.empty()) {
            return send_demand(quota, workspace, quota.allocators.standby, quota.standby, needed,
                               now);
        }
        return false;
    }

    /// Whether a demand may be sent: there was none yet, or the last one has been answered or has
    /// timed out. While the allocator is borrowing, the last one must also be older than
    /// borrowing_demand_period.
    static bool may_send_demand(const allocator_client& client, time_point now) {
        if (!client.demand_sent_at()) {
            return true;
        }
        const auto elapsed = now - *client.demand_sent_at();
        if (client.is_awaiting_grant()) {
            return elapsed >= 2 * allocator_timeout;
        }
        return !client.last_grant().borrowing || elapsed >= borrowing_demand_period;
    }

    /// Sends a demand to the named allocator. If that is this entry, handles it locally and returns
    /// whether a grant was received.
    bool send_demand(local_quota& quota, std::string_view workspace, const std::string& name,
                     allocator_client& client, const limit_amounts& needed, time_point now) {
        decay_demand(quota, now);
        const auto prefetch =
            excess(scaled(quota.demand, prefetch_seconds), sum(client.retained(now), needed));
        const bool is_frequent = quota.demand.requests * prefetch_seconds >= 1;
        const auto headroom = static_cast<std::uint32_t>(quota.demand.requests * prefetch_seconds);
        const auto extra_slots = std::max(quota.unserved_requests, headroom);
        const auto demand =
            client.make_demand(workspace, boot_, excess(needed, client.retained(now)),
                               is_frequent ? prefetch : limit_amounts{}, quota.demand, extra_slots,
                               ++next_number_, now);
        quota.unserved_requests = 0;
        if (name != topology_.self()) {
            outgoing_.push_back({name, demand});
            return false;
        }
        const auto grant =
            allocator_.on_demand(name, demand, contracts_.find(workspace)->second, now);
        return grant && client.on_grant(*grant, now);
    }

    /// Decides on a request that the quota does not suffice for: pending until an allocator has
    /// answered a demand that covers it or its time is up, then refused by the limit that is used
    /// up.
    static limit_decision wait_or_refuse(const local_quota& quota, std::string_view workspace,
                                         const limit_amounts& needed, time_point since,
                                         time_point now) {
        const auto& client = is_answered(quota.standby, since) ? quota.standby : quota.primary;
        const bool is_final = is_answered(client, since) && !client.last_grant().borrowing &&
                              client.last_grant().exhausted != limit_kind::none &&
                              covers(client.answered_need(), needed);
        const auto until = since + max_pending_time;
        if (!is_final && now < until) {
            return limit_pending{until};
        }
        const auto& grant = client.last_grant();
        const bool has_no_slot = quota.primary.slots_in_use() >= quota.primary.slots(now);
        const auto kind = grant.exhausted == limit_kind::none && has_no_slot
                              ? limit_kind::concurrency
                              : grant.exhausted;
        const auto wait = kind == limit_kind::concurrency || grant.retry_after.count() == 0
                              ? concurrency_retry_after
                              : std::min(grant.retry_after, max_retry_after);
        return error{to_error_code(kind), std::string{workspace}, wait};
    }

    /// Whether a demand sent at `since` or later has been answered.
    static bool is_answered(const allocator_client& client, time_point since) {
        return client.answered_demand_sent_at() && *client.answered_demand_sent_at() >= since;
    }

    /// Expires and renews grants, and marks the workspace as due if its pending requests can be
    /// decided again: the demand may go to the standby, or a loan may have arrived at the
    /// allocator.
    void poll_quota(std::string_view name, local_quota& quota, time_point now) {
        quota.primary.expire(now);
        quota.standby.expire(now);
        if (now < quota.pending_until) {
            const bool has_primary_timed_out =
                quota.primary.is_awaiting_grant() &&
                now - *quota.primary.demand_sent_at() >= allocator_timeout;
            const bool has_borrowed =
                quota.primary.last_grant().borrowing && may_send_demand(quota.primary, now);
            if (has_primary_timed_out || has_borrowed) {
                due_workspaces_.insert(std::string{name});
            }
        }
        renew_grant(name, quota, quota.allocators.primary, quota.primary, now);
        if (quota.standby.has_amounts_to_return() || quota.standby.slots(now) > 0 ||
            quota.standby.slots_in_use() > 0) {
            renew_grant(name, quota, quota.allocators.standby, quota.standby, now);
        }
    }

    /// Sends a periodic demand that renews the grants of one allocator and returns unused amounts.
    void renew_grant(std::string_view name, local_quota& quota, const std::string& member,
                     allocator_client& client, time_point now) {
        const bool is_frequent = quota.demand.requests * prefetch_seconds >= 1;
        const auto period = is_frequent ? renew_period : slow_renew_period;
        const bool is_due = !client.demand_sent_at() || now - *client.demand_sent_at() >= period;
        const bool is_used = client.slots_in_use() > 0 || client.has_amounts_to_return() ||
                             client.slots(now) > 0 || now - quota.last_used < renew_period;
        if (is_due && is_used && !member.empty()) {
            (void)send_demand(quota, name, member, client, {}, now);
        }
    }

    /// Whether a quota can be removed: unused for idle_timeout, with nothing in use or to return.
    static bool is_idle(const local_quota& quota, time_point now) {
        return quota.primary.slots_in_use() == 0 && quota.standby.slots_in_use() == 0 &&
               now - quota.last_used >= idle_timeout && !quota.primary.has_amounts_to_return() &&
               !quota.standby.has_amounts_to_return();
    }

    void on(std::string_view from, const limit_demand& message, time_point now) {
        const auto found = contracts_.find(message.workspace);
        if (found == contracts_.end()) {
            return;
        }
        if (auto grant = allocator_.on_demand(from, message, found->second, now)) {
            outgoing_.push_back({std::string{from}, std::move(*grant)});
        }
    }

    void on(std::string_view from, const limit_grant& message, time_point now) {
        const auto found = quotas_.find(message.workspace);
        if (found == quotas_.end()) {
            return;
        }
        auto& quota = found->second;
        auto& client = from == quota.allocators.primary ? quota.primary : quota.standby;
        const bool has_grant = client.on_grant(message, now);
        // A request that arrived after the demand was sent is not part of it: it has to be decided
        // again even if the grant was not accepted.
        if (has_grant || now < quota.pending_until) {
            due_workspaces_.insert(message.workspace);
        }
    }

    void on(std::string_view from, const limit_borrow& message, time_point now) {
        const auto found = contracts_.find(message.workspace);
        if (found == contracts_.end()) {
            return;
        }
        if (auto loan = allocator_.on_borrow(from, message, found->second, now)) {
            outgoing_.push_back({std::string{from}, std::move(*loan)});
        }
    }

    void on(std::string_view from, const limit_loan& message, time_point now) {
        allocator_.on_loan(from, message, now);
    }

    template <class Other>
    void on(std::string_view /*from*/, const Other& /*message*/, time_point /*now*/) {}

    limit_topology topology_;
    limit_allocator allocator_;
    std::uint64_t boot_;
    std::uint32_t next_number_ = 0;
    by_name<contract_limits> contracts_;
    by_name<local_quota> quotas_;
    std::set<std::string> due_workspaces_;
    std::vector<outgoing_message> outgoing_;
    time_point next_eviction_{};
    std::optional<time_point> last_call_at_;
};

limiter::limiter(std::string self, std::string zone, std::uint64_t boot)
    : state_{std::make_unique<state>(std::move(self), std::move(zone), boot)} {}

limiter::~limiter() = default;

void limiter::put_contract(const contract& value, std::uint64_t version, time_point now) {
    state_->put_contract(value, version, now);
}

void limiter::set_members(const std::vector<limit_member>& members, bool is_cut_off,
                          time_point now) {
    state_->set_members(members, is_cut_off, now);
}

limit_decision limiter::decide(std::string_view workspace, std::uint32_t prompt_tokens,
                               std::uint32_t max_generated_tokens, time_point since,
                               time_point now) {
    return state_->decide(workspace, prompt_tokens, max_generated_tokens, since, now);
}

result<limit_ticket> limiter::admit(std::string_view workspace, std::uint32_t prompt_tokens,
                                    std::uint32_t max_generated_tokens, time_point now) {
    auto decision = decide(workspace, prompt_tokens, max_generated_tokens, now, now);
    if (auto* ticket = std::get_if<limit_ticket>(&decision)) {
        return std::move(*ticket);
    }
    if (auto* failure = std::get_if<error>(&decision)) {
        return tl::unexpected{std::move(*failure)};
    }
    return fail(error_code::limit_requests, std::string{workspace}, concurrency_retry_after);
}

void limiter::settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                     std::uint32_t generated_tokens, time_point now) {
    state_->settle(ticket, prompt_tokens, generated_tokens, now);
}

void limiter::on_message(std::string_view from, const peer_message& message, time_point now) {
    state_->on_message(from, message, now);
}

std::vector<outgoing_message> limiter::poll(time_point now) {
    return state_->poll(now);
}

std::vector<std::string> limiter::take_due_workspaces() {
    return state_->take_due_workspaces();
}

std::size_t limiter::active_count() const {
    return state_->active_count();
}

} // namespace magnolia
