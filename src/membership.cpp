#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace magnolia {
namespace {

/// Transmissions of one update per binary digit of the number of members.
constexpr std::size_t retransmit_factor = 4;
/// Estimate of the encoded bytes of a member_info beside its strings.
constexpr std::size_t member_overhead_bytes = 24;
/// Members to which a new entry sends its request for the list at once.
constexpr std::size_t list_request_targets = 3;

/// Precedence of states within one incarnation; the higher one overrules.
int state_rank(host_state state) {
    switch (state) {
    case host_state::live:
        return 0;
    case host_state::suspect:
        return 1;
    case host_state::leaving:
        return 2;
    case host_state::gone:
        return 3;
    }
    return 0;
}

/// Whether an update is newer than the current record.
bool overrules(const member_info& update, const member_info& current) {
    return std::pair{update.incarnation, state_rank(update.state)} >
           std::pair{current.incarnation, state_rank(current.state)};
}

std::size_t encoded_bytes(const member_info& info) {
    return info.name.size() + info.zone.size() + info.address.size() + member_overhead_bytes;
}

std::uint64_t hash_member(const member_info& info) {
    const auto name = XXH3_64bits(info.name.data(), info.name.size());
    const std::array<std::uint64_t, 3> parts{name, info.incarnation,
                                             static_cast<std::uint64_t>(state_rank(info.state))};
    return XXH3_64bits(parts.data(), sizeof(parts));
}

} // namespace

membership::membership(member_info self, std::uint64_t seed, membership_options options)
    : self_{std::move(self)}, self_transmissions_left_{retransmit_factor}, options_{options},
      random_{seed}, next_probe_number_{static_cast<std::uint32_t>(random_())} {}

void membership::add_seeds(std::span<const member_info> members, bool is_permanent,
                           time_point now) {
    for (const auto& member : members) {
        if (member.name == self_.name) {
            continue;
        }
        const auto [found, is_new] = members_.try_emplace(member.name);
        found->second.is_permanent = found->second.is_permanent || is_permanent;
        if (is_new) {
            found->second.info = member;
            // Lower than any real incarnation: whatever the member announces overrules it.
            found->second.info.incarnation = 0;
            found->second.info.state = host_state::suspect;
            found->second.updated_at = now;
        }
    }
}

void membership::on_message(std::string_view from, const peer_message& message, time_point now) {
    record_contact(from, now);
    std::visit([&](const auto& value) { on(from, value, now); }, message);
}

void membership::on(std::string_view from, const ping_message& message, time_point now) {
    apply_updates(message.changes, now);
    compare_digests(from, message.members_hash, message.config, now);
    send(from,
         ack_message{message.number, self_.name, pick_updates(from), members_hash(), config_, {}});
}

void membership::on(std::string_view from, const ack_message& message, time_point now) {
    apply_updates(message.changes, now);
    const auto found = pending_probes_.find(message.number);
    if (found == pending_probes_.end() || found->second.target != message.subject) {
        return;
    }
    const auto probe = std::move(found->second);
    pending_probes_.erase(found);
    if (from == message.subject) {
        compare_digests(from, message.members_hash, message.config, now);
    }
    if (!probe.requester.empty()) {
        // Acks on behalf of another member carry no digests.
        send(probe.requester,
             ack_message{
                 probe.requester_number, probe.target, pick_updates(probe.requester), 0, {}, {}});
    }
}

void membership::on(std::string_view from, const ping_request_message& message, time_point now) {
    if (members_.contains(message.subject)) {
        send_ping(message.subject, now, std::string{from}, message.number);
    }
}

void membership::on(std::string_view from, const member_list_request& message, time_point now) {
    apply_updates(message.changes, now);
    std::vector<member_info> list{self_};
    for (const auto& [name, member] : members_) {
        if (member.info.state != host_state::gone && !member.is_unconfirmed()) {
            list.push_back(member.info);
        }
    }
    for (std::size_t first = 0; first < list.size(); first += options_.members_per_list_message) {
        const auto last = std::min(list.size(), first + options_.members_per_list_message);
        const auto begin = list.begin();
        send(from, member_list_message{{begin + static_cast<std::ptrdiff_t>(first),
                                        begin + static_cast<std::ptrdiff_t>(last)},
                                       {}});
    }
}

void membership::on(std::string_view /*from*/, const member_list_message& message, time_point now) {
    has_received_list_ = true;
    apply_updates(message.members, now);
}

void membership::record_contact(std::string_view from, time_point now) {
    const auto member = members_.find(from);
    if (member != members_.end() && member->second.info.zone != self_.zone) {
        other_zone_last_seen_ = now;
    }
}

void membership::apply_updates(std::span<const member_info> updates, time_point now) {
    std::ranges::for_each(updates, [&](const auto& update) { apply_update(update, now); });
}

