#include "store_watchers.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>
#include <tuple>

namespace magnolia {
namespace {

constexpr std::size_t watchers_per_zone = 2;
constexpr std::string_view duty = "store";

} // namespace

std::vector<std::string> store_watchers(std::span<const member_info> hosts, std::string_view zone) {
    std::vector<std::tuple<std::uint32_t, std::uint64_t, std::string_view>> order;
    for (const auto& host : hosts) {
        if (host.zone == zone) {
            order.emplace_back(host.capacity, rendezvous_weight(duty, host.name), host.name);
        }
    }
    std::ranges::sort(order, std::greater{});
    std::vector<std::string> watchers;
    for (const auto& [capacity, weight, name] : order | std::views::take(watchers_per_zone)) {
        watchers.emplace_back(name);
    }
    return watchers;
}

std::vector<std::string> foreign_watchers(std::span<const member_info> hosts,
                                          std::string_view own_zone) {
    std::set<std::string_view> zones;
    for (const auto& host : hosts) {
        zones.insert(host.zone);
    }
    zones.erase(own_zone);
    std::vector<std::string> watchers;
    for (const auto zone : zones) {
        std::ranges::move(store_watchers(hosts, zone), std::back_inserter(watchers));
    }
    return watchers;
}

std::vector<std::string> watchers_by_preference(std::vector<std::string> watchers,
                                                std::string_view host) {
    return rendezvous_choose(host, watchers, watchers.size());
}

} // namespace magnolia
