#include "limit_share.h"

#include "limit_amounts.h"
#include "limit_keeper.h"

#include <utility>

namespace magnolia {

limit_demand limit_source::ask(std::string_view workspace, std::uint64_t boot,
                               const limit_amounts& wanted, const limit_amounts& extra,
                               const limit_amounts& demand, std::uint32_t more_slots,
                               std::uint32_t number, time_point now) {
    expire(now);
    const auto slots = under_way_ + more_slots;
    slots_ = std::min(slots_, slots);
    const auto lost = is_waiting_ ? number_ : 0;
    number_ = number;
    is_waiting_ = true;
    asked_at_ = now;
    asked_need_ = sum(wanted, kept(now));
    return {std::string{workspace},       number_, received_, lost, boot, wanted, extra, demand,
            std::exchange(returned_, {}), slots,   under_way_};
}

bool limit_source::on_grant(const limit_grant& message, time_point now) {
    if (message.number != number_ || !is_waiting_) {
        return false;
    }
    is_waiting_ = false;
    received_ = message.number;
    answered_at_ = asked_at_;
    answered_need_ = asked_need_;
    last_grant_ = message;
    returned_ = sum(returned_, batches_[0].amounts);
    batches_[0] = batches_[1];
    batches_[1] = {message.granted, *asked_at_ + grant_lease};
    slots_ = message.slots;
    slots_until_ = *asked_at_ + grant_lease;
    expire(now);
    return true;
}

bool limit_source::take(const limit_amounts& needed, time_point now) {
    expire(now);
    if (!covers(held(now), needed)) {
        return false;
    }
    auto rest = needed;
    for (auto& each : batches_) {
        const auto taken = least(each.amounts, rest);
        each.amounts = excess(each.amounts, taken);
        rest = excess(rest, taken);
    }
    return true;
}

bool limit_source::take_slot(time_point now) {
    if (under_way_ >= slots(now)) {
        return false;
    }
    ++under_way_;
    return true;
}

void limit_source::reset() {
    const auto under_way = under_way_;
    *this = {};
    under_way_ = under_way;
}

limit_amounts limit_source::held(time_point now) const {
    limit_amounts all;
    for (const auto& each : batches_) {
        all = now < each.until ? sum(all, each.amounts) : all;
    }
    return all;
}

limit_amounts limit_source::kept(time_point now) const {
    return now < batches_[1].until ? batches_[1].amounts : limit_amounts{};
}

void limit_source::put_back(const limit_amounts& unused, time_point now) {
    expire(now);
    returned_ = sum(returned_, unused);
}

void limit_source::expire(time_point now) {
    for (auto& each : batches_) {
        if (now >= each.until) {
            returned_ = sum(returned_, std::exchange(each.amounts, {}));
        }
    }
}

bool limit_source::has_returns() const {
    return !is_zero(returned_);
}

} // namespace magnolia
