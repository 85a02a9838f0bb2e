#include "fenced_orders.h"

#include <algorithm>

namespace magnolia {
namespace {

bool is_load_order(const engine_order& order) {
    return order.kind == order_kind::load_model || order.kind == order_kind::load_adapter;
}

/// Returns the next order that makes the loaded items equal to the desired ones. `unload` and
/// `load` are the kinds of order for models, or for adapters.
std::optional<engine_order> next_item_order(const std::vector<desired_item>& desired,
                                            const std::vector<loaded_item>& loaded,
                                            order_kind unload, order_kind load) {
    const auto surplus = std::ranges::find_if(loaded, [&desired](const loaded_item& item) {
        return std::ranges::find(desired, item.name, &desired_item::name) == desired.end();
    });
    if (surplus != loaded.end()) {
        return engine_order{{}, unload, surplus->name, {}, {}, 0};
    }
    const auto missing = std::ranges::find_if(desired, [&loaded](const desired_item& item) {
        return std::ranges::none_of(loaded, [&item](const loaded_item& present) {
            return present.name == item.name && present.version == item.version;
        });
    });
    if (missing != desired.end()) {
        return engine_order{{}, load, missing->name, missing->version, {}, 0};
    }
    return std::nullopt;
}

/// Size of the weights that a load order reads.
std::uint64_t bytes_of(const desired_engine& desired, const engine_order& order) {
    const auto& items = order.kind == order_kind::load_model ? desired.models : desired.adapters;
    const auto found = std::ranges::find(items, order.name, &desired_item::name);
    return found == items.end() ? 0 : found->bytes;
}

bool is_loading_weights(const engine_status& status) {
    const auto is_unready = [](const loaded_item& item) { return !item.is_ready; };
    return std::ranges::any_of(status.models, is_unready) ||
           std::ranges::any_of(status.adapters, is_unready);
}

} // namespace

std::optional<engine_order> next_order(engine_handle engine, const desired_engine& desired,
                                       const engine_status& status) {
    std::optional<engine_order> order;
    const bool is_leaving = status.state == host_state::leaving;
    if (desired.is_leaving != is_leaving) {
        const auto kind = desired.is_leaving ? order_kind::drain : order_kind::undrain;
        order = engine_order{{}, kind, {}, {}, {}, 0};
    }
    if (!order && desired.role != status.role) {
        order = engine_order{{}, order_kind::set_role, {}, {}, desired.role, 0};
    }
    if (!order) {
        order = next_item_order(desired.adapters, status.adapters, order_kind::unload_adapter,
                                order_kind::load_adapter);
    }
    if (!order) {
        order = next_item_order(desired.models, status.models, order_kind::unload_model,
                                order_kind::load_model);
    }
    if (order) {
        order->engine = engine;
    }
    return order;
}

void fenced_orders::set_desired(engine_handle engine, desired_engine desired) {
    engines_[engine].desired = std::move(desired);
}

const desired_engine* fenced_orders::desired(engine_handle engine) const {
    const auto found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second.desired;
}

void fenced_orders::on_status(engine_handle engine, const engine_status& status, time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    found->second.status = status;
    found->second.status_at = now;
}

void fenced_orders::on_weight_grant(engine_handle engine, result<std::chrono::milliseconds> wait,
                                    time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end() || found->second.pending != pending_reply::weight) {
        return;
    }
    auto& record = found->second;
    record.pending = pending_reply::none;
    if (!wait) {
        record.pending_load.reset();
        record.next_step_due =
            now + std::max<duration>(settings_.retry_interval, wait.error().retry_after);
        return;
    }
    record.load_allowed_at = now + *wait;
    record.next_step_due = record.load_allowed_at;
}

void fenced_orders::on_order_answered(engine_handle engine, const result<void>& answer,
                                      time_point now) {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    auto& record = found->second;
    record.pending = pending_reply::none;
    record.status_required_after = now;
    record.next_step_due = answer ? now : now + settings_.retry_interval;
}

bool fenced_orders::has_fresh_status(const engine_record& record, time_point now) const {
    return record.status && record.status_at > record.status_required_after &&
           now - record.status_at <= settings_.max_status_age;
}

std::uint32_t fenced_orders::loads_in_progress() const {
    const auto count = std::ranges::count_if(engines_, [](const auto& item) {
        const auto& record = item.second;
        return record.pending_load || (record.status && is_loading_weights(*record.status));
    });
    return static_cast<std::uint32_t>(count);
}

std::optional<control_step> fenced_orders::next_step(engine_handle engine, engine_record& record,
                                                     std::uint64_t fencing_token, bool may_load,
                                                     time_point now) {
    auto order = next_order(engine, record.desired, *record.status);
    const auto approved = std::exchange(record.pending_load, std::nullopt);
    if (!order) {
        return std::nullopt;
    }
    order->fencing = fencing_token;
    const bool is_weight_granted = approved && approved->kind == order->kind &&
                                   approved->name == order->name &&
                                   approved->version == order->version;
    if (!is_load_order(*order) || is_weight_granted) {
        record.pending = pending_reply::order;
        record.status_required_after = now;
        return *order;
    }
    if (!may_load) {
        return std::nullopt;
    }
    record.pending = pending_reply::weight;
    record.pending_load = order;
    return weight_request{engine, bytes_of(record.desired, *order)};
}

std::vector<control_step> fenced_orders::poll(const order_permit& permit, time_point now) {
    std::vector<control_step> steps;
    if (!permit.may_send_order) {
        return steps;
    }
    for (auto& [engine, record] : engines_) {
        const bool may_send_order = record.desired.checks_fencing || permit.may_send_unfenced_order;
        if (!may_send_order || record.pending != pending_reply::none ||
            record.next_step_due > now || !has_fresh_status(record, now)) {
            continue;
        }
        const bool may_load = loads_in_progress() < settings_.max_loads;
        if (auto step = next_step(engine, record, permit.fencing_token, may_load, now)) {
            steps.push_back(std::move(*step));
        }
    }
    return steps;
}

std::vector<engine_handle> fenced_orders::engines_needing_status(time_point now) const {
    std::vector<engine_handle> engines;
    for (const auto& [engine, record] : engines_) {
        if (record.pending != pending_reply::order && !has_fresh_status(record, now)) {
            engines.push_back(engine);
        }
    }
    return engines;
}

bool fenced_orders::is_converged() const {
    return std::ranges::all_of(engines_, [](const auto& item) {
        return item.second.status &&
               !next_order(item.first, item.second.desired, *item.second.status) &&
               !is_loading_weights(*item.second.status);
    });
}

} // namespace magnolia
