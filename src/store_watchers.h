/// Which hosts watch the platform's store for the others, so that calls to the store grow with
/// zones instead of hosts. Pure: hosts with the same list of hosts agree without communication.
#pragma once

#include <magnolia/schema.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Hosts of the zone that watch the store: at most two, the largest first; among hosts of the same
/// size by rendezvous hashing. The others read from these (store_reader).
[[nodiscard]] std::vector<std::string> store_watchers(std::span<const member_info> hosts,
                                                      std::string_view zone);

/// Hosts of the other zones that watch the store.
[[nodiscard]] std::vector<std::string> foreign_watchers(std::span<const member_info> hosts,
                                                        std::string_view own_zone);

/// The watchers in the order in which this host asks them, so that they share the hosts evenly.
[[nodiscard]] std::vector<std::string> watchers_by_preference(std::vector<std::string> watchers,
                                                              std::string_view host);

} // namespace magnolia
