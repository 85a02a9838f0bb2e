/// Calls to the platform and their replies: an object store with versions and watches, the host
/// list and the weight store. A platform with another protocol is supported by a codec or a further
/// transport of platform_client.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <variant>
#include <vector>

namespace magnolia {

/// Kind and name of an object in the platform's store.
struct object_id {
    /// Kind, for example "contract", "claims", "lease", "status".
    std::string kind;
    std::string name;

    auto operator<=>(const object_id&) const = default;
};

/// Position in the store's history. The epoch increases each time the store is restored from a copy
/// of itself; revisions are given out again then. Ordered by epoch first.
struct store_position {
    std::uint64_t epoch = 0;
    /// Increases with every change within an epoch.
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;
};

/// An object of the store.
struct stored_object {
    object_id id;
    /// Version of the object; 0 if it does not exist. Increases with every write.
    std::uint64_t version = 0;
    /// Content, at most config::max_object_bytes.
    std::string value;
    /// In a watch page: the object was deleted at this version.
    bool deleted = false;
};

/// Reads one object. The reply has version 0 if it does not exist.
struct object_get {
    object_id id;
};

/// Writes an object if its version is the expected one; 0 means that it must not exist. Errors:
/// conflict and platform_busy, both without effect; platform_down if the reply was lost, in which
/// case the write may have taken effect or may still do so.
struct object_put {
    object_id id;
    std::uint64_t expected_version = 0;
    std::string value;
};

/// Deletes an object if its version is the expected one.
struct object_delete {
    object_id id;
    std::uint64_t expected_version = 0;
};

/// Lists the objects of a kind, sorted by name.
struct object_list {
    std::string kind;
    /// Only names after this one are listed.
    std::string after;
    /// Maximum number of objects in the reply; 0 lets the platform choose.
    std::uint32_t limit = 0;
    /// Whether the reply may be some seconds old, which costs the platform less.
    bool may_be_stale = false;
};

/// Waits for changes of a kind after a position (long polling).
struct object_watch {
    std::string kind;
    store_position after{};
    /// Longest time to wait for a change.
    std::chrono::milliseconds wait{2000};
};

/// Reads the list of hosts, which shows changes with a delay.
struct host_list {};

/// Reserves bytes of the weight store's bandwidth.
struct weight_take {
    std::uint64_t bytes = 0;
};

using platform_call = std::variant<object_get, object_put, object_delete, object_list, object_watch,
                                   host_list, weight_take>;

/// One page of a list.
struct object_page {
    std::vector<stored_object> items;
    /// Position of the store at which the list was read; a watch can continue from it. Codecs set
    /// the revision, the client the epoch.
    store_position position{};
    /// Whether names after the last item exist; only set if there is an item.
    bool more = false;
};

/// Reply to a watch.
struct watch_page {
    std::vector<stored_object> changes;
    /// See object_page.
    store_position position{};
    /// Changes were lost; the objects of the kind have to be listed again.
    bool gap = false;
};

/// A host in the platform's list.
struct platform_host {
    std::string name;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    /// "entry", "engine" or "service".
    std::string kind;
    host_state state = host_state::live;
};

/// Reply to host_list.
struct host_page {
    std::vector<platform_host> hosts;
};

/// Reply to weight_take.
struct weight_grant {
    /// Time to wait before the bytes may be read.
    std::chrono::milliseconds wait{0};
};

/// Reply to a call. A put or delete returns the object with its new version.
using platform_reply =
    std::variant<stored_object, object_page, watch_page, host_page, weight_grant>;

/// Priorities of calls, the highest first: the order of sending when the rates do not suffice.
enum class call_priority : std::uint8_t { claim, lease, configuration, status };

} // namespace magnolia
