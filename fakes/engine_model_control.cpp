/// Orders, load reports and injected faults of the engine model.
#include "engine_model.h"

#include <algorithm>
#include <ranges>

namespace magnolia::fakes {

namespace {

void erase_item(std::vector<loaded_item>& items, const std::string& name) {
    std::erase_if(items, [&name](const loaded_item& item) { return item.name == name; });
}

bool is_load(order_kind kind) {
    return kind == order_kind::load_model || kind == order_kind::load_adapter;
}

bool is_about_model(order_kind kind) {
    return kind == order_kind::load_model || kind == order_kind::unload_model;
}

} // namespace

result<void> engine_model::apply_order(const engine_order& order, time_point now) {
    if (!is_up_) {
        return fail(error_code::connection, settings_.name);
    }
    auto events = advance(now);
    events_ = std::move(events);
    if (settings_.checks_fencing && order.fencing < fencing_) {
        ++counts_.orders_fenced;
        return fail(error_code::fenced, std::to_string(fencing_));
    }
    counts_.stale_orders_taken += order.fencing < fencing_ ? 1U : 0U;
    fencing_ = std::max(fencing_, order.fencing);
    ++counts_.orders_taken;
    auto& items = is_about_model(order.kind) ? models_ : adapters_;
    switch (order.kind) {
    case order_kind::set_role:
        role_ = order.role;
        return {};
    case order_kind::drain:
        state_ = host_state::leaving;
        return {};
    case order_kind::undrain:
        state_ = host_state::live;
        return {};
    default:
        break;
    }
    const auto found = std::ranges::find(items, order.name, &loaded_item::name);
    if (is_load(order.kind) && found != items.end() && found->version == order.version) {
        return {};
    }
    erase_item(items, order.name);
    std::erase_if(loading_, [&order](const pending_load& load) {
        return is_about_model(load.kind) == is_about_model(order.kind) &&
               load.item.name == order.name;
    });
    if (is_load(order.kind)) {
        const loaded_item item{order.name, order.version, false};
        items.push_back(item);
        loading_.push_back({order.kind, item, now + settings_.costs.load_time});
    }
    return {};
}

void engine_model::report(time_point now) {
    if (now - reported_at_ < settings_.load_interval) {
        return;
    }
    report_ = current_load();
    reported_at_ = now;
}

engine_load engine_model::current_load() const {
    engine_load load;
    for (const auto& [id, value] : jobs_) {
        ++(value.is_running ? load.running_requests : load.waiting_requests);
        load.pending_prefill_tokens += value.end_prefill - value.next_prefill;
    }
    load.free_memory_tokens = settings_.memory_tokens - used_memory();
    load.state = state_;
    return load;
}

engine_load engine_model::load(time_point now) const {
    auto load = report_;
    load.age = now - reported_at_;
    load.state = state_;
    return load;
}

engine_status engine_model::status() const {
    return {boot_, models_, adapters_, role_, state_, settings_.checks_fencing ? fencing_ : 0};
}

std::vector<held_memory> engine_model::list_reservations(time_point now) const {
    std::vector<held_memory> list;
    list.reserve(reservations_.size());
    for (const auto& [name, value] : reservations_) {
        list.push_back({name, value.owner, value.tokens, value.expires_at - now});
    }
    return list;
}

std::vector<cache_event> engine_model::cache_events(std::uint64_t after, time_point now) const {
    std::vector<cache_event> visible;
    std::ranges::copy_if(cache_events_, std::back_inserter(visible),
                         [after, now](const cache_event& event) {
                             return event.sequence > after && event.visible_at <= now;
                         });
    return visible;
}

std::vector<attempt_id> engine_model::crash(time_point now) {
    std::vector<attempt_id> interrupted;
    std::ranges::copy(jobs_ | std::views::keys, std::back_inserter(interrupted));
    for (const auto& [name, value] : reservations_) {
        for (const auto& part : value.parts) {
            parts_.erase({settings_.self, part});
        }
    }
    jobs_.clear();
    reservations_.clear();
    cache_.clear();
    cache_events_.clear();
    events_.clear();
    loading_.clear();
    step_.reset();
    paused_at_.reset();
    is_up_ = false;
    clock_ = std::max(clock_, now);
    return interrupted;
}

void engine_model::restart(time_point now) {
    is_up_ = true;
    state_ = host_state::live;
    boot_ = random_();
    models_ = settings_.models;
    adapters_.clear();
    role_ = engine_role::any;
    fencing_ = 0;
    clock_ = std::max(clock_, now);
    report_ = current_load();
    reported_at_ = now;
}

void engine_model::pause(time_point now) {
    auto events = advance(now);
    events_ = std::move(events);
    paused_at_ = now;
}

void engine_model::resume(time_point now) {
    if (!paused_at_) {
        return;
    }
    if (step_) {
        step_->end += now - *paused_at_;
    }
    paused_at_.reset();
}

} // namespace magnolia::fakes
