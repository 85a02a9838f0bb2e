#include "contract_relay.h"

#include "rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia {
namespace {

constexpr std::size_t relays_per_zone = 2;
/// Age sent by an entry that no confirmation has reached yet; ages are capped to it.
constexpr std::chrono::milliseconds unknown_age{86400000};
/// Minimum interval between two repairs started by a digest mismatch.
constexpr std::chrono::milliseconds mismatch_repair_interval{5000};
/// Time after which a call for the status object is given up.
constexpr std::chrono::milliseconds status_timeout{4000};
/// Number of recent changes listed in the zone's status.
constexpr std::size_t max_tracked_changes = 32;
/// Time after a change during which a digest mismatch is attributed to the propagation of that
/// change and starts no repair.
constexpr std::chrono::milliseconds propagation_time{3000};
/// Consecutive polls without an answer after which relays of other zones are polled too.
constexpr std::size_t unanswered_polls_before_other_zones = 2;

} // namespace

contract_relay::contract_relay(std::string self, std::string zone, std::uint64_t seed,
                               relay_options options)
    : self_{std::move(self)}, zone_{std::move(zone)}, options_{options}, random_{seed},
      watcher_{seed + 1} {}

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
    zone_relays_ = rendezvous_choose("relay", zone_entries_, relays_per_zone);
    other_zone_relays_.clear();
    for (const auto& [zone, names] : zones) {
        if (zone != zone_) {
            std::ranges::copy(rendezvous_choose("relay", names, relays_per_zone),
                              std::back_inserter(other_zone_relays_));
        }
    }
    is_relay_ = std::ranges::find(zone_relays_, self_) != zone_relays_.end();
    if (is_relay_ && !watcher_.is_running()) {
        watcher_.start(revision_, now);
        changed_revision_ = std::max(changed_revision_, revision_);
    } else if (!is_relay_ && watcher_.is_running()) {
        watcher_.stop();
    }
}

void contract_relay::on_message(std::string_view from, const peer_message& message,
                                time_point now) {
    std::visit([&](const auto& value) { on(from, value, now); }, message);
    finish_repair();
}

void contract_relay::on(std::string_view from, const config_poll& message, time_point now) {
    const bool is_same_digest = message.digest == table_.digest();
    if (const auto entry = std::ranges::find(zone_entries_, from); entry != zone_entries_.end()) {
        auto& in_force = entry_revisions_[*entry];
        // An entry with the same digest has every contract up to this relay's revision, even if it
        // was confirmed for an earlier one only.
        in_force = std::max(in_force, is_same_digest ? revision_ : message.revision);
    }
    const auto capped_age = std::min<duration>(age(now), unknown_age);
    send(from, config_answer{message.number, table_.digest(), revision_,
                             std::chrono::ceil<std::chrono::milliseconds>(capped_age)});
}

void contract_relay::on(std::string_view from, const config_answer& message, time_point now) {
    if (!pending_poll_ || pending_poll_->number != message.number || pending_poll_->to != from) {
        return;
    }
    const auto sent_at = std::exchange(pending_poll_, std::nullopt)->sent_at;
    unanswered_polls_ = 0;
    std::optional<time_point> confirmed_at;
    if (message.age < unknown_age) {
        // The peer measured the age after the poll was sent, so this is a safe estimate.
        confirmed_at = sent_at - message.age;
    }
    if (message.digest == table_.digest()) {
        confirm(confirmed_at, message.revision);
        return;
    }
    send(repair_.start({std::string{from}, confirmed_at, message.revision}, table_,
                       next_message_number_++, now));
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
    // Number 0 is a push of changes by a relay, not the answer to a repair.
    if (message.number != 0) {
        send(repair_.on(message, table_, now));
    }
}

void contract_relay::on_digest_mismatch(std::string_view peer, time_point now) {
    if (now < next_mismatch_repair_ || (changed_at_ && now - *changed_at_ < propagation_time)) {
        return;
    }
    next_mismatch_repair_ = now + mismatch_repair_interval;
    send(repair_.start({std::string{peer}, std::nullopt, 0}, table_, next_message_number_++, now));
}

bool contract_relay::put(const contract_version& value, time_point now) {
    const bool is_new = table_.put(value);
    if (is_new) {
        changed_at_ = now;
        changes_.push_back(value);
    }
    return is_new;
}

void contract_relay::confirm(std::optional<time_point> at, std::uint64_t revision) {
    revision_ = std::max(revision_, revision);
    if (at && (!confirmed_at_ || *at > *confirmed_at_)) {
        confirmed_at_ = at;
    }
}

void contract_relay::finish_repair() {
    if (const auto target = repair_.take_finished()) {
        confirm(target->confirmed_at, target->revision);
    }
}

void contract_relay::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                              time_point now) {
    if (status_.pending_call == number) {
        on_status_reply(reply, now);
        return;
    }
    auto update = watcher_.on_reply(number, reply, now);
    std::vector<contract_version> new_contracts;
    for (auto& value : update.contracts) {
        if (put(value, now)) {
            changed_revision_ = std::max(changed_revision_, update.revision);
            new_contracts.push_back(std::move(value));
        }
    }
    if (update.confirmed_at) {
        confirm(update.confirmed_at, update.revision);
        for (const auto& value : new_contracts) {
            tracked_changes_.push_front({value.value.workspace, value.version, update.revision});
        }
        tracked_changes_.resize(std::min(tracked_changes_.size(), max_tracked_changes));
        push_changes(std::move(new_contracts));
    }
}

