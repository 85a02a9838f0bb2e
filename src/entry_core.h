/// Decision logic of an entry: consumes events from callers, backend servers, the platform and
/// other entries, and emits commands. Performs no I/O, owns no threads and reads no clock, so that
/// tests can drive it with simulated time.
#pragma once

#include "caller_port.h"
#include "claims.h"
#include "limiter.h"
#include "router.h"
#include "service_port.h"

#include <memory>

namespace magnolia {

/// Start parameters of an entry.
struct entry_options {
    std::string name;
    std::string zone;
    /// Random number drawn at each start; part of every request id and the owner of every claim.
    std::uint64_t origin = 0;
    /// Seed of the random number generators.
    std::uint64_t seed = 0;
    route_policy policy = route_policy::length_aware;
    /// Maximum number of concurrent requests.
    std::uint32_t max_requests = 2000;
    /// Retention time of idempotency keys.
    std::chrono::milliseconds claim_retention{86'400'000};
};

/// Description of one instance of a plain service.
struct service_info {
    std::string name;
    std::string zone;
    /// Path prefixes of calls that must not be repeated.
    std::vector<std::string> unrepeatable_paths;
};

/// An event to be written to the event log and counted in the metrics.
struct event_record {
    event_kind kind = event_kind::request_received;
    request_id request;
    std::string workspace;
    std::string subject;
    std::string detail;
    /// Time since the request arrived; zero for events that belong to no request.
    duration elapsed{0};
};

/// Anything that the entry has to carry out for the core: answers, backend calls, claims, messages
/// to other entries, and events to record.
using entry_command = std::variant<caller_command, engine_command, service_call, claim_call,
                                   outgoing_message, event_record>;

/// Time of an event: `now` on the steady clock; `wall_ms` in ms since 1970, used for the age of
/// idempotency keys.
struct event_time {
    time_point now;
    std::int64_t wall_ms = 0;
};

/// Admits, routes, retries and ends the requests of one entry. Owned by entry_server, which calls
/// it on the decision thread. Not thread-safe.
class entry_core {
public:
    explicit entry_core(entry_options options);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// Adds an engine, or updates its description.
    engine_handle put_engine(const engine_info& info, event_time at);
    /// Adds an instance of a plain service.
    service_handle put_service(const service_info& info);
    /// An engine or service that is not live gets no new requests; its running attempts continue.
    void set_engine_state(engine_handle engine, host_state value, event_time at);
    void set_service_state(service_handle service, host_state value);
    /// Applies a load report of an engine.
    void on_engine_load(engine_handle engine, const engine_load& load, event_time at);
    /// A load query to the engine failed; the engine becomes suspect.
    void on_load_query_failed(engine_handle engine, event_time at);

    /// Activates a contract, unless this or a newer version is already active.
    void put_contract(const contract& value, std::uint64_t version, event_time at);
    /// Updates the view of the members and whether the zone of this entry is cut off from the other
    /// zones.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, event_time at);
    /// Updates whether the configuration lease has lapsed. While it has, requests of contracts with
    /// the cut-off rule `refuse` are refused.
    void set_config_lapsed(bool is_lapsed);

    /// Handles an event of a caller, an engine or a service.
    void handle(const caller_event& event, event_time at);
    void handle(const engine_event& event, event_time at);
    void handle(const service_event& event, event_time at);
    /// Handles the reply to a claim_call.
    /// @param call  number of the claim_call.
    void handle_reply(std::uint64_t call, const result<platform_reply>& reply, event_time at);
    /// Handles a message of another entry.
    void handle_message(std::string_view from, const peer_message& message, event_time at);

    /// Processes everything that is due: deadlines, retries, claims, limit messages. To be called
    /// at next_due() or earlier.
    void tick(event_time at);
    /// Earliest time at which tick() has work to do.
    [[nodiscard]] time_point next_due() const;

    /// Starts a planned stop: new requests are refused with error `stopping` and outcome not_run.
    void begin_stop();
    /// Ends every open request with error `stopping` and the outcome that is known for it.
    void abandon_all(event_time at);
    /// Number of requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const;
    /// Whether outcomes of claimed calls have yet to be recorded in the store; a planned stop waits
    /// for them.
    [[nodiscard]] bool has_unrecorded_outcomes() const;

    /// Returns the commands emitted since the last call, in order.
    [[nodiscard]] std::vector<entry_command> take_commands();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
