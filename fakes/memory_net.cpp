#include "memory_net.h"

#include "peer_codec.h"

namespace magnolia {
namespace {

constexpr std::size_t length_bytes = 4;

/// Message as its receiver reads it, and its bytes on the wire.
std::pair<peer_message, std::size_t> pass_codec(const peer_message& message) {
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
    : options_{options}, random_{seed}, is_cut_{[](const auto&, const auto&) { return false; }} {}

void memory_net::set_cut(std::function<bool(const std::string&, const std::string&)> is_cut) {
    is_cut_ = std::move(is_cut);
}

void memory_net::send(const std::string& from, outgoing_message message, time_point now) {
    memory_delivery delivery{from, std::move(message.member), std::move(message.message)};
    if (options_.use_codec) {
        auto [decoded, bytes] = pass_codec(delivery.message);
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

void memory_net::enqueue(memory_delivery delivery, time_point now) {
    const bool is_lost = std::bernoulli_distribution{options_.loss}(random_);
    if (is_lost || under_way_.size() >= options_.capacity) {
        return;
    }
    std::uniform_int_distribution<duration::rep> delay{options_.least_delay.count(),
                                                       options_.most_delay.count()};
    under_way_.emplace(now + duration{delay(random_)}, std::move(delivery));
}

std::vector<memory_delivery> memory_net::take_due(time_point now) {
    std::vector<memory_delivery> due;
    const auto end = under_way_.upper_bound(now);
    for (auto item = under_way_.begin(); item != end; ++item) {
        if (!is_cut_(item->second.from, item->second.to)) {
            due.push_back(std::move(item->second));
        }
    }
    under_way_.erase(under_way_.begin(), end);
    return due;
}

} // namespace magnolia