void contract_relay::push_changes(std::vector<contract_version> changes) {
    for (std::span<const contract_version> remaining{changes}; !remaining.empty();) {
        const auto batch = remaining.first(batch_size(remaining));
        remaining = remaining.subspan(batch.size());
        const config_contracts update{0, {batch.begin(), batch.end()}};
        for (const auto& entry : zone_entries_) {
            if (entry != self_) {
                send(entry, update);
            }
        }
    }
}

void contract_relay::poll(time_point now, std::vector<outgoing_message>& messages,
                          std::vector<numbered_call>& calls) {
    repair_.expire(now);
    if (auto call = watcher_.poll(next_call_number_, now)) {
        ++next_call_number_;
        calls.push_back(std::move(*call));
    }
    poll_status(now, calls);
    poll_relay(now);
    std::ranges::move(outgoing_, std::back_inserter(messages));
    outgoing_.clear();
}

std::vector<std::string> contract_relay::poll_targets(time_point now) {
    std::vector<std::string> targets;
    std::ranges::copy_if(zone_relays_, std::back_inserter(targets),
                         [&](const auto& name) { return name != self_; });
    const bool includes_other_zones = age(now) >= options_.query_other_zones_after ||
                                      unanswered_polls_ >= unanswered_polls_before_other_zones;
    if (includes_other_zones && !other_zone_relays_.empty()) {
        std::uniform_int_distribution<std::size_t> index{0, other_zone_relays_.size() - 1};
        targets.push_back(other_zone_relays_[index(random_)]);
    }
    return targets;
}

void contract_relay::poll_relay(time_point now) {
    const bool has_timed_out =
        pending_poll_ && now - pending_poll_->sent_at >= options_.poll_timeout;
    if (has_timed_out) {
        pending_poll_.reset();
        ++unanswered_polls_;
    }
    if (pending_poll_ || (!has_timed_out && now < next_poll_)) {
        return;
    }
    const auto targets = poll_targets(now);
    next_poll_ = now + options_.poll_period;
    if (targets.empty()) {
        return;
    }
    const auto number = next_message_number_++;
    pending_poll_ = {number, targets[poll_count_++ % targets.size()], now};
    send(pending_poll_->to, config_poll{number, table_.digest(), revision_});
}

zone_status contract_relay::make_status() const {
    zone_status status;
    status.zone = zone_;
    status.relay = self_;
    status.revision = changed_revision_;
    status.in_force = changed_revision_;
    status.entries = static_cast<std::uint32_t>(zone_entries_.size());
    for (const auto& entry : zone_entries_) {
        const auto found = entry_revisions_.find(entry);
        auto revision = found == entry_revisions_.end() ? std::uint64_t{0} : found->second;
        if (entry == self_) {
            revision = revision_;
        }
        status.in_force = std::min(status.in_force, revision);
        status.entries_behind += revision < changed_revision_ ? 1U : 0U;
    }
    status.rejected = watcher_.rejected();
    for (const auto& change : tracked_changes_) {
        status.changes.push_back(
            {change.workspace, change.version, change.revision <= status.in_force});
    }
    return status;
}

void contract_relay::poll_status(time_point now, std::vector<numbered_call>& calls) {
    if (status_.pending_call && now - status_.sent_at >= status_timeout) {
        status_.pending_call.reset();
        status_.is_loaded = false;
    }
    // One writer per zone: the first of its relays.
    const bool is_writer = !zone_relays_.empty() && zone_relays_.front() == self_;
    if (!is_writer || status_.pending_call || now < status_.next_due) {
        return;
    }
    auto status = make_status();
    const bool is_refresh_due = status_.sent_at + options_.status_refresh <= now;
    if (status_.is_loaded && status == status_.written && !is_refresh_due) {
        return;
    }
    const object_id id{"status", "config/" + zone_};
    const auto number = next_call_number_++;
    status_.pending_call = number;
    status_.sent_at = now;
    status_.next_due = now + options_.status_period;
    if (!status_.is_loaded) {
        calls.push_back({number, object_get{id}, call_priority::status});
        return;
    }
    calls.push_back({number, object_put{id, status_.version, nlohmann::json(status).dump()},
                     call_priority::status});
    status_.written = std::move(status);
}

void contract_relay::on_status_reply(const result<platform_reply>& reply, time_point now) {
    status_.pending_call.reset();
    const auto* object = reply ? std::get_if<stored_object>(&*reply) : nullptr;
    if (!object && !(!reply && reply.error().code == error_code::not_found)) {
        status_.is_loaded = false;
        status_.next_due = now + options_.status_period;
        return;
    }
    if (!status_.is_loaded) {
        status_.written = {};
        status_.next_due = now;
    }
    status_.is_loaded = true;
    status_.version = object ? object->version : 0;
}

std::vector<contract_version> contract_relay::take_changes() {
    return std::exchange(changes_, {});
}

duration contract_relay::age(time_point now) const {
    return confirmed_at_ ? std::max(now - *confirmed_at_, duration{0}) : duration::max();
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
