/// Third part of the gateway: what the hosts tell each other.
#include "gateway_p.h"
#include "json_text.h"
#include "store_watchers.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Time between two digests of the active jobs.
constexpr milliseconds digest_interval{500};
/// Delay of first events and ends of jobs where hosts are many. What they change matters for the
/// next placement there, about a second later.
constexpr milliseconds late_update_delay{100};
/// Hosts that are sent their first digest at once.
constexpr std::size_t max_greetings = 8;

/// Watchers of other zones that a host asks when those of its own have lost the store.
constexpr std::size_t max_far_relays = 3;

/// Kind of the objects under which gateways register their gossip addresses.
constexpr auto gateway_kind = "gateways";
/// Time between two reads of the list of gateways: while no other one is known, after the first
/// one, as hosts that start together miss each other in it, and later, when it only helps hosts
/// that were cut off from all others.
constexpr milliseconds lonely_list_interval{1000};
constexpr milliseconds second_list_interval{3000};
constexpr milliseconds list_interval{90000};
constexpr double min_list_interval_share = 0.8;
constexpr milliseconds registration_retry_interval{1000};

/// Thousandths of a core.
std::uint32_t capacity_of(const gateway_settings& settings) {
    constexpr double per_core = 1000;
    return static_cast<std::uint32_t>(settings.processor_share * per_core);
}

std::uint64_t wall_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

/// Record of a registered gateway; empty if it is not readable. Older releases registered an
/// address only.
std::optional<member_info> read_registration(const stored_object& object) {
    const auto document = parse_json(object.value);
    schema_reader reader{unknown_keys::accept};
    registered_host host;
    if (document.is_string()) {
        read(document, reader, host.address);
    } else {
        read(document, reader, host);
    }
    if (!reader.errors().empty()) {
        return std::nullopt;
    }
    return member_info{.name = object.id.name,
                       .zone = host.zone,
                       .address = host.address.address,
                       .port = host.address.port,
                       .capacity = host.capacity};
}

} // namespace

// Who is there.

member_info gateway::state::own_record() const {
    return {.name = settings_.process.name,
            .zone = settings_.process.zone,
            .address = settings_.peer_listen.address,
            .port = settings_.peer_listen.port,
            .incarnation = wall_ms(),
            .capacity = capacity_of(settings_)};
}

void gateway::state::register_self() {
    const auto now = steady_now();
    if (is_registered_ || is_registering_ || now < next_registration_) {
        return;
    }
    is_registering_ = true;
    next_registration_ = now + registration_retry_interval;
    const object_id id{gateway_kind, settings_.process.name};
    const auto value = write_json(registered_host{.address = settings_.peer_listen,
                                                  .zone = settings_.process.zone,
                                                  .capacity = capacity_of(settings_)});
    const auto on_written = [this](const result<platform_reply>& written) {
        is_registering_ = false;
        is_registered_ = written.has_value();
        if (!written) {
            on_registration_failure(written.error());
        }
    };
    const auto replace = [this, id, value, on_written](const result<platform_reply>& reply) {
        if (!reply && reply.error().code != error_code::not_found) {
            return on_registration_failure(reply.error());
        }
        const auto* registered = reply ? &std::get<stored_object>(*reply) : nullptr;
        if (registered != nullptr && registered->value == value) {
            is_registering_ = false;
            is_registered_ = true;
            return;
        }
        const auto version = registered != nullptr ? registered->version : 0;
        store_.execute(object_put{id, version, value}, call_priority::status, on_written);
    };
    // Mostly the host is new.
    store_.execute(object_put{id, 0, value}, call_priority::status,
                   [this, id, on_written, replace](const result<platform_reply>& created) {
                       if (!created && created.error().code == error_code::conflict) {
                           return store_.execute(object_get{id}, call_priority::status, replace);
                       }
                       on_written(created);
                   });
}

void gateway::state::on_registration_failure(const error& failure) {
    is_registering_ = false;
    log_.warn("registration in the store failed, retries: " + to_string(failure));
}

void gateway::state::fetch_gateway_list() {
    const auto now = steady_now();
    std::uniform_real_distribution<double> jitter{min_list_interval_share, 1};
    const auto interval = hosts_.known_count() == 0            ? lonely_list_interval
                          : next_gateway_list_ == time_point{} ? second_list_interval
                                                               : list_interval;
    next_gateway_list_ =
        now + std::chrono::duration_cast<duration>(interval * jitter(shared_.random));
    store_.list_all(
        {.kind = gateway_kind, .after = {}, .limit = 0, .may_be_stale = true},
        call_priority::status, [this](const result<std::vector<stored_object>>& gateways) {
            if (gateways) {
                add_hosts(*gateways);
            } else {
                log_.info("list of gateways not read, keeps the known hosts: " +
                          to_string(gateways.error()));
            }
            const bool is_time_over = steady_now() - started_at_ >= settings_.discovery_ms;
            if (!gateways || hosts_.known_count() > 0 || is_time_over) {
                start_watching();
            }
        });
}

