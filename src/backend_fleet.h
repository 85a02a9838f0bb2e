/// Backend servers of a deployment as one gateway sees them: the platform's list, evidence of their
/// health, and the work of this and the other gateways on engines. Pure: time is passed in.
#pragma once

#include "attempt_policy.h"
#include "breaker.h"
#include "engine_partition.h"
#include "placement.h"

#include <magnolia/schema.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace magnolia {

/// How an attempt on a backend server ended.
enum class attempt_result : std::uint8_t {
    /// The request_tokens answer came.
    done,
    /// The backend server said that it is full.
    refused,
    /// The answer was a failure of the backend server.
    failed,
    /// No connection, a broken answer, or silence.
    lost,
    /// The gateway or the caller ended it; says nothing about the backend server.
    cancelled,
};

/// A backend server that was chosen.
struct chosen_member {
    std::string id;
    endpoint address;
    std::uint32_t reserved_tokens = 0;
};

/// Where a request goes. Start it with backend_fleet::start() before anything is sent.
struct chosen_backends {
    /// The first one gets the request.
    std::vector<chosen_member> members;
    /// What each member reads.
    prefill_share share;
    time_point first_event{};
    /// Value that is expected to be gained, less what others lose by it.
    double net_value = 0;
};

class backend_fleet {
public:
    /// @param zone    availability zone of this host.
    /// @param origin  random number of this start.
    backend_fleet(std::string zone, std::uint64_t origin, placement_policy policy);

    /// Figures of engines, by service.
    void set_services(const std::vector<routed_service>& services);
    /// Replaces the request_tokens list. Backend servers that it lacks are taken out as by
    /// remove().
    void replace_all(const std::vector<backend_info>& backends, duration grace, time_point now);
    void put(const backend_info& backend);
    /// Takes a backend server out, at the latest after `grace`; put() before that keeps it.
    void remove(const std::string& id, duration grace, time_point now);
    /// Proof that another backend server has the address now, or that this one is leaving.
    void set_gone(const std::string& id);
    /// It could not be reached by another backend server, or refused to take part.
    void on_helper_failure(const std::string& id, time_point now);

    /// Chooses for a request of a service; `tried` are left out unless nothing else is there.
    /// Errors: no_capacity with retry_after.
    [[nodiscard]] result<chosen_backends> choose(std::string_view service,
                                                 const placement_query& query,
                                                 const std::vector<std::string>& tried,
                                                 time_point now);
    /// Whether any backend server of the service takes new work.
    [[nodiscard]] bool has_live(std::string_view service, time_point now);
    [[nodiscard]] std::size_t live_count() const;
    /// Hash of the list as the platform has it, the same at every gateway that knows the same.
    [[nodiscard]] std::uint64_t list_hash() const;

    job_id start(const chosen_backends& chosen, const job_demand& demand, time_point now);
    /// An event of the stream came.
    void on_event(job_id id, bool is_first, time_point now);
    /// A pause or the first event was too late: further delay costs nothing.
    void on_late(job_id id);
    void on_ended(job_id id, attempt_result result, time_point now);
    /// Bytes of an answer came.
    void on_answer_bytes(const std::string& backend, time_point now);
    void on_probe_answered(const std::string& backend, time_point now);
    void on_probe_failed(const std::string& backend, time_point now);
    [[nodiscard]] liveness_evidence liveness_of(const std::string& backend, time_point now) const;

    // Exchange with other gateways.
    /// News since the last call; `is_digest` adds the numbers of all work under way.
    [[nodiscard]] std::optional<placement_update> take_update(const std::string& sender,
                                                              bool is_digest);
    void apply_update(const placement_update& update, time_point now);
    /// All own work under way, with what is left of it, for a gateway that has just started: it
    /// would take busy engines for idle ones. Each item fits a datagram.
    [[nodiscard]] std::vector<placement_update> snapshot_updates(const std::string& sender,
                                                                 time_point now);
    /// A gateway is gone, with its work.
    void remove_origin(std::uint64_t origin);

private:
    struct backend_record {
        backend_info info;
        /// Taken out at this moment, unless it comes back.
        std::optional<time_point> removal_due;
        bool is_gone = false;
        breaker circuit;
        double failure_rate = 0;
        time_point last_answer{};
        time_point last_probe_success{};
        time_point last_probe_failure{};
        std::uint32_t open_calls = 0;
        std::optional<engine_forecast> forecast;
    };
    struct open_job {
        std::vector<std::string> backends;
        bool has_first_event = false;
    };

    [[nodiscard]] backend_record* find(const std::string& id);
    [[nodiscard]] bool is_usable(const backend_record& item, time_point now) const;
    void remove_expired(time_point now);
    void apply_profile(backend_record& item);
    [[nodiscard]] std::vector<backend_record*>
    candidates(std::string_view service, const std::vector<std::string>& tried, time_point now);
    void add_job(backend_record& item, const engine_job& job, time_point now);
    [[nodiscard]] std::set<std::string>
    engines_reserved_for_long(std::string_view service, const std::vector<backend_record*>& engines,
                              time_point now);
    void record_result(backend_record& item, attempt_result result, time_point now);
    void add_remote_job(const placed_work& work, std::uint64_t origin, time_point now);

    std::string zone_;
    std::uint64_t origin_;
    any_placement placement_;
    std::mt19937_64 random_;
    std::map<std::string, backend_record, std::less<>> backends_;
    std::unordered_map<std::string, engine_profile> profiles_;
    std::map<std::string, engine_partition> partitions_;
    std::map<std::uint64_t, open_job> open_jobs_;
    std::uint64_t next_job_number_ = 1;
    placement_update pending_update_;
    /// Placements since the last digest: the next one tells them again, as the first update of them
    /// may be lost.
    std::vector<placed_work> placed_since_digest_;
    /// Hash of the list; computed when it is asked for after a change.
    mutable std::optional<std::uint64_t> list_hash_;
    /// Work of other gateways by origin: number, and the backend servers it is on.
    std::map<std::uint64_t, std::map<std::uint64_t, std::vector<std::string>>> remote_jobs_;
};

} // namespace magnolia
