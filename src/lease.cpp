#include "lease.h"

#include "json_text.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr auto lease_kind = "lease";

// ---- state machine

struct found_free {};
struct write_confirmed {};
struct write_refused {};
struct expired {};
struct released {};

/// This process is not the holder; it reads the object until the lease is free.
struct watching : msm::front::state<> {};
/// The write that acquires the lease is in progress, or its outcome is unknown.
struct acquiring : msm::front::state<> {};
struct holding : msm::front::state<> {};
struct stopped : msm::front::state<> {};

struct lease_machine_def : msm::front::state_machine_def<lease_machine_def> {
    using initial_state = watching;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from       event            to
        Row<watching,  found_free,      acquiring, none, none>,
        Row<watching,  released,        stopped,   none, none>,
        Row<acquiring, write_confirmed, holding,   none, none>,
        Row<acquiring, write_refused,   watching,  none, none>,
        Row<acquiring, expired,         watching,  none, none>,
        Row<holding,   write_refused,   watching,  none, none>,
        Row<holding,   expired,         watching,  none, none>,
        Row<holding,   released,        stopped,   none, none>> {};
    // clang-format on

    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int) {}
};

using lease_machine = msm::back::state_machine<lease_machine_def>;

/// Numbers of the states in the state machine, which follow the order of the transition table.
enum class phase : int { watching, acquiring, holding, stopped };

} // namespace

std::string encode(const lease_record& record) {
    return nlohmann::json{
        {"holder", record.holder}, {"boot", record.boot}, {"fencing", record.fencing_token}}
        .dump();
}

result<lease_record> decode_lease(std::string_view value) {
    const auto in = parse_json(value);
    try {
        return lease_record{in.at("holder"), in.at("boot"), in.at("fencing")};
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_code::frame_invalid, failure.what());
    }
}

class lease::state {
public:
    explicit state(lease_settings values) : settings{std::move(values)} { machine.start(); }

    [[nodiscard]] phase current_phase() const {
        return static_cast<phase>(machine.current_state()[0]);
    }
    [[nodiscard]] bool is_own(const lease_record& record) const {
        return record.holder == settings.holder && record.boot == settings.boot;
    }

    std::optional<platform_call> poll(time_point now);
    void on_read(const stored_object& object, time_point now);
    void on_written(std::uint64_t version, time_point now);
    void on_failure(const error& failure, time_point now);

    lease_settings settings;
    lease_machine machine;
    lease_record record;
    std::uint64_t version = 0;
    /// Time at which this version was first read, on this process's clock.
    time_point version_first_seen{};
    bool has_read = false;
    bool has_call_in_flight = false;
    /// Whether the last call was a write.
    bool is_last_call_write = false;
    bool is_stopping = false;
    /// Write in progress, or whose outcome is unknown until the object has been read back.
    std::optional<lease_record> pending_write;
    time_point pending_write_sent_at{};
    bool is_write_in_doubt = false;
    time_point acquired_at{};
    time_point valid_until{};
    time_point next_call_due{};

private:
    platform_call read();
    platform_call write(lease_record desired, time_point now);
    /// Becomes or stays the holder by a write that was sent at `sent_at`.
    void extend(time_point sent_at, time_point now);
    [[nodiscard]] bool is_free(time_point now) const;
};

platform_call lease::state::read() {
    has_call_in_flight = true;
    is_last_call_write = false;
    return object_get{{lease_kind, settings.name}};
}

platform_call lease::state::write(lease_record desired, time_point now) {
    has_call_in_flight = true;
    is_last_call_write = true;
    if (!pending_write || *pending_write != desired) {
        // A retry of the same value keeps the time of the first attempt, which may be the one that
        // takes effect.
        pending_write_sent_at = now;
    }
    pending_write = desired;
    return object_put{{lease_kind, settings.name}, version, encode(desired)};
}

bool lease::state::is_free(time_point now) const {
    return record.holder.empty() || now - version_first_seen >= settings.ttl + settings.clock_drift;
}

std::optional<platform_call> lease::state::poll(time_point now) {
    if (current_phase() == phase::holding && now >= valid_until) {
        machine.process_event(expired{});
        next_call_due = now;
    }
    if (has_call_in_flight || now < next_call_due || current_phase() == phase::stopped) {
        return std::nullopt;
    }
    if (is_write_in_doubt || !has_read) {
        return read();
    }
    if (current_phase() == phase::holding) {
        return write(is_stopping ? lease_record{{}, 0, record.fencing_token} : record, now);
    }
    if (is_stopping) {
        machine.process_event(released{});
        return std::nullopt;
    }
    if (!is_free(now)) {
        return read();
    }
    machine.process_event(found_free{});
    return write({settings.holder, settings.boot, record.fencing_token + 1}, now);
}

