#include "gateway.h"

#include "forward_call.h"
#include "gateway_metrics.h"
#include "lag_detector.h"
#include "object_watcher.h"
#include "peer_gossip.h"
#include "quarantine_exchange.h"
#include "relay_receiver.h"
#include "watch_schedule.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <ranges>

namespace magnolia {
namespace {

/// Time between two ticks: each sends a digest of the active jobs and checks peers for timeouts.
constexpr milliseconds digest_interval{500};
/// Time between two reads of the list of gateways.
constexpr milliseconds gateway_list_interval{10000};
/// Time between two checks of the settings file. A change applies within the time allowed for a
/// change of the configuration, which is at least 2 s.
constexpr milliseconds settings_check_interval{1000};
/// Kind of the objects under which gateways register their gossip addresses.
constexpr auto gateway_kind = "gateways";

/// Backoff between calls while the platform does not respond: short, as gateways must be up to date
/// within the contact time after an outage.
constexpr milliseconds min_store_backoff{60};
constexpr milliseconds max_store_backoff{500};
/// Age reported while no configuration has arrived: larger than any limit.
constexpr duration unknown_age = std::chrono::hours{24};

/// This gateway's share of the call rates that the platform allows.
constexpr double store_reads_per_s = 30;
constexpr double store_writes_per_s = 5;

/// Entries of backend servers that expired during an outage of the store are registered again
/// within 2 s of its end. Removals are delayed until shortly before that moment, which stays within
/// the time limit for removing backend servers that leave.
constexpr milliseconds removal_hold_after_outage{1800};
/// A copy from which the store was restored may lack backend servers that have registered since;
/// those that live register again within 2 s.
constexpr milliseconds removal_hold_after_restoration{2000};

/// Share of the stop timeout during which new requests are accepted at most.
constexpr double accept_share = 0.4;
/// Share of the stop timeout after which only requests that are certain to end within it are
/// accepted.
constexpr double cautious_share = 0.35;
/// Time before the end of the stop timeout at which remaining requests are aborted.
constexpr milliseconds abort_reserve{350};
/// Time that the load balancer needs to stop sending to a host that is not ready: two failed
/// checks, one second apart.
constexpr milliseconds balancer_removal_time{3200};
constexpr milliseconds stop_poll_interval{50};
/// Time for final responses to be sent before the process ends.
constexpr milliseconds flush_time{150};

/// Time to live of reservations, as a share of the age at which a reservation counts as leaked.
constexpr double reservation_ttl_share = 0.7;

/// At least this many gateways are assumed to share the retry budget, as a gateway that has just
/// started does not have the list of its peers yet.
constexpr std::size_t min_assumed_gateways = 8;
/// Shares of the configured retry ratio and slack that are used; the remainder covers overlapping
/// windows.
constexpr double budget_ratio_share = 0.5;
constexpr double budget_slack_share = 0.4;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

milliseconds fraction_of(milliseconds span, double share) {
    return std::chrono::duration_cast<milliseconds>(span * share);
}

milliseconds seconds_to_ms(double seconds) {
    return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>{seconds});
}

/// A number that rises: version of the configuration, epoch of the store.
struct told_number {
    std::uint64_t value = 0;

    [[nodiscard]] bool is_newer_than(const told_number& other) const { return value > other.value; }
};

/// List of backend servers at a host.
struct told_list {
    store_position last_change{};
    std::uint64_t hash = 0;

    /// The position alone is not sufficient: it increases with every change of an object of any
    /// kind.
    [[nodiscard]] bool is_newer_than(const told_list& other) const {
        return last_change > other.last_change && hash != other.hash;
    }
};

long ms_count(duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
}

platform_budget budget_of(const gateway_settings& settings) {
    platform_budget budget;
    budget.reads_per_second = store_reads_per_s;
    budget.writes_per_second = store_writes_per_s;
    budget.timeout = store_timeout(settings.contact_ms);
    budget.initial_backoff = min_store_backoff;
    budget.max_backoff = max_store_backoff;
    return budget;
}

http_server_limits limits_of(const gateway_settings& settings, const caller_limits& configured) {
    http_server_limits limits;
    limits.max_header_bytes = configured.max_header_bytes;
    limits.max_body_bytes = configured.max_body_bytes;
    limits.max_total_body_bytes = settings.body_memory;
    limits.header_timeout = configured.header_timeout;
    limits.idle_timeout = configured.idle_timeout;
    return limits;
}

} // namespace

