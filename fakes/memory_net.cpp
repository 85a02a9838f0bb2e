#include "memory_net.h"

#include "peer_codec.h"

namespace magnolia {
namespace {

constexpr std::size_t length_bytes = 4;

/// Returns the message as its receiver decodes it, and its size on the wire, bytes. A message that
/// cannot be encoded is passed on unchanged and counts as the largest frame.
std::pair<peer_message, std::size_t> encode_and_decode(const peer_message& message) {
    std::string frame;
    const auto bytes = append_frame(message, frame);
    if (!bytes) {
        return {message, config::max_frame_bytes};
    }
    const std::span body{reinterpret_cast<const std::uint8_t*>(frame.data()) + length_bytes,
                         *bytes - length_bytes};
    return {read_frame(body).value().message.value(), *bytes};
}

} // namespace

memory_net::memory_net(memory_net_options options, std::uint64_t seed)
    : options_{options}, random_{seed},
      is_blocked_{[](const auto&, const auto&) { return false; }} {}

void memory_net::set_partition(
    std::function<bool(const std::string&, const std::string&)> is_blocked) {
    is_blocked_ = std::move(is_blocked);
}

void memory_net::send(const std::string& from, outgoing_message message, time_point now) {
    delivered_message delivery{from, std::move(message.member), std::move(message.message)};
    if (options_.use_codec) {
        auto [decoded, bytes] = encode_and_decode(delivery.message);
        delivery.message = std::move(decoded);
        auto& sender = traffic_[from];
        sender.bytes_out += bytes;
        ++sender.messages_out;
        traffic_[delivery.to].bytes_in += bytes;
    }
    if (std::bernoulli_distribution{options_.duplication}(random_)) {
        enqueue(delivery, now);
    }
    enqueue(std::move(delivery), now);
}

void memory_net::enqueue(delivered_message delivery, time_point now) {
    const bool is_lost = std::bernoulli_distribution{options_.loss}(random_);
    if (is_lost || in_flight_.size() >= options_.capacity) {
        return;
    }
    std::uniform_int_distribution<duration::rep> delay{options_.min_delay.count(),
                                                       options_.max_delay.count()};
    in_flight_.emplace(now + duration{delay(random_)}, std::move(delivery));
}

std::vector<delivered_message> memory_net::take_due(time_point now) {
    std::vector<delivered_message> due;
    const auto end = in_flight_.upper_bound(now);
    for (auto item = in_flight_.begin(); item != end; ++item) {
        if (!is_blocked_(item->second.from, item->second.to)) {
            due.push_back(std::move(item->second));
        }
    }
    in_flight_.erase(in_flight_.begin(), end);
    return due;
}

} // namespace magnolia
