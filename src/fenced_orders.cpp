#include "fenced_orders.h"

#include <algorithm>

namespace magnolia {
namespace {

bool is_load(const engine_order& order) {
    return order.kind == order_kind::load_model || order.kind == order_kind::load_adapter;
}

/// Order about models or adapters, whichever the kinds name.
std::optional<engine_order> next_item_order(const std::vector<wanted_item>& wanted,
                                            const std::vector<loaded_item>& loaded,
                                            order_kind unload, order_kind load) {
    const auto unwanted = std::ranges::find_if(loaded, [&wanted](const loaded_item& item) {
        return std::ranges::find(wanted, item.name, &wanted_item::name) == wanted.end();
    });
    if (unwanted != loaded.end()) {
        return engine_order{{}, unload, unwanted->name, {}, {}, 0};
    }
    const auto missing = std::ranges::find_if(wanted, [&loaded](const wanted_item& item) {
        return std::ranges::none_of(loaded, [&item](const loaded_item& has) {
            return has.name == item.name && has.version == item.version;
        });
    });
    if (missing != wanted.end()) {
        return engine_order{{}, load, missing->name, missing->version, {}, 0};
    }
    return std::nullopt;
}

std::uint64_t bytes_of(const wanted_engine& wanted, const engine_order& order) {
    const auto& items = order.kind == order_kind::load_model ? wanted.models : wanted.adapters;
    const auto found = std::ranges::find(items, order.name, &wanted_item::name);
    return found == items.end() ? 0 : found->bytes;
}

bool is_reading_weights(const engine_status& status) {
    const auto is_unready = [](const loaded_item& item) { return !item.is_ready; };
    return std::ranges::any_of(status.models, is_unready) ||
           std::ranges::any_of(status.adapters, is_unready);
}

} // namespace

std::optional<engine_order> next_order(engine_handle engine, const wanted_engine& wanted,
                                       const engine_status& status) {
    std::optional<engine_order> order;
    const bool is_leaving = status.state == host_state::leaving;
    if (wanted.is_leaving != is_leaving) {
        const auto kind = wanted.is_leaving ? order_kind::drain : order_kind::undrain;
        order = engine_order{{}, kind, {}, {}, {}, 0};
    }
    if (!order && wanted.role != status.role) {
        order = engine_order{{}, order_kind::set_role, {}, {}, wanted.role, 0};
    }
    if (!order) {
        order = next_item_order(wanted.adapters, status.adapters, order_kind::unload_adapter,
                                order_kind::load_adapter);
    }
    if (!order) {
        order = next_item_order(wanted.models, status.models, order_kind::unload_model,
                                order_kind::load_model);
    }
    if (order) {
        order->engine = engine;
    }
    return order;
}

void fenced_orders::set_wanted(engine_handle engine, wanted_engine wanted) {
    engines_[engine].wanted = std::move(wanted);
}

const wanted_engine* fenced_orders::wanted(engine_handle engine) const {
    const auto found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second.wanted;
}

void fenced_orders::on_status(engine_handle engine, const engine_status& status, time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    found->second.status = status;
    found->second.status_at = now;
}

void fenced_orders::on_weight(engine_handle engine, result<std::chrono::milliseconds> wait,
                              time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end() || found->second.on != waiting::weight) {
        return;
    }
    auto& known = found->second;
    known.on = waiting::nothing;
    if (!wait) {
        known.granted.reset();
        known.due = now + std::max<duration>(settings_.retry_interval, wait.error().retry_after);
        return;
    }
    known.granted_at = now + *wait;
    known.due = known.granted_at;
}

void fenced_orders::on_order_answered(engine_handle engine, const result<void>& answer,
                                      time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    auto& known = found->second;
    known.on = waiting::nothing;
    known.stale_before = now;
    known.due = answer ? now : now + settings_.retry_interval;
}

bool fenced_orders::is_fresh(const record& known, time_point now) const {
    return known.status && known.status_at > known.stale_before &&
           now - known.status_at <= settings_.max_status_age;
}

std::uint32_t fenced_orders::loads_under_way() const {
    const auto count = std::ranges::count_if(engines_, [](const auto& item) {
        const auto& known = item.second;
        return known.granted || (known.status && is_reading_weights(*known.status));
    });
    return static_cast<std::uint32_t>(count);
}

std::optional<control_step> fenced_orders::next_step(engine_handle engine, record& known,
                                                     std::uint64_t fencing, bool may_load,
                                                     time_point now) {
    auto order = next_order(engine, known.wanted, *known.status);
    const auto granted = std::exchange(known.granted, std::nullopt);
    if (!order) {
        return std::nullopt;
    }
    order->fencing = fencing;
    const bool is_granted = granted && granted->kind == order->kind &&
                            granted->name == order->name && granted->version == order->version;
    if (!is_load(*order) || is_granted) {
        known.on = waiting::order;
        known.stale_before = now;
        return *order;
    }
    if (!may_load) {
        return std::nullopt;
    }
    known.on = waiting::weight;
    known.granted = order;
    return weight_request{engine, bytes_of(known.wanted, *order)};
}

std::vector<control_step> fenced_orders::poll(const order_permit& permit, time_point now) {
    std::vector<control_step> steps;
    if (!permit.may_act) {
        return steps;
    }
    for (auto& [engine, known] : engines_) {
        const bool may_act = known.wanted.checks_fencing || permit.may_act_unfenced;
        if (!may_act || known.on != waiting::nothing || known.due > now || !is_fresh(known, now)) {
            continue;
        }
        const bool may_load = loads_under_way() < settings_.max_loads;
        if (auto step = next_step(engine, known, permit.fencing, may_load, now)) {
            steps.push_back(std::move(*step));
        }
    }
    return steps;
}

std::vector<engine_handle> fenced_orders::needs_status(time_point now) const {
    std::vector<engine_handle> engines;
    for (const auto& [engine, known] : engines_) {
        if (known.on != waiting::order && !is_fresh(known, now)) {
            engines.push_back(engine);
        }
    }
    return engines;
}

bool fenced_orders::is_settled() const {
    return std::ranges::all_of(engines_, [](const auto& item) {
        return item.second.status &&
               !next_order(item.first, item.second.wanted, *item.second.status) &&
               !is_reading_weights(*item.second.status);
    });
}

} // namespace magnolia