/// Implementation of the gateway: connects the store, the other gateways and the server for
/// callers. All members run on the thread of run().
class gateway::state {
public:
    state(process& owner, const gateway_settings& settings, const gateway_codec& codec,
          const store_codec& store);

    result<void> run();

private:
    /// Activates the configuration if it is readable and newer than the active one. Another content
    /// of the same version is newer, as the store reports objects in the order of their writes.
    void apply_config(const stored_object& object);
    /// Applies the limits of requests to both listeners.
    void set_request_limits(const caller_limits& configured);
    /// Requests in progress of callers and of other hosts.
    [[nodiscard]] std::size_t active_requests() const;
    /// The store was restored from a copy: reads everything again, and writes what only this
    /// gateway knows.
    void on_store_restored();
    void apply_backend(const stored_object& object);
    void apply_backend_list(const std::vector<stored_object>& objects);
    /// Time for which removals of backend servers are delayed after an outage of the store.
    [[nodiscard]] duration removal_delay() const;
    /// Stores this gateway's gossip address for the other gateways.
    void register_self();
    void on_registration_failure(const error& failure);
    /// Reads the gossip addresses of the other gateways.
    void fetch_gateway_list();
    /// Adds the addresses of registered gateways to those that gossip is sent to.
    void add_peers(const std::vector<stored_object>& gateways);
    void on_request(http_request request, const http_responder& responder);
    /// Last moment at which the active configuration was confirmed to be the newest; time_point{}
    /// if a peer has told a newer one.
    [[nodiscard]] time_point routes_confirmed_at(time_point now) const;
    [[nodiscard]] http_response readiness_response(const http_request& request) const;
    [[nodiscard]] bool is_ready() const;
    /// Sends the placements and ends of jobs since the previous update to all peers, in one
    /// datagram for all changes of the current turn of the event loop.
    void schedule_update();
    /// Time since the store last confirmed to this gateway that its configuration is the newest.
    [[nodiscard]] duration config_age(time_point now) const;
    /// Sends the active jobs and the versions of configuration and backend list to all peers.
    void send_digest(time_point now);
    void on_placement_update(const placement_update& update);
    void on_peer_message(const peer_message& message, const boost::asio::ip::udp::endpoint& sender);
    /// Sends what a gateway that has just started cannot know.
    void on_peer_discovered(const boost::asio::ip::udp::endpoint& peer);
    /// Lists the objects again if peers have told newer ones for some time.
    void resync_if_behind(time_point now);
    /// Version of the active configuration; 0 if there is none.
    [[nodiscard]] std::uint64_t config_version() const;
    /// Longest wait of the next watch call, with jitter.
    [[nodiscard]] milliseconds next_watch_wait();
    /// Periodic work: registration, peers, settings file, gauges, digest.
    void tick();
    /// Retries per window that this gateway may make regardless of its number of requests.
    [[nodiscard]] double budget_reserve() const;
    [[nodiscard]] retry_budget make_retry_budget() const;
    /// Counts and logs a finished request.
    void on_call_end(const call_summary& summary);
    /// Reloads the settings on SIGHUP.
    void wait_for_hangup();
    [[nodiscard]] milliseconds reservation_ttl() const;
    /// Reloads the settings if the content of the file changed; no signal is needed.
    void check_settings_file(time_point now);
    /// Applies the settings that may change while the process runs. Names, zone, listen addresses
    /// and placement policy need a restart.
    void reload_settings();
    /// Reports not ready and drains; requests are accepted until the load balancer has reacted.
    void begin_stop();
    /// Advances the planned stop; ends the I/O loop when no request remains or the time is over.
    void poll_stop();

