/// The platform's object store in memory, as far as configuration needs it: versions, conditional
/// writes, lists, watches; outages, lost answers and stale reads on demand.
#pragma once

#include "platform_port.h"

#include <map>
#include <span>
#include <vector>

namespace magnolia {

class memory_store {
public:
    /// Accepts a write unconditionally; returns the object's new version.
    std::uint64_t write(const object_id& id, std::string value);

    /// Answers a call. A watch that would wait is answered as if its wait had passed.
    [[nodiscard]] result<platform_reply> answer(const platform_call& call);
    /// Whether a watch has something to tell now.
    [[nodiscard]] bool has_changes(const object_watch& watch) const;

    /// Answers calls as the store was at this revision; 0 ends that.
    void set_stale(std::uint64_t revision) { stale_revision_ = revision; }
    [[nodiscard]] std::uint64_t revision() const { return changes_.size(); }
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

    /// Every write, in order; the revision after it is its position plus one.
    std::vector<stored_object> changes_;
    std::uint64_t stale_revision_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace magnolia
