/// Life cycle of a request: which steps may follow each other. The machine itself is in
/// request_lifecycle.cpp.
#pragma once

#include <magnolia/error.h>

#include <memory>

namespace magnolia {

/// Where a request stands.
enum class request_phase : std::uint8_t {
    /// Read; nothing decided.
    received,
    /// Waits for the durable claim of its idempotency key.
    claiming,
    /// Admitted; no attempt is under way.
    admitted,
    /// Memory of a group of engines is being reserved or filled.
    reserving,
    /// An attempt was sent; nothing came back.
    dispatched,
    /// Part of the answer came back.
    streaming,
    /// The outcome is known and final.
    ended,
};

/// What happens to a request.
enum class request_step : std::uint8_t { claim, admit, reserve, dispatch, first_token, retry, end };

[[nodiscard]] std::string_view to_string(request_phase phase);

/// State machine of one request. A step that the phase does not allow is refused and changes
/// nothing.
class request_lifecycle {
public:
    request_lifecycle();
    ~request_lifecycle();
    request_lifecycle(request_lifecycle&&) noexcept;
    request_lifecycle& operator=(request_lifecycle&&) noexcept;

    [[nodiscard]] request_phase phase() const;

    /// Takes a step. Errors: internal, naming the phase, if it is not allowed there.
    result<void> apply(request_step step);

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace magnolia