    process& owner_;
    gateway_settings settings_;
    const gateway_codec& codec_;
    logger log_{"gateway"};
    boost::asio::io_context io_{1};
    platform_client store_;
    http_client backend_client_;
    backend_fleet fleet_;
    gateway_metrics metrics_;
    reservation_manager reservations_;
    prompt_quarantine quarantine_;
    reach_prober reach_;
    relay_directory relays_;
    liveness_prober prober_;
    peer_gossip gossip_;
    shared_call_state shared_;
    quarantine_exchange quarantine_exchange_;
    http_server caller_server_;
    relay_receiver relay_receiver_;
    http_server readiness_server_;
    object_watcher config_watcher_;
    object_watcher backend_watcher_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer stop_timer_;
    boost::asio::signal_set hangup_signal_;
    bool is_update_scheduled_ = false;
    lag_detector<told_number> epoch_lag_;
    lag_detector<told_number> config_lag_;
    lag_detector<told_list> backends_lag_;
    /// Hash of the active configuration as it is in the store.
    std::uint64_t config_content_ = 0;
    /// Last moment at which the store confirmed the active configuration version to a peer.
    time_point config_confirmed_by_peers_{};
    /// Moment at which the store was found to be restored; time_point{} if it never was.
    time_point store_restored_at_{};
    /// Whether this gateway's address is in the store.
    bool is_registered_ = false;
    time_point next_gateway_list_{};
    time_point next_settings_check_{};
    /// Content of the settings file at the last check.
    std::string settings_text_;
    bool is_stopping_ = false;
    bool was_ready_ = false;
    time_point stop_began_at_{};
};

gateway::state::state(process& owner, const gateway_settings& settings, const gateway_codec& codec,
                      const store_codec& store)
    : owner_{owner}, settings_{settings}, codec_{codec},
      store_{io_, settings.process.platform, budget_of(settings), owner.boot(), &store},
      backend_client_{io_, 0}, fleet_{settings.process.zone, owner.boot(), settings.policy},
      metrics_{owner.metrics()}, reservations_{io_, backend_client_, codec, reservation_ttl()},
      quarantine_{settings.process.name, owner.boot(), settings.quarantine},
      reach_{io_, backend_client_, fleet_, [this] { send_digest(steady_now()); }},
      relays_{settings.process.zone},
      prober_{backend_client_, fleet_, codec,
              [this](const backend_process& backend) {
                  quarantine_.on_connection_refused(backend, steady_now());
                  quarantine_exchange_.schedule_flush();
              }},
      gossip_{io_,
              {[this](const peer_message& message, const auto& sender) {
                   on_peer_message(message, sender);
               },
               [this](std::uint64_t origin) { fleet_.remove_origin(origin); },
               [this](const auto& peer) { on_peer_discovered(peer); }}},
      shared_{.io = io_,
              .codec = codec,
              .client = backend_client_,
              .fleet = fleet_,
              .reservations = reservations_,
              .prober = prober_,
              .quarantine = quarantine_,
              .reach = reach_,
              .relays = relays_,
              .host = settings.process.name,
              .random = std::mt19937_64{owner.boot()},
              .origin = owner.boot(),
              .routes = nullptr,
              .max_confirmation_age = settings.contact_ms,
              .make_retry_budget = [this] { return make_retry_budget(); },
              .retry_budgets = {},
              .retry_detectors = {},
              .answer_times = {},
              .stop = {},
              .on_answer_end = [this](const answer_summary& answer) { metrics_.count(answer); },
              .on_end = [this](const call_summary& summary) { on_call_end(summary); },
              .on_jobs_changed = [this] { schedule_update(); },
              .on_limit_changed =
                  [this](const std::string& backend, std::optional<double> requests_per_s) {
                      log_.info("backend server states another limit backend=" + backend +
                                " requests_per_s=" +
                                (requests_per_s ? std::to_string(*requests_per_s) : "none"));
                      send_digest(steady_now());
                  },
              .on_quarantine_evidence = [this] { quarantine_exchange_.schedule_flush(); }},
      quarantine_exchange_{io_,
                           quarantine_,
                           gossip_,
                           store_,
                           settings.process.name,
                           owner.boot(),
                           [this] { enforce_quarantine(shared_); }},
      caller_server_{io_, limits_of(settings, {}),
                     [this](http_request request, http_responder responder) {
                         on_request(std::move(request), responder);
                     },
                     [this](const error& failure) { return codec_.write_failure({}, failure); }},
      relay_receiver_{shared_, [this](const auto& address) { return gossip_.knows(address); }},
      readiness_server_{io_,
                        {},
                        [this](const http_request& request, const http_responder& responder) {
                            responder.send(readiness_response(request));
                        }},
      config_watcher_{store_,
                      codec.config_object().kind,
                      [this] { return next_watch_wait(); },
                      {[this](const auto& objects) {
                           std::ranges::for_each(objects,
                                                 [this](const auto& item) { apply_config(item); });
                       },
                       [this](const auto& object) { apply_config(object); }}},
      backend_watcher_{store_,
                       codec.backend_kind(),
                       [this] { return next_watch_wait(); },
                       {[this](const auto& objects) { apply_backend_list(objects); },
                        [this](const auto& object) { apply_backend(object); }}},
      tick_timer_{io_}, stop_timer_{io_}, hangup_signal_{io_, SIGHUP} {}

