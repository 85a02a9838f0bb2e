/// Which hosts share which engines, so that what a host tells the others costs it the same at any
/// number of hosts. Pure: hosts with the same lists compute the same division without
/// communication; different lists cost quality of placement for a moment, never a promise.
///
/// In a small deployment every host uses every engine and tells everyone. A larger one is divided:
/// - A domain is an availability zone with its hosts and engines; the whole deployment, if a zone
///   has too few engines of its own. Long prompts use the engines of a domain and are told to its
///   hosts: they are rare, and they are what other prompts suffer from.
/// - A cell is a part of a domain's hosts and engines. Short prompts use the engines of the host's
///   cell and are told to its hosts.
#pragma once

#include <compare>
#include <limits>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// A host or an engine with its availability zone.
struct located_name {
    std::string name;
    std::string zone;

    bool operator==(const located_name&) const = default;
};

/// Hosts that have to be told of work on an engine.
struct audience_id {
    static constexpr std::size_t all_cells = std::numeric_limits<std::size_t>::max();

    /// Zone of the domain; empty if it is the whole deployment.
    std::string domain;
    /// Number of the cell; all_cells for every host of the domain, also if it has one cell only.
    std::size_t cell = all_cells;

    auto operator<=>(const audience_id&) const = default;
};

/// Bounds of the division.
struct topology_limits {
    /// A deployment of up to this many hosts is not divided.
    std::size_t max_undivided_hosts = 24;
    /// A zone with fewer engines is no domain of its own.
    std::size_t min_domain_engines = 8;
    /// A domain gets a cell for each of these numbers of hosts and of engines, whichever gives
    /// fewer: cells as small as possible, whose engines still even out the load.
    std::size_t cell_hosts = 8;
    std::size_t cell_engines = 7;
};

/// The division as one host sees it. Owned by backend_fleet. Not thread-safe.
class exchange_topology {
public:
    /// @param zone  availability zone of this host.
    explicit exchange_topology(std::string zone, topology_limits limits = {});

    /// Sets this host's name, the hosts that are alive, this one included, and the engines.
    void update(std::string host, std::span<const located_name> hosts,
                std::span<const located_name> engines);

    /// False while every host uses every engine and tells everyone.
    [[nodiscard]] bool is_divided() const { return is_divided_; }
    /// Whether the engine is in this host's domain.
    [[nodiscard]] bool is_home(std::string_view engine) const;
    /// Whether the engine is in this host's cell.
    [[nodiscard]] bool is_near(std::string_view engine) const;
    /// Who has to be told of work on the engine.
    [[nodiscard]] audience_id audience_of(std::string_view engine, bool is_long) const;
    /// Names of the other hosts of an audience.
    [[nodiscard]] std::vector<std::string> hosts_of(const audience_id& audience) const;
    /// Audience of this host's cell.
    [[nodiscard]] audience_id own_cell() const { return {own_domain_, own_cell_}; }
    /// Audience of this host's domain.
    [[nodiscard]] audience_id own_domain() const { return {own_domain_, audience_id::all_cells}; }
    /// Names of all hosts, this one included if it belongs to them, that use the engines of an
    /// availability zone. Every host computes the same names from the same lists, wherever it is.
    [[nodiscard]] std::vector<std::string> users_of_zone(std::string_view zone) const;
    /// Whether the host belongs to the audience.
    [[nodiscard]] bool contains(const audience_id& audience, std::string_view host) const;
    /// Draws some hosts outside the own cell, of the own domain and of others. What they are told
    /// spreads from host to host (epidemic).
    [[nodiscard]] std::vector<std::string> draw_far_hosts(std::mt19937_64& random) const;
    /// Other hosts of the own domain outside the own cell.
    [[nodiscard]] std::vector<std::string> domain_hosts_outside_cell() const;
    /// Hosts of the own domain for each host of the own cell.
    [[nodiscard]] double domain_to_cell_ratio() const;
    /// Cells of this host's domain.
    [[nodiscard]] std::size_t cell_count() const;

private:
    struct domain {
        std::size_t cells = 1;
        std::map<std::string, std::size_t, std::less<>> cell_of_host;
        std::map<std::string, std::size_t, std::less<>> cell_of_engine;
    };

    [[nodiscard]] const domain* find(std::string_view zone) const;

    std::string host_;
    std::string zone_;
    topology_limits limits_;
    bool is_divided_ = false;
    /// Whether each zone is a domain.
    bool is_by_zone_ = false;
    std::string own_domain_;
    std::size_t own_cell_ = audience_id::all_cells;
    /// By zone; one with an empty name if the whole deployment is one.
    std::map<std::string, domain, std::less<>> domains_;
    /// Name of the domain of each engine.
    std::map<std::string, std::string, std::less<>> domain_of_engine_;
};

} // namespace magnolia
