/// One conditional write whose answer may be lost: write, read back, judge.
#pragma once

#include "platform_port.h"

#include <functional>

namespace magnolia {

/// The write took effect.
struct write_done {
    std::uint64_t version = 0;
};

/// Another write came first; this one has had no effect and never will.
struct write_conflict {
    stored_object current;
};

/// The write was given up.
struct write_failed {
    error failure;
    /// It may have taken effect, or may still do so.
    bool may_have_effect = false;
};

/// What to do next: make a call, or one of the three ends.
using write_step = std::variant<platform_call, write_done, write_conflict, write_failed>;

/// State of one write. The value has to carry a token that later writers pass on, so that the write
/// is known again after others have followed it.
class conditional_write {
public:
    /// Whether an object carries the token of this write.
    using token_predicate = std::function<bool(const stored_object& object)>;

    conditional_write(object_put put, token_predicate has_own_token, time_point deadline);

    /// First call.
    [[nodiscard]] platform_call start() const { return put_; }
    /// Takes the reply to the last call.
    [[nodiscard]] write_step on_reply(const result<platform_reply>& reply, time_point now);

private:
    enum class stage : std::uint8_t { writing, reading };

    write_step on_write(const result<platform_reply>& reply, time_point now);
    write_step on_read(const result<platform_reply>& reply, time_point now);
    write_step next_call(stage next, const error& last_error, time_point now);

    object_put put_;
    token_predicate has_own_token_;
    time_point deadline_;
    stage stage_ = stage::writing;
    std::uint32_t calls_ = 1;
    /// The answer to a write was lost.
    bool is_uncertain_ = false;
};

} // namespace magnolia
