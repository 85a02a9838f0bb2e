/// The platform's object store in memory, reduced to what configuration needs: versions,
/// conditional writes, lists, watches and stale reads. Outages are simulated by the callers.
#pragma once

#include "platform_port.h"

#include <map>
#include <span>
#include <vector>

namespace magnolia {

/// Keeps every write, so that it can answer as of an earlier revision. Not thread-safe.
class memory_store {
public:
    /// Writes an object without a condition; returns its new version.
    std::uint64_t write(const object_id& id, std::string value);

    /// Executes a call. A watch without changes returns at once, as if its wait had passed.
    [[nodiscard]] result<platform_reply> answer(const platform_call& call);
    /// Whether a watch would return changes now.
    [[nodiscard]] bool has_changes(const object_watch& watch) const;

    /// Answers all later calls as of this revision; 0 answers from the latest one again.
    void set_stale(std::uint64_t revision) { stale_revision_ = revision; }
    [[nodiscard]] std::uint64_t revision() const { return changes_.size(); }
    /// Number of calls since the start.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    [[nodiscard]] std::uint64_t visible_revision() const;
    [[nodiscard]] const stored_object* latest(const object_id& id) const;

    result<platform_reply> on(const object_get& call);
    result<platform_reply> on(const object_put& call);
    result<platform_reply> on(const object_list& call);
    result<platform_reply> on(const object_watch& call);
    template <class Other>
    result<platform_reply> on(const Other& /*call*/) {
        return fail(error_code::bad_request);
    }

    /// All writes in order; the write at index n created revision n + 1.
    std::vector<stored_object> changes_;
    std::uint64_t stale_revision_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace magnolia
