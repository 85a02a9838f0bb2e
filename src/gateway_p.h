/// State of a gateway; included by its source files only.
#pragma once

#include "forward_call.h"
#include "gateway.h"
#include "gateway_metrics.h"
#include "host_directory.h"
#include "lag_detector.h"
#include "object_relay.h"
#include "object_watcher.h"
#include "peer_gossip.h"
#include "quarantine_exchange.h"
#include "relay_receiver.h"
#include "watch_schedule.h"

#include <boost/asio/steady_timer.hpp>

namespace magnolia {

inline milliseconds seconds_to_ms(double seconds) {
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

/// Implementation of the gateway: connects the store, the other gateways and the server for
/// callers. All members run on the thread of run().
class gateway::state {
public:
    state(process& owner, const gateway_settings& settings, const gateway_codec& codec,
          const store_codec& store);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    result<void> run();

private:
    /// Opens the listeners. While it waits for a port, the host says that it is not ready; a stop
    /// that is asked for ends the wait. Errors: connection.
    result<void> open_listeners();
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
    /// Takes the evacuated zones that the watcher has.
    void apply_evacuations();
    /// Logs which zones were evacuated or taken back.
    void report_evacuations(const zone_evacuation::changes& changes, std::string_view source);
    /// Whether operators of the deployment evacuate zones.
    [[nodiscard]] bool watches_evacuations() const { return settings_.evacuation_ms.count() > 0; }
    /// The evacuations that this host's own watcher has, for the detection of its lag.
    [[nodiscard]] told_list watched_evacuations() const;
    /// Whether the evacuated zones are known, or were not told for so long that this host serves as
    /// it knows.
    [[nodiscard]] bool may_know_evacuations() const;
    void apply_backend(const stored_object& object);
    void apply_backend_list(const std::vector<stored_object>& objects);
    /// Time for which removals of backend servers are delayed after an outage of the store.
    [[nodiscard]] duration removal_delay() const;
    /// Stores this gateway's gossip address for the other gateways, if it is not stored yet.
    void register_self();
    /// Starts to read configuration and backend servers, once other hosts are known or time is
    /// over: where others have them, they cost the store nothing.
    void start_watching();
    /// Chooses the hosts to read the store's objects from.
    void update_relays();
    void on_registration_failure(const error& failure);
    /// Reads the gossip addresses of the other gateways.
    void fetch_gateway_list();
    /// Adds registered gateways to the directory of hosts.
    void add_hosts(const std::vector<stored_object>& gateways);
    /// Record of this host in the membership.
    [[nodiscard]] member_info own_record() const;
    /// Sends membership messages.
    void send_membership(const std::vector<outgoing_message>& messages);
    /// Applies changes of the directory of hosts.
    void on_hosts_changed(time_point now);
    /// Drops the work of processes that have ended.
    void drop_lost_processes(time_point now);
    void on_request(http_request request, const http_responder& responder);
    /// Last moment at which the active configuration was confirmed to be the newest; time_point{}
    /// if a peer has told a newer one.
    [[nodiscard]] time_point routes_confirmed_at(time_point now) const;
    /// Whether the watchers hear from the store, or a source has failed so recently that the store
    /// cannot have answered this host again for the contact time.
    [[nodiscard]] bool is_state_known(time_point now) const;
    [[nodiscard]] http_response readiness_response(const http_request& request) const;
    [[nodiscard]] bool is_ready() const;
    /// Sends the placements and ends of jobs since the previous update to the hosts that share the
    /// engines: placements in one datagram for all changes of the current turn of the event loop,
    /// the rest a moment later where hosts are many.
    void schedule_update();
    void send_updates();
    /// Time since the store last confirmed to this gateway that its configuration is the newest.
    [[nodiscard]] duration config_age(time_point now) const;
    /// Sends the active jobs, the versions of configuration and backend list, and what this host
    /// knows of backend servers, to the hosts of the own cell and to a few random other ones.
    void send_digest(time_point now);
    /// Hosts outside the own cell that get the next digest.
    [[nodiscard]] std::vector<std::string> far_digest_targets();
    void on_peer_message(const std::string& sender, const peer_message& message);
    void on_digest(const std::string& sender, const placement_update& digest);
    /// Takes evacuations that a digest tells: also those that reach this host by a neighbour only.
    void on_evacuations_told(std::span<const evacuation_state> told, const std::string& sender,
                             time_point now);
    /// Sends what a gateway that has just started cannot know.
    void on_peer_discovered(const std::string& peer);
    /// Lists the objects again if peers have told newer ones for some time.
    void resync_if_behind(time_point now);
    /// Reads from elsewhere for a while.
    /// @param teller  host that told a newer state.
    void leave_source(const std::string& teller);
    /// Version of the active configuration; 0 if there is none.
    [[nodiscard]] std::uint64_t config_version() const;
    /// Longest wait of the next watch call, with jitter.
    [[nodiscard]] milliseconds next_watch_wait();
    /// Periodic work: registration, peers, settings file, gauges, digest.
    void tick();
    /// Retries per window that this gateway may make regardless of its number of requests.
    /// Logs this host's shares of stated limits that have changed.
    void log_limit_divisions();
    [[nodiscard]] double budget_reserve() const;
    [[nodiscard]] retry_budget make_retry_budget() const;
    /// Counts and logs a finished request.
    void on_call_end(const call_summary& summary);
    /// Counts and logs a request that got no complete response.
    /// @param source  "caller" or "host", for the log.
    void on_unanswered(const unanswered_request& request, std::string_view source);
    [[nodiscard]] milliseconds reservation_ttl() const;
    /// Applies the settings if the content of the file has changed, also since the process read it
    /// at its start; no signal is needed.
    void check_settings_file(time_point now);
    /// As check_settings_file(), now, on SIGHUP.
    void reload_settings();
    /// Applies the content of the settings file if it is another one. Returns false if there is
    /// none.
    bool read_settings_file();
    /// Applies the settings that may change while the process runs. Names, zone, listen addresses
    /// and placement policy need a restart.
    void apply_settings(const std::string& text);
    /// Reports not ready and drains; requests are accepted until the load balancer has reacted.
    void begin_stop();
    /// Advances the planned stop; ends it when no request remains or the time is over.
    void poll_stop();
    /// Closes the listeners and the idle connections that have served a request.
    void stop_accepting();
    /// Answers the requests that are left, then ends the I/O loop.
    void end_stop(std::size_t partial_requests);

    process& owner_;
    gateway_settings settings_;
    const gateway_codec& codec_;
    logger log_{"gateway"};
    boost::asio::io_context io_{1};
    platform_client store_;
    store_reader reader_;
    http_client backend_client_;
    backend_fleet fleet_;
    gateway_metrics metrics_;
    reservation_manager reservations_;
    prompt_quarantine quarantine_;
    reach_prober reach_;
    relay_directory relays_;
    liveness_prober prober_;
    host_directory hosts_;
    peer_gossip gossip_;
    shared_call_state shared_;
    quarantine_exchange quarantine_exchange_;
    http_server caller_server_;
    object_relay object_relay_;
    relay_receiver relay_receiver_;
    http_server readiness_server_;
    object_watcher config_watcher_;
    object_watcher backend_watcher_;
    object_watcher evacuation_watcher_;
    boost::asio::steady_timer tick_timer_;
    /// Sends updates that may wait.
    boost::asio::steady_timer update_timer_;
    boost::asio::steady_timer stop_timer_;
    bool is_update_scheduled_ = false;
    bool is_late_update_scheduled_ = false;
    lag_detector<told_number> epoch_lag_;
    lag_detector<told_number> config_lag_;
    lag_detector<told_list> backends_lag_;
    lag_detector<told_list> evacuations_lag_;
    /// Hash of the active configuration as it is in the store.
    std::uint64_t config_content_ = 0;
    /// Last moment at which the store confirmed the active configuration version to a peer.
    time_point config_confirmed_by_peers_{};
    /// Moment at which the store was found to be restored; time_point{} if it never was.
    time_point store_restored_at_{};
    /// Whether this gateway's address is in the store.
    bool is_registered_ = false;
    bool is_registering_ = false;
    time_point next_registration_{};
    time_point started_at_{};
    bool is_watching_ = false;
    time_point watching_since_{};
    watch_role watch_role_ = watch_role::single;
    time_point next_gateway_list_{};
    time_point next_digest_{};
    /// Revision of the directory of hosts that was applied.
    std::uint64_t hosts_revision_ = 0;
    /// Hosts of the own domain outside the own cell that got a digest since they appeared.
    std::set<std::string, std::less<>> greeted_;
    time_point next_settings_check_{};
    /// Content of the settings file at the last check.
    std::string settings_text_;
    bool is_stopping_ = false;
    /// The listeners were closed by the planned stop.
    bool has_stopped_accepting_ = false;
    bool was_ready_ = false;
};

} // namespace magnolia
