/// Decisions of an entry: takes events from callers, back ends, the platform and other entries, and
/// gives commands. Has no sockets, threads or clock of its own; one duty owns it.
#pragma once

#include "caller_port.h"
#include "claims.h"
#include "limiter.h"
#include "router.h"
#include "service_port.h"

#include <memory>

namespace magnolia {

/// What an entry is told at its start.
struct entry_options {
    std::string name;
    std::string zone;
    /// Random number of this start; part of every request number and owner of every claim.
    std::uint64_t origin = 0;
    /// Seed of the random choices.
    std::uint64_t seed = 0;
    route_policy policy = route_policy::length_aware;
    /// Requests under way at once.
    std::uint32_t max_requests = 2000;
    /// Time for which an idempotency key is remembered.
    std::chrono::milliseconds claim_retention{86'400'000};
};

/// What is known of an instance of a plain service.
struct service_info {
    std::string name;
    std::string zone;
    /// Beginnings of the paths whose calls must not be repeated.
    std::vector<std::string> unrepeatable_paths;
};

/// An event for the time line.
struct event_record {
    event_kind kind = event_kind::request_received;
    request_id request;
    std::string workspace;
    std::string subject;
    std::string detail;
    /// Time since the request arrived; zero for events of no request.
    duration elapsed{0};
};

using entry_command = std::variant<caller_command, engine_command, service_call, claim_call,
                                   outgoing_message, event_record>;

/// Time of an event: on the steady clock, and in ms since 1970 for the age of idempotency keys.
struct event_time {
    time_point now;
    std::int64_t wall_ms = 0;
};

/// State of one entry. Not thread-safe.
class entry_core {
public:
    explicit entry_core(entry_options options);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// Adds a back end, or changes what is known of it.
    engine_handle put_engine(const engine_info& info, event_time at);
    service_handle put_service(const service_info& info);
    /// A back end that is not live gets no new work; its attempts go on.
    void set_engine_state(engine_handle engine, host_state value, event_time at);
    void set_service_state(service_handle service, host_state value);
    void on_engine_load(engine_handle engine, const engine_load& load, event_time at);
    /// The engine did not answer a question for its load.
    void on_load_query_failed(engine_handle engine, event_time at);

    /// Puts a contract in force, unless a newer version is.
    void put_contract(const contract& value, std::uint64_t version, event_time at);
    /// Members as this entry sees them, and whether its zone is cut off from the others.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, event_time at);
    /// Whether the lease of the configuration has lapsed; contracts whose cut-off rule is to refuse
    /// are refused then.
    void set_config_lapsed(bool is_lapsed);

    void handle(const caller_event& event, event_time at);
    void handle(const engine_event& event, event_time at);
    void handle(const service_event& event, event_time at);
    /// Answer to a claim_call.
    void handle_reply(std::uint64_t call, const result<platform_reply>& reply, event_time at);
    void handle_message(std::string_view from, const peer_message& message, event_time at);

    /// Ends what is due: deadlines, claims, messages. Call at next_due() or earlier.
    void tick(event_time at);
    [[nodiscard]] time_point next_due() const;

    /// Begins a planned stop: new requests are refused as stopping, not_run.
    void begin_stop();
    /// Ends every open request at once as stopping, with its true outcome.
    void abandon_all(event_time at);
    /// Requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const;
    /// Whether outcomes of orders wait to be recorded; a planned stop waits for them.
    [[nodiscard]] bool has_unsettled() const;

    /// Commands since the last call, in order.
    [[nodiscard]] std::vector<entry_command> take_commands();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
