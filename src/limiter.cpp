#include "limiter.h"

#include "limit_amounts.h"
#include "limit_keeper.h"
#include "limit_share.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace magnolia {
namespace {

/// Longest wait of a request for a larger share.
constexpr std::chrono::milliseconds patience{300};
/// Silence of a keeper after which its standby is asked.
constexpr std::chrono::milliseconds keeper_timeout{100};
/// Time between two demands while the keeper borrows.
constexpr std::chrono::milliseconds borrowing_period{25};
/// Time between two demands of a share in use.
constexpr std::chrono::milliseconds renew_period{1000};
/// The same for a workspace with less than one request a second here.
constexpr std::chrono::milliseconds slow_renew_period{2000};
/// Time without requests after which a share is forgotten.
constexpr std::chrono::seconds idle_time{5};
constexpr std::chrono::seconds forget_period{1};
/// Time without any call from which on this entry counts as paused.
constexpr std::chrono::seconds longest_pause{1};
/// Time constant of the average of demand.
constexpr double demand_seconds = 1.0;
/// Demand that a share is filled for.
constexpr double fill_seconds = 1.0;
/// Wait that is told to a caller whose workspace has all its requests under way.
constexpr std::chrono::milliseconds concurrency_retry{200};
/// Wait that is told when a refusal has no end that can be predicted.
constexpr std::chrono::milliseconds longest_retry{60000};

/// Hash that looks up a string by its view.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

template <class T>
using by_name = boost::unordered_flat_map<std::string, T, text_hash, std::equal_to<>>;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

error_code refusal_of(limit_kind kind) {
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

/// Share of a workspace with traffic at this entry.
struct local_share {
    keeper_pair names;
    limit_source keeper;
    limit_source standby;
    /// Requests that have asked in vain since the last demand.
    std::uint32_t waiting = 0;
    time_point waiting_until{};
    /// Demand per second, averaged.
    limit_amounts demand;
    time_point demand_at{};
    time_point used{};
};

} // namespace

class limiter::state {
public:
    state(std::string self, std::string zone, std::uint64_t boot)
        : view_{std::move(self), std::move(zone)}, keeper_{view_, boot}, boot_{boot} {}

    void put_contract(const contract& value, std::uint64_t version, time_point now) {
        auto& known = contracts_[value.workspace];
        if (version < known.version) {
            return;
        }
        known = limits_of(value, version);
        keeper_.reconfigure(value.workspace, known, now);
    }

    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now) {
        note_time(now);
        view_.set_members(members, is_cut_off, now);
        for (const auto& [name, known] : contracts_) {
            keeper_.reconfigure(name, known, now);
        }
        for (auto& [name, share] : shares_) {
            set_keepers(name, share, now);
        }
    }

