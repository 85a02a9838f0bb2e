#include "claims_p.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Encoded size from which on an object takes no new claims. The remaining space is for the
/// outcomes of the claims that it has.
constexpr std::size_t max_bytes_with_new_claims = config::max_object_bytes / 10 * 7;

/// Encoded size above which outcomes are stored without their answers.
constexpr std::size_t max_bytes_with_answers = config::max_object_bytes / 100 * 98;

constexpr std::uint32_t max_backoff_doublings = 8;

/// Number of conflicts since the last successful write that are retried without backoff.
constexpr std::uint32_t immediate_conflict_retries = 2;

/// Retry delay sent with the refusal of a claim whose object is full.
constexpr auto full_object_retry_after = std::chrono::milliseconds{60000};

} // namespace

void claim_shard::record_outcome(const claim_key& key, pending_outcome pending) {
    pending_outcomes_.insert_or_assign(key, std::move(pending));
}

void claim_shard::expire_requests(claim_context& context, claim_time at) {
    const auto code =
        failures_ > 0 || in_flight_ ? error_code::platform_down : error_code::platform_busy;
    std::erase_if(requests_, [&](const claim_request& request) {
        if (request.deadline > at.now) {
            return false;
        }
        const error failure{code, id_.name, context.options.max_backoff};
        context.events.emplace_back(claim_failed{request.request, failure});
        return true;
    });
}

std::optional<platform_call> claim_shard::next_call(claim_context& context, claim_time at) {
    if (in_flight_) {
        return std::nullopt;
    }
    answer_requests(context, at);
    if (at.now < backoff_until_ || !has_work(context, at.now)) {
        return std::nullopt;
    }
    last_used_ = at.now;
    if (needs_read()) {
        return read(at.now);
    }
    auto plan = plan_write(context, at);
    if (!plan.has_changes && !uncertain_version_) {
        return std::nullopt;
    }
    if (is_contended_ && !is_just_read_) {
        return read(at.now);
    }
    return write(std::move(plan), at.now);
}

bool claim_shard::has_work(const claim_context& context, time_point now) const {
    const bool is_due = std::ranges::any_of(
        pending_outcomes_, [now](const auto& item) { return item.second.due <= now; });
    return !requests_.empty() || is_due || uncertain_version_.has_value() || has_orphans(context);
}

bool claim_shard::needs_read() const {
    return !cached_ || std::ranges::any_of(requests_, [this](const claim_request& request) {
        return !is_fresh(request) && (request.is_lookup || cached_->records.contains(request.key));
    });
}

bool claim_shard::is_fresh(const claim_request& request) const {
    return cached_since_ >= request.requested_at;
}

bool claim_shard::is_orphan(const claim_record& record, const claim_context& context) const {
    if (record.owner.origin != context.origin || record.result ||
        context.granted.contains(record.owner)) {
        return false;
    }
    return std::ranges::find(requests_, record.owner, &claim_request::request) == requests_.end();
}

bool claim_shard::has_orphans(const claim_context& context) const {
    return cached_ && std::ranges::any_of(cached_->records, [&](const auto& item) {
               return is_orphan(item.second, context);
           });
}

void claim_shard::answer_requests(claim_context& context, claim_time at) {
    std::erase_if(requests_, [&](const claim_request& request) {
        auto event = answer(request, context, at);
        if (event) {
            context.events.push_back(std::move(*event));
        }
        return event.has_value();
    });
}

