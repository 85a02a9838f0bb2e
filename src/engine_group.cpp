#include "engine_group.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <ranges>

namespace magnolia {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

using seconds = std::chrono::duration<double>;

/// Expiry of a reservation on an engine unless it is renewed.
constexpr duration reservation_expiry = std::chrono::seconds{30};
/// Pause between rounds: doubled from the minimum up to the maximum, with jitter.
constexpr seconds min_pause{0.1};
constexpr seconds max_pause{5};
constexpr unsigned max_doublings = 6;
/// Lower bound of the factor by which the pause shrinks as the deadline approaches.
constexpr double min_pause_factor = 0.1;

} // namespace

/// Data of the group and the operations called by the actions of its state machine.
class engine_group::state {
public:
    state(group_request request, group_plan plan, std::uint64_t seed)
        : request_{std::move(request)}, ids_{request_.request, request_.first_number},
          plan_{std::move(plan)}, holds_{ids_, reservation_expiry}, random_{seed} {}

    /// Requests the reservations of the plan under a new reservation name.
    void begin_round();
    void prefill_next();
    void generate();
    /// Cancels and releases everything and schedules the next round.
    void back_off();
    void release_all() { holds_.release_all(now_, out_); }
    /// Cancels the current prefill or generation attempt, if any.
    void cancel_work();
    /// Replaces a failed member with a spare. False if no spare is left.
    [[nodiscard]] bool replace_with_spare(std::size_t member);
    /// Index of the next part to prefill; none if only the generating member is left.
    [[nodiscard]] std::optional<std::size_t> next_part() const;
    void handle_event(const engine_event& event);
    void on_hold_result(const hold_result& result);
    void on_failure(const engine_failed& event);
    void fail(error failure);
    void poll();
    [[nodiscard]] bool has_ended() const {
        return phase_ == group_phase::finished || phase_ == group_phase::failed;
    }
    template <class Event>
    void process(const Event& event);
    /// Runs one call at time `now` and returns the commands that it emitted.
    template <class Call>
    [[nodiscard]] std::vector<engine_command> run(time_point now, Call&& call);

    void enter(group_phase phase) { phase_ = phase; }

    struct machine;

private:
    friend class engine_group;

    group_request request_;
    command_id_generator ids_;
    group_plan plan_;
    group_holds holds_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<engine_command> out_;
    /// Exported part of each member; its name is empty until the part is ready.
    std::vector<kv_part> parts_;
    /// Current prefill or generation attempt, and the member and engine that run it.
    attempt_id work_;
    std::size_t working_member_ = 0;
    engine_handle working_engine_;
    attempt_id generation_;
    /// Answer generated so far, from which a replaced generation resumes.
    std::string answer_;
    std::uint32_t answer_tokens_ = 0;
    unsigned rounds_ = 0;
    time_point retry_at_ = time_point::max();
    error failure_;
    group_phase phase_ = group_phase::idle;

    std::unique_ptr<machine> machine_;
};

void engine_group::state::begin_round() {
    std::vector<group_hold> holds;
    for (std::size_t index = 0; index < plan_.members.size(); ++index) {
        const auto& member = plan_.members[index];
        const bool is_last = index + 1 == plan_.members.size();
        const auto answer = is_last ? request_.max_generated_tokens : 0;
        holds.push_back(
            {.target = {member.engine, plan_.names[index]}, .tokens = member.token_count + answer});
    }
    parts_.assign(plan_.members.size(), {});
    retry_at_ = time_point::max();
    holds_.begin_round(std::move(holds));
    static_cast<void>(holds_.request_next(now_, out_));
}

std::optional<std::size_t> engine_group::state::next_part() const {
    for (std::size_t index = 0; index + 1 < parts_.size(); ++index) {
        if (parts_[index].name.empty()) {
            return index;
        }
    }
    return std::nullopt;
}

void engine_group::state::prefill_next() {
    const auto index = next_part().value();
    const auto& member = plan_.members[index];
    work_ = ids_.generate();
    working_member_ = index;
    working_engine_ = member.engine;
    out_.emplace_back(
        engine_prefill_part{work_,
                            member.engine,
                            holds_.reservation(),
                            request_.model,
                            request_.prompt,
                            member.first_token,
                            member.token_count,
                            {parts_.begin(), parts_.begin() + static_cast<std::ptrdiff_t>(index)},
                            request_.deadline - now_});
}

void engine_group::state::generate() {
    work_ = generation_ = ids_.generate();
    working_member_ = parts_.size() - 1;
    working_engine_ = plan_.members.back().engine;
    out_.emplace_back(engine_start{work_,
                                   plan_.members.back().engine,
                                   request_.model,
                                   request_.adapter,
                                   request_.prompt,
                                   answer_,
                                   answer_tokens_,
                                   request_.max_generated_tokens,
                                   request_.urgency,
                                   request_.deadline - now_,
                                   holds_.reservation(),
                                   {parts_.begin(), std::prev(parts_.end())}});
}

