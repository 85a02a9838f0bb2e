#include "claims_p.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Part of an object that new claims may fill; the rest is for their outcomes.
constexpr std::size_t room_for_claims = config::max_object_bytes / 10 * 7;

constexpr std::size_t room_for_outcomes = config::max_object_bytes / 100 * 98;

constexpr std::uint32_t longest_doubling = 8;

/// Conflicts in a row before a writer steps back.
constexpr std::uint32_t free_conflicts = 2;

constexpr auto object_full_retry = std::chrono::milliseconds{60000};

} // namespace

void claim_shard::settle(const claim_key& key, claim_settlement settlement) {
    settlements_.insert_or_assign(key, std::move(settlement));
}

void claim_shard::expire(claim_context& context, claim_time at) {
    const auto code =
        failures_ > 0 || flight_ ? error_code::platform_down : error_code::platform_busy;
    std::erase_if(waiting_, [&](const claim_request& request) {
        if (request.deadline > at.now) {
            return false;
        }
        const error failure{code, id_.name, context.options.max_backoff};
        context.events.emplace_back(claim_failed{request.request, failure});
        return true;
    });
}

std::optional<platform_call> claim_shard::next_call(claim_context& context, claim_time at) {
    if (flight_) {
        return std::nullopt;
    }
    answer_waiting(context, at);
    if (at.now < paused_until_ || !has_work(context, at.now)) {
        return std::nullopt;
    }
    last_used_ = at.now;
    if (needs_read()) {
        return read(at.now);
    }
    auto next = make_plan(context, at);
    if (!next.has_changes && !doubt_) {
        return std::nullopt;
    }
    if (is_contended_ && !is_just_read_) {
        return read(at.now);
    }
    return write(std::move(next), at.now);
}

/// Work that a call would move on.
bool claim_shard::has_work(const claim_context& context, time_point now) const {
    const bool is_due = std::ranges::any_of(
        settlements_, [now](const auto& item) { return item.second.due <= now; });
    return !waiting_.empty() || is_due || doubt_.has_value() || has_orphans(context);
}

bool claim_shard::needs_read() const {
    return !known_ || std::ranges::any_of(waiting_, [this](const claim_request& request) {
        return !is_fresh(request) && (request.is_lookup || known_->records.contains(request.key));
    });
}

/// Whether the content is no older than the request.
bool claim_shard::is_fresh(const claim_request& request) const {
    return known_since_ >= request.asked;
}

/// A claim of this process that was given up before its write was known to have landed.
bool claim_shard::is_orphan(const claim_record& record, const claim_context& context) const {
    if (record.owner.origin != context.origin || record.result ||
        context.live.contains(record.owner)) {
        return false;
    }
    return std::ranges::find(waiting_, record.owner, &claim_request::request) == waiting_.end();
}

bool claim_shard::has_orphans(const claim_context& context) const {
    return known_ && std::ranges::any_of(known_->records, [&](const auto& item) {
               return is_orphan(item.second, context);
           });
}

void claim_shard::answer_waiting(claim_context& context, claim_time at) {
    std::erase_if(waiting_, [&](const claim_request& request) {
        auto event = answer(request, context, at);
        if (event) {
            context.events.push_back(std::move(*event));
        }
        return event.has_value();
    });
}

/// Event that the known content gives a request; none if the store has to be asked first.
std::optional<claim_event> claim_shard::answer(const claim_request& request, claim_context& context,
                                               claim_time at) const {
    if (!known_) {
        return std::nullopt;
    }
    const auto* record = known_->find(request.key);
    if (request.is_lookup) {
        return is_fresh(request) ? std::optional<claim_event>{claim_found{
                                       request.request,
                                       record == nullptr ? std::nullopt : std::optional{*record}}}
                                 : std::nullopt;
    }
    if (record == nullptr) {
        const auto young = check_age(request.key, context.options, at.wall_ms);
        return young ? std::nullopt
                     : std::optional<claim_event>{claim_failed{request.request, young.error()}};
    }
    if (record->owner == request.request) {
        return grant(request, context, at);
    }
    if (!is_fresh(request) && !record->result) {
        return std::nullopt;
    }
    if (record->fingerprint != request.fingerprint) {
        return claim_failed{request.request, {error_code::key_reused, request.key.key, {}}};
    }
    return claim_exists{request.request, *record};
}

/// The age is checked after the write: a key that is still young now cannot have been collected
/// before the write landed. See docs/design/0030-claims.md.
claim_event claim_shard::grant(const claim_request& request, claim_context& context,
                               claim_time at) const {
    const auto young = check_age(request.key, context.options, at.wall_ms);
    if (!young) {
        return claim_failed{request.request, young.error()};
    }
    context.live.insert(request.request);
    return claim_granted{request.request};
}

claim_shard::plan claim_shard::make_plan(claim_context& context, claim_time at) {
    plan next;
    next.changes.proposed = *known_;
    plan_orphans(next, context);
    plan_claims(next, context, at);
    plan_settlements(next, context, at.now);
    return next;
}

void claim_shard::plan_orphans(plan& next, const claim_context& context) {
    for (const auto& [key, record] : known_->records) {
        if (is_orphan(record, context)) {
            next.changes.proposed->erase(key);
            next.has_changes = true;
        }
    }
}

