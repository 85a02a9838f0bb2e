/// Stops sending to a back end that keeps failing, and probes it until it answers again.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Closed, open with a doubling pause, or half open with one probe at a time.
class breaker {
public:
    /// Whether a request may be sent now. A half open breaker lets one probe through.
    [[nodiscard]] bool allows(time_point now) const;
    /// A request was sent. Opens the probe slot's use if the breaker is not closed.
    void on_sent(time_point now);
    void on_success();
    void on_failure(time_point now);

    [[nodiscard]] bool is_closed() const { return failures_ < failures_to_open; }
    /// Earliest time at which a request may be sent.
    [[nodiscard]] time_point retry_at() const { return is_closed() ? time_point{} : open_until_; }

    static constexpr unsigned failures_to_open = 3;

private:
    /// Failures in a row.
    unsigned failures_ = 0;
    time_point open_until_{};
};

} // namespace magnolia
