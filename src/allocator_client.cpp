#include "allocator_client.h"

#include "limit_allocator.h"
#include "limit_amounts.h"

#include <utility>

namespace magnolia {

limit_demand allocator_client::make_demand(std::string_view workspace, std::uint64_t boot,
                                           const limit_amounts& required,
                                           const limit_amounts& prefetch,
                                           const limit_amounts& demand, std::uint32_t more_slots,
                                           std::uint32_t number, time_point now) {
    expire(now);
    const auto slots = slots_in_use_ + more_slots;
    slots_ = std::min(slots_, slots);
    const auto lost = is_awaiting_grant_ ? demand_number_ : 0;
    demand_number_ = number;
    is_awaiting_grant_ = true;
    demand_sent_at_ = now;
    pending_need_ = sum(required, retained(now));
    return {std::string{workspace},
            demand_number_,
            last_received_,
            lost,
            boot,
            required,
            prefetch,
            demand,
            std::exchange(to_return_, {}),
            slots,
            slots_in_use_};
}

bool allocator_client::on_grant(const limit_grant& message, time_point now) {
    if (message.number != demand_number_ || !is_awaiting_grant_) {
        return false;
    }
    is_awaiting_grant_ = false;
    last_received_ = message.number;
    answered_demand_sent_at_ = demand_sent_at_;
    answered_need_ = pending_need_;
    last_grant_ = message;
    to_return_ = sum(to_return_, batches_[0].amounts);
    batches_[0] = batches_[1];
    batches_[1] = {message.granted, *demand_sent_at_ + grant_lease};
    slots_ = message.slots;
    slots_expire_at_ = *demand_sent_at_ + grant_lease;
    expire(now);
    return true;
}

bool allocator_client::try_take(const limit_amounts& needed, time_point now) {
    expire(now);
    if (!covers(available(now), needed)) {
        return false;
    }
    auto remaining = needed;
    for (auto& each : batches_) {
        const auto taken = minimum(each.amounts, remaining);
        each.amounts = excess(each.amounts, taken);
        remaining = excess(remaining, taken);
    }
    return true;
}

bool allocator_client::try_take_slot(time_point now) {
    if (slots_in_use_ >= slots(now)) {
        return false;
    }
    ++slots_in_use_;
    return true;
}

void allocator_client::reset() {
    const auto slots_in_use = slots_in_use_;
    *this = {};
    slots_in_use_ = slots_in_use;
}

limit_amounts allocator_client::available(time_point now) const {
    limit_amounts total;
    for (const auto& each : batches_) {
        total = now < each.expires_at ? sum(total, each.amounts) : total;
    }
    return total;
}

limit_amounts allocator_client::retained(time_point now) const {
    return now < batches_[1].expires_at ? batches_[1].amounts : limit_amounts{};
}

void allocator_client::return_unused(const limit_amounts& unused, time_point now) {
    expire(now);
    to_return_ = sum(to_return_, unused);
}

void allocator_client::expire(time_point now) {
    for (auto& each : batches_) {
        if (now >= each.expires_at) {
            to_return_ = sum(to_return_, std::exchange(each.amounts, {}));
        }
    }
}

bool allocator_client::has_amounts_to_return() const {
    return !is_zero(to_return_);
}

} // namespace magnolia
