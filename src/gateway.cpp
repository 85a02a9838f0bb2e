#include "gateway_p.h"
#include "port_wait.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <sys/sysinfo.h>
#include <xxhash.h>

#include <array>
#include <ranges>

namespace magnolia {
namespace {

/// Time between two ticks. The timeouts of the membership are multiples of it.
constexpr milliseconds tick_interval{250};

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

/// At least this many gateways are assumed to share the retry budget, as a gateway that has just
/// started does not have the list of its peers yet.
constexpr std::size_t min_assumed_gateways = 8;
/// Shares of the configured retry ratio and slack that are used; the remainder covers overlapping
/// windows.
constexpr double budget_ratio_share = 0.5;
constexpr double budget_slack_share = 0.4;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

/// Memory of this host, in bytes; 0 if it is not known.
std::uint64_t host_memory() {
    struct sysinfo info {};
    return ::sysinfo(&info) == 0 ? std::uint64_t{info.totalram} * info.mem_unit : 0;
}

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

gateway::state::state(process& owner, const gateway_settings& settings, const gateway_codec& codec,
                      const store_codec& store)
    : owner_{owner}, settings_{settings}, codec_{codec},
      store_{io_, settings.process.platform, budget_of(settings), owner.boot(), &store},
      reader_{io_, store_, owner.boot(), store_timeout(settings.contact_ms)},
      backend_client_{io_, 0}, fleet_{settings.process.zone, owner.boot(), settings.policy},
      metrics_{owner.metrics()}, reservations_{io_, backend_client_, codec, reservation_ttl()},
      quarantine_{settings.process.name, owner.boot(), settings.quarantine},
      reach_{io_, backend_client_, fleet_, owner.boot(), [this] { send_digest(steady_now()); }},
      relays_{settings.process.zone},
      prober_{backend_client_, fleet_, codec,
              [this](const backend_process& backend) {
                  quarantine_.on_connection_refused(backend, steady_now());
                  quarantine_exchange_.schedule_flush();
              }},
      hosts_{own_record(), owner.boot()},
      gossip_{io_, settings.process.name,
              [this](const std::string& sender, const peer_message& message) {
                  on_peer_message(sender, message);
              }},
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
                      log_limit_divisions();
                      send_digest(steady_now());
                  },
              .on_quarantine_evidence = [this] { quarantine_exchange_.schedule_flush(); }},
      quarantine_exchange_{
          io_,    quarantine_,           gossip_,      hosts_,
          store_, settings.process.name, owner.boot(), [this] { enforce_quarantine(shared_); }},
      caller_server_{io_, limits_of(settings, {}),
                     [this](http_request request, http_responder responder) {
                         on_request(std::move(request), responder);
                     },
                     [this](const error& failure) { return codec_.write_failure({}, failure); }},
      relay_receiver_{shared_, object_relay_,
                      [this](const auto& address) { return gossip_.knows(address); }},
      readiness_server_{io_,
                        {},
                        [this](const http_request& request, const http_responder& responder) {
                            responder.send(readiness_response(request));
                        }},
      config_watcher_{reader_,
                      codec.config_object().kind,
                      [this] { return next_watch_wait(); },
                      {[this](const auto& objects) {
                           std::ranges::for_each(objects,
                                                 [this](const auto& item) { apply_config(item); });
                       },
                       [this](const auto& object) { apply_config(object); },
                       [this] { object_relay_.on_advance(); }}},
      backend_watcher_{reader_,
                       codec.backend_kind(),
                       [this] { return next_watch_wait(); },
                       {[this](const auto& objects) { apply_backend_list(objects); },
                        [this](const auto& object) { apply_backend(object); },
                        [this] { object_relay_.on_advance(); }}},
      evacuation_watcher_{reader_,
                          codec.evacuation_kind(),
                          [this] { return next_watch_wait(); },
                          {[](const auto& /*objects*/) {}, [](const auto& /*object*/) {},
                           [this] {
                               apply_evacuations();
                               object_relay_.on_advance();
                           }}},
      tick_timer_{io_}, update_timer_{io_}, stop_timer_{io_} {
    reader_.set_max_age(settings.contact_ms);
    reader_.set_probe(codec.config_object());
    shared_.is_state_known = [this] { return is_state_known(steady_now()); };
    shared_.servers = {&caller_server_, &relay_receiver_.server()};
    shared_.max_answer_bytes = answer_memory_limit(host_memory());
    object_relay_.add(config_watcher_, [this] {
        return std::max(config_watcher_.confirmed_at(), config_confirmed_by_peers_);
    });
    object_relay_.add(backend_watcher_, [this] { return backend_watcher_.confirmed_at(); });
    if (watches_evacuations()) {
        object_relay_.add(evacuation_watcher_,
                          [this] { return evacuation_watcher_.confirmed_at(); });
        fleet_.evacuation().set_hold(settings.evacuation_ms);
    }
}