// Objects from the store.

void gateway::state::apply_config(const stored_object& object) {
    if (object.id.name != codec_.config_object().name || object.deleted) {
        return;
    }
    auto config = codec_.read_config(object.value);
    if (!config) {
        return log_.error("configuration not readable, keeps the active version: " +
                          to_string(config.error()));
    }
    const auto content = XXH3_64bits(object.value.data(), object.value.size());
    const bool is_known = config->version == config_version() && content == config_content_;
    if (shared_.routes && (config->version < config_version() || is_known)) {
        return;
    }
    config_content_ = content;
    log_.info("configuration " + std::to_string(config->version) + " active, " +
              std::to_string(config->routes.size()) + " routes, " +
              std::to_string(config->workspaces.size()) + " workspaces, epoch=" +
              std::to_string(store_.epoch()) + " revision=" + std::to_string(object.version));
    set_request_limits(config->limits);
    fleet_.set_services(config->services);
    shared_.routes = std::make_shared<const route_table>(std::move(*config));
    config_confirmed_by_peers_ = {};
}

void gateway::state::set_request_limits(const caller_limits& configured) {
    const auto limits = limits_of(settings_, configured);
    caller_server_.set_limits(limits);
    relay_receiver_.set_limits(limits, settings_.max_relayed);
}

std::size_t gateway::state::active_requests() const {
    return caller_server_.active_requests() + relay_receiver_.active_requests();
}

void gateway::state::on_store_restored() {
    store_restored_at_ = steady_now();
    is_registered_ = false;
    next_gateway_list_ = {};
    config_watcher_.start();
    backend_watcher_.start();
    quarantine_exchange_.on_store_restored();
}

duration gateway::state::removal_delay() const {
    const auto now = steady_now();
    duration delay{0};
    if (backend_watcher_.reconnected_at() != time_point{}) {
        delay = backend_watcher_.reconnected_at() + removal_hold_after_outage - now;
    }
    if (store_restored_at_ != time_point{}) {
        delay = std::max(delay, store_restored_at_ + removal_hold_after_restoration - now);
    }
    return std::max(delay, duration{0});
}

void gateway::state::apply_backend(const stored_object& object) {
    const auto now = steady_now();
    if (object.deleted) {
        log_.info("backend server " + object.id.name + " was removed from the list");
        return fleet_.remove(object.id.name, removal_delay(), now);
    }
    const auto backend = codec_.read_backend(object.id.name, object.value);
    if (!backend) {
        log_.warn("entry of a backend server not readable, it counts as removed: " +
                  to_string(backend.error()));
        return fleet_.remove(object.id.name, removal_delay(), now);
    }
    if (backend->is_leaving) {
        log_.info("backend server " + backend->id + " is leaving");
    }
    fleet_.put(*backend);
}

