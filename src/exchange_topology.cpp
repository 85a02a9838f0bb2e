#include "exchange_topology.h"

#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Hosts that draw_far_hosts() draws. A host hears as many others as it tells.
constexpr std::ptrdiff_t far_hosts_in_domain = 4;
constexpr std::ptrdiff_t far_hosts_elsewhere = 4;

/// Spreads the names evenly over the cells. Rendezvous hashing with a bound: each name goes to the
/// cell that it prefers among those with room, so that a name that comes or goes moves few others.
std::map<std::string, std::size_t, std::less<>>
assign_to_cells(const std::vector<std::string>& names, std::size_t cells) {
    std::map<std::string, std::size_t, std::less<>> cell_of;
    const auto share = names.size() / cells;
    auto larger_cells = names.size() % cells;
    std::vector<std::size_t> used(cells, 0);
    std::vector<std::pair<std::uint64_t, std::string_view>> order;
    order.reserve(names.size());
    for (const auto& name : names) {
        order.emplace_back(XXH3_64bits(name.data(), name.size()), name);
    }
    std::ranges::sort(order);
    for (const auto& name : order | std::views::values) {
        std::size_t best = 0;
        std::uint64_t best_weight = 0;
        for (std::size_t cell = 0; cell < cells; ++cell) {
            const auto weight = rendezvous_weight(name, std::to_string(cell));
            const bool has_room = used[cell] < share || (used[cell] == share && larger_cells > 0);
            if (has_room && weight >= best_weight) {
                best = cell;
                best_weight = weight;
            }
        }
        larger_cells -= used[best] == share ? 1 : 0;
        ++used[best];
        cell_of.emplace(name, best);
    }
    return cell_of;
}

/// Names by zone; all under an empty zone unless `by_zone`.
std::map<std::string, std::vector<std::string>> group(std::span<const located_name> items,
                                                      bool by_zone) {
    std::map<std::string, std::vector<std::string>> groups;
    for (const auto& item : items) {
        groups[by_zone ? item.zone : std::string{}].push_back(item.name);
    }
    return groups;
}

std::vector<std::string>
find_or_empty(const std::map<std::string, std::vector<std::string>>& groups,
              const std::string& name) {
    const auto found = groups.find(name);
    return found == groups.end() ? std::vector<std::string>{} : found->second;
}

} // namespace

exchange_topology::exchange_topology(std::string zone, topology_limits limits)
    : zone_{std::move(zone)}, limits_{limits} {}

void exchange_topology::update(std::string host, std::span<const located_name> hosts,
                               std::span<const located_name> engines) {
    host_ = std::move(host);
    is_divided_ = hosts.size() > limits_.max_undivided_hosts;
    const auto engines_by_zone = group(engines, true);
    // While no engine is known, hosts tell each other of themselves only.
    is_by_zone_ =
        is_divided_ &&
        (engines.empty() ||
         std::ranges::all_of(group(hosts, true) | std::views::keys, [&](const std::string& zone) {
             const auto found = engines_by_zone.find(zone);
             return found != engines_by_zone.end() &&
                    found->second.size() >= limits_.min_domain_engines;
         }));
    own_domain_ = is_by_zone_ ? zone_ : std::string{};
    domains_.clear();
    domain_of_engine_.clear();
    const auto domain_engines = group(engines, is_by_zone_);
    const auto domain_hosts = group(hosts, is_by_zone_);
    for (const auto& name : domain_hosts | std::views::keys) {
        domains_[name];
    }
    for (const auto& [name, members] : domain_engines) {
        domains_[name];
        for (const auto& engine : members) {
            domain_of_engine_.emplace(engine, name);
        }
    }
    for (auto& [name, created] : domains_) {
        const auto members = find_or_empty(domain_hosts, name);
        const auto shared = find_or_empty(domain_engines, name);
        auto cells = members.size() / limits_.cell_hosts;
        if (!engines.empty()) {
            cells = std::min(cells, shared.size() / limits_.cell_engines);
        }
        created.cells = is_divided_ ? std::max<std::size_t>(cells, 1) : 1;
        created.cell_of_host = assign_to_cells(members, created.cells);
        created.cell_of_engine = assign_to_cells(shared, created.cells);
    }
    const auto& own = domains_[own_domain_];
    const auto self = own.cell_of_host.find(host_);
    own_cell_ =
        own.cells == 1 || self == own.cell_of_host.end() ? audience_id::all_cells : self->second;
}

