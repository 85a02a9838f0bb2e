/// Network in memory with a virtual clock: bounded delay, loss, doubles and cut paths, from a seed.
#pragma once

#include "outgoing_message.h"

#include <magnolia/types.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace magnolia {

/// Faults of the network.
struct memory_net_options {
    double loss = 0;
    double duplication = 0;
    duration min_delay{500};
    duration max_delay{3000};
    /// Encode and decode each message through the real codec, and count its bytes.
    bool use_codec = false;
    /// Messages under way; what comes beyond is lost.
    std::size_t capacity = 1000000;
};

/// A message that has arrived.
struct delivered_message {
    std::string from;
    std::string to;
    peer_message message;
};

/// Bytes and messages of one node.
struct memory_traffic {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_out = 0;
};

class memory_net {
public:
    memory_net(memory_net_options options, std::uint64_t seed);

    /// Sets which paths are cut; nothing arrives on them, also of what is under way.
    void set_partition(std::function<bool(const std::string&, const std::string&)> is_blocked);
    void set_loss(double loss) { options_.loss = loss; }

    void send(const std::string& from, outgoing_message message, time_point now);
    /// Messages that have arrived by now, oldest first.
    [[nodiscard]] std::vector<delivered_message> take_due(time_point now);

    [[nodiscard]] const std::map<std::string, memory_traffic>& traffic() const { return traffic_; }
    void reset_traffic() { traffic_.clear(); }

private:
    void enqueue(delivered_message delivery, time_point now);

    memory_net_options options_;
    std::mt19937_64 random_;
    std::function<bool(const std::string&, const std::string&)> is_blocked_;
    std::multimap<time_point, delivered_message> in_flight_;
    std::map<std::string, memory_traffic> traffic_;
};

} // namespace magnolia