void lease::state::extend(time_point sent_at, time_point now) {
    if (current_phase() != phase::holding) {
        machine.process_event(write_confirmed{});
        acquired_at = now;
    }
    valid_until = sent_at + settings.ttl;
    next_call_due = sent_at + settings.renewal_interval;
}

void lease::state::on_read(const stored_object& object, time_point now) {
    auto decoded = object.version == 0 ? lease_record{} : decode_lease(object.value);
    // No process can hold an unreadable lease. Its fencing token is lost; the object's version
    // takes its place.
    const auto observed = decoded.value_or(lease_record{{}, 0, object.version});
    const bool is_new_version = !has_read || object.version != version;
    const bool was_write_in_doubt = std::exchange(is_write_in_doubt, false);
    has_read = true;
    record = observed;
    version = object.version;
    version_first_seen = is_new_version ? now : version_first_seen;
    next_call_due = now + settings.check_interval;
    if (was_write_in_doubt && is_new_version && pending_write && observed == *pending_write) {
        on_written(object.version, now);
        return;
    }
    if (is_new_version) {
        // A write conditional on the old version can no longer take effect.
        pending_write.reset();
    }
    if (current_phase() == phase::holding && !is_own(observed)) {
        machine.process_event(write_refused{});
    } else if (current_phase() == phase::holding) {
        next_call_due = now;
    } else if (current_phase() == phase::acquiring) {
        machine.process_event(write_refused{});
    }
    if (is_stopping || (current_phase() == phase::watching && is_free(now))) {
        next_call_due = now;
    }
}

void lease::state::on_written(std::uint64_t new_version, time_point now) {
    record = *pending_write;
    version = new_version;
    version_first_seen = now;
    const auto sent_at = pending_write_sent_at;
    pending_write.reset();
    if (record.holder.empty()) {
        machine.process_event(released{});
        return;
    }
    extend(sent_at, now);
    if (is_stopping) {
        next_call_due = now;
    }
}

void lease::state::on_failure(const error& failure, time_point now) {
    next_call_due = now + settings.check_interval;
    if (!is_last_call_write) {
        return;
    }
    is_write_in_doubt = true;
    if (failure.code == error_code::conflict) {
        next_call_due = now;
    }
}

lease::lease(lease_settings settings) : state_{std::make_unique<state>(std::move(settings))} {}
lease::~lease() = default;
lease::lease(lease&&) noexcept = default;
lease& lease::operator=(lease&&) noexcept = default;

std::optional<platform_call> lease::poll(time_point now) {
    return state_->poll(now);
}

void lease::on_reply(const result<platform_reply>& reply, time_point now) {
    state_->has_call_in_flight = false;
    if (!reply) {
        state_->on_failure(reply.error(), now);
        return;
    }
    const auto* object = std::get_if<stored_object>(&*reply);
    if (object == nullptr) {
        state_->on_failure({error_code::frame_invalid, {}, {}}, now);
    } else if (state_->is_last_call_write) {
        state_->on_written(object->version, now);
    } else {
        state_->on_read(*object, now);
    }
}

void lease::stop() {
    state_->is_stopping = true;
    state_->next_call_due = {};
}

bool lease::may_send_order(time_point now) const {
    return state_->current_phase() == phase::holding &&
           now + state_->settings.order_time < state_->valid_until;
}

bool lease::may_send_unfenced_order(time_point now) const {
    const auto& settings = state_->settings;
    return may_send_order(now) &&
           now >= state_->acquired_at + settings.order_time + settings.clock_drift;
}

std::uint64_t lease::fencing_token(time_point now) const {
    return state_->current_phase() == phase::holding && now < state_->valid_until
               ? state_->record.fencing_token
               : 0;
}

bool lease::is_stopped() const {
    return state_->current_phase() == phase::stopped;
}

time_point lease::next_due() const {
    if (state_->has_call_in_flight) {
        return state_->current_phase() == phase::holding ? state_->valid_until : time_point::max();
    }
    return state_->current_phase() == phase::stopped ? time_point::max() : state_->next_call_due;
}

} // namespace magnolia
