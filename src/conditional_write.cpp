#include "conditional_write.h"

namespace magnolia {
namespace {

/// Calls after which a write is given up, whatever time is left. Calls that could not be sent
/// count, so it is well above what the deadline allows.
constexpr std::uint32_t max_calls = 1000;

} // namespace

conditional_write::conditional_write(object_put put, token_test is_own, time_point deadline)
    : put_{std::move(put)}, is_own_{std::move(is_own)}, deadline_{deadline} {}

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
        return call(stage::reading, failure, now);
    case error_code::platform_down:
        is_in_doubt_ = true;
        return call(stage::reading, failure, now);
    case error_code::platform_busy:
        return call(stage::writing, failure, now);
    default:
        return write_failed{failure, is_in_doubt_};
    }
}

write_step conditional_write::on_read(const result<platform_reply>& reply, time_point now) {
    if (!reply) {
        return call(stage::reading, reply.error(), now);
    }
    const auto& object = std::get<stored_object>(*reply);
    if (is_in_doubt_ && is_own_(object)) {
        return write_done{object.version};
    }
    if (object.version == put_.expected_version) {
        // Nothing has changed; the write in doubt may still land. A second write with the same
        // condition either lands in its place or is refused because it has landed.
        return call(stage::writing, {error_code::platform_down, put_.id.name, {}}, now);
    }
    return write_conflict{object};
}

write_step conditional_write::call(stage next, const error& cause, time_point now) {
    if (now >= deadline_ || ++calls_ > max_calls) {
        auto failure = cause;
        if (failure.code == error_code::conflict) {
            failure.code = error_code::platform_down;
        }
        return write_failed{failure, is_in_doubt_};
    }
    stage_ = next;
    return next == stage::writing ? platform_call{put_} : platform_call{object_get{put_.id}};
}

} // namespace magnolia