void membership::apply_update(const member_info& update, time_point now) {
    if (update.name.empty()) {
        return;
    }
    if (update.name == self_.name) {
        refute(update);
        return;
    }
    const auto found = members_.find(update.name);
    if (found == members_.end()) {
        if (update.state != host_state::gone) {
            member_record created;
            // An unknown member counts as gone, so that its first state is an event.
            created.info.state = host_state::gone;
            set_state(members_.emplace(update.name, std::move(created)).first->second, update, now);
        }
        return;
    }
    if (overrules(update, found->second.info)) {
        set_state(found->second, update, now);
    }
}

void membership::refute(const member_info& update) {
    if (update.incarnation < self_.incarnation) {
        // An outdated update: announce the current incarnation once more.
        self_transmissions_left_ = std::max<std::size_t>(self_transmissions_left_, 1);
        return;
    }
    if (update.incarnation > self_.incarnation || update.state != self_.state) {
        self_.incarnation = update.incarnation + 1;
        self_transmissions_left_ = transmission_limit();
    }
}

void membership::set_state(member_record& member, const member_info& update, time_point now) {
    const auto before = member.info.state;
    // Every member probes those of the list by itself.
    const bool is_known_to_all =
        options_.unconfirmed_probes > 0 && member.is_unconfirmed() && before == host_state::suspect;
    member.info = update;
    member.transmissions_left = is_known_to_all ? retransmit_factor : transmission_limit();
    member.updated_at = now;
    if (before != update.state) {
        events_.push_back({update, before});
    }
}

void membership::compare_digests(std::string_view from, std::uint64_t hash,
                                 const config_digest& config, time_point now) {
    if (config != config_) {
        config_differences_.emplace_back(from);
    }
    const bool has_pending_updates = std::ranges::any_of(
        members_, [](const auto& item) { return item.second.transmissions_left > 0; });
    if (hash != members_hash() && !has_pending_updates && now >= next_list_request_) {
        next_list_request_ = now + options_.list_request_period;
        send(from, member_list_request{{self_}, {}});
    }
}

std::vector<outgoing_message> membership::poll(time_point now) {
    if (!first_poll_at_) {
        first_poll_at_ = now;
        next_list_request_ = now;
    }
    request_member_list(now);
    check_probes(now);
    expire_suspects(now);
    if (now >= next_probe_) {
        next_probe_ = now + options_.probe_period;
        probe_next(now);
    }
    probe_other_zone(now);
    probe_gone(now);
    probe_unconfirmed(now);
    return std::exchange(outgoing_, {});
}

void membership::request_member_list(time_point now) {
    if (has_received_list_ || now < next_list_request_) {
        return;
    }
    next_list_request_ = now + options_.probe_period;
    for (const auto& name :
         pick_random(list_request_targets, [](const member_record&) { return true; })) {
        send(name, member_list_request{{self_}, {}});
    }
}

void membership::check_probes(time_point now) {
    std::vector<std::uint32_t> failed;
    for (auto& [number, probe] : pending_probes_) {
        const auto waited = now - probe.sent_at;
        if (waited >= options_.ack_timeout + options_.indirect_timeout) {
            failed.push_back(number);
        } else if (waited >= options_.ack_timeout && !probe.has_indirect_requests &&
                   probe.requester.empty()) {
            probe.has_indirect_requests = true;
            request_indirect_probes(number, probe);
        }
    }
    for (const auto number : failed) {
        const auto unanswered = std::move(pending_probes_.extract(number).mapped());
        const auto member = members_.find(unanswered.target);
        if (!unanswered.requester.empty() || member == members_.end()) {
            continue;
        }
        auto update = member->second.info;
        update.state = update.state == host_state::leaving ? host_state::gone : host_state::suspect;
        apply_update(update, now);
    }
}

void membership::request_indirect_probes(std::uint32_t number, const pending_probe& unanswered) {
    const auto helpers = pick_random(options_.indirect_probes, [&](const member_record& member) {
        return member.info.state == host_state::live && member.info.name != unanswered.target;
    });
    for (const auto& helper : helpers) {
        send(helper, ping_request_message{number, unanswered.target, {}});
    }
}

void membership::expire_suspects(time_point now) {
    for (auto& [name, member] : members_) {
        const bool awaits_probe =
            options_.unconfirmed_probes > 0 && member.is_unconfirmed() && !member.was_probed;
        if (member.info.state == host_state::suspect && !awaits_probe &&
            now - member.updated_at >= options_.suspicion_timeout) {
            auto update = member.info;
            update.state = host_state::gone;
            set_state(member, update, now);
        }
    }
    std::erase_if(members_, [&](const auto& item) {
        return item.second.info.state == host_state::gone && !item.second.is_permanent &&
               now - item.second.updated_at >= options_.gone_retention;
    });
}

void membership::probe_next(time_point now) {
    while (true) {
        if (probe_order_.empty()) {
            for (const auto& [name, member] : members_) {
                if (member.info.state != host_state::gone) {
                    probe_order_.push_back(name);
                }
            }
            std::ranges::shuffle(probe_order_, random_);
        }
        if (probe_order_.empty()) {
            return;
        }
        const auto target = std::move(probe_order_.back());
        probe_order_.pop_back();
        const auto member = members_.find(target);
        if (member != members_.end() && member->second.info.state != host_state::gone) {
            send_ping(target, now);
            return;
        }
    }
}