void engine_group::state::cancel_work() {
    if (work_.number != 0) {
        out_.emplace_back(engine_cancel{work_, working_engine_});
        work_ = {};
    }
}

void engine_group::state::back_off() {
    cancel_work();
    release_all();
    // The closer a request is to its deadline, the sooner it retries, so that the oldest one
    // succeeds first.
    const double lifetime = seconds{request_.deadline - request_.received_at}.count();
    const double left_share =
        std::clamp(seconds{request_.deadline - now_}.count() / lifetime, 0.0, 1.0);
    const double doubled = static_cast<double>(1U << std::min(rounds_++, max_doublings));
    const double pause = std::min(max_pause.count(), min_pause.count() * doubled);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    const seconds jittered{pause * std::max(left_share, min_pause_factor) * jitter(random_)};
    retry_at_ = now_ + std::chrono::duration_cast<duration>(jittered);
}

bool engine_group::state::replace_with_spare(std::size_t member) {
    const auto is_member = [this](const named_engine& spare) {
        return std::ranges::find(plan_.members, spare.engine, &group_member::engine) !=
               plan_.members.end();
    };
    std::erase_if(plan_.spares, is_member);
    if (plan_.spares.empty()) {
        return false;
    }
    auto spare = std::move(plan_.spares.front());
    plan_.spares.erase(plan_.spares.begin());
    plan_.members[member].engine = spare.engine;
    plan_.names[member] = spare.name;
    parts_[member] = {};
    holds_.replace(member, std::move(spare), now_, out_);
    static_cast<void>(holds_.request_next(now_, out_));
    return true;
}

namespace {

// Events of the state machine.
struct started {};
struct retried {};
struct all_reserved {};
struct part_done {};
/// A member refused or was lost; `member` is its index in the plan.
struct member_failed {
    std::size_t member = 0;
};
struct answer_done {};
struct abandoned {};

// States; each sets the phase of the group on entry.
template <group_phase Phase>
struct phase_state : msm::front::state<> {
    template <class Event, class Machine>
    void on_entry(const Event&, Machine& machine) {
        machine.group->enter(Phase);
    }
};
struct idle : phase_state<group_phase::idle> {};
struct reserving : phase_state<group_phase::reserving> {};
struct backing_off : phase_state<group_phase::backing_off> {};
struct prefilling : phase_state<group_phase::prefilling> {};
struct generating : phase_state<group_phase::generating> {};
struct finished : phase_state<group_phase::finished> {};
struct failed : phase_state<group_phase::failed> {};

// Actions and guards.
struct begin_round {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->begin_round();
    }
};
struct prefill_next {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->prefill_next();
    }
};
struct generate {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->generate();
    }
};
struct back_off {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->back_off();
    }
};
struct cancel_work {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->cancel_work();
    }
};
struct release_memory {
    template <class Event, class Machine, class From, class To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
        machine.group->cancel_work();
        machine.group->release_all();
    }
};
struct has_part_left {
    template <class Event, class Machine, class From, class To>
    bool operator()(const Event&, Machine& machine, From&, To&) const {
        return machine.group->next_part().has_value();
    }
};
/// Guard that replaces the member immediately, so that no reservation is held while waiting.
struct spare_replaces {
    template <class Event, class Machine, class From, class To>
    bool operator()(const Event& event, Machine& machine, From&, To&) const {
        return machine.group->replace_with_spare(event.member);
    }
};

template <class Group>
struct group_lifecycle : msm::front::state_machine_def<group_lifecycle<Group>> {
    using initial_state = idle;
    using no_exception_thrown = int;
    using no_message_queue = int;

    // If two rows match an event, MSM evaluates the guard of the last one first.
    struct transition_table
        : boost::mpl::vector<Row<idle, started, reserving, begin_round, none>,
                             Row<backing_off, retried, reserving, begin_round, none>,
                             Row<reserving, all_reserved, generating, generate, none>,
                             Row<reserving, all_reserved, prefilling, prefill_next, has_part_left>,
                             Row<reserving, member_failed, backing_off, back_off, none>,
                             Row<reserving, member_failed, reserving, none, spare_replaces>,
                             Row<prefilling, part_done, generating, generate, none>,
                             Row<prefilling, part_done, prefilling, prefill_next, has_part_left>,
                             Row<prefilling, member_failed, backing_off, back_off, none>,
                             Row<prefilling, member_failed, reserving, cancel_work, spare_replaces>,
                             Row<generating, member_failed, backing_off, back_off, none>,
                             Row<generating, member_failed, reserving, cancel_work, spare_replaces>,
                             Row<generating, answer_done, finished, release_memory, none>,
                             Row<idle, abandoned, failed, release_memory, none>,
                             Row<reserving, abandoned, failed, release_memory, none>,
                             Row<backing_off, abandoned, failed, release_memory, none>,
                             Row<prefilling, abandoned, failed, release_memory, none>,
                             Row<generating, abandoned, failed, release_memory, none>> {};

    /// Late events of an earlier phase are ignored.
    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int) {}

    Group* group = nullptr;
};

} // namespace