void gateway::state::apply_backend_list(const std::vector<stored_object>& objects) {
    std::vector<backend_info> backends;
    for (const auto& object : objects) {
        auto backend = codec_.read_backend(object.id.name, object.value);
        if (backend) {
            backends.push_back(std::move(*backend));
        } else {
            log_.warn("entry of a backend server not readable, it counts as removed: " +
                      to_string(backend.error()));
        }
    }
    quarantine_exchange_.start();
    fleet_.replace_all(backends, removal_delay(), steady_now());
    log_.info("list of backend servers replaced, entries: " + std::to_string(backends.size()));
}

// Other gateways.

void gateway::state::register_self() {
    const object_id id{gateway_kind, settings_.process.name};
    store_.execute(object_get{id}, call_priority::status, [this, id](const auto& reply) {
        if (!reply && reply.error().code != error_code::not_found) {
            return on_registration_failure(reply.error());
        }
        const auto value = nlohmann::json(settings_.peer_listen).dump();
        const auto* registered = reply ? &std::get<stored_object>(*reply) : nullptr;
        if (registered != nullptr && registered->value == value) {
            is_registered_ = true;
            return;
        }
        const auto version = registered != nullptr ? registered->version : 0;
        store_.execute(object_put{id, version, value}, call_priority::status,
                       [this](const auto& written) {
                           is_registered_ = written.has_value();
                           if (!written) {
                               on_registration_failure(written.error());
                           }
                       });
    });
}

void gateway::state::on_registration_failure(const error& failure) {
    log_.warn("registration in the store failed, retries at the next tick: " + to_string(failure));
}

void gateway::state::fetch_gateway_list() {
    store_.list_all({.kind = gateway_kind, .after = {}, .limit = 0, .may_be_stale = true},
                    call_priority::status,
                    [this](const result<std::vector<stored_object>>& gateways) {
                        if (!gateways) {
                            return log_.info("list of gateways not read, keeps the known peers: " +
                                             to_string(gateways.error()));
                        }
                        add_peers(*gateways);
                    });
}

void gateway::state::add_peers(const std::vector<stored_object>& gateways) {
    const bool is_first = gossip_.known_peers() == 0;
    for (const auto& object : gateways) {
        endpoint address;
        schema_reader reader{unknown_keys::accept};
        read(nlohmann::json::parse(object.value, nullptr, false), reader, address);
        if (reader.errors().empty()) {
            gossip_.add_peer(address);
        }
    }
    if (is_first) {
        // Peers answer the first digest with a snapshot of their active jobs.
        send_digest(steady_now());
    }
}

void gateway::state::schedule_update() {
    if (std::exchange(is_update_scheduled_, true)) {
        return;
    }
    boost::asio::post(io_, [this] {
        is_update_scheduled_ = false;
        if (const auto update = fleet_.take_update(settings_.process.name, false)) {
            gossip_.send(*update);
        }
    });
}

duration gateway::state::config_age(time_point now) const {
    const bool is_current =
        config_watcher_.has_synced() && config_watcher_.last_change().epoch == store_.epoch();
    return is_current ? now - config_watcher_.confirmed_at() : unknown_age;
}

void gateway::state::send_digest(time_point now) {
    auto update = fleet_.take_update(settings_.process.name, true);
    if (!update) {
        return;
    }
    update->config_version = config_version();
    update->config_age = std::chrono::duration_cast<milliseconds>(config_age(now));
    const auto last_change = backend_watcher_.last_change();
    update->backends_revision = last_change.epoch == store_.epoch() ? last_change.revision : 0;
    update->backends_hash = fleet_.list_hash();
    update->quarantine_hash = quarantine_.hash();
    update->store_epoch = store_.epoch();
    update->zone = settings_.process.zone;
    update->takes_relayed = is_ready() && relay_receiver_.takes_more();
    update->unreachable = reach_.unreachable();
    update->open_requests = static_cast<std::uint32_t>(active_requests());
    update->limits = fleet_.stated_limits(now);
    gossip_.send(*update);
}

