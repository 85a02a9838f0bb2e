#include "answer_memory.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>

namespace magnolia {
namespace {

/// Part of a host's memory that answers may take: one eighth.
constexpr std::uint64_t memory_divisor = 8;
constexpr std::uint64_t min_limit = std::uint64_t{8} << 20U;
/// Hosts may report the memory of a machine of which they have a part.
constexpr std::uint64_t max_limit = std::uint64_t{32} << 20U;

/// Bytes that may wait for one caller while there is enough memory.
constexpr std::size_t max_unread_bytes = std::size_t{256} << 10U;
/// The same while memory is short: a few events.
constexpr std::size_t min_unread_bytes = std::size_t{16} << 10U;

} // namespace

std::size_t answer_memory_limit(std::uint64_t host_memory) {
    return std::clamp(host_memory / memory_divisor, min_limit, max_limit);
}

memory_relief choose_relief(std::span<const kept_answer> answers, std::size_t unread,
                            std::size_t limit) {
    memory_relief relief;
    const auto sum_of = [&](auto is_counted) {
        return std::transform_reduce(
            answers.begin(), answers.end(), std::size_t{0}, std::plus{},
            [&](const auto& item) { return is_counted(item) ? item.bytes : 0; });
    };
    const auto has_use = [](const auto& item) { return item.wait != answer_wait::no_use; };
    const auto useful = sum_of(has_use);
    auto waiting = unread + sum_of([](const auto&) { return true; });
    std::vector<std::size_t> order(answers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::erase_if(order, [&](std::size_t index) { return answers[index].bytes == 0; });
    std::ranges::sort(order, [&](std::size_t left, std::size_t right) {
        return std::tuple{answers[left].wait, answers[right].bytes, left} <
               std::tuple{answers[right].wait, answers[left].bytes, right};
    });
    const auto give_up = [&](std::size_t index) {
        if (waiting > limit) {
            relief.answers.push_back(index);
            waiting -= answers[index].bytes;
        }
    };
    const auto first_useful =
        std::ranges::find_if(order, [&](std::size_t index) { return has_use(answers[index]); });
    std::for_each(order.begin(), first_useful, give_up);
    if (waiting > limit && unread > useful) {
        relief.unread_bytes = std::min(waiting - limit, unread - useful);
        waiting -= relief.unread_bytes;
    }
    std::for_each(first_useful, order.end(), give_up);
    relief.unread_bytes += waiting > limit ? waiting - limit : 0;
    return relief;
}

std::size_t unread_allowance(std::size_t waiting, std::size_t limit) {
    return waiting <= limit / 2 ? max_unread_bytes : min_unread_bytes;
}

} // namespace magnolia
