/// One gateway's view of the deployment's backend servers: the platform's list, their health, and
/// the jobs that all gateways have placed on engines. Does no I/O; the time is passed in.
#pragma once

#include "attempt_policy.h"
#include "breaker.h"
#include "engine_partition.h"
#include "placement.h"
#include "placement_outbox.h"
#include "stated_terms.h"
#include "zone_evacuation.h"

#include <magnolia/schema.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace magnolia {

/// How an attempt on a backend server ended.
enum class attempt_result : std::uint8_t {
    /// The complete answer arrived.
    done,
    /// The backend server refused the request, e.g. because it is full.
    refused,
    /// The backend server answered with an error.
    failed,
    /// The connection failed, the answer was cut off, or the backend server fell silent.
    lost,
    /// Ended by the gateway or the caller; does not count for or against the backend server.
    cancelled,
};

/// Name of the result in logs and metrics.
[[nodiscard]] std::string_view to_string(attempt_result result);

/// A backend server chosen for a request.
struct chosen_member {
    std::string id;
    endpoint address;
    /// KV memory to reserve there before the request is sent, tokens; 0 if none.
    std::uint32_t reserved_tokens = 0;
    /// Its availability zone.
    std::string zone{};
};

/// Result of choose(). Pass it to backend_fleet::start() before sending anything.
struct chosen_backends {
    /// The first one receives the request and decodes the answer; the others are prefill helpers.
    std::vector<chosen_member> members;
    /// Share of the prefill that each member computes.
    prefill_share share;
    /// Predicted time of the first event.
    time_point first_event{};
    /// Expected value of the request minus the expected loss that it imposes on other requests.
    double net_value = 0;
};

/// How a limit that a backend server states is divided among the hosts, as this host sees it.
struct limit_division {
    std::string backend;
    /// Requests per second of all hosts together; none if the limit has ended.
    std::optional<double> requests_per_s{};
    /// Requests per second of this host.
    double share = 0;
    /// Hosts among which the limit is divided.
    std::size_t hosts = 0;

    bool operator==(const limit_division&) const = default;
};

/// Chooses backend servers for requests and keeps the state that the choice needs. Owned by the
/// gateway and shared by its calls (forward_call). Not thread-safe: used from one thread.
class backend_fleet {
public:
    /// @param zone    availability zone of this host.
    /// @param origin  random number of this start of the process; identifies its jobs at other
    /// gateways.
    backend_fleet(std::string zone, std::uint64_t origin, placement_policy policy);

    /// Sets the performance profiles of the services' engines.
    void set_services(const std::vector<routed_service>& services);
    /// Replaces the complete list. Backend servers missing from it are removed as by remove().
    void replace_all(const std::vector<backend_info>& backends, duration grace, time_point now);
    /// Adds or updates a backend server. A changed start time, address or service means another
    /// process: its state starts anew.
    void put(const backend_info& backend);
    /// Removes a backend server after `grace`, unless put() is called for it before.
    void remove(const std::string& id, duration grace, time_point now);
    /// Excludes a backend server until put() reports another start of it: an answer proved that
    /// another one has its address.
    void set_gone(const std::string& id);
    /// The backend server failed as a prefill helper: another one could not reach it, or it
    /// refused. Counts as attempt_result::lost.
    void on_helper_failure(const std::string& id, time_point now);

    /// Chooses backend servers of a service for a request. Those in `tried` and those with an open
    /// circuit breaker are used only if there are no others. Errors: no_capacity with retry_after,
    /// which is the first end of a rest if all backend servers rest.
    [[nodiscard]] result<chosen_backends> choose(std::string_view service,
                                                 const placement_query& query,
                                                 const std::vector<std::string>& tried,
                                                 time_point now);
    /// Whether none of the chosen backend servers has asked for rest, or is in a zone that was
    /// evacuated, since.
    [[nodiscard]] bool is_still_admitted(const chosen_backends& chosen, time_point now) const;
    /// Whether all chosen backend servers are in zones that are not evacuated.
    [[nodiscard]] bool is_allowed(std::span<const chosen_member> members, time_point now) const;
    /// Zones to which nothing is sent.
    [[nodiscard]] zone_evacuation& evacuation() { return evacuation_; }
    [[nodiscard]] const zone_evacuation& evacuation() const { return evacuation_; }
    /// Whether the zone has a listed backend server.
    [[nodiscard]] bool has_zone(std::string_view zone) const;
    /// Whether the backend server is in an evacuated zone.
    [[nodiscard]] bool is_evacuated(const std::string& backend, time_point now) const;
    /// Whether any backend server of the service takes new requests.
    [[nodiscard]] bool has_live(std::string_view service, time_point now);
    /// Backend servers of the service that take new requests and do not rest.
    [[nodiscard]] std::vector<chosen_member> live_backends(std::string_view service,
                                                           time_point now) const;
    /// Service of a listed backend server; empty if it is not listed.
    [[nodiscard]] std::string service_of(const std::string& id) const;
    /// Services of all listed backend servers.
    [[nodiscard]] std::set<std::string> services() const;
    /// Closes the circuit breakers of the service and forgets its failed attempts: this host could
    /// not reach it.
    void reset_health(std::string_view service);
    /// The process that the platform's list has under this id now.
    [[nodiscard]] backend_process process_of(const std::string& id) const;
    /// Whether the backend server is an engine, which answers probes without taking a slot.
    [[nodiscard]] bool is_engine(const std::string& id) const;
    /// Whether the backend server is listed and not leaving.
    [[nodiscard]] bool is_staying(const std::string& id) const;
    /// Number of backend servers, of all services, that take new requests.
    [[nodiscard]] std::size_t live_count() const;
    /// Hash of the platform's list; gateways with the same list compute the same hash.
    [[nodiscard]] std::uint64_t list_hash() const;

