#include "contract_relay.h"

#include "rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia {
namespace {

constexpr std::size_t relays_per_zone = 2;
constexpr std::chrono::milliseconds never{86400000};
constexpr std::chrono::milliseconds difference_period{5000};
constexpr std::chrono::milliseconds status_timeout{4000};
/// Changes that the zone's status shows.
constexpr std::size_t tracked_changes = 32;
/// Time for which a difference from a peer may be a change under way.
constexpr std::chrono::milliseconds settling{3000};
/// Polls without an answer after which relays of other zones are asked too.
constexpr std::size_t attempts_before_other_zones = 2;

} // namespace

contract_relay::contract_relay(std::string self, std::string zone, std::uint64_t seed,
                               relay_options options)
    : self_{std::move(self)}, zone_{std::move(zone)}, options_{options}, random_{seed},
      watch_{seed + 1} {}

void contract_relay::set_members(std::span<const member_info> members, time_point now) {
    std::map<std::string, std::vector<std::string>> zones{{zone_, {self_}}};
    for (const auto& member : members) {
        if (member.state == host_state::live) {
            zones[member.zone].push_back(member.name);
        }
    }
    zone_entries_ = zones[zone_];
    std::erase_if(entry_revisions_, [&](const auto& item) {
        return std::ranges::find(zone_entries_, item.first) == zone_entries_.end();
    });
    relays_ = rendezvous_choose("relay", zone_entries_, relays_per_zone);
    other_relays_.clear();
    for (const auto& [zone, names] : zones) {
        if (zone != zone_) {
            std::ranges::copy(rendezvous_choose("relay", names, relays_per_zone),
                              std::back_inserter(other_relays_));
        }
    }
    is_relay_ = std::ranges::find(relays_, self_) != relays_.end();
    if (is_relay_ && !watch_.is_running()) {
        watch_.start(revision_, now);
        changed_revision_ = std::max(changed_revision_, revision_);
    } else if (!is_relay_ && watch_.is_running()) {
        watch_.stop();
    }
}

void contract_relay::on_message(std::string_view from, const peer_message& message,
                                time_point now) {
    std::visit([&](const auto& value) { on(from, value, now); }, message);
    finish_repair();
}

void contract_relay::on(std::string_view from, const config_poll& message, time_point now) {
    const bool has_same = message.digest == table_.digest();
    if (const auto known = std::ranges::find(zone_entries_, from); known != zone_entries_.end()) {
        auto& in_force = entry_revisions_[*known];
        in_force = std::max(in_force, has_same ? revision_ : message.revision);
    }
    const auto known_age = std::min<duration>(age(now), never);
    send(from, config_answer{message.number, table_.digest(), revision_,
                             std::chrono::ceil<std::chrono::milliseconds>(known_age)});
}

void contract_relay::on(std::string_view from, const config_answer& message, time_point now) {
    if (!sent_poll_ || sent_poll_->number != message.number || sent_poll_->to != from) {
        return;
    }
    const auto sent = std::exchange(sent_poll_, std::nullopt)->sent;
    unanswered_ = 0;
    std::optional<time_point> confirmed;
    if (message.age < never) {
        confirmed = sent - message.age;
    }
    if (message.digest == table_.digest()) {
        confirm(confirmed, message.revision);
        return;
    }
    send(repair_.start({std::string{from}, confirmed, message.revision}, table_, next_number_++,
                       now));
}

void contract_relay::on(std::string_view from, const config_buckets& message, time_point /*now*/) {
    send(from, answer_buckets(message, table_));
}

void contract_relay::on(std::string_view /*from*/, const config_versions& message, time_point now) {
    send(repair_.on(message, table_, now));
}

void contract_relay::on(std::string_view from, const config_fetch& message, time_point /*now*/) {
    send(from, answer_fetch(message, table_));
}

void contract_relay::on(std::string_view /*from*/, const config_contracts& message,
                        time_point now) {
    std::ranges::for_each(message.contracts, [&](const auto& value) { put(value, now); });
    if (message.number != 0) {
        send(repair_.on(message, table_, now));
    }
}

void contract_relay::on_digest_mismatch(std::string_view peer, time_point now) {
    if (now < next_difference_ || (changed_ && now - *changed_ < settling)) {
        return;
    }
    next_difference_ = now + difference_period;
    send(repair_.start({std::string{peer}, std::nullopt, 0}, table_, next_number_++, now));
}

bool contract_relay::put(const contract_version& value, time_point now) {
    const bool is_new = table_.put(value);
    if (is_new) {
        changed_ = now;
        changes_.push_back(value);
    }
    return is_new;
}

void contract_relay::confirm(std::optional<time_point> when, std::uint64_t revision) {
    revision_ = std::max(revision_, revision);
    if (when && (!confirmed_ || *when > *confirmed_)) {
        confirmed_ = when;
    }
}

void contract_relay::finish_repair() {
    if (const auto target = repair_.take_finished()) {
        confirm(target->confirmed, target->revision);
    }
}