void gateway::state::on_peer_message(const peer_message& message,
                                     const boost::asio::ip::udp::endpoint& sender) {
    if (const auto* update = std::get_if<placement_update>(&message)) {
        on_placement_update(*update);
        if (update->is_digest) {
            relays_.on_digest(*update, {sender.address().to_string(), sender.port()}, steady_now());
            fleet_.apply_limits(update->limits, steady_now());
            quarantine_exchange_.on_digest(update->quarantine_hash, sender);
        }
    } else if (const auto* verdicts = std::get_if<quarantine_update>(&message)) {
        quarantine_exchange_.on_update(*verdicts);
    }
}

void gateway::state::on_peer_discovered(const boost::asio::ip::udp::endpoint& peer) {
    for (const auto& update : fleet_.snapshot_updates(settings_.process.name, steady_now())) {
        gossip_.send_to(update, peer);
    }
    quarantine_exchange_.send_snapshot(peer);
}

void gateway::state::on_placement_update(const placement_update& update) {
    const auto now = steady_now();
    fleet_.apply_update(update, now);
    if (!update.is_digest) {
        return;
    }
    epoch_lag_.on_digest({update.store_epoch}, now);
    // Versions are the operator's, so that they are comparable over epochs.
    config_lag_.on_digest({update.config_version}, now);
    if (update.store_epoch >= store_.epoch()) {
        backends_lag_.on_digest(
            {{update.store_epoch, update.backends_revision}, update.backends_hash}, now);
    }
    if (update.store_epoch == store_.epoch() && update.config_version == config_version()) {
        config_confirmed_by_peers_ = std::max(config_confirmed_by_peers_, now - update.config_age);
    }
    resync_if_behind(now);
}

void gateway::state::resync_if_behind(time_point now) {
    const bool is_epoch_old =
        epoch_lag_.needs_resync({store_.epoch()}, config_watcher_.is_disconnected(), now);
    const bool is_config_old =
        config_lag_.needs_resync({config_version()}, config_watcher_.is_disconnected(), now);
    const told_list own_list{backend_watcher_.last_change(), fleet_.list_hash()};
    const bool is_list_old =
        backends_lag_.needs_resync(own_list, backend_watcher_.is_disconnected(), now);
    if (is_epoch_old || is_config_old) {
        log_.info("peers have a newer configuration or epoch of the store than this gateway, lists "
                  "the configuration again");
        config_watcher_.start();
    }
    if (is_epoch_old || is_list_old) {
        log_.info("peers have a newer list of backend servers or epoch of the store than this "
                  "gateway, lists them again");
        backend_watcher_.start();
    }
}

std::uint64_t gateway::state::config_version() const {
    return shared_.routes ? shared_.routes->version() : 0;
}

milliseconds gateway::state::next_watch_wait() {
    return watch_wait(settings_.contact_ms, gossip_.live_peers() + 1, shared_.random);
}

void gateway::state::tick() {
    const auto now = steady_now();
    if (config_watcher_.has_synced() && !is_registered_) {
        register_self();
    }
    if (config_watcher_.has_synced() && now >= next_gateway_list_) {
        next_gateway_list_ =
            now + (gossip_.known_peers() == 0 ? milliseconds{1000} : gateway_list_interval);
        fetch_gateway_list();
    }
    gossip_.expire_silent_peers(now);
    auto hosts = relays_.alive(now);
    hosts.push_back(settings_.process.name);
    std::ranges::sort(hosts);
    fleet_.set_hosts(settings_.process.name, std::move(hosts), now);
    resync_if_behind(now);
    quarantine_exchange_.tick(now);
    check_settings_file(now);
    // Peers that were discovered since the last tick reduce this gateway's share of the reserve.
    for (auto& budget : shared_.retry_budgets | std::views::values) {
        budget.set_reserve(budget_reserve(), now);
    }
    metrics_.set_gauges({.config_version = config_version(),
                         .config_age = config_age(now),
                         .store_epoch = store_.epoch(),
                         .live_backends = fleet_.live_count(),
                         .live_gateways = gossip_.live_peers() + 1,
                         .is_store_reachable = !config_watcher_.is_disconnected() &&
                                               !backend_watcher_.is_disconnected(),
                         .open_requests = active_requests(),
                         .relayed_requests = relay_receiver_.active_requests(),
                         .unreachable_services = reach_.unreachable().size(),
                         .reservations = reservations_.size()});
    send_digest(now);
    if (is_ready() && !was_ready_) {
        was_ready_ = true;
        owner_.set_ready(true);
    }
    tick_timer_.expires_after(digest_interval);
    tick_timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            tick();
        }
    });
}