    /// Records a request as placed on the chosen backend servers and queues the placement for the
    /// other gateways. Every job that is started must be ended with on_ended().
    job_id start(const chosen_backends& chosen, const job_demand& demand, time_point now);
    /// Longest pause between events that an open job is predicted to see; zero without a forecast.
    /// @param first_event  predicted time of its first event
    [[nodiscard]] duration predict_pause(job_id id, time_point first_event, time_point now) const;
    /// An event of the answer arrived. The first one shows that all members finished the prefill.
    void on_event(job_id id, bool is_first, time_point now);
    /// The first event or a later one missed its target: further delay loses no more value.
    void on_late(job_id id);
    /// Ends a job and counts the result for the health of the backend server that decoded.
    void on_ended(job_id id, attempt_result result, time_point now);
    /// An answer of this process asks for no requests of this gateway for this time.
    void on_rest_asked(const backend_process& process, duration span, time_point now);
    /// Whether the backend server asked for rest that has not ended.
    [[nodiscard]] bool is_resting(const std::string& backend, time_point now) const;
    /// Records the limit that an answer of the process states, or that it states none; returns
    /// whether that changed.
    bool set_stated_limit(const backend_process& process, std::optional<double> requests_per_s,
                          time_point now);
    [[nodiscard]] std::optional<double> stated_limit(const std::string& backend) const;
    /// Sets the hosts that use the backend servers. They share engines (exchange_topology), and
    /// stated limits are divided among them.
    /// @param own  name of this host, which is one of them.
    void set_hosts(const std::string& own, std::vector<located_name> hosts, time_point now);
    /// Which hosts share which engines.
    [[nodiscard]] const exchange_topology& topology();
    /// Forgets limits that no gateway was told for long.
    void expire_limits(time_point now);
    /// Takes limits that were stated, or that ended a short time ago, for the next digest. Where
    /// they are too many for one, the calls take turns.
    [[nodiscard]] std::vector<stated_limit_entry> take_limits_to_tell(time_point now);
    /// Applies what another gateway was told; the latest statement counts.
    void apply_limits(const std::vector<stated_limit_entry>& limits, time_point now);
    /// Takes the divisions that have changed since the last call, the latest one of each backend
    /// server.
    [[nodiscard]] std::vector<limit_division> take_division_changes();
    /// Requests per second that this host may send to all backend servers with a limit.
    [[nodiscard]] double limited_share() const;
    /// Number of backend servers with a limit.
    [[nodiscard]] std::size_t limited_count() const;
    /// Bytes of any answer arrived from the backend server.
    void on_answer_bytes(const std::string& backend, time_point now);
    /// Results of liveness probes; see liveness_prober.h. The first one returns whether the process
    /// itself has answered; if another one has, the backend server is excluded as by set_gone().
    [[nodiscard]] bool on_probe_answered(const backend_process& process, const probe_answer& answer,
                                         time_point now);
    void on_probe_failed(const backend_process& process, time_point now);
    /// Recent signs of life of the process, from answers and probes.
    [[nodiscard]] liveness_evidence liveness_of(const backend_process& process,
                                                time_point now) const;