std::optional<claim_event> claim_shard::answer(const claim_request& request, claim_context& context,
                                               claim_time at) const {
    if (!cached_) {
        return std::nullopt;
    }
    const auto* record = cached_->find(request.key);
    if (request.is_lookup) {
        return is_fresh(request) ? std::optional<claim_event>{claim_found{
                                       request.request,
                                       record == nullptr ? std::nullopt : std::optional{*record}}}
                                 : std::nullopt;
    }
    if (record == nullptr) {
        const auto valid_age = check_key_age(request.key, context.options, at.wall_ms);
        return valid_age
                   ? std::nullopt
                   : std::optional<claim_event>{claim_failed{request.request, valid_age.error()}};
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

/// The age is checked after the write took effect: an object with a key that is still valid now
/// cannot have been deleted by a claim_collector before the write, which would have hidden an
/// earlier claim. See docs/design/0030-claims.md.
claim_event claim_shard::grant(const claim_request& request, claim_context& context,
                               claim_time at) const {
    const auto valid_age = check_key_age(request.key, context.options, at.wall_ms);
    if (!valid_age) {
        return claim_failed{request.request, valid_age.error()};
    }
    context.granted.insert(request.request);
    return claim_granted{request.request};
}

claim_shard::write_plan claim_shard::plan_write(claim_context& context, claim_time at) {
    write_plan plan;
    plan.changes.proposed = *cached_;
    plan_orphans(plan, context);
    plan_claims(plan, context, at);
    plan_outcomes(plan, context, at.now);
    return plan;
}

void claim_shard::plan_orphans(write_plan& plan, const claim_context& context) {
    for (const auto& [key, record] : cached_->records) {
        if (is_orphan(record, context)) {
            plan.changes.proposed->erase(key);
            plan.has_changes = true;
        }
    }
}

void claim_shard::plan_claims(write_plan& plan, claim_context& context, claim_time at) {
    auto& table = *plan.changes.proposed;
    std::erase_if(requests_, [&](const claim_request& request) {
        if (request.is_lookup || table.find(request.key) != nullptr) {
            return false;
        }
        if (table.bytes >= max_bytes_with_new_claims) {
            const error full{error_code::overloaded, id_.name, full_object_retry_after};
            context.events.emplace_back(claim_failed{request.request, full});
            return true;
        }
        table.put(request.key, {request.request, request.fingerprint, {}, 0, {}, at.wall_ms});
        plan.changes.claims.insert(request.request);
        plan.has_changes = true;
        return false;
    });
}

void claim_shard::apply_outcome(claim_table& table, const claim_key& key,
                                const pending_outcome& pending) const {
    if (pending.result == outcome::not_run) {
        table.erase(key);
        return;
    }
    auto record = *cached_->find(key);
    record.result = pending.result;
    record.status = pending.status;
    record.answer = pending.answer;
    table.put(key, record);
    if (table.bytes > max_bytes_with_answers) {
        record.answer.clear();
        table.put(key, record);
    }
}

void claim_shard::plan_outcomes(write_plan& plan, claim_context& context, time_point now) {
    auto& table = *plan.changes.proposed;
    std::erase_if(pending_outcomes_, [&](const auto& item) {
        const auto& [key, pending] = item;
        const auto* record = cached_->find(key);
        if (record == nullptr || record->owner != pending.request) {
            // The object was deleted because its keys are too old.
            context.granted.erase(pending.request);
            return true;
        }
        if (!plan.has_changes && pending.due > now) {
            return false;
        }
        apply_outcome(table, key, pending);
        plan.changes.recorded.insert(pending.request);
        return false;
    });
    plan.has_changes = plan.has_changes || !plan.changes.recorded.empty();
}

platform_call claim_shard::read(time_point now) {
    in_flight_ = in_flight_call{now, std::nullopt, {}, {}};
    return object_get{id_};
}

platform_call claim_shard::write(write_plan plan, time_point now) {
    in_flight_ = std::move(plan.changes);
    in_flight_->sent_at = now;
    return object_put{id_, cached_->version, encode_claims(*in_flight_->proposed)};
}

void claim_shard::on_reply(const result<platform_reply>& reply, claim_context& context,
                           claim_time at) {
    if (!in_flight_) {
        return;
    }
    auto call = std::move(*in_flight_);
    in_flight_.reset();
    if (!call.proposed) {
        on_read(call, reply, context, at);
    } else if (reply) {
        on_write_succeeded(std::move(call), std::get<stored_object>(*reply).version, context, at);
    } else {
        on_write_failed(reply.error(), context, at.now);
    }
    expire_requests(context, at);
    answer_requests(context, at);
}

void claim_shard::on_read(const in_flight_call& call, const result<platform_reply>& reply,
                          claim_context& context, claim_time at) {
    const auto table = reply.and_then(
        [](const platform_reply& value) { return decode_claims(std::get<stored_object>(value)); });
    if (!table) {
        cached_.reset();
        ++failures_;
        back_off(context, table.error().retry_after, at.now);
        return;
    }
    failures_ = 0;
    is_contended_ = is_contended_ && !(cached_ && cached_->version == table->version);
    cached_ = *table;
    cached_since_ = call.sent_at;
    is_just_read_ = true;
    if (uncertain_version_ && *uncertain_version_ != cached_->version) {
        // The uncertain write expects a version that has been replaced: it has taken effect or
        // never will.
        uncertain_version_.reset();
    }
}

void claim_shard::on_write_succeeded(in_flight_call call, std::uint64_t version,
                                     claim_context& context, claim_time at) {
    failures_ = 0;
    conflicts_ = 0;
    uncertain_version_.reset();
    is_just_read_ = false;
    cached_ = std::move(call.proposed);
    cached_->version = version;
    cached_since_ = call.sent_at;
    std::erase_if(pending_outcomes_,
                  [&](const auto& item) { return call.recorded.contains(item.second.request); });
    for (const auto& request : call.recorded) {
        context.granted.erase(request);
    }
    // A request that has failed meanwhile is not granted; its stored claim is an orphan.
    expire_requests(context, at);
}

void claim_shard::on_write_failed(const error& failure, claim_context& context, time_point now) {
    is_just_read_ = false;
    if (failure.code == error_code::conflict) {
        cached_.reset();
        is_contended_ = true;
        if (++conflicts_ > immediate_conflict_retries) {
            back_off(context, {}, now);
        }
        return;
    }
    ++failures_;
    if (failure.code == error_code::platform_down) {
        uncertain_version_ = cached_->version;
        cached_.reset();
    }
    back_off(context, failure.retry_after, now);
}

void claim_shard::back_off(claim_context& context, std::chrono::milliseconds min_delay,
                           time_point now) {
    const auto doublings = std::min(std::max(failures_, conflicts_), max_backoff_doublings);
    const auto& options = context.options;
    const auto max_delay =
        std::min(options.max_backoff, options.initial_backoff * (1U << doublings));
    std::uniform_int_distribution<std::int64_t> distribution{max_delay.count() / 4,
                                                             max_delay.count()};
    backoff_until_ =
        now + std::max(min_delay, std::chrono::milliseconds{distribution(context.random)});
}

time_point claim_shard::next_due(const claim_context& context) const {
    auto due = time_point::max();
    for (const auto& request : requests_) {
        due = std::min(due, request.deadline);
    }
    if (in_flight_) {
        return due;
    }
    auto work = time_point::max();
    if (!requests_.empty() || uncertain_version_ || has_orphans(context)) {
        work = backoff_until_;
    }
    for (const auto& [key, pending] : pending_outcomes_) {
        work = std::min(work, std::max(backoff_until_, pending.due));
    }
    return std::min(due, work);
}

bool claim_shard::is_idle(const claim_context& context) const {
    return !in_flight_ && requests_.empty() && pending_outcomes_.empty() && !uncertain_version_ &&
           !has_orphans(context);
}

} // namespace magnolia
