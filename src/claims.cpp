#include "claims.h"

#include "claims_p.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Time for which a shard without work keeps its cached content.
constexpr auto idle_shard_retention = std::chrono::seconds{30};

} // namespace

/// Shards by object, and the object of each call in flight.
class claim_manager::state {
public:
    state(std::uint64_t origin, const claim_options& options) {
        context.origin = origin;
        context.options = options;
        context.random.seed(origin);
    }

    claim_shard& shard_of(const claim_key& key) {
        auto id = claim_object_id(key, context.options);
        return shards.try_emplace(id, id).first->second;
    }

    claim_context context;
    std::map<object_id, claim_shard> shards;
    std::map<std::uint64_t, object_id> in_flight;
    std::uint64_t next_number = 1;
};

claim_manager::claim_manager(std::uint64_t origin, const claim_options& options)
    : state_{std::make_unique<state>(origin, options)} {}

claim_manager::claim_manager(std::uint64_t origin, std::chrono::milliseconds retention)
    : claim_manager{origin, claim_options{.retention = retention}} {}

claim_manager::~claim_manager() = default;

void claim_manager::request(const claim_key& key, request_id request, std::uint64_t fingerprint,
                            duration timeout, time_point now, std::int64_t wall_ms) {
    auto& context = state_->context;
    if (key.workspace.size() + key.key.size() > config::max_claim_key_bytes) {
        const error failure{error_code::bad_request, "idempotency key too long", {}};
        context.events.emplace_back(claim_failed{request, failure});
        return;
    }
    if (const auto valid_age = check_key_age(key, context.options, wall_ms); !valid_age) {
        context.events.emplace_back(claim_failed{request, valid_age.error()});
        return;
    }
    state_->shard_of(key).add_request({key, request, fingerprint, false, now, now + timeout});
}

void claim_manager::look_up(const claim_key& key, request_id request, duration timeout,
                            time_point now) {
    state_->shard_of(key).add_request({key, request, 0, true, now, now + timeout});
}

void claim_manager::record_outcome(const claim_key& key, request_id request, outcome result,
                                   unsigned status, std::string_view answer, time_point now) {
    const auto& context = state_->context;
    if (!context.granted.contains(request)) {
        return;
    }
    // not_run is recorded at once, so that the key can be claimed again; any other outcome waits
    // for a write that it can share.
    const auto due = result == outcome::not_run ? now : now + context.options.max_outcome_delay;
    const std::string stored_answer{answer.substr(0, config::max_claim_answer_bytes)};
    state_->shard_of(key).record_outcome(key, {request, result, status, stored_answer, due});
}

void claim_manager::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                             time_point now, std::int64_t wall_ms) {
    const auto found = state_->in_flight.extract(number);
    if (!found.empty()) {
        state_->shards.at(found.mapped()).on_reply(reply, state_->context, {now, wall_ms});
    }
}

std::vector<claim_call> claim_manager::poll(time_point now, std::int64_t wall_ms) {
    std::vector<claim_call> calls;
    const claim_time at{now, wall_ms};
    for (auto& [id, shard] : state_->shards) {
        shard.expire_requests(state_->context, at);
        if (auto call = shard.next_call(state_->context, at)) {
            const auto number = state_->next_number++;
            state_->in_flight.emplace(number, id);
            calls.push_back({number, std::move(*call)});
        }
    }
    std::erase_if(state_->shards, [&](const auto& item) {
        return item.second.is_idle(state_->context) &&
               now - item.second.last_used() > idle_shard_retention;
    });
    return calls;
}

std::vector<claim_event> claim_manager::take_events() {
    return std::exchange(state_->context.events, {});
}

time_point claim_manager::next_due() const {
    auto due = time_point::max();
    for (const auto& [id, shard] : state_->shards) {
        due = std::min(due, shard.next_due(state_->context));
    }
    return due;
}

bool claim_manager::has_unrecorded_outcomes() const {
    return std::ranges::any_of(state_->shards,
                               [](const auto& item) { return item.second.has_pending_outcomes(); });
}

} // namespace magnolia