const exchange_topology::domain* exchange_topology::find(std::string_view zone) const {
    const auto found = domains_.find(zone);
    return found == domains_.end() ? nullptr : &found->second;
}

bool exchange_topology::is_home(std::string_view engine) const {
    const auto found = domain_of_engine_.find(engine);
    return !is_divided_ || (found != domain_of_engine_.end() && found->second == own_domain_);
}

bool exchange_topology::is_near(std::string_view engine) const {
    return !is_divided_ || audience_of(engine, false) == own_cell();
}

audience_id exchange_topology::audience_of(std::string_view engine, bool is_long) const {
    const auto found = domain_of_engine_.find(engine);
    const auto* in = found == domain_of_engine_.end() ? nullptr : find(found->second);
    if (in == nullptr) {
        return {own_domain_, audience_id::all_cells};
    }
    const bool is_for_all = is_long || in->cells == 1;
    return {found->second,
            is_for_all ? audience_id::all_cells : in->cell_of_engine.find(engine)->second};
}

std::vector<std::string> exchange_topology::hosts_of(const audience_id& audience) const {
    std::vector<std::string> hosts;
    if (const auto* in = find(audience.domain)) {
        for (const auto& [name, cell] : in->cell_of_host) {
            if (name != host_ &&
                (audience.cell == audience_id::all_cells || audience.cell == cell)) {
                hosts.push_back(name);
            }
        }
    }
    return hosts;
}

std::vector<std::string> exchange_topology::users_of_zone(std::string_view zone) const {
    const auto* in = find(is_by_zone_ ? zone : std::string_view{});
    std::vector<std::string> users;
    if (in != nullptr && !in->cell_of_host.empty()) {
        std::ranges::copy(in->cell_of_host | std::views::keys, std::back_inserter(users));
        return users;
    }
    // A zone without hosts: those of all other zones use its engines.
    for (const auto& other : domains_ | std::views::values) {
        std::ranges::copy(other.cell_of_host | std::views::keys, std::back_inserter(users));
    }
    return users;
}

bool exchange_topology::contains(const audience_id& audience, std::string_view host) const {
    const auto* in = find(audience.domain);
    if (in == nullptr) {
        return false;
    }
    const auto found = in->cell_of_host.find(host);
    return found != in->cell_of_host.end() &&
           (audience.cell == audience_id::all_cells || audience.cell == found->second);
}

std::vector<std::string> exchange_topology::domain_hosts_outside_cell() const {
    auto hosts = hosts_of(own_domain());
    std::erase_if(hosts, [this](const auto& host) { return contains(own_cell(), host); });
    return hosts;
}

std::vector<std::string> exchange_topology::draw_far_hosts(std::mt19937_64& random) const {
    std::vector<std::string> elsewhere;
    for (const auto& [name, other] : domains_) {
        if (name != own_domain_) {
            std::ranges::copy(other.cell_of_host | std::views::keys, std::back_inserter(elsewhere));
        }
    }
    std::vector<std::string> drawn;
    std::ranges::sample(domain_hosts_outside_cell(), std::back_inserter(drawn), far_hosts_in_domain,
                        random);
    std::ranges::sample(elsewhere, std::back_inserter(drawn), far_hosts_elsewhere, random);
    return drawn;
}

double exchange_topology::domain_to_cell_ratio() const {
    const auto* own = find(own_domain_);
    return own == nullptr ? 1 : static_cast<double>(own->cells);
}

std::size_t exchange_topology::cell_count() const {
    const auto* own = find(own_domain_);
    return own == nullptr ? 1 : own->cells;
}

} // namespace magnolia
