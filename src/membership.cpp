#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace magnolia {
namespace {

/// Sends of one piece of news, times the logarithm of the number of members.
constexpr std::size_t send_factor = 4;
/// Encoded bytes of a change beside its texts.
constexpr std::size_t change_overhead_bytes = 24;
/// Members in one part of a list.
constexpr std::size_t list_part = 200;
/// Members asked for a list at once.
constexpr std::size_t list_sources = 3;

/// Order of states within one incarnation; the higher one overrules.
int rank(host_state state) {
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

bool overrules(const member_change& news, const member_change& known) {
    return std::pair{news.incarnation, rank(news.state)} >
           std::pair{known.incarnation, rank(known.state)};
}

std::size_t encoded_bytes(const member_change& change) {
    return change.name.size() + change.zone.size() + change.address.size() + change_overhead_bytes;
}

std::uint64_t hash_of(const member_change& change) {
    const auto name = XXH3_64bits(change.name.data(), change.name.size());
    const std::array<std::uint64_t, 3> parts{name, change.incarnation,
                                             static_cast<std::uint64_t>(rank(change.state))};
    return XXH3_64bits(parts.data(), sizeof(parts));
}

} // namespace

membership::membership(member_change self, std::uint64_t seed, membership_options options)
    : self_{std::move(self)}, self_sends_left_{send_factor}, options_{options}, random_{seed},
      next_number_{static_cast<std::uint32_t>(random_())} {}

void membership::add_known(std::span<const member_change> members, bool keep, time_point now) {
    for (const auto& member : members) {
        if (member.name == self_.name) {
            continue;
        }
        const auto [found, is_new] = members_.try_emplace(member.name);
        found->second.keep = found->second.keep || keep;
        if (is_new) {
            found->second.info = member;
            found->second.info.incarnation = 0;
            found->second.info.state = host_state::suspect;
            found->second.changed = now;
        }
    }
}

void membership::on_message(std::string_view from, const peer_message& message, time_point now) {
    note_heard(from, now);
    std::visit([&](const auto& value) { on(from, value, now); }, message);
}

void membership::on(std::string_view from, const ping_message& message, time_point now) {
    merge_all(message.changes, now);
    compare(from, message.members_hash, message.config, now);
    send(from, ack_message{message.number, self_.name, pick_news(from), members_hash(), config_});
}

void membership::on(std::string_view from, const ack_message& message, time_point now) {
    merge_all(message.changes, now);
    const auto found = probes_.find(message.number);
    if (found == probes_.end() || found->second.target != message.subject) {
        return;
    }
    const auto answered = std::move(found->second);
    probes_.erase(found);
    if (from == message.subject) {
        compare(from, message.members_hash, message.config, now);
    }
    if (!answered.requester.empty()) {
        send(answered.requester,
             ack_message{
                 answered.requester_number, answered.target, pick_news(answered.requester), 0, {}});
    }
}

void membership::on(std::string_view from, const ping_request_message& message, time_point now) {
    if (members_.contains(message.subject)) {
        send_ping(message.subject, now, std::string{from}, message.number);
    }
}

void membership::on(std::string_view from, const member_list_request& message, time_point now) {
    merge_all(message.changes, now);
    std::vector<member_change> all{self_};
    for (const auto& [name, known] : members_) {
        if (known.info.state != host_state::gone && known.info.incarnation > 0) {
            all.push_back(known.info);
        }
    }
    for (std::size_t first = 0; first < all.size(); first += list_part) {
        const auto last = std::min(all.size(), first + list_part);
        const auto begin = all.begin();
        send(from, member_list_message{{begin + static_cast<std::ptrdiff_t>(first),
                                        begin + static_cast<std::ptrdiff_t>(last)}});
    }
}

void membership::on(std::string_view /*from*/, const member_list_message& message, time_point now) {
    has_list_ = true;
    merge_all(message.members, now);
}

void membership::note_heard(std::string_view from, time_point now) {
    const auto known = members_.find(from);
    if (known != members_.end() && known->second.info.zone != self_.zone) {
        other_zone_heard_ = now;
    }
}

void membership::merge_all(std::span<const member_change> news, time_point now) {
    std::ranges::for_each(news, [&](const auto& change) { merge(change, now); });
}

void membership::merge(const member_change& news, time_point now) {
    if (news.name.empty()) {
        return;
    }
    if (news.name == self_.name) {
        refute(news);
        return;
    }
    const auto found = members_.find(news.name);
    if (found == members_.end()) {
        if (news.state != host_state::gone) {
            record fresh;
            fresh.info.state = host_state::gone;
            set_state(members_.emplace(news.name, std::move(fresh)).first->second, news, now);
        }
        return;
    }
    if (overrules(news, found->second.info)) {
        set_state(found->second, news, now);
    }
}

void membership::refute(const member_change& news) {
    if (news.incarnation < self_.incarnation) {
        self_sends_left_ = std::max<std::size_t>(self_sends_left_, 1);
        return;
    }
    if (news.incarnation > self_.incarnation || news.state != self_.state) {
        self_.incarnation = news.incarnation + 1;
        self_sends_left_ = send_limit();
    }
}

void membership::set_state(record& known, const member_change& news, time_point now) {
    const auto before = known.info.state;
    known.info = news;
    known.sends_left = send_limit();
    known.changed = now;
    if (before != news.state) {
        events_.push_back({news, before});
    }
}

void membership::compare(std::string_view from, std::uint64_t hash, const config_digest& config,
                         time_point now) {
    if (config != config_) {
        config_differences_.emplace_back(from);
    }
    const bool has_news =
        std::ranges::any_of(members_, [](const auto& item) { return item.second.sends_left > 0; });
    if (hash != members_hash() && !has_news && now >= next_list_) {
        next_list_ = now + options_.list_period;
        send(from, member_list_request{{self_}});
    }
}

std::vector<outgoing_message> membership::poll(time_point now) {
    if (!started_) {
        started_ = now;
        next_list_ = now;
    }
    ask_for_list(now);
    check_probes(now);
    expire_suspects(now);
    if (now >= next_probe_) {
        next_probe_ = now + options_.period;
        probe_next(now);
    }
    probe_other_zone(now);
    probe_gone(now);
    return std::exchange(outgoing_, {});
}

void membership::ask_for_list(time_point now) {
    if (has_list_ || now < next_list_) {
        return;
    }
    next_list_ = now + options_.period;
    for (const auto& name : pick(list_sources, [](const record&) { return true; })) {
        send(name, member_list_request{{self_}});
    }
}

void membership::check_probes(time_point now) {
    std::vector<std::uint32_t> failed;
    for (auto& [number, each] : probes_) {
        const auto waited = now - each.sent;
        if (waited >= options_.ack_timeout + options_.indirect_timeout) {
            failed.push_back(number);
        } else if (waited >= options_.ack_timeout && !each.is_indirect && each.requester.empty()) {
            each.is_indirect = true;
            ask_others(number, each);
        }
    }
    for (const auto number : failed) {
        const auto silent = std::move(probes_.extract(number).mapped());
        const auto known = members_.find(silent.target);
        if (!silent.requester.empty() || known == members_.end()) {
            continue;
        }
        auto news = known->second.info;
        news.state = news.state == host_state::leaving ? host_state::gone : host_state::suspect;
        merge(news, now);
    }
}

void membership::ask_others(std::uint32_t number, const probe& silent) {
    const auto helpers = pick(options_.indirect_probes, [&](const record& known) {
        return known.info.state == host_state::live && known.info.name != silent.target;
    });
    for (const auto& helper : helpers) {
        send(helper, ping_request_message{number, silent.target});
    }
}

void membership::expire_suspects(time_point now) {
    for (auto& [name, known] : members_) {
        if (known.info.state == host_state::suspect && now - known.changed >= options_.suspicion) {
            auto news = known.info;
            news.state = host_state::gone;
            set_state(known, news, now);
        }
    }
    std::erase_if(members_, [&](const auto& item) {
        return item.second.info.state == host_state::gone && !item.second.keep &&
               now - item.second.changed >= options_.forget_after;
    });
}

void membership::probe_next(time_point now) {
    while (true) {
        if (probe_order_.empty()) {
            for (const auto& [name, known] : members_) {
                if (known.info.state != host_state::gone) {
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
        const auto known = members_.find(target);
        if (known != members_.end() && known->second.info.state != host_state::gone) {
            send_ping(target, now);
            return;
        }
    }
}

void membership::probe_other_zone(time_point now) {
    const bool is_recent = other_zone_heard_ && now - *other_zone_heard_ < options_.period;
    if (is_recent || now < next_zone_probe_) {
        return;
    }
    next_zone_probe_ = now + options_.period / 2;
    for (const auto& name :
         pick(1, [&](const record& known) { return known.info.zone != self_.zone; })) {
        send_ping(name, now);
    }
}

void membership::probe_gone(time_point now) {
    if (now < next_gone_probe_) {
        return;
    }
    next_gone_probe_ = now + options_.gone_period;
    for (const auto& name :
         pick(1, [](const record& known) { return known.info.state == host_state::gone; })) {
        send_ping(name, now);
    }
}

void membership::send_ping(const std::string& target, time_point now, std::string requester,
                           std::uint32_t requester_number) {
    const auto number = next_number_++;
    probes_[number] = {target, now, false, std::move(requester), requester_number};
    send(target, ping_message{number, pick_news(target), members_hash(), config_});
}

void membership::send(std::string_view member, peer_message message) {
    outgoing_.push_back({std::string{member}, std::move(message)});
}

std::vector<member_change> membership::pick_news(std::string_view to) {
    std::vector<member_change> news;
    std::size_t bytes = 0;
    const auto add = [&](const member_change& change) {
        bytes += encoded_bytes(change);
        if (bytes <= options_.max_news_bytes) {
            news.push_back(change);
        }
        return bytes <= options_.max_news_bytes;
    };
    if (self_sends_left_ > 0 && add(self_)) {
        --self_sends_left_;
    }
    const auto receiver = members_.find(to);
    if (receiver != members_.end() && receiver->second.info.state != host_state::live) {
        add(receiver->second.info);
    }
    std::vector<record*> fresh;
    for (auto& [name, known] : members_) {
        if (known.sends_left > 0 && name != to) {
            fresh.push_back(&known);
        }
    }
    std::ranges::stable_sort(fresh, std::greater{}, &record::sends_left);
    for (auto* known : fresh) {
        if (!add(known->info)) {
            break;
        }
        --known->sends_left;
    }
    return news;
}

std::size_t membership::send_limit() const {
    return send_factor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

std::uint64_t membership::members_hash() const {
    auto hash = hash_of(self_);
    for (const auto& [name, known] : members_) {
        if (known.info.state != host_state::gone && known.info.incarnation > 0) {
            hash ^= hash_of(known.info);
        }
    }
    return hash;
}

template <class Predicate>
std::vector<std::string> membership::pick(std::size_t count, Predicate predicate) {
    std::vector<std::string> candidates;
    for (const auto& [name, known] : members_) {
        if (predicate(known)) {
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
    self_sends_left_ = send_limit();
    for (const auto& [name, known] : members_) {
        if (known.info.zone == self_.zone && known.info.state == host_state::live) {
            send(name, member_list_message{{self_}});
        }
    }
}

std::vector<member_change> membership::members() const {
    std::vector<member_change> all;
    all.reserve(members_.size());
    std::ranges::transform(members_, std::back_inserter(all),
                           [](const auto& item) { return item.second.info; });
    return all;
}

host_state membership::state_of(std::string_view name) const {
    if (name == self_.name) {
        return self_.state;
    }
    const auto known = members_.find(name);
    return known == members_.end() ? host_state::gone : known->second.info.state;
}

std::vector<member_event> membership::take_events() {
    return std::exchange(events_, {});
}

std::vector<std::string> membership::take_config_differences() {
    return std::exchange(config_differences_, {});
}

bool membership::is_cut_off(time_point now) const {
    const bool knows_other_zone = std::ranges::any_of(
        members_, [&](const auto& item) { return item.second.info.zone != self_.zone; });
    if (!knows_other_zone || !started_) {
        return false;
    }
    return now - other_zone_heard_.value_or(*started_) >= options_.cut_off_after;
}

} // namespace magnolia