gateway::state::~state() {
    owner_.on_reload({});
    owner_.on_stop({});
}

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
    forget_removed_routes(shared_);
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
    next_registration_ = {};
    next_gateway_list_ = {};
    if (!is_watching_) {
        return;
    }
    config_watcher_.start();
    backend_watcher_.start();
    if (watches_evacuations()) {
        evacuation_watcher_.start();
    }
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

duration gateway::state::config_age(time_point now) const {
    const bool is_current =
        config_watcher_.has_synced() && config_watcher_.last_change().epoch == store_.epoch();
    return is_current ? now - config_watcher_.confirmed_at() : unknown_age;
}

void gateway::state::resync_if_behind(time_point now) {
    const bool is_epoch_old = epoch_lag_.needs_resync({store_.epoch()}, now);
    const bool is_config_old = config_lag_.needs_resync({config_version()}, now);
    const told_list own_list{backend_watcher_.last_change(), fleet_.list_hash()};
    const bool is_list_old = backends_lag_.needs_resync(own_list, now);
    if (is_epoch_old || is_config_old) {
        log_.info("peers have a newer configuration or epoch of the store than this gateway, lists "
                  "the configuration again");
        leave_source(is_epoch_old ? epoch_lag_.teller() : config_lag_.teller());
        config_watcher_.start();
    }
    if (is_epoch_old || is_list_old) {
        log_.info("peers have a newer list of backend servers or epoch of the store than this "
                  "gateway, lists them again");
        leave_source(is_epoch_old ? epoch_lag_.teller() : backends_lag_.teller());
        backend_watcher_.start();
    }
    if (!watches_evacuations()) {
        return;
    }
    const bool are_evacuations_old = evacuations_lag_.needs_resync(watched_evacuations(), now);
    if (is_epoch_old || are_evacuations_old) {
        log_.info("peers have newer evacuations of zones or epoch of the store than this gateway's "
                  "watch, lists them again");
        leave_source(is_epoch_old ? epoch_lag_.teller() : evacuations_lag_.teller());
        evacuation_watcher_.start();
    }
}

void gateway::state::leave_source(const std::string& teller) {
    if (const auto address = gossip_.address_of(teller)) {
        reader_.on_lag({teller, *address});
    }
}

std::uint64_t gateway::state::config_version() const {
    return shared_.routes ? shared_.routes->version() : 0;
}

milliseconds gateway::state::next_watch_wait() {
    return watch_wait(settings_.contact_ms, watch_role_, hosts_.live_count() + 1, shared_.random);
}