// Callers.

void gateway::state::on_request(http_request request, const http_responder& responder) {
    shared_.routes_confirmed_at = routes_confirmed_at(steady_now());
    std::make_shared<forward_call>(shared_, std::move(request), responder)->start();
}

time_point gateway::state::routes_confirmed_at(time_point now) const {
    const bool is_outdated = config_lag_.is_behind({config_version()}, now);
    return is_outdated ? time_point{}
                       : std::max(config_watcher_.confirmed_at(), config_confirmed_by_peers_);
}

bool gateway::state::is_ready() const {
    return !is_stopping_ && shared_.routes && backend_watcher_.has_synced() &&
           quarantine_exchange_.is_loaded(steady_now());
}

http_response gateway::state::readiness_response(const http_request& request) const {
    const bool is_known = target_path(request.target) == codec_.readiness_path();
    return {is_known && is_ready() ? status_ok : status_unavailable, {}, {}};
}

double gateway::state::budget_reserve() const {
    const auto gateways = std::max(min_assumed_gateways, gossip_.known_peers() + 1);
    return settings_.retry.slack * budget_slack_share / static_cast<double>(gateways);
}

retry_budget gateway::state::make_retry_budget() const {
    return retry_budget{settings_.retry.ratio * budget_ratio_share, budget_reserve(),
                        seconds_to_ms(settings_.retry.window_s), 1};
}

void gateway::state::on_call_end(const call_summary& summary) {
    metrics_.count(summary);
    std::string backends;
    for (const auto& backend : summary.backends) {
        backends += (backends.empty() ? "" : ",") + backend;
    }
    log_.info(summary.attempt.empty() ? "-" : summary.attempt,
              "end status=" + std::to_string(summary.status) + " route=" + summary.route +
                  " tokens=" + std::to_string(summary.prompt_tokens) +
                  " backends=" + (backends.empty() ? "-" : backends) +
                  " members=" + std::to_string(summary.members) +
                  " ms=" + std::to_string(ms_count(summary.elapsed)) +
                  " first_ms=" + std::to_string(ms_count(summary.first_byte)) +
                  " predicted_ms=" + std::to_string(ms_count(summary.predicted)) +
                  " pause_ms=" + std::to_string(ms_count(summary.longest_pause)) +
                  (summary.backends.empty() ? "" : " " + to_string(summary.answer)) +
                  " config=" + std::to_string(summary.config_version) +
                  " config_age_ms=" + std::to_string(ms_count(config_age(steady_now()))) +
                  (summary.relayed_from.empty() ? "" : " relayed_from=" + summary.relayed_from) +
                  (summary.cause.empty() ? "" : " cause=\"" + summary.cause + "\""));
}

// Start, reload of the settings, stop.

void gateway::state::wait_for_hangup() {
    hangup_signal_.async_wait([this](const auto& failure, int) {
        if (!failure) {
            reload_settings();
            wait_for_hangup();
        }
    });
}

milliseconds gateway::state::reservation_ttl() const {
    return std::min(fraction_of(settings_.late_reservation_ms, reservation_ttl_share),
                    settings_.max_reservation_ms);
}

void gateway::state::check_settings_file(time_point now) {
    if (owner_.settings_file().empty() || now < next_settings_check_) {
        return;
    }
    next_settings_check_ = now + settings_check_interval;
    std::ifstream file{owner_.settings_file()};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    if (!file || text.empty()) {
        return log_.warn("settings file cannot be read or is empty; keeps the current settings");
    }
    if (text == settings_text_) {
        return;
    }
    if (const auto previous = std::exchange(settings_text_, std::move(text)); !previous.empty()) {
        reload_settings();
    }
}

