#include "host_directory.h"

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Time without a message after which a process that sends digests counts as lost: five lost
/// digests in a row.
constexpr duration digest_timeout = milliseconds{2500};

/// A host that ends without notice is gone everywhere some 4 s later. All bounds on datagrams keep
/// them below the usual MTU.
membership_options directory_options() {
    membership_options options;
    options.probe_period = milliseconds{500};
    options.ack_timeout = milliseconds{250};
    options.indirect_timeout = milliseconds{250};
    options.suspicion_timeout = milliseconds{1500};
    options.list_request_period = milliseconds{5000};
    options.max_piggyback_bytes = 1000;
    options.members_per_list_message = 16;
    options.unconfirmed_probes = 4;
    return options;
}

} // namespace

host_directory::host_directory(member_info self, std::uint64_t seed)
    : members_{std::move(self), seed, directory_options()} {
    refresh();
}

void host_directory::add_listed(std::span<const member_info> hosts, time_point now) {
    members_.add_seeds(hosts, false, now);
    refresh();
}

std::vector<outgoing_message>
host_directory::on_message(std::string_view sender, const peer_message& message, time_point now) {
    members_.on_message(sender, message, now);
    take_events();
    return members_.take_messages();
}

std::vector<outgoing_message> host_directory::poll(time_point now) {
    auto messages = members_.poll(now);
    take_events();
    return messages;
}

std::vector<outgoing_message> host_directory::greet(std::span<const std::string> hosts,
                                                    time_point now) {
    std::ranges::for_each(hosts, [&](const auto& host) { members_.greet(host, now); });
    return members_.take_messages();
}

std::vector<outgoing_message> host_directory::leave() {
    members_.leave();
    refresh();
    return members_.take_messages();
}

void host_directory::take_events() {
    const auto events = members_.take_events();
    for (const auto& event : events) {
        if (event.member.state != host_state::gone) {
            continue;
        }
        if (const auto ended = processes_.find(event.member.name); ended != processes_.end()) {
            lost_.push_back(ended->second.origin);
            processes_.erase(ended);
        }
    }
    if (!events.empty()) {
        refresh();
    }
}

void host_directory::refresh() {
    auto all = members_.members();
    known_count_ = all.size();
    live_count_ =
        static_cast<std::size_t>(std::ranges::count(all, host_state::live, &member_info::state));
    all.push_back(members_.self());
    std::erase_if(all, [](const member_info& member) {
        return member.state != host_state::live && member.state != host_state::suspect;
    });
    std::ranges::sort(all, {}, &member_info::name);
    // A suspect still takes part, and a new incarnation is the same host.
    const auto is_same = [](const member_info& left, const member_info& right) {
        return left.name == right.name && left.zone == right.zone &&
               left.address == right.address && left.port == right.port &&
               left.capacity == right.capacity;
    };
    if (!std::ranges::equal(all, alive_, is_same)) {
        ++revision_;
        alive_ = std::move(all);
    }
}

bool host_directory::on_process(const std::string& host, std::uint64_t origin, time_point now) {
    auto& process = processes_[host];
    process.last_heard = now;
    if (process.origin == origin) {
        return false;
    }
    if (const auto previous = std::exchange(process.origin, origin); previous != 0) {
        lost_.push_back(previous);
    }
    return true;
}

std::vector<std::uint64_t>
host_directory::take_lost(const std::set<std::string, std::less<>>& digest_senders,
                          time_point now) {
    std::erase_if(processes_, [&](const auto& item) {
        const bool is_silent =
            now - item.second.last_heard > digest_timeout && digest_senders.contains(item.first);
        if (is_silent) {
            lost_.push_back(item.second.origin);
        }
        return is_silent;
    });
    return std::exchange(lost_, {});
}

bool host_directory::is_alive(std::string_view host) const {
    return std::ranges::binary_search(alive_, host, {}, &member_info::name);
}

} // namespace magnolia
