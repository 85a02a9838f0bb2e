/// One conditional write (compare-and-set) to the platform's store that resolves lost replies: it
/// reads the object back and compares a token of the write.
#pragma once

#include "platform_port.h"

#include <functional>

namespace magnolia {

/// The write took effect.
struct write_done {
    std::uint64_t version = 0;
};

/// Another write came first. This one had no effect and never will.
struct write_conflict {
    stored_object current;
};

/// The write was given up.
struct write_failed {
    error failure;
    /// The write may have taken effect, or may still do so.
    bool may_have_effect = false;
};

/// Next step: execute a call, or one of the three final results.
using write_step = std::variant<platform_call, write_done, write_conflict, write_failed>;

/// State machine of one conditional write. The value must contain a token that later writers
/// preserve, so that the write is recognised after other writes have followed it. Does no I/O: the
/// owner executes the calls and passes their replies. Not thread-safe.
class conditional_write {
public:
    /// Returns whether an object contains the token of this write.
    using token_predicate = std::function<bool(const stored_object& object)>;

    /// @param deadline  time after which no further call is made.
    conditional_write(object_put put, token_predicate has_own_token, time_point deadline);

    /// Returns the first call.
    [[nodiscard]] platform_call start() const { return put_; }
    /// Passes the reply to the last call and returns the next step. Errors of write_failed: that of
    /// the last call, to write or to read back; platform_down instead of conflict if the deadline
    /// has passed before the object was read back.
    [[nodiscard]] write_step on_reply(const result<platform_reply>& reply, time_point now);

private:
    enum class stage : std::uint8_t { writing, reading };

    write_step on_write(const result<platform_reply>& reply, time_point now);
    write_step on_read(const result<platform_reply>& reply, time_point now);
    /// Returns the next call, or write_failed with `last_error` if the deadline or the number of
    /// calls is exceeded.
    write_step next_call(stage next, const error& last_error, time_point now);

    object_put put_;
    token_predicate has_own_token_;
    time_point deadline_;
    stage stage_ = stage::writing;
    std::uint32_t calls_ = 1;
    /// The reply to an earlier write was lost.
    bool is_uncertain_ = false;
};

} // namespace magnolia
