/// Simulated network on a virtual clock with bounded random delay, loss, duplication and
/// partitions.
#pragma once

#include "outgoing_message.h"

#include <magnolia/types.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace magnolia {

/// Fault injection of the network.
struct memory_net_options {
    /// Probability that a message is lost or duplicated.
    double loss = 0;
    double duplication = 0;
    /// Range of the random delay of a message.
    duration min_delay{500};
    duration max_delay{3000};
    /// Encodes and decodes each message with the production codec and counts its bytes.
    bool use_codec = false;
    /// Maximum number of messages in flight; further messages are lost.
    std::size_t capacity = 1000000;
};

/// A message in flight or delivered.
struct delivered_message {
    std::string from;
    std::string to;
    peer_message message;
};

/// Traffic counters of one node.
struct memory_traffic {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_out = 0;
};

/// Carries messages between the nodes of a simulation, reproducibly for a given seed. The test
/// drives it with its virtual clock; not thread-safe.
class memory_net {
public:
    memory_net(memory_net_options options, std::uint64_t seed);

    /// Sets the predicate (sender, receiver) that selects partitioned paths. Messages on them are
    /// lost, including those in flight.
    void set_partition(std::function<bool(const std::string&, const std::string&)> is_blocked);
    void set_loss(double loss) { options_.loss = loss; }

    /// Sends a message; it is delivered, lost or duplicated according to the options.
    void send(const std::string& from, outgoing_message message, time_point now);
    /// Returns the messages that have arrived by now, earliest first.
    [[nodiscard]] std::vector<delivered_message> take_due(time_point now);

    [[nodiscard]] const std::map<std::string, memory_traffic>& traffic() const { return traffic_; }
    void reset_traffic() { traffic_.clear(); }

private:
    void enqueue(delivered_message delivery, time_point now);

    memory_net_options options_;
    std::mt19937_64 random_;
    std::function<bool(const std::string&, const std::string&)> is_blocked_;
    /// By time of arrival.
    std::multimap<time_point, delivered_message> in_flight_;
    std::map<std::string, memory_traffic> traffic_;
};

} // namespace magnolia
