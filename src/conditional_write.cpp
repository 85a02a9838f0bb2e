#include "conditional_write.h"

namespace magnolia {
namespace {

/// Number of calls after which a write is given up before its deadline. Calls that could not be
/// sent count too, so it is far above the number that the deadline allows.
constexpr std::uint32_t max_calls = 1000;

} // namespace

conditional_write::conditional_write(object_put put, token_predicate has_own_token,
                                     time_point deadline)
    : put_{std::move(put)}, has_own_token_{std::move(has_own_token)}, deadline_{deadline} {}

write_step conditional_write::on_reply(const result<platform_reply>& reply, time_point now) {
    return stage_ == stage::writing ? on_write(reply, now) : on_read(reply, now);
}

write_step conditional_write::on_write(const result<platform_reply>& reply, time_point now) {
    if (reply) {
        return write_done{std::get<stored_object>(*reply).version};
    }
    const auto& failure = reply.error();
    switch (failure.code) {
    case error_code::conflict:
        return next_call(stage::reading, failure, now);
    case error_code::platform_down:
        is_uncertain_ = true;
        return next_call(stage::reading, failure, now);
    case error_code::platform_busy:
        return next_call(stage::writing, failure, now);
    default:
        return write_failed{failure, is_uncertain_};
    }
}

write_step conditional_write::on_read(const result<platform_reply>& reply, time_point now) {
    if (!reply) {
        return next_call(stage::reading, reply.error(), now);
    }
    const auto& object = std::get<stored_object>(*reply);
    if (is_uncertain_ && has_own_token_(object)) {
        return write_done{object.version};
    }
    if (object.version == put_.expected_version) {
        // The object is unchanged, but the uncertain write may still take effect. Writing again
        // with the same expected version is safe: either this write takes effect, or it conflicts
        // because the first one has.
        return next_call(stage::writing, {error_code::platform_down, put_.id.name, {}}, now);
    }
    return write_conflict{object};
}

write_step conditional_write::next_call(stage next, const error& last_error, time_point now) {
    if (now >= deadline_ || ++calls_ > max_calls) {
        auto failure = last_error;
        if (failure.code == error_code::conflict) {
            // The current object could not be read back, so the conflict cannot be reported with
            // it.
            failure.code = error_code::platform_down;
        }
        return write_failed{failure, is_uncertain_};
    }
    stage_ = next;
    return next == stage::writing ? platform_call{put_} : platform_call{object_get{put_.id}};
}

} // namespace magnolia