struct engine_group::state::machine
    : msm::back::state_machine<group_lifecycle<engine_group::state>> {};

template <class Event>
void engine_group::state::process(const Event& event) {
    machine_->process_event(event);
}

template <class Call>
std::vector<engine_command> engine_group::state::run(time_point now, Call&& call) {
    now_ = now;
    call();
    return std::exchange(out_, {});
}

void engine_group::state::fail(error failure) {
    if (!has_ended()) {
        failure_ = std::move(failure);
        process(abandoned{});
    }
}

void engine_group::state::on_hold_result(const hold_result& result) {
    if (result.change == hold_change::refused) {
        process(member_failed{result.index});
    }
    if (result.change == hold_change::confirmed && phase_ == group_phase::reserving &&
        !holds_.request_next(now_, out_)) {
        process(all_reserved{});
    }
}

void engine_group::state::on_failure(const engine_failed& event) {
    if (event.id != work_) {
        return;
    }
    work_ = {};
    if (event.failure.code == error_code::deadline_passed) {
        fail(event.failure);
        return;
    }
    // An engine also reports a failure if a part that it imports was lost by another member. Only a
    // lost connection or a leaving engine points to the working member itself; otherwise no spare
    // replaces it and the group backs off.
    const bool is_member_lost = event.failure.code == error_code::connection ||
                                event.failure.code == error_code::backend_lost || event.is_leaving;
    if (!is_member_lost) {
        plan_.spares.clear();
    }
    process(member_failed{working_member_});
}

void engine_group::state::handle_event(const engine_event& event) {
    on_hold_result(holds_.on_event(event, now_, out_));
    if (const auto* const ready = std::get_if<engine_part_ready>(&event)) {
        if (ready->id == work_) {
            parts_[working_member_] = ready->part;
            work_ = {};
            process(part_done{});
        }
    } else if (const auto* const tokens = std::get_if<engine_tokens>(&event)) {
        if (tokens->id == work_ && tokens->offset == answer_tokens_) {
            answer_ += tokens->text;
            answer_tokens_ += tokens->count;
        }
    } else if (const auto* const ended = std::get_if<engine_finished>(&event)) {
        if (ended->id == work_) {
            work_ = {};
            process(answer_done{});
        }
    } else if (const auto* const failure = std::get_if<engine_failed>(&event)) {
        on_failure(*failure);
    }
}

void engine_group::state::poll() {
    if (now_ >= request_.deadline) {
        fail({error_code::deadline_passed, to_string(request_.request), {}});
    }
    if (const auto lost = holds_.poll(now_, out_)) {
        process(member_failed{*lost});
    }
    if (now_ >= retry_at_) {
        process(retried{});
    }
}

group_plan make_plan(const group_route& route, const router& engines) {
    group_plan plan{.members = route.members, .names = {}, .spares = {}};
    for (const auto& member : route.members) {
        plan.names.push_back(engines.info(member.engine).name);
    }
    for (const auto spare : route.spares) {
        plan.spares.push_back({spare, engines.info(spare).name});
    }
    return plan;
}

engine_group::engine_group(group_request request, group_plan plan, std::uint64_t seed)
    : state_{std::make_unique<state>(std::move(request), std::move(plan), seed)} {
    state_->machine_ = std::make_unique<state::machine>();
    state_->machine_->group = state_.get();
    state_->machine_->start();
}
engine_group::~engine_group() = default;
engine_group::engine_group(engine_group&&) noexcept = default;
engine_group& engine_group::operator=(engine_group&&) noexcept = default;

std::vector<engine_command> engine_group::begin(time_point now) {
    return state_->run(now, [this] { state_->process(started{}); });
}

std::vector<engine_command> engine_group::on_event(const engine_event& event, time_point now) {
    return state_->run(now, [this, &event] { state_->handle_event(event); });
}

std::vector<engine_command> engine_group::poll(time_point now) {
    return state_->run(now, [this] { state_->poll(); });
}

std::vector<engine_command> engine_group::cancel(time_point now) {
    return state_->run(now, [this] {
        state_->fail({error_code::caller_gone, to_string(state_->request_.request), {}});
    });
}

void engine_group::replan(group_plan plan) {
    if (state_->phase_ == group_phase::backing_off) {
        state_->plan_ = std::move(plan);
    }
}

time_point engine_group::next_due() const {
    auto due = state_->holds_.next_due();
    if (state_->phase_ == group_phase::backing_off) {
        due = std::min(due, state_->retry_at_);
    }
    return state_->has_ended() ? due : std::min(due, state_->request_.deadline);
}

group_phase engine_group::phase() const {
    return state_->phase_;
}

bool engine_group::is_settled() const {
    return state_->has_ended() && state_->holds_.is_empty();
}

attempt_id engine_group::generation() const {
    return state_->generation_;
}

const error& engine_group::failure() const {
    return state_->failure_;
}

std::uint32_t engine_group::next_number() const {
    return state_->ids_.next;
}

} // namespace magnolia