void contract_relay::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                              time_point now) {
    if (status_.pending == number) {
        on_status_reply(reply, now);
        return;
    }
    auto news = watch_.on_reply(number, reply, now);
    std::vector<contract_version> fresh;
    for (auto& value : news.contracts) {
        if (put(value, now)) {
            changed_revision_ = std::max(changed_revision_, news.revision);
            fresh.push_back(std::move(value));
        }
    }
    if (news.confirmed) {
        confirm(news.confirmed, news.revision);
        for (const auto& value : fresh) {
            tracked_.push_front({value.value.workspace, value.version, news.revision});
        }
        tracked_.resize(std::min(tracked_.size(), tracked_changes));
        push_changes(std::move(fresh));
    }
}

void contract_relay::push_changes(std::vector<contract_version> changes) {
    for (std::span<const contract_version> rest{changes}; !rest.empty();) {
        const auto batch = rest.first(batch_size(rest));
        rest = rest.subspan(batch.size());
        const config_contracts news{0, {batch.begin(), batch.end()}};
        for (const auto& entry : zone_entries_) {
            if (entry != self_) {
                send(entry, news);
            }
        }
    }
}

void contract_relay::poll(time_point now, std::vector<outgoing_message>& messages,
                          std::vector<numbered_call>& calls) {
    repair_.expire(now);
    if (auto call = watch_.poll(next_call_, now)) {
        ++next_call_;
        calls.push_back(std::move(*call));
    }
    poll_status(now, calls);
    poll_relay(now);
    std::ranges::move(outgoing_, std::back_inserter(messages));
    outgoing_.clear();
}

std::vector<std::string> contract_relay::poll_targets(time_point now) {
    std::vector<std::string> targets;
    std::ranges::copy_if(relays_, std::back_inserter(targets),
                         [&](const auto& name) { return name != self_; });
    const bool asks_others =
        age(now) >= options_.ask_other_zones_after || unanswered_ >= attempts_before_other_zones;
    if (asks_others && !other_relays_.empty()) {
        std::uniform_int_distribution<std::size_t> any{0, other_relays_.size() - 1};
        targets.push_back(other_relays_[any(random_)]);
    }
    return targets;
}

void contract_relay::poll_relay(time_point now) {
    const bool is_late = sent_poll_ && now - sent_poll_->sent >= options_.poll_timeout;
    if (is_late) {
        sent_poll_.reset();
        ++unanswered_;
    }
    if (sent_poll_ || (!is_late && now < next_poll_)) {
        return;
    }
    const auto targets = poll_targets(now);
    next_poll_ = now + options_.poll_period;
    if (targets.empty()) {
        return;
    }
    const auto number = next_number_++;
    sent_poll_ = {number, targets[polls_++ % targets.size()], now};
    send(sent_poll_->to, config_poll{number, table_.digest(), revision_});
}

zone_status contract_relay::make_status() const {
    zone_status status;
    status.zone = zone_;
    status.relay = self_;
    status.revision = changed_revision_;
    status.in_force = changed_revision_;
    status.entries = static_cast<std::uint32_t>(zone_entries_.size());
    for (const auto& entry : zone_entries_) {
        const auto known = entry_revisions_.find(entry);
        auto at = known == entry_revisions_.end() ? std::uint64_t{0} : known->second;
        if (entry == self_) {
            at = revision_;
        }
        status.in_force = std::min(status.in_force, at);
        status.entries_behind += at < changed_revision_ ? 1U : 0U;
    }
    status.rejected = watch_.rejected();
    for (const auto& change : tracked_) {
        status.changes.push_back(
            {change.workspace, change.version, change.revision <= status.in_force});
    }
    return status;
}

void contract_relay::poll_status(time_point now, std::vector<numbered_call>& calls) {
    if (status_.pending && now - status_.sent >= status_timeout) {
        status_.pending.reset();
        status_.is_read = false;
    }
    const bool is_writer = !relays_.empty() && relays_.front() == self_;
    if (!is_writer || status_.pending || now < status_.next) {
        return;
    }
    auto status = make_status();
    const bool is_due = status_.sent + options_.status_refresh <= now;
    if (status_.is_read && status == status_.written && !is_due) {
        return;
    }
    const object_id id{"status", "config/" + zone_};
    const auto number = next_call_++;
    status_.pending = number;
    status_.sent = now;
    status_.next = now + options_.status_period;
    if (!status_.is_read) {
        calls.push_back({number, object_get{id}, call_priority::status});
        return;
    }
    calls.push_back({number, object_put{id, status_.version, nlohmann::json(status).dump()},
                     call_priority::status});
    status_.written = std::move(status);
}

void contract_relay::on_status_reply(const result<platform_reply>& reply, time_point now) {
    status_.pending.reset();
    const auto* object = reply ? std::get_if<stored_object>(&*reply) : nullptr;
    if (!object && !(!reply && reply.error().code == error_code::not_found)) {
        status_.is_read = false;
        status_.next = now + options_.status_period;
        return;
    }
    if (!status_.is_read) {
        status_.written = {};
        status_.next = now;
    }
    status_.is_read = true;
    status_.version = object ? object->version : 0;
}

std::vector<contract_version> contract_relay::take_changes() {
    return std::exchange(changes_, {});
}

duration contract_relay::age(time_point now) const {
    return confirmed_ ? std::max(now - *confirmed_, duration{0}) : duration::max();
}

void contract_relay::send(std::string_view member, peer_message message) {
    outgoing_.push_back({std::string{member}, std::move(message)});
}

void contract_relay::send(std::optional<outgoing_message> message) {
    if (message) {
        outgoing_.push_back(std::move(*message));
    }
}

} // namespace magnolia