void gateway::state::start_watching() {
    if (!std::exchange(is_watching_, true)) {
        watching_since_ = steady_now();
        config_watcher_.start();
        backend_watcher_.start();
        if (watches_evacuations()) {
            evacuation_watcher_.start();
        }
    }
}

void gateway::state::update_relays() {
    const auto& hosts = hosts_.alive();
    const auto& self = settings_.process.name;
    if (!fleet_.topology().is_divided()) {
        watch_role_ = watch_role::single;
        return reader_.set_relays({}, {}, hosts.size());
    }
    const auto to_relays = [&](std::vector<std::string> names) {
        std::vector<store_reader::relay> relays;
        for (const auto& host : watchers_by_preference(std::move(names), self)) {
            if (const auto address = gossip_.address_of(host)) {
                relays.push_back({host, *address});
            }
        }
        return relays;
    };
    const auto watchers = store_watchers(hosts, settings_.process.zone);
    const auto own = std::ranges::find(watchers, self);
    watch_role_ = watchers.empty() || own == watchers.begin() ? watch_role::first_watcher
                  : own != watchers.end()                     ? watch_role::further_watcher
                                                              : watch_role::reader;
    if (watch_role_ != watch_role::reader) {
        return reader_.set_relays({}, {}, hosts.size());
    }
    const auto near = to_relays(watchers);
    if (!is_watching_ && !near.empty()) {
        // They close connections from addresses that they do not know.
        send_membership(hosts_.greet(watchers, steady_now()));
    }
    auto far = to_relays(foreign_watchers(hosts, settings_.process.zone));
    far.resize(std::min(far.size(), max_far_relays));
    reader_.set_relays(near, far, hosts.size());
}

void gateway::state::add_hosts(const std::vector<stored_object>& gateways) {
    const auto now = steady_now();
    const bool is_first = hosts_.known_count() == 0;
    std::vector<member_info> listed;
    for (const auto& object : gateways) {
        if (auto host = read_registration(object)) {
            gossip_.add_address(host->name, {host->address, host->port});
            listed.push_back(std::move(*host));
        }
    }
    hosts_.add_listed(listed, now);
    if (is_first && hosts_.known_count() > 0) {
        // Hosts answer the first digest of a process with a snapshot of their active jobs.
        on_hosts_changed(now);
        send_membership(hosts_.poll(now));
        send_digest(now);
    }
}

void gateway::state::send_membership(const std::vector<outgoing_message>& messages) {
    for (const auto& [member, message] : messages) {
        gossip_.send(message, std::span{&member, 1});
    }
}

void gateway::state::on_hosts_changed(time_point now) {
    if (hosts_.revision() == hosts_revision_) {
        return;
    }
    hosts_revision_ = hosts_.revision();
    std::vector<located_name> hosts;
    for (const auto& host : hosts_.alive()) {
        gossip_.add_address(host.name, {host.address, host.port});
        hosts.push_back({host.name, host.zone});
    }
    std::erase_if(greeted_, [this](const auto& host) { return !hosts_.is_alive(host); });
    fleet_.set_hosts(settings_.process.name, std::move(hosts), now);
    update_relays();
}

void gateway::state::drop_lost_processes(time_point now) {
    std::set<std::string, std::less<>> digest_senders;
    std::ranges::copy(fleet_.topology().hosts_of(fleet_.topology().own_cell()),
                      std::inserter(digest_senders, digest_senders.end()));
    for (const auto origin : hosts_.take_lost(digest_senders, now)) {
        log_.info("gateway process ended or is silent, its placements are dropped origin=" +
                  std::to_string(origin));
        fleet_.remove_origin(origin);
    }
}

// What it tells.

void gateway::state::schedule_update() {
    if (fleet_.topology().is_divided() && !fleet_.has_untold_placements()) {
        if (!std::exchange(is_late_update_scheduled_, true)) {
            update_timer_.expires_after(late_update_delay);
            update_timer_.async_wait([this](const auto& failure) {
                is_late_update_scheduled_ = false;
                if (!failure) {
                    send_updates();
                }
            });
        }
        return;
    }
    if (!std::exchange(is_update_scheduled_, true)) {
        boost::asio::post(io_, [this] {
            is_update_scheduled_ = false;
            send_updates();
        });
    }
}

