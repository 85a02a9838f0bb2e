/// Typed errors. Every operation that can fail returns result<T>.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <tl/expected.hpp>

namespace magnolia {

/// An error: its code, the offending object or value, and an optional retry delay.
struct error {
    error_code code = error_code::internal;
    /// Offending name or value, for people. Programs act on `code` alone.
    std::string subject;
    /// Minimum delay before a retry; zero if no delay is suggested.
    std::chrono::milliseconds retry_after{0};

    bool operator==(const error&) const = default;
};

/// A value or an error.
template <class T>
using result = tl::expected<T, error>;

/// Makes the error side of a result.
[[nodiscard]] inline tl::unexpected<error> fail(error_code code, std::string subject = {},
                                                std::chrono::milliseconds retry_after = {}) {
    return tl::unexpected<error>{error{code, std::move(subject), retry_after}};
}

/// Formats the error for logs as "code: subject".
[[nodiscard]] std::string to_string(const error& failure);

} // namespace magnolia
