/// Circuit breaker for one backend server.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Closed until failures_to_open failures in a row. Then open: no requests until a backoff ends,
/// which doubles with each further failure. Then half-open: one request at a time goes through, and
/// the first success closes the breaker. Not thread-safe.
class breaker {
public:
    /// Whether a request may be sent now.
    [[nodiscard]] bool allows(time_point now) const;
    /// A request was sent. If half-open, no other request is allowed until its result is known or
    /// does not arrive in time.
    void on_sent(time_point now);
    void on_success();
    void on_failure(time_point now);

    [[nodiscard]] bool is_closed() const { return failures_ < failures_to_open; }
    /// Earliest time at which a request may be sent; time_point{} if closed.
    [[nodiscard]] time_point retry_at() const { return is_closed() ? time_point{} : open_until_; }

    static constexpr unsigned failures_to_open = 3;

private:
    /// Consecutive failures.
    unsigned failures_ = 0;
    time_point open_until_{};
};

} // namespace magnolia
