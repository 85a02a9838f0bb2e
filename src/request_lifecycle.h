/// Life cycle of a request: its phases and the allowed transitions between them. The transition
/// table is in request_lifecycle.cpp.
#pragma once

#include <magnolia/error.h>

#include <memory>

namespace magnolia {

/// Phase of a request.
enum class request_phase : std::uint8_t {
    /// Parsed; not yet admitted.
    received,
    /// Waiting for the durable claim of its idempotency key.
    claiming,
    /// Admitted; no attempt is in progress.
    admitted,
    /// Memory on a group of engines is being reserved or prefilled.
    reserving,
    /// An attempt was sent; no token has been received.
    dispatched,
    /// Part of the answer has been received.
    streaming,
    /// The outcome is final.
    ended,
};

/// Event that moves a request to another phase.
enum class request_step : std::uint8_t { claim, admit, reserve, dispatch, first_token, retry, end };

[[nodiscard]] std::string_view to_string(request_phase phase);

/// State machine of one request, owned by its request_record. A step that is not allowed in the
/// current phase is rejected and changes nothing. Not thread-safe.
class request_lifecycle {
public:
    request_lifecycle();
    ~request_lifecycle();
    request_lifecycle(request_lifecycle&&) noexcept;
    request_lifecycle& operator=(request_lifecycle&&) noexcept;

    [[nodiscard]] request_phase phase() const;

    /// Applies a step. Errors: internal, with the current phase as subject, if the step is not
    /// allowed.
    result<void> apply(request_step step);

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace magnolia