    limit_decision decide(std::string_view workspace, std::uint32_t prompt_tokens,
                          std::uint32_t generated_tokens, time_point since, time_point now) {
        note_time(now);
        const auto known = contracts_.find(workspace);
        if (known == contracts_.end()) {
            return error{error_code::workspace_unknown, std::string{workspace}, {}};
        }
        if (auto refusal = check(known->second, workspace, prompt_tokens, generated_tokens)) {
            return *refusal;
        }
        auto& share = share_of(workspace, now);
        const limit_amounts needed{1, static_cast<double>(prompt_tokens),
                                   static_cast<double>(generated_tokens)};
        if (since == now) {
            note_demand(share, needed, now);
        }
        auto slot = try_take(share, needed, now);
        if (!slot && ask_for(share, workspace, needed, since, now)) {
            slot = try_take(share, needed, now);
        }
        if (slot) {
            return limit_ticket{std::string{workspace}, prompt_tokens, generated_tokens,
                                *slot == keeper_role::standby};
        }
        return wait_or_refuse(share, workspace, needed, since, now);
    }

    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now) {
        const auto found = shares_.find(ticket.workspace);
        if (found == shares_.end()) {
            return;
        }
        auto& share = found->second;
        (ticket.has_standby_slot ? share.standby : share.keeper).free_slot();
        share.used = now;
        const auto unused = [](std::uint32_t taken, std::uint32_t used) {
            return static_cast<double>(taken - std::min(taken, used));
        };
        share.keeper.put_back({0, unused(ticket.prompt_tokens, prompt_tokens),
                               unused(ticket.generated_tokens, generated_tokens)},
                              now);
        if (now < share.waiting_until) {
            changed_.insert(ticket.workspace);
        }
    }

    void on_message(std::string_view from, const peer_message& message, time_point now) {
        note_time(now);
        std::visit([&](const auto& value) { on(from, value, now); }, message);
    }

    std::vector<outgoing_message> poll(time_point now) {
        note_time(now);
        for (auto& [name, share] : shares_) {
            poll_share(name, share, now);
        }
        for (auto& name : keeper_.take_loaned()) {
            changed_.insert(std::move(name));
        }
        if (now >= next_forget_) {
            next_forget_ = now + forget_period;
            keeper_.forget_idle(now);
            boost::unordered::erase_if(shares_,
                                       [&](auto& item) { return is_idle(item.second, now); });
        }
        auto messages = keeper_.take_messages();
        std::ranges::move(outgoing_, std::back_inserter(messages));
        outgoing_.clear();
        return messages;
    }

    std::vector<std::string> take_changed() {
        std::vector<std::string> names{changed_.begin(), changed_.end()};
        changed_.clear();
        return names;
    }

    std::size_t active_count() const { return shares_.size() + keeper_.size(); }