void gateway::state::reload_settings() {
    const auto settings = load_settings<gateway_settings>(owner_.settings_file());
    if (!settings) {
        return log_.error("settings not reloaded, keeps the current ones: " +
                          to_string(settings.error()));
    }
    settings_.retry = settings->retry;
    settings_.quarantine = settings->quarantine;
    quarantine_.set_settings(settings_.quarantine);
    settings_.stop_timeout_s = settings->stop_timeout_s;
    settings_.body_memory = settings->body_memory;
    settings_.contact_ms = settings->contact_ms;
    settings_.late_reservation_ms = settings->late_reservation_ms;
    settings_.max_reservation_ms = settings->max_reservation_ms;
    shared_.max_confirmation_age = settings_.contact_ms;
    reservations_.set_ttl(reservation_ttl());
    if (settings->process.platform != settings_.process.platform) {
        settings_.process.platform = settings->process.platform;
        log_.info("store address changed by the settings; connects to the new address");
        store_.set_address(settings_.process.platform);
    }
    settings_.max_relayed = settings->max_relayed;
    set_request_limits(shared_.routes ? shared_.routes->config().limits : caller_limits{});
    log_.info("settings reloaded");
}

void gateway::state::begin_stop() {
    is_stopping_ = true;
    stop_began_at_ = steady_now();
    log_.info("planned stop begins, " + std::to_string(active_requests()) +
              " requests in progress");
    const auto stop_timeout = seconds_to_ms(settings_.stop_timeout_s);
    shared_.stop =
        stop_times{.cautious_from = stop_began_at_ + fraction_of(stop_timeout, cautious_share),
                   .aborts_at = stop_began_at_ + stop_timeout - abort_reserve};
    caller_server_.begin_drain();
    relay_receiver_.server().begin_drain();
    send_digest(stop_began_at_);
    poll_stop();
}

void gateway::state::poll_stop() {
    const auto elapsed = steady_now() - stop_began_at_;
    const auto stop_timeout = seconds_to_ms(settings_.stop_timeout_s);
    const auto accept_time =
        std::min(balancer_removal_time, fraction_of(stop_timeout, accept_share));
    const bool is_idle = active_requests() == 0;
    const bool is_timed_out = elapsed >= stop_timeout - abort_reserve;
    if (is_timed_out || (elapsed >= accept_time && is_idle)) {
        log_.info("planned stop ends, " + std::to_string(active_requests()) + " requests aborted");
        caller_server_.close();
        relay_receiver_.server().close();
        stop_timer_.expires_after(flush_time);
        stop_timer_.async_wait([this](const auto& /*failure*/) { io_.stop(); });
        return;
    }
    if (elapsed >= accept_time) {
        caller_server_.stop_accepting();
        relay_receiver_.server().stop_accepting();
    }
    stop_timer_.expires_after(stop_poll_interval);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            poll_stop();
        }
    });
}

result<void> gateway::state::run() {
    for (auto& [server, address] : {std::pair{&caller_server_, settings_.listen},
                                    std::pair{&readiness_server_, settings_.readiness}}) {
        if (auto opened = server->listen(address); !opened) {
            return opened;
        }
    }
    if (auto opened = relay_receiver_.listen(settings_.peer_listen); !opened) {
        return opened;
    }
    if (auto opened = gossip_.open(settings_.peer_listen); !opened) {
        return opened;
    }
    store_.on_restored([this] { on_store_restored(); });
    config_watcher_.start();
    backend_watcher_.start();
    wait_for_hangup();
    tick();
    owner_.on_stop([this] { boost::asio::post(io_, [this] { begin_stop(); }); });
    io_.run();
    return {};
}

gateway::gateway(process& owner, const gateway_settings& settings, const gateway_codec& codec,
                 const store_codec& store)
    : state_{std::make_unique<state>(owner, settings, codec, store)} {}

gateway::~gateway() = default;

result<void> gateway::run() {
    return state_->run();
}

} // namespace magnolia