void gateway::state::send_updates() {
    for (auto& [audience, update] : fleet_.take_updates()) {
        gossip_.send(std::move(update), fleet_.topology().hosts_of(audience));
    }
}

void gateway::state::send_digest(time_point now) {
    next_digest_ = now + digest_interval;
    auto digest = fleet_.take_digest();
    send_updates();
    digest.config_version = config_version();
    digest.config_age = std::chrono::duration_cast<milliseconds>(config_age(now));
    const auto last_change = backend_watcher_.last_change();
    digest.backends_revision = last_change.epoch == store_.epoch() ? last_change.revision : 0;
    digest.backends_hash = fleet_.list_hash();
    digest.quarantine_hash = quarantine_.hash();
    digest.store_epoch = store_.epoch();
    digest.zone = settings_.process.zone;
    digest.takes_relayed = is_ready() && relay_receiver_.takes_more();
    digest.unreachable = reach_.unreachable();
    digest.open_requests = static_cast<std::uint32_t>(active_requests());
    digest.limits = fleet_.take_limits_to_tell(now);
    if (fleet_.evacuation().is_known()) {
        digest.evacuations.push_back(fleet_.evacuation().state());
    }
    gossip_.send(digest, fleet_.topology().hosts_of(fleet_.topology().own_cell()));
    if (const auto far = far_digest_targets(); !far.empty()) {
        // They are told of placements where those concern them.
        digest.placed.clear();
        digest.answer_started.clear();
        gossip_.send(std::move(digest), far);
    }
}

std::vector<std::string> gateway::state::far_digest_targets() {
    const auto& topology = fleet_.topology();
    const auto own_cell = topology.own_cell();
    std::set<std::string> targets;
    // A host that has passed a request on notices by the digests that this one is alive.
    for (const auto& call : shared_.calls) {
        if (!call.relayed_from().empty() && !topology.contains(own_cell, call.relayed_from())) {
            targets.emplace(call.relayed_from());
        }
    }
    std::ranges::copy(topology.draw_far_hosts(shared_.random),
                      std::inserter(targets, targets.end()));
    std::size_t greetings = 0;
    for (const auto& host : topology.domain_hosts_outside_cell()) {
        if (greetings < max_greetings && greeted_.insert(host).second) {
            targets.insert(host);
            ++greetings;
        }
    }
    return {targets.begin(), targets.end()};
}

// What it is told.

void gateway::state::on_peer_message(const std::string& sender, const peer_message& message) {
    const auto now = steady_now();
    if (const auto* update = std::get_if<placement_update>(&message)) {
        if (hosts_.on_process(sender, update->origin, now)) {
            log_.debug("gateway discovered or restarted, sends it a snapshot of the active jobs: " +
                       sender);
            drop_lost_processes(now);
            on_peer_discovered(sender);
        }
        fleet_.apply_update(*update, now);
        if (update->is_digest) {
            on_digest(sender, *update);
        }
    } else if (const auto* verdicts = std::get_if<quarantine_update>(&message)) {
        quarantine_exchange_.on_update(*verdicts);
    } else {
        send_membership(hosts_.on_message(sender, message, now));
        on_hosts_changed(now);
    }
}

void gateway::state::on_peer_discovered(const std::string& peer) {
    for (auto& update : fleet_.snapshot_updates(peer, steady_now())) {
        gossip_.send(std::move(update), std::span{&peer, 1});
    }
    quarantine_exchange_.send_snapshot(peer);
}

void gateway::state::on_digest(const std::string& sender, const placement_update& digest) {
    const auto now = steady_now();
    if (const auto address = gossip_.address_of(sender)) {
        relays_.on_digest(digest, *address, now);
    }
    fleet_.apply_limits(digest.limits, now);
    quarantine_exchange_.on_digest(digest.quarantine_hash, sender);
    epoch_lag_.on_digest({digest.store_epoch}, now, sender);
    // Versions are the operator's, so that they are comparable over epochs.
    config_lag_.on_digest({digest.config_version}, now, sender);
    on_evacuations_told(digest.evacuations, sender, now);
    if (digest.store_epoch >= store_.epoch()) {
        backends_lag_.on_digest(
            {{digest.store_epoch, digest.backends_revision}, digest.backends_hash}, now, sender);
    }
    if (digest.store_epoch == store_.epoch() && digest.config_version == config_version()) {
        config_confirmed_by_peers_ = std::max(config_confirmed_by_peers_, now - digest.config_age);
    }
    resync_if_behind(now);
}

} // namespace magnolia