private:
    /// After a pause, others may have granted what the pools here still hold.
    void note_time(time_point now) {
        if (active_at_ && now - *active_at_ >= longest_pause) {
            view_.restart(now);
            keeper_.restart(now);
        }
        active_at_ = now;
    }

    std::optional<error> check(const contract_limits& known, std::string_view workspace,
                               std::uint32_t prompt_tokens, std::uint32_t generated_tokens) const {
        if (known.state == contract_state::retired) {
            return error{error_code::workspace_retired, std::string{workspace}, {}};
        }
        if (prompt_tokens > known.max_prompt_tokens ||
            generated_tokens > known.max_generated_tokens) {
            return error{error_code::too_large, std::string{workspace}, {}};
        }
        if (view_.is_cut_off() && known.cut_off == cut_off_rule::refuse) {
            return error{error_code::cut_off, std::string{workspace}, longest_retry};
        }
        return std::nullopt;
    }

    local_share& share_of(std::string_view workspace, time_point now) {
        auto found = shares_.find(workspace);
        if (found == shares_.end()) {
            found = shares_.emplace(std::string{workspace}, local_share{}).first;
            found->second.names = view_.keepers(workspace);
            found->second.demand_at = now;
        }
        found->second.used = now;
        return found->second;
    }

    /// Follows a change of keepers; a new keeper is told at once what is under way.
    void set_keepers(std::string_view workspace, local_share& share, time_point now) {
        const auto before = std::exchange(share.names, view_.keepers(workspace));
        if (before.keeper != share.names.keeper) {
            share.keeper.reset();
            if (share.keeper.under_way() > 0 && !share.names.keeper.empty()) {
                (void)ask(share, workspace, share.names.keeper, share.keeper, {}, now);
            }
        }
        if (before.standby != share.names.standby) {
            share.standby.reset();
        }
    }

    void note_demand(local_share& share, const limit_amounts& needed, time_point now) const {
        decay_demand(share, now);
        share.demand = sum(share.demand, scaled(needed, 1.0 / demand_seconds));
    }

    static void decay_demand(local_share& share, time_point now) {
        const auto passed = seconds(std::max(now - share.demand_at, duration{0}));
        share.demand = scaled(share.demand, std::exp(-passed / demand_seconds));
        share.demand_at = now;
    }

    /// Takes amounts and a slot, each of the keeper or the standby; returns whose slot it is.
    static std::optional<keeper_role> try_take(local_share& share, const limit_amounts& needed,
                                               time_point now) {
        const bool has_standby_slot = share.keeper.under_way() >= share.keeper.slots(now);
        auto& slots = has_standby_slot ? share.standby : share.keeper;
        if (slots.under_way() >= slots.slots(now) ||
            (!share.keeper.take(needed, now) && !share.standby.take(needed, now))) {
            return std::nullopt;
        }
        (void)slots.take_slot(now);
        return has_standby_slot ? keeper_role::standby : keeper_role::keeper;
    }

    /// Asks a keeper unless it has been asked; returns whether an answer came at once.
    bool ask_for(local_share& share, std::string_view workspace, const limit_amounts& needed,
                 time_point since, time_point now) {
        ++share.waiting;
        share.waiting_until = std::max(share.waiting_until, since + patience);
        return ask_keepers(share, workspace, needed, now);
    }

    bool ask_keepers(local_share& share, std::string_view workspace, const limit_amounts& needed,
                     time_point now) {
        if (may_ask(share.keeper, now) && !share.names.keeper.empty()) {
            return ask(share, workspace, share.names.keeper, share.keeper, needed, now);
        }
        const bool is_silent =
            share.keeper.is_waiting() && now - *share.keeper.asked_at() >= keeper_timeout;
        if (is_silent && may_ask(share.standby, now) && !share.names.standby.empty()) {
            return ask(share, workspace, share.names.standby, share.standby, needed, now);
        }
        return false;
    }

    static bool may_ask(const limit_source& source, time_point now) {
        if (!source.asked_at()) {
            return true;
        }
        const auto passed = now - *source.asked_at();
        if (source.is_waiting()) {
            return passed >= 2 * keeper_timeout;
        }
        return !source.last_grant().borrowing || passed >= borrowing_period;
    }

    bool ask(local_share& share, std::string_view workspace, const std::string& name,
             limit_source& source, const limit_amounts& needed, time_point now) {
        decay_demand(share, now);
        const auto extra =
            excess(scaled(share.demand, fill_seconds), sum(source.kept(now), needed));
        const bool is_frequent = share.demand.requests * fill_seconds >= 1;
        const auto headroom = static_cast<std::uint32_t>(share.demand.requests * fill_seconds);
        const auto more_slots = std::max(share.waiting, headroom);
        const auto demand = source.ask(workspace, boot_, excess(needed, source.kept(now)),
                                       is_frequent ? extra : limit_amounts{}, share.demand,
                                       more_slots, ++next_number_, now);
        share.waiting = 0;
        if (name != view_.self()) {
            outgoing_.push_back({name, demand});
            return false;
        }
        const auto grant = keeper_.on_demand(name, demand, contracts_.find(workspace)->second, now);
        return grant && source.on_grant(*grant, now);
    }

    static limit_decision wait_or_refuse(const local_share& share, std::string_view workspace,
                                         const limit_amounts& needed, time_point since,
                                         time_point now) {
        const auto& source = is_answered(share.standby, since) ? share.standby : share.keeper;
        const bool is_final = is_answered(source, since) && !source.last_grant().borrowing &&
                              source.last_grant().lacking != limit_kind::none &&
                              covers(source.answered_need(), needed);
        const auto until = since + patience;
        if (!is_final && now < until) {
            return limit_pending{until};
        }
        const auto& grant = source.last_grant();
        const bool has_no_slot = share.keeper.under_way() >= share.keeper.slots(now);
        const auto kind = grant.lacking == limit_kind::none && has_no_slot ? limit_kind::concurrency
                                                                           : grant.lacking;
        const auto wait = kind == limit_kind::concurrency || grant.retry_after.count() == 0
                              ? concurrency_retry
                              : std::min(grant.retry_after, longest_retry);
        return error{refusal_of(kind), std::string{workspace}, wait};
    }

    /// Whether a demand that was sent no earlier than `since` has been answered.
    static bool is_answered(const limit_source& source, time_point since) {
        return source.answered_demand_at() && *source.answered_demand_at() >= since;
    }

    void poll_share(std::string_view name, local_share& share, time_point now) {
        share.keeper.expire(now);
        share.standby.expire(now);
        if (now < share.waiting_until) {
            const bool is_silent =
                share.keeper.is_waiting() && now - *share.keeper.asked_at() >= keeper_timeout;
            const bool has_borrowed =
                share.keeper.last_grant().borrowing && may_ask(share.keeper, now);
            if (is_silent || has_borrowed) {
                changed_.insert(std::string{name});
            }
        }
        renew(name, share, share.names.keeper, share.keeper, now);
        if (share.standby.has_returns() || share.standby.slots(now) > 0 ||
            share.standby.under_way() > 0) {
            renew(name, share, share.names.standby, share.standby, now);
        }
    }

    void renew(std::string_view name, local_share& share, const std::string& member,
               limit_source& source, time_point now) {
        const bool is_frequent = share.demand.requests * fill_seconds >= 1;
        const auto period = is_frequent ? renew_period : slow_renew_period;
        const bool is_due = !source.asked_at() || now - *source.asked_at() >= period;
        const bool is_used = source.under_way() > 0 || source.has_returns() ||
                             source.slots(now) > 0 || now - share.used < renew_period;
        if (is_due && is_used && !member.empty()) {
            (void)ask(share, name, member, source, {}, now);
        }
    }

    static bool is_idle(const local_share& share, time_point now) {
        return share.keeper.under_way() == 0 && share.standby.under_way() == 0 &&
               now - share.used >= idle_time && !share.keeper.has_returns() &&
               !share.standby.has_returns();
    }

    void on(std::string_view from, const limit_demand& message, time_point now) {
        const auto known = contracts_.find(message.workspace);
        if (known == contracts_.end()) {
            return;
        }
        if (auto grant = keeper_.on_demand(from, message, known->second, now)) {
            outgoing_.push_back({std::string{from}, std::move(*grant)});
        }
    }

    void on(std::string_view from, const limit_grant& message, time_point now) {
        const auto found = shares_.find(message.workspace);
        if (found == shares_.end()) {
            return;
        }
        auto& share = found->second;
        auto& source = from == share.names.keeper ? share.keeper : share.standby;
        const bool has_grown = source.on_grant(message, now);
        // A request that came behind a renewal has not been asked for yet.
        if (has_grown || now < share.waiting_until) {
            changed_.insert(message.workspace);
        }
    }

    void on(std::string_view from, const limit_borrow& message, time_point now) {
        const auto known = contracts_.find(message.workspace);
        if (known == contracts_.end()) {
            return;
        }
        if (auto loan = keeper_.on_borrow(from, message, known->second, now)) {
            outgoing_.push_back({std::string{from}, std::move(*loan)});
        }
    }

    void on(std::string_view from, const limit_loan& message, time_point now) {
        keeper_.on_loan(from, message, now);
    }

    template <class Other>
    void on(std::string_view /*from*/, const Other& /*message*/, time_point /*now*/) {}

    limit_view view_;
    limit_keeper keeper_;
    std::uint64_t boot_;
    std::uint32_t next_number_ = 0;
    by_name<contract_limits> contracts_;
    by_name<local_share> shares_;
    std::set<std::string> changed_;
    std::vector<outgoing_message> outgoing_;
    time_point next_forget_{};
    std::optional<time_point> active_at_;
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
    return fail(error_code::limit_requests, std::string{workspace}, concurrency_retry);
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

std::vector<std::string> limiter::take_changed() {
    return state_->take_changed();
}

std::size_t limiter::active_count() const {
    return state_->active_count();
}

} // namespace magnolia
