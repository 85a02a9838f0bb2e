#include "request_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace magnolia {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct claim_step {};
struct admit_step {};
struct reserve_step {};
struct dispatch_step {};
struct first_token_step {};
struct retry_step {};
struct end_step {};

// One MSM state per value of request_phase, in the same order.
struct received : msm::front::state<> {};
struct claiming : msm::front::state<> {};
struct admitted : msm::front::state<> {};
struct reserving : msm::front::state<> {};
struct dispatched : msm::front::state<> {};
struct streaming : msm::front::state<> {};
struct ended : msm::front::state<> {};

template <class Source, class Event, class Target>
using transition = Row<Source, Event, Target, none, none>;

struct definition : msm::front::state_machine_def<definition> {
    using initial_state = received;
    using no_exception_thrown = int;
    using no_message_queue = int;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        transition<received,   claim_step,       claiming>,
        transition<received,   admit_step,       admitted>,
        transition<received,   end_step,         ended>,
        transition<claiming,   admit_step,       admitted>,
        transition<claiming,   end_step,         ended>,
        transition<admitted,   reserve_step,     reserving>,
        transition<admitted,   dispatch_step,    dispatched>,
        transition<admitted,   end_step,         ended>,
        transition<reserving,  dispatch_step,    dispatched>,
        transition<reserving,  retry_step,       admitted>,
        transition<reserving,  end_step,         ended>,
        transition<dispatched, first_token_step, streaming>,
        transition<dispatched, retry_step,       admitted>,
        transition<dispatched, end_step,         ended>,
        transition<streaming,  retry_step,       admitted>,
        transition<streaming,  end_step,         ended>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}
};

using state_machine = msm::back::state_machine<definition>;

template <class State>
constexpr int id_of = msm::back::get_state_id<state_machine::stt, State>::value;

constexpr std::array<std::pair<int, request_phase>, 7> phases{{
    {id_of<received>, request_phase::received},
    {id_of<claiming>, request_phase::claiming},
    {id_of<admitted>, request_phase::admitted},
    {id_of<reserving>, request_phase::reserving},
    {id_of<dispatched>, request_phase::dispatched},
    {id_of<streaming>, request_phase::streaming},
    {id_of<ended>, request_phase::ended},
}};

} // namespace

class request_lifecycle::machine : public state_machine {};

request_lifecycle::request_lifecycle() : machine_{std::make_unique<machine>()} {
    machine_->start();
}

request_lifecycle::~request_lifecycle() = default;
request_lifecycle::request_lifecycle(request_lifecycle&&) noexcept = default;
request_lifecycle& request_lifecycle::operator=(request_lifecycle&&) noexcept = default;

request_phase request_lifecycle::phase() const {
    const int current = machine_->current_state()[0];
    for (const auto& [id, phase] : phases) {
        if (id == current) {
            return phase;
        }
    }
    return request_phase::ended;
}

result<void> request_lifecycle::apply(request_step step) {
    const auto process = [this](const auto& event) {
        return machine_->process_event(event) == msm::back::HANDLED_TRUE;
    };
    const auto is_allowed = [&] {
        switch (step) {
        case request_step::claim:
            return process(claim_step{});
        case request_step::admit:
            return process(admit_step{});
        case request_step::reserve:
            return process(reserve_step{});
        case request_step::dispatch:
            return process(dispatch_step{});
        case request_step::first_token:
            return process(first_token_step{});
        case request_step::retry:
            return process(retry_step{});
        case request_step::end:
            return process(end_step{});
        }
        return false;
    };
    if (!is_allowed()) {
        return fail(error_code::internal,
                    "life cycle step not allowed in phase " + std::string{to_string(phase())});
    }
    return {};
}

std::string_view to_string(request_phase phase) {
    switch (phase) {
    case request_phase::received:
        return "received";
    case request_phase::claiming:
        return "claiming";
    case request_phase::admitted:
        return "admitted";
    case request_phase::reserving:
        return "reserving";
    case request_phase::dispatched:
        return "dispatched";
    case request_phase::streaming:
        return "streaming";
    case request_phase::ended:
        return "ended";
    }
    return "invalid";
}

} // namespace magnolia
