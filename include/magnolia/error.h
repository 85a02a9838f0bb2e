/// Typed failures. Every operation that can fail returns result<T>.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <tl/expected.hpp>

namespace magnolia {

/// One failure: its type, what it is about, and when to try again.
struct error {
    error_code code = error_code::internal;
    /// Offending name or value; never the only carrier of meaning.
    std::string subject;
    /// Earliest time after which a retry makes sense; zero if there is none.
    std::chrono::milliseconds retry_after{0};

    bool operator==(const error&) const = default;
};

/// Value or typed failure.
template <class T>
using result = tl::expected<T, error>;

/// Failure as the unexpected side of a result.
[[nodiscard]] inline tl::unexpected<error> fail(error_code code, std::string subject = {},
                                                std::chrono::milliseconds retry_after = {}) {
    return tl::unexpected<error>{error{code, std::move(subject), retry_after}};
}

/// Text for logs: the error's name and its subject.
[[nodiscard]] std::string to_string(const error& failure);

} // namespace magnolia
