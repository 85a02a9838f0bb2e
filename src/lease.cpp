#include "lease.h"

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

// ---- life cycle

struct found_free {};
struct write_confirmed {};
struct write_refused {};
struct lapsed {};
struct released {};

/// Another process holds the lease, or nobody.
struct following : msm::front::state<> {};
/// A write that takes the lease is under way or in doubt.
struct taking : msm::front::state<> {};
struct holding : msm::front::state<> {};
struct stopped : msm::front::state<> {};

struct lease_machine_def : msm::front::state_machine_def<lease_machine_def> {
    using initial_state = following;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from       event            to
        Row<following, found_free,      taking,    none, none>,
        Row<following, released,        stopped,   none, none>,
        Row<taking,    write_confirmed, holding,   none, none>,
        Row<taking,    write_refused,   following, none, none>,
        Row<taking,    lapsed,          following, none, none>,
        Row<holding,   write_refused,   following, none, none>,
        Row<holding,   lapsed,          following, none, none>,
        Row<holding,   released,        stopped,   none, none>> {};
    // clang-format on

    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int) {}
};

using lease_machine = msm::back::state_machine<lease_machine_def>;

/// Numbers that the machine gives its states, in the order of the table.
enum class phase : int { following, taking, holding, stopped };

} // namespace

std::string encode(const lease_record& record) {
    return nlohmann::json{
        {"holder", record.holder}, {"boot", record.boot}, {"fencing", record.fencing}}
        .dump();
}

result<lease_record> decode_lease(std::string_view value) {
    const auto in = nlohmann::json::parse(value, nullptr, false);
    try {
        return lease_record{in.at("holder"), in.at("boot"), in.at("fencing")};
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_code::frame_invalid, failure.what());
    }
}

class lease::state {
public:
    explicit state(lease_settings values) : settings{std::move(values)} { machine.start(); }

    [[nodiscard]] phase where() const { return static_cast<phase>(machine.current_state()[0]); }
    [[nodiscard]] bool is_mine(const lease_record& record) const {
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
    /// When this version was seen first, by this process's clock.
    time_point version_since{};
    bool has_read = false;
    bool is_waiting = false;
    /// Whether the call under way is a write.
    bool is_write = false;
    bool is_stopping = false;
    /// The write under way, or whose fate is in doubt until it was read back.
    std::optional<lease_record> writing;
    time_point writing_sent{};
    bool is_in_doubt = false;
    time_point held_since{};
    time_point valid_until{};
    time_point due{};

private:
    platform_call read();
    platform_call write(lease_record wanted, time_point now);
    void hold(time_point sent, time_point now);
    [[nodiscard]] bool is_free(time_point now) const;
};

platform_call lease::state::read() {
    is_waiting = true;
    is_write = false;
    return object_get{{lease_kind, settings.name}};
}

platform_call lease::state::write(lease_record wanted, time_point now) {
    is_waiting = true;
    is_write = true;
    if (!writing || *writing != wanted) {
        // An earlier write of the same value that was lost may be the one that takes effect.
        writing_sent = now;
    }
    writing = wanted;
    return object_put{{lease_kind, settings.name}, version, encode(wanted)};
}

bool lease::state::is_free(time_point now) const {
    return record.holder.empty() || now - version_since >= settings.ttl + settings.clock_drift;
}

std::optional<platform_call> lease::state::poll(time_point now) {
    if (where() == phase::holding && now >= valid_until) {
        machine.process_event(lapsed{});
        due = now;
    }
    if (is_waiting || now < due || where() == phase::stopped) {
        return std::nullopt;
    }
    if (is_in_doubt || !has_read) {
        return read();
    }
    if (where() == phase::holding) {
        return write(is_stopping ? lease_record{{}, 0, record.fencing} : record, now);
    }
    if (is_stopping) {
        machine.process_event(released{});
        return std::nullopt;
    }
    if (!is_free(now)) {
        return read();
    }
    machine.process_event(found_free{});
    return write({settings.holder, settings.boot, record.fencing + 1}, now);
}

void lease::state::hold(time_point sent, time_point now) {
    if (where() != phase::holding) {
        machine.process_event(write_confirmed{});
        held_since = now;
    }
    valid_until = sent + settings.ttl;
    due = sent + settings.renewal_interval;
}

void lease::state::on_read(const stored_object& object, time_point now) {
    auto decoded = object.version == 0 ? lease_record{} : decode_lease(object.value);
    // Nobody can act on an unreadable lease; its fencing number is lost, so the version stands in.
    const auto seen = decoded.value_or(lease_record{{}, 0, object.version});
    const bool is_new = !has_read || object.version != version;
    const bool was_in_doubt = std::exchange(is_in_doubt, false);
    has_read = true;
    record = seen;
    version = object.version;
    version_since = is_new ? now : version_since;
    due = now + settings.check_interval;
    if (was_in_doubt && is_new && writing && seen == *writing) {
        on_written(object.version, now);
        return;
    }
    if (is_new) {
        // A write under the old version can no longer take effect.
        writing.reset();
    }
    if (where() == phase::holding && !is_mine(seen)) {
        machine.process_event(write_refused{});
    } else if (where() == phase::holding) {
        due = now;
    } else if (where() == phase::taking) {
        machine.process_event(write_refused{});
    }
    if (is_stopping || (where() == phase::following && is_free(now))) {
        due = now;
    }
}

void lease::state::on_written(std::uint64_t new_version, time_point now) {
    record = *writing;
    version = new_version;
    version_since = now;
    const auto sent = writing_sent;
    writing.reset();
    if (record.holder.empty()) {
        machine.process_event(released{});
        return;
    }
    hold(sent, now);
    if (is_stopping) {
        due = now;
    }
}

void lease::state::on_failure(const error& failure, time_point now) {
    due = now + settings.check_interval;
    if (!is_write) {
        return;
    }
    is_in_doubt = true;
    if (failure.code == error_code::conflict) {
        due = now;
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
    state_->is_waiting = false;
    if (!reply) {
        state_->on_failure(reply.error(), now);
        return;
    }
    const auto* object = std::get_if<stored_object>(&*reply);
    if (object == nullptr) {
        state_->on_failure({error_code::frame_invalid, {}, {}}, now);
    } else if (state_->is_write) {
        state_->on_written(object->version, now);
    } else {
        state_->on_read(*object, now);
    }
}

void lease::stop() {
    state_->is_stopping = true;
    state_->due = {};
}

bool lease::may_act(time_point now) const {
    return state_->where() == phase::holding &&
           now + state_->settings.order_time < state_->valid_until;
}

bool lease::may_act_unfenced(time_point now) const {
    const auto& settings = state_->settings;
    return may_act(now) && now >= state_->held_since + settings.order_time + settings.clock_drift;
}

std::uint64_t lease::fencing(time_point now) const {
    return state_->where() == phase::holding && now < state_->valid_until ? state_->record.fencing
                                                                          : 0;
}

bool lease::is_stopped() const {
    return state_->where() == phase::stopped;
}

time_point lease::next_due() const {
    if (state_->is_waiting) {
        return state_->where() == phase::holding ? state_->valid_until : time_point::max();
    }
    return state_->where() == phase::stopped ? time_point::max() : state_->due;
}

} // namespace magnolia
