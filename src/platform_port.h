/// What the system asks of the platform: objects with versions, watches, the host list, the weight
/// store. A platform that speaks another protocol is one more file beside platform_client.cpp.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <variant>
#include <vector>

namespace magnolia {

/// Name of an object in the platform's store.
struct object_id {
    /// Kind, for example "contract", "claims", "lease", "status".
    std::string kind;
    std::string name;

    auto operator<=>(const object_id&) const = default;
};

/// An object as the store holds it.
struct stored_object {
    object_id id;
    /// Version of this object; 0 if it does not exist. Rises with every write.
    std::uint64_t version = 0;
    /// At most config::max_object_bytes.
    std::string value;
    /// In a watch: the object was deleted at this version.
    bool deleted = false;
};

/// Reads one object.
struct object_get {
    object_id id;
};

/// Writes an object if it still has the expected version; 0 means that it must not exist.
/// Errors: conflict and platform_busy without effect; platform_down if the answer was lost, in
/// which case the write may have taken effect or may still do so.
struct object_put {
    object_id id;
    std::uint64_t expected_version = 0;
    std::string value;
};

/// Deletes an object if it still has the expected version.
struct object_delete {
    object_id id;
    std::uint64_t expected_version = 0;
};

/// Lists the objects of a kind in the order of their names.
struct object_list {
    std::string kind;
    /// Only names after this one.
    std::string after;
    /// Most objects in the answer; 0 leaves it to the platform.
    std::uint32_t limit = 0;
    /// The answer may be seconds old; such a call is cheap.
    bool may_be_stale = false;
};

/// Waits for changes of a kind after a revision.
struct object_watch {
    std::string kind;
    std::uint64_t after_revision = 0;
    std::chrono::milliseconds wait{2000};
};

/// Reads the list of hosts, which lags.
struct host_list {};

/// Takes bytes from the weight store's budget.
struct weight_take {
    std::uint64_t bytes = 0;
};

using platform_call = std::variant<object_get, object_put, object_delete, object_list, object_watch,
                                   host_list, weight_take>;

/// Part of a list.
struct object_page {
    std::vector<stored_object> items;
    /// Revision of the store at which the list was read; a watch continues from it.
    std::uint64_t revision = 0;
    /// Whether names after the last one remain.
    bool more = false;
};

/// Answer to a watch.
struct watch_page {
    std::vector<stored_object> changes;
    std::uint64_t revision = 0;
    /// Changes were lost; the kind has to be listed again.
    bool gap = false;
};

/// One host as the platform's list has it.
struct platform_host {
    std::string name;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    /// "entry", "engine" or "service".
    std::string kind;
    host_state state = host_state::live;
};

struct host_page {
    std::vector<platform_host> hosts;
};

/// Answer to weight_take.
struct weight_grant {
    /// Time to wait before the bytes may be read.
    std::chrono::milliseconds wait{0};
};

/// Answer to a call; a put or delete answers with the object's new version.
using platform_reply =
    std::variant<stored_object, object_page, watch_page, host_page, weight_grant>;

/// Order in which calls are served when the rate is short.
enum class call_priority : std::uint8_t { claim, lease, configuration, status };

} // namespace magnolia