void membership::probe_other_zone(time_point now) {
    const bool is_recent =
        other_zone_last_seen_ && now - *other_zone_last_seen_ < options_.probe_period;
    if (is_recent || now < next_other_zone_probe_) {
        return;
    }
    next_other_zone_probe_ = now + options_.probe_period / 2;
    for (const auto& name : pick_random(
             1, [&](const member_record& member) { return member.info.zone != self_.zone; })) {
        send_ping(name, now);
    }
}

void membership::probe_gone(time_point now) {
    if (now < next_gone_probe_) {
        return;
    }
    next_gone_probe_ = now + options_.gone_probe_period;
    for (const auto& name : pick_random(1, [](const member_record& member) {
             return member.info.state == host_state::gone;
         })) {
        send_ping(name, now);
    }
}

void membership::probe_unconfirmed(time_point now) {
    for (const auto& name :
         pick_random(options_.unconfirmed_probes, [](const member_record& member) {
             return member.is_unconfirmed() && !member.was_probed &&
                    member.info.state == host_state::suspect;
         })) {
        auto& member = members_.find(name)->second;
        member.was_probed = true;
        member.updated_at = now;
        send_ping(name, now);
    }
}

void membership::send_ping(const std::string& target, time_point now, std::string requester,
                           std::uint32_t requester_number) {
    const auto number = next_probe_number_++;
    pending_probes_[number] = {target, now, false, std::move(requester), requester_number};
    send(target, ping_message{number, pick_updates(target), members_hash(), config_, {}});
}

void membership::send(std::string_view member, peer_message message) {
    outgoing_.push_back({std::string{member}, std::move(message)});
}

std::vector<member_info> membership::pick_updates(std::string_view to) {
    std::vector<member_info> updates;
    std::size_t bytes = 0;
    const auto add = [&](const member_info& info) {
        bytes += encoded_bytes(info);
        if (bytes <= options_.max_piggyback_bytes) {
            updates.push_back(info);
        }
        return bytes <= options_.max_piggyback_bytes;
    };
    if (self_transmissions_left_ > 0 && add(self_)) {
        --self_transmissions_left_;
    }
    const auto receiver = members_.find(to);
    if (receiver != members_.end() && receiver->second.info.state != host_state::live) {
        add(receiver->second.info);
    }
    std::vector<member_record*> candidates;
    for (auto& [name, member] : members_) {
        if (member.transmissions_left > 0 && name != to) {
            candidates.push_back(&member);
        }
    }
    std::ranges::stable_sort(candidates, std::greater{}, &member_record::transmissions_left);
    for (auto* member : candidates) {
        if (!add(member->info)) {
            break;
        }
        --member->transmissions_left;
    }
    return updates;
}

std::size_t membership::transmission_limit() const {
    return retransmit_factor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

std::uint64_t membership::members_hash() const {
    auto hash = hash_member(self_);
    for (const auto& [name, member] : members_) {
        if (member.info.state != host_state::gone && member.info.incarnation > 0) {
            hash ^= hash_member(member.info);
        }
    }
    return hash;
}

template <class Predicate>
std::vector<std::string> membership::pick_random(std::size_t count, Predicate predicate) {
    std::vector<std::string> candidates;
    for (const auto& [name, member] : members_) {
        if (predicate(member)) {
            candidates.push_back(name);
        }
    }
    std::vector<std::string> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count),
                        random_);
    return chosen;
}

void membership::leave() {
    self_.state = host_state::leaving;
    ++self_.incarnation;
    self_transmissions_left_ = transmission_limit();
    for (const auto& [name, member] : members_) {
        if (member.info.zone == self_.zone && member.info.state == host_state::live) {
            send(name, member_list_message{{self_}, {}});
        }
    }
}

std::vector<member_info> membership::members() const {
    std::vector<member_info> list;
    list.reserve(members_.size());
    std::ranges::transform(members_, std::back_inserter(list),
                           [](const auto& item) { return item.second.info; });
    return list;
}

host_state membership::state_of(std::string_view name) const {
    if (name == self_.name) {
        return self_.state;
    }
    const auto member = members_.find(name);
    return member == members_.end() ? host_state::gone : member->second.info.state;
}

std::vector<member_event> membership::take_events() {
    return std::exchange(events_, {});
}

std::vector<std::string> membership::take_config_differences() {
    return std::exchange(config_differences_, {});
}

bool membership::is_cut_off(time_point now) const {
    const bool has_other_zone = std::ranges::any_of(
        members_, [&](const auto& item) { return item.second.info.zone != self_.zone; });
    if (!has_other_zone || !first_poll_at_) {
        return false;
    }
    return now - other_zone_last_seen_.value_or(*first_poll_at_) >= options_.cut_off_after;
}

} // namespace magnolia
