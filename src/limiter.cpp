#include "limiter.h"

#include "token_bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

/// Wait that is told to a caller whose workspace has all its requests under way.
constexpr std::chrono::milliseconds concurrency_retry{200};
/// Wait that is told when a refusal has no end that can be predicted.
constexpr std::chrono::milliseconds longest_retry{60000};

std::chrono::milliseconds retry_after(duration wait) {
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return std::clamp(rounded, std::chrono::milliseconds{1}, longest_retry);
}

/// Hash that looks up a string by its view.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

template <class T>
using by_name = boost::unordered_flat_map<std::string, T, text_hash, std::equal_to<>>;

/// The limits of one contract that the limiter needs.
struct limits {
    std::uint64_t version = 0;
    contract_state state = contract_state::active;
    cut_off_rule cut_off = cut_off_rule::zone_share;
    double request_rate = 0;
    double request_burst = 0;
    double prompt_rate = 0;
    double prompt_burst = 0;
    double generated_rate = 0;
    double generated_burst = 0;
    std::uint32_t concurrency = 0;
    std::uint32_t max_prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
};

limits limits_of(const contract& value, std::uint64_t version) {
    return {version,
            value.state,
            value.cut_off,
            value.requests_per_second,
            value.request_burst,
            value.prompt_tokens_per_second,
            value.prompt_token_burst,
            value.generated_tokens_per_second,
            value.generated_token_burst,
            value.concurrency,
            value.max_prompt_tokens,
            value.max_generated_tokens};
}

/// Share of a workspace with traffic at this entry.
struct local_share {
    token_bucket requests;
    token_bucket prompt;
    token_bucket generated;
    std::uint32_t under_way = 0;
};

} // namespace

class limiter::state {
public:
    explicit state(std::string zone) : zone_{std::move(zone)} {}

    void put_contract(const contract& value, std::uint64_t version, time_point now) {
        auto& known = contracts_[value.workspace];
        if (version < known.version) {
            return;
        }
        known = limits_of(value, version);
        if (const auto share = shares_.find(value.workspace); share != shares_.end()) {
            configure(share->second, known, now);
        }
    }

    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now) {
        std::set<std::string_view> zones{zone_};
        std::size_t in_zone = 0;
        for (const auto& member : members) {
            zones.insert(member.zone);
            in_zone += member.zone == zone_ && member.state == host_state::live ? 1U : 0U;
        }
        fraction_ = 1.0 / static_cast<double>(zones.size() * std::max<std::size_t>(in_zone, 1));
        is_cut_off_ = is_cut_off;
        for (auto& [name, share] : shares_) {
            configure(share, contracts_[name], now);
        }
    }

    limit_decision decide(std::string_view workspace, std::uint32_t prompt_tokens,
                          std::uint32_t generated_tokens, time_point now) {
        const auto known = contracts_.find(workspace);
        if (known == contracts_.end()) {
            return error{error_code::workspace_unknown, std::string{workspace}, {}};
        }
        if (auto refusal = check(known->second, workspace, prompt_tokens, generated_tokens)) {
            return *refusal;
        }
        return take(share_of(workspace, known->second, now), known->second, workspace,
                    prompt_tokens, generated_tokens, now);
    }

    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now) {
        const auto found = shares_.find(ticket.workspace);
        if (found == shares_.end()) {
            return;
        }
        auto& share = found->second;
        share.under_way -= std::min(share.under_way, 1U);
        share.prompt.put(ticket.prompt_tokens - std::min(ticket.prompt_tokens, prompt_tokens), now);
        share.generated.put(
            ticket.generated_tokens - std::min(ticket.generated_tokens, generated_tokens), now);
        changed_.insert(ticket.workspace);
    }

    std::vector<std::string> take_changed() {
        std::vector<std::string> names{changed_.begin(), changed_.end()};
        changed_.clear();
        return names;
    }