    // Gossip of placements between gateways (peer_gossip.h).
    /// Takes the changes since the last call, for the hosts that share the engines.
    [[nodiscard]] std::vector<addressed_update> take_updates();
    /// Whether take_updates() would return a placement.
    [[nodiscard]] bool has_untold_placements() const { return outbox_.has_placements(); }
    /// Takes the changes for the own cell. Lists all active jobs of this gateway and repeats the
    /// placements since the last digest (anti-entropy).
    [[nodiscard]] placement_update take_digest();
    /// Applies an update from another gateway. A digest also ends jobs of that gateway that it
    /// lacks.
    void apply_update(const placement_update& update, time_point now);
    /// Active jobs of this gateway that concern another one, with their remaining work: it has just
    /// started and would otherwise take busy engines for idle ones. Each update fits in a datagram.
    [[nodiscard]] std::vector<placement_update> snapshot_updates(const std::string& receiver,
                                                                 time_point now);
    /// Removes all jobs of a gateway that has left or restarted.
    void remove_origin(std::uint64_t origin);

private:
    struct backend_record {
        backend_info info;
        /// Time at which it is removed, unless put() is called before.
        std::optional<time_point> removal_due;
        /// Set by set_gone().
        bool is_gone = false;
        breaker circuit;
        /// Moving average of failed attempts, 0 to 1.
        double failure_rate = 0;
        stated_terms terms;
        /// Hosts among which its limit is divided.
        std::size_t limit_hosts = 0;
        /// As take_division_changes() last returned it.
        limit_division reported_division{};
        time_point last_answer{};
        time_point last_probe_success{};
        time_point last_probe_failure{};
        /// Calls of this gateway in progress.
        std::uint32_t open_calls = 0;
        /// Set for engines with a known profile.
        std::optional<engine_forecast> forecast;
    };
    /// A job of this gateway between start() and on_ended().
    struct open_job {
        /// Ids; the first one decodes.
        std::vector<std::string> backends;
        bool has_first_event = false;
        /// Who was told of it.
        placement_outbox::audience_set audiences;
    };
    /// A backend server that may take a request.
    using record_list = std::vector<backend_record*>;

    [[nodiscard]] backend_record* find(const std::string& id);
    /// Null if the list has another process under this id, or none.
    [[nodiscard]] backend_record* find(const backend_process& process);
    /// Whether it is listed, takes part in the service, and its zone is not evacuated.
    [[nodiscard]] bool is_usable(const backend_record& record, time_point now) const;
    /// First end of a rest of the service's backend servers; empty if none rests.
    [[nodiscard]] std::optional<time_point> first_rest_end(std::string_view service,
                                                           time_point now) const;
    /// Removes backend servers whose grace period is over.
    void remove_expired(time_point now);
    void apply_profile(backend_record& record);
    /// Computes this host's share of the limit.
    void update_share(backend_record& record, time_point now);
    /// Computes all shares anew if the hosts or the engines have changed since.
    void refresh_shares(time_point now);
    /// Usable backend servers of the service, without `tried` and open circuits where possible.
    [[nodiscard]] record_list usable_backends(std::string_view service,
                                              const std::vector<std::string>& tried,
                                              time_point now);
    /// Chooses among the candidates, of which `home` are those of the domain.
    [[nodiscard]] result<chosen_backends> choose_among(std::string_view service,
                                                       const placement_query& query,
                                                       const record_list& candidates,
                                                       const record_list& home, time_point now);
    /// An engine of the own cell that stands for another one, always the same for the same list;
    /// null if none is similar.
    template <class Predicate>
    [[nodiscard]] const backend_record* similar_near_engine(const record_list& engines,
                                                            const std::string& id,
                                                            Predicate is_similar) const;
    /// To be called after each change of the list of backend servers.
    void on_list_changed();
    void add_job(backend_record& record, const placed_work& work, std::uint64_t origin,
                 time_point now);
    /// Ids of the engines that are reserved for long prompts.
    [[nodiscard]] std::set<std::string>
    engines_reserved_for_long(std::string_view service, const record_list& engines, time_point now);
    void record_result(backend_record& record, attempt_result result, time_point now);
    void add_remote_job(const placed_work& work, std::uint64_t origin, time_point now);

    std::string zone_;
    zone_evacuation evacuation_;
    /// Name of this host, and all hosts; empty until they are known.
    std::string host_;
    std::vector<located_name> hosts_;
    exchange_topology topology_;
    bool is_topology_current_ = false;
    bool are_shares_current_ = false;
    /// Backend server whose limit take_limits_to_tell() returned last.
    std::string last_told_limit_;
    std::uint64_t origin_;
    any_placement placement_;
    std::mt19937_64 random_;
    /// By id.
    std::map<std::string, backend_record, std::less<>> backends_;
    /// By service.
    std::unordered_map<std::string, engine_profile> profiles_;
    /// By service.
    std::map<std::string, engine_partition> partitions_;
    /// By job number.
    std::map<std::uint64_t, open_job> open_jobs_;
    std::uint64_t next_job_number_ = 1;
    placement_outbox outbox_;
    /// Cache of list_hash(); reset by changes of the list.
    mutable std::optional<std::uint64_t> list_hash_;
    /// Jobs of other gateways: origin -> job number -> ids of backend servers.
    std::map<std::uint64_t, std::map<std::uint64_t, std::vector<std::string>>> remote_jobs_;
};

} // namespace magnolia