void claim_shard::plan_claims(plan& next, claim_context& context, claim_time at) {
    auto& table = *next.changes.proposed;
    std::erase_if(waiting_, [&](const claim_request& request) {
        if (request.is_lookup || table.find(request.key) != nullptr) {
            return false;
        }
        if (table.bytes >= room_for_claims) {
            const error full{error_code::overloaded, id_.name, object_full_retry};
            context.events.emplace_back(claim_failed{request.request, full});
            return true;
        }
        table.put(request.key, {request.request, request.fingerprint, {}, 0, {}, at.wall_ms});
        next.changes.claims.insert(request.request);
        next.has_changes = true;
        return false;
    });
}

void claim_shard::apply(claim_table& table, const claim_key& key,
                        const claim_settlement& settlement) const {
    if (settlement.result == outcome::not_run) {
        table.erase(key);
        return;
    }
    auto record = *known_->find(key);
    record.result = settlement.result;
    record.status = settlement.status;
    record.answer = settlement.answer;
    table.put(key, record);
    if (table.bytes > room_for_outcomes) {
        record.answer.clear();
        table.put(key, record);
    }
}

void claim_shard::plan_settlements(plan& next, claim_context& context, time_point now) {
    auto& table = *next.changes.proposed;
    std::erase_if(settlements_, [&](const auto& item) {
        const auto& [key, settlement] = item;
        const auto* record = known_->find(key);
        if (record == nullptr || record->owner != settlement.request) {
            // The object was collected.
            context.live.erase(settlement.request);
            return true;
        }
        if (!next.has_changes && settlement.due > now) {
            return false;
        }
        apply(table, key, settlement);
        next.changes.settled.insert(settlement.request);
        return false;
    });
    next.has_changes = next.has_changes || !next.changes.settled.empty();
}

platform_call claim_shard::read(time_point now) {
    flight_ = flight{now, std::nullopt, {}, {}};
    return object_get{id_};
}

platform_call claim_shard::write(plan next, time_point now) {
    flight_ = std::move(next.changes);
    flight_->sent = now;
    return object_put{id_, known_->version, encode_claims(*flight_->proposed)};
}

void claim_shard::on_reply(const result<platform_reply>& reply, claim_context& context,
                           claim_time at) {
    if (!flight_) {
        return;
    }
    auto call = std::move(*flight_);
    flight_.reset();
    if (!call.proposed) {
        on_read(call, reply, context, at);
    } else if (reply) {
        on_written(std::move(call), std::get<stored_object>(*reply).version, context, at);
    } else {
        on_write_failed(reply.error(), context, at.now);
    }
    expire(context, at);
    answer_waiting(context, at);
}

void claim_shard::on_read(const flight& call, const result<platform_reply>& reply,
                          claim_context& context, claim_time at) {
    const auto table = reply.and_then(
        [](const platform_reply& value) { return decode_claims(std::get<stored_object>(value)); });
    if (!table) {
        known_.reset();
        ++failures_;
        pause(context, table.error().retry_after, at.now);
        return;
    }
    failures_ = 0;
    is_contended_ = is_contended_ && !(known_ && known_->version == table->version);
    known_ = *table;
    known_since_ = call.sent;
    is_just_read_ = true;
    if (doubt_ && *doubt_ != known_->version) {
        // The write in doubt is conditional on a version that has passed: it has landed or never
        // will.
        doubt_.reset();
    }
}

void claim_shard::on_written(flight call, std::uint64_t version, claim_context& context,
                             claim_time at) {
    failures_ = 0;
    conflicts_ = 0;
    doubt_.reset();
    is_just_read_ = false;
    known_ = std::move(call.proposed);
    known_->version = version;
    known_since_ = call.sent;
    std::erase_if(settlements_,
                  [&](const auto& item) { return call.settled.contains(item.second.request); });
    for (const auto& request : call.settled) {
        context.live.erase(request);
    }
    // A request that gave up meanwhile is not granted; its record is an orphan now.
    expire(context, at);
}

void claim_shard::on_write_failed(const error& failure, claim_context& context, time_point now) {
    is_just_read_ = false;
    if (failure.code == error_code::conflict) {
        known_.reset();
        is_contended_ = true;
        if (++conflicts_ > free_conflicts) {
            pause(context, {}, now);
        }
        return;
    }
    ++failures_;
    if (failure.code == error_code::platform_down) {
        doubt_ = known_->version;
        known_.reset();
    }
    pause(context, failure.retry_after, now);
}

void claim_shard::pause(claim_context& context, std::chrono::milliseconds least, time_point now) {
    const auto rounds = std::min(std::max(failures_, conflicts_), longest_doubling);
    const auto& options = context.options;
    const auto longest = std::min(options.max_backoff, options.initial_backoff * (1U << rounds));
    std::uniform_int_distribution<std::int64_t> draw{longest.count() / 4, longest.count()};
    paused_until_ = now + std::max(least, std::chrono::milliseconds{draw(context.random)});
}

time_point claim_shard::next_due(const claim_context& context) const {
    auto due = time_point::max();
    for (const auto& request : waiting_) {
        due = std::min(due, request.deadline);
    }
    if (flight_) {
        return due;
    }
    auto work = time_point::max();
    if (!waiting_.empty() || doubt_ || has_orphans(context)) {
        work = paused_until_;
    }
    for (const auto& [key, settlement] : settlements_) {
        work = std::min(work, std::max(paused_until_, settlement.due));
    }
    return std::min(due, work);
}

bool claim_shard::is_idle(const claim_context& context) const {
    return !flight_ && waiting_.empty() && settlements_.empty() && !doubt_ && !has_orphans(context);
}

} // namespace magnolia