void gateway::state::tick() {
    const auto now = steady_now();
    register_self();
    if (now >= next_gateway_list_) {
        fetch_gateway_list();
    }
    object_relay_.flush(now);
    send_membership(hosts_.poll(now));
    on_hosts_changed(now);
    drop_lost_processes(now);
    fleet_.expire_limits(now);
    log_limit_divisions();
    resync_if_behind(now);
    quarantine_exchange_.tick(now);
    check_settings_file(now);
    limit_answer_bytes(shared_);
    // Peers that were discovered since the last tick reduce this gateway's share of the reserve.
    for (auto& budget : shared_.retry_budgets | std::views::values) {
        budget.set_reserve(budget_reserve(), now);
    }
    metrics_.set_gauges({.config_version = config_version(),
                         .config_age = config_age(now),
                         .store_epoch = store_.epoch(),
                         .live_backends = fleet_.live_count(),
                         .live_gateways = hosts_.live_count() + 1,
                         .is_store_reachable = !config_watcher_.is_disconnected() &&
                                               !backend_watcher_.is_disconnected(),
                         .open_requests = active_requests(),
                         .relayed_requests = relay_receiver_.active_requests(),
                         .unreachable_services = reach_.unreachable().size(),
                         .reservations = reservations_.size(),
                         .evacuated_zones = fleet_.evacuation().zones(now).size(),
                         .limited_backends = fleet_.limited_count(),
                         .limited_share = fleet_.limited_share(),
                         .answer_bytes = answer_bytes(shared_)});
    const bool became_ready = is_ready() && !std::exchange(was_ready_, is_ready());
    if (became_ready) {
        owner_.set_ready(true);
    }
    // Others pass requests on to a host as soon as they know that it is ready.
    if (became_ready || now >= next_digest_) {
        send_digest(now);
    }
    tick_timer_.expires_after(tick_interval);
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

bool gateway::state::is_state_known(time_point now) const {
    const bool is_disconnected =
        config_watcher_.is_disconnected() || backend_watcher_.is_disconnected();
    return !is_disconnected ||
           now - reader_.outage_seen_at() <= max_outage_age(settings_.contact_ms);
}

bool gateway::state::is_ready() const {
    return !is_stopping_ && shared_.routes && backend_watcher_.has_synced() &&
           may_know_evacuations() && quarantine_exchange_.is_loaded(steady_now());
}

http_response gateway::state::readiness_response(const http_request& request) const {
    const bool is_known = target_path(request.target) == codec_.readiness_path();
    return {is_known && is_ready() ? status_ok : status_unavailable, {}, {}};
}

void gateway::state::log_limit_divisions() {
    for (const auto& division : fleet_.take_division_changes()) {
        const auto limit =
            division.requests_per_s ? std::to_string(*division.requests_per_s) : "none";
        log_.info("share of a stated limit backend=" + division.backend +
                  " requests_per_s=" + limit + " share=" + std::to_string(division.share) +
                  " hosts=" + std::to_string(division.hosts));
    }
}

double gateway::state::budget_reserve() const {
    const auto gateways = std::max(min_assumed_gateways, hosts_.known_count() + 1);
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
                  " predicted_pause_ms=" + std::to_string(ms_count(summary.predicted_pause)) +
                  (summary.backends.empty() ? "" : " " + to_string(summary.answer)) +
                  " config=" + std::to_string(summary.config_version) +
                  " config_age_ms=" + std::to_string(ms_count(config_age(steady_now()))) +
                  (summary.relayed_from.empty() ? "" : " relayed_from=" + summary.relayed_from) +
                  (summary.cause.empty() ? "" : " cause=\"" + summary.cause + "\""));
}

void gateway::state::on_unanswered(const unanswered_request& request, std::string_view source) {
    metrics_.count(request);
    log_.info(request.id.empty() ? "-" : request.id,
              "connection closed without a complete response cause=" +
                  std::string{to_string(request.cause)} + " source=" + std::string{source} +
                  " received=" + (request.is_received ? "1" : "0") +
                  " started=" + (request.is_response_started ? "1" : "0") +
                  " pending_bytes=" + std::to_string(request.pending_bytes) +
                  " ms=" + std::to_string(ms_count(request.age)) +
                  " stopping=" + (is_stopping_ ? "1" : "0"));
}

result<void> gateway::state::open_listeners() {
    // Without a listener the context would run out of work and stop.
    const auto work = boost::asio::make_work_guard(io_);
    const auto wait = [this](milliseconds delay) {
        bool has_expired = false;
        boost::asio::steady_timer pause{io_, delay};
        pause.async_wait([&](const auto& /*failure*/) { has_expired = true; });
        while (!has_expired) {
            io_.run_one();
        }
        return !owner_.is_stopping();
    };
    // Callers last, as nothing answers them before all others are open.
    const std::array<std::function<result<void>()>, 4> listeners{
        [this] { return readiness_server_.listen(settings_.readiness); },
        [this] { return relay_receiver_.listen(settings_.peer_listen); },
        [this] { return gossip_.open(settings_.peer_listen); },
        [this] { return caller_server_.listen(settings_.listen); }};
    for (const auto& open : listeners) {
        if (auto opened = open_when_free(log_, open, wait); !opened) {
            return opened;
        }
    }
    return {};
}

result<void> gateway::state::run() {
    caller_server_.on_unanswered([this](const auto& request) { on_unanswered(request, "caller"); });
    relay_receiver_.server().on_unanswered(
        [this](const auto& request) { on_unanswered(request, "host"); });
    if (auto opened = open_listeners(); !opened) {
        return owner_.is_stopping() ? result<void>{} : opened;
    }
    store_.on_restored([this] { on_store_restored(); });
    started_at_ = steady_now();
    tick();
    owner_.on_reload([this] { boost::asio::post(io_, [this] { reload_settings(); }); });
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
