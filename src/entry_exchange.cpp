#include "entry_exchange.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Interval between reads of the platform's host list, with a jitter of one fifth.
constexpr auto host_list_period = std::chrono::milliseconds{10'000};

/// Call number of host list reads; the relay's numbers begin at 1.
constexpr std::uint64_t host_list_call = 0;

/// Number of members to which a backend server state update is sent per round (gossip fanout).
constexpr std::size_t backend_state_fanout = 4;

} // namespace

entry_exchange::entry_exchange(const member_info& self, std::span<const member_info> seed_members,
                               std::uint64_t seed, time_point now)
    : members_{self, seed}, relay_{self.name, self.zone, seed}, backends_{self.name, {}},
      random_{seed}, next_host_list_{now} {
    members_.add_seeds(seed_members, true, now);
    relay_.set_members(members_.members(), now);
}

void entry_exchange::on_message(std::string_view from, const peer_message& message,
                                time_point now) {
    if (const auto* update = std::get_if<backend_state_message>(&message)) {
        return backends_.apply_update(*update, now);
    }
    members_.on_message(from, message, now);
    relay_.on_message(from, message, now);
}

void entry_exchange::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                              time_point now) {
    if (number != host_list_call) {
        return relay_.on_reply(number, reply, now);
    }
    if (reply) {
        apply_host_page(std::get<host_page>(*reply), now);
    }
}

void entry_exchange::apply_host_page(const host_page& page, time_point now) {
    std::vector<member_info> entries;
    std::vector<listed_backend> backends;
    for (const auto& host : page.hosts) {
        if (host.kind == "entry") {
            entries.push_back({host.name, host.zone, host.address, host.port, 0, host.state});
        } else {
            backends.push_back({host.name, host.state});
        }
    }
    members_.add_seeds(entries, false, now);
    backends_.apply_list(backends);
}

void entry_exchange::on_backend_report(const std::string& name, host_state state, duration age,
                                       time_point now) {
    backends_.on_state_report(name, state, age, now);
}

void entry_exchange::tick(time_point now) {
    members_.set_config_digest(relay_.table().digest());
    for (auto& message : members_.poll(now)) {
        messages_.push_back(std::move(message));
    }
    if (auto events = members_.take_events(); !events.empty()) {
        relay_.set_members(members_.members(), now);
        std::ranges::move(events, std::back_inserter(member_events_));
    }
    for (const auto& peer : members_.take_config_differences()) {
        relay_.on_digest_mismatch(peer, now);
    }
    relay_.poll(now, messages_, calls_);
    for (const auto& update : backends_.poll(now)) {
        gossip(update);
    }
    if (next_host_list_ <= now) {
        const auto period = std::chrono::duration_cast<duration>(host_list_period).count();
        next_host_list_ =
            now + duration{std::uniform_int_distribution{period * 4 / 5, period * 6 / 5}(random_)};
        calls_.push_back({host_list_call, host_list{}, call_priority::status});
    }
}

void entry_exchange::gossip(const backend_state_message& update) {
    const auto is_live = [](const member_info& item) { return item.state == host_state::live; };
    auto recipients = members_.members();
    std::erase_if(recipients, [&](const auto& item) { return !is_live(item); });
    std::ranges::shuffle(recipients, random_);
    for (const auto& member : recipients | std::views::take(backend_state_fanout)) {
        messages_.push_back({member.name, update});
    }
}

bool entry_exchange::is_ready(time_point now) const {
    return relay_.table().size() > 0 || relay_.age(now) != duration::max();
}

exchange_view entry_exchange::view(time_point now) const {
    exchange_view view;
    view.members.push_back({members_.self().name, members_.self().zone, members_.self().state});
    for (const auto& member : members_.members()) {
        view.addresses.push_back(member);
        if (member.state != host_state::gone) {
            view.members.push_back({member.name, member.zone, member.state});
        }
    }
    view.is_cut_off = members_.is_cut_off(now);
    view.is_lapsed = relay_.is_lapsed(now);
    return view;
}

} // namespace magnolia
