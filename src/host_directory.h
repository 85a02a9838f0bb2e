/// One table of the hosts of the deployment: which are alive, where they are, and which process
/// runs on each. Gossip, relays, watches of the store, limits and retry budgets read it.
#pragma once

#include "membership.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnolia {

/// Owned by the gateway. Not thread-safe; does no I/O: time is passed in, messages are returned by
/// poll(). Probes cost each host the same at any number of hosts (SWIM, see membership).
class host_directory {
public:
    /// @param self  name, zone, address and capacity of this host.
    /// @param seed  seed of the random choices.
    host_directory(member_info self, std::uint64_t seed);

    /// Adds hosts that are registered in the platform's store.
    void add_listed(std::span<const member_info> hosts, time_point now);
    /// A membership message arrived. Returns the answers to it.
    [[nodiscard]] std::vector<outgoing_message>
    on_message(std::string_view sender, const peer_message& message, time_point now);
    /// Returns the probes and updates that are due.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);
    /// Makes this host known to the others at once.
    [[nodiscard]] std::vector<outgoing_message> greet(std::span<const std::string> hosts,
                                                      time_point now);
    /// Announces the end of this host: the others choose it for nothing any more.
    [[nodiscard]] std::vector<outgoing_message> leave();

    /// A message of this process of the host arrived. Returns whether the process is new here, so
    /// that it has to be told what it cannot know.
    bool on_process(const std::string& host, std::uint64_t origin, time_point now);
    /// Takes the processes that were replaced, whose host is gone, or that are silent although they
    /// send digests to this host.
    /// @param digest_senders  hosts that send digests regularly.
    [[nodiscard]] std::vector<std::uint64_t>
    take_lost(const std::set<std::string, std::less<>>& digest_senders, time_point now);

    /// Hosts that take work, this one included unless it leaves; sorted by name.
    [[nodiscard]] const std::vector<member_info>& alive() const { return alive_; }
    [[nodiscard]] bool is_alive(std::string_view host) const;
    /// Increased by each change of alive().
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Other hosts that are listed or were heard, also if they are gone.
    [[nodiscard]] std::size_t known_count() const { return known_count_; }
    /// Other hosts that have answered or were reported as live.
    [[nodiscard]] std::size_t live_count() const { return live_count_; }

private:
    struct running_process {
        std::uint64_t origin = 0;
        time_point last_heard{};
    };

    /// Applies changes of the membership.
    void take_events();
    /// Computes alive() anew.
    void refresh();

    membership members_;
    /// By host.
    std::map<std::string, running_process, std::less<>> processes_;
    std::vector<std::uint64_t> lost_;
    std::vector<member_info> alive_;
    std::uint64_t revision_ = 0;
    std::size_t known_count_ = 0;
    std::size_t live_count_ = 0;
};

} // namespace magnolia
