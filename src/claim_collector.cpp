#include "claim_collector.h"

#include "claims_p.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Objects per page; small because each may have the maximum size.
constexpr std::uint32_t list_page_size = 8;

} // namespace

claim_collector::claim_collector(const claim_options& options, std::chrono::milliseconds period,
                                 std::uint64_t seed)
    : options_{options}, period_{period}, random_{seed} {}

bool claim_collector::is_expired(const object_id& id, std::int64_t wall_ms) const {
    const auto last = latest_creation_ms(id, options_);
    const auto min_age = options_.retention + (2 * options_.max_clock_error);
    return last && wall_ms - *last > min_age.count();
}

std::optional<platform_call> claim_collector::poll(time_point now, std::int64_t wall_ms) {
    if (is_in_flight_ || now < next_round_) {
        return std::nullopt;
    }
    is_in_flight_ = true;
    if (!expired_.empty() && is_expired(expired_.front().id, wall_ms)) {
        const auto call = expired_.front();
        expired_.pop_front();
        is_deleting_ = true;
        return call;
    }
    expired_.clear();
    is_deleting_ = false;
    return object_list{"claims", list_after_, list_page_size};
}

/// Names sort by creation time, so the first object that has not expired ends the round.
void claim_collector::on_reply(const result<platform_reply>& reply, time_point now,
                               std::int64_t wall_ms) {
    is_in_flight_ = false;
    if (is_deleting_) {
        // Objects that remain after a conflict or a lost reply are deleted in the next round.
        deleted_objects_ += reply ? 1 : 0;
        if (expired_.empty() && !is_listing_) {
            end_round(now);
        }
        return;
    }
    if (!reply) {
        end_round(now);
        return;
    }
    const auto& page = std::get<object_page>(*reply);
    for (const auto& object : page.items) {
        if (is_expired(object.id, wall_ms)) {
            expired_.push_back({object.id, object.version});
        }
    }
    is_listing_ = page.more && expired_.size() == page.items.size();
    list_after_ = page.items.empty() ? "" : page.items.back().id.name;
    if (expired_.empty()) {
        end_round(now);
    }
}

void claim_collector::end_round(time_point now) {
    std::uniform_int_distribution<std::int64_t> distribution{period_.count() / 2,
                                                             period_.count() * 3 / 2};
    next_round_ = now + std::chrono::milliseconds{distribution(random_)};
    list_after_.clear();
    expired_.clear();
    is_listing_ = true;
}

} // namespace magnolia