private:
    std::optional<error> check(const limits& known, std::string_view workspace,
                               std::uint32_t prompt_tokens, std::uint32_t generated_tokens) const {
        if (known.state == contract_state::retired) {
            return error{error_code::workspace_retired, std::string{workspace}, {}};
        }
        if (prompt_tokens > known.max_prompt_tokens ||
            generated_tokens > known.max_generated_tokens) {
            return error{error_code::too_large, std::string{workspace}, {}};
        }
        if (is_cut_off_ && known.cut_off == cut_off_rule::refuse) {
            return error{error_code::cut_off, std::string{workspace}, longest_retry};
        }
        return std::nullopt;
    }

    double fraction_for(const limits& known) const {
        return is_cut_off_ && known.cut_off == cut_off_rule::full ? 1.0 : fraction_;
    }

    void configure(local_share& share, const limits& known, time_point now) const {
        const auto part = fraction_for(known);
        share.requests.configure(known.request_rate * part, known.request_burst * part, now);
        share.prompt.configure(known.prompt_rate * part, known.prompt_burst * part, now);
        share.generated.configure(known.generated_rate * part, known.generated_burst * part, now);
    }

    local_share& share_of(std::string_view workspace, const limits& known, time_point now) {
        if (const auto found = shares_.find(workspace); found != shares_.end()) {
            return found->second;
        }
        const auto part = fraction_for(known);
        const auto full = [&](double rate, double burst) {
            return token_bucket{rate * part, burst * part, burst * part, now};
        };
        return shares_
            .emplace(std::string{workspace},
                     local_share{full(known.request_rate, known.request_burst),
                                 full(known.prompt_rate, known.prompt_burst),
                                 full(known.generated_rate, known.generated_burst), 0})
            .first->second;
    }

    limit_decision take(local_share& share, const limits& known, std::string_view workspace,
                        std::uint32_t prompt_tokens, std::uint32_t generated_tokens,
                        time_point now) const {
        const auto refuse = [&](error_code code, duration wait) -> limit_decision {
            return error{code, std::string{workspace}, retry_after(wait)};
        };
        const auto slots = static_cast<std::uint32_t>(known.concurrency * fraction_for(known));
        if (share.under_way >= std::max(slots, 1U)) {
            return refuse(error_code::limit_concurrency, concurrency_retry);
        }
        if (const auto wait = share.requests.wait_for(1, now); wait > duration{0}) {
            return refuse(error_code::limit_requests, wait);
        }
        if (const auto wait = share.prompt.wait_for(prompt_tokens, now); wait > duration{0}) {
            return refuse(error_code::limit_prompt_tokens, wait);
        }
        if (const auto wait = share.generated.wait_for(generated_tokens, now); wait > duration{0}) {
            return refuse(error_code::limit_generated_tokens, wait);
        }
        (void)share.requests.take(1, now);
        (void)share.prompt.take(prompt_tokens, now);
        (void)share.generated.take(generated_tokens, now);
        ++share.under_way;
        return limit_ticket{std::string{workspace}, prompt_tokens, generated_tokens};
    }

    std::string zone_;
    double fraction_ = 1;
    bool is_cut_off_ = false;
    by_name<limits> contracts_;
    by_name<local_share> shares_;
    std::set<std::string> changed_;
};

limiter::limiter(std::string /*self*/, std::string zone, std::uint64_t /*boot*/)
    : state_{std::make_unique<state>(std::move(zone))} {}

limiter::~limiter() = default;

void limiter::put_contract(const contract& value, std::uint64_t version, time_point now) {
    state_->put_contract(value, version, now);
}

void limiter::set_members(const std::vector<limit_member>& members, bool is_cut_off,
                          time_point now) {
    state_->set_members(members, is_cut_off, now);
}

limit_decision limiter::decide(std::string_view workspace, std::uint32_t prompt_tokens,
                               std::uint32_t max_generated_tokens, time_point /*since*/,
                               time_point now) {
    return state_->decide(workspace, prompt_tokens, max_generated_tokens, now);
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

void limiter::on_message(std::string_view /*from*/, const peer_message& /*message*/,
                         time_point /*now*/) {}

std::vector<outgoing_message> limiter::poll(time_point /*now*/) {
    return {};
}

std::vector<std::string> limiter::take_changed() {
    return state_->take_changed();
}

} // namespace magnolia
