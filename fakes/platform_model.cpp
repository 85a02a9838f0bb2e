#include "platform_model.h"

#include "platform_wire.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Retry delay sent with calls above the rate.
constexpr auto busy_retry = std::chrono::milliseconds{200};

/// Kind of object that a call is for; empty for the host list and the weight store.
std::string_view kind_of(const platform_call& call) {
    struct visitor {
        std::string_view operator()(const object_get& call) const { return call.id.kind; }
        std::string_view operator()(const object_put& call) const { return call.id.kind; }
        std::string_view operator()(const object_delete& call) const { return call.id.kind; }
        std::string_view operator()(const object_list& call) const { return call.kind; }
        std::string_view operator()(const object_watch& call) const { return call.kind; }
        std::string_view operator()(const host_list& /*call*/) const { return {}; }
        std::string_view operator()(const weight_take& /*call*/) const { return {}; }
    };
    return std::visit(visitor{}, call);
}

result<platform_reply> as_reply(result<stored_object> object) {
    return std::move(object).map([](stored_object value) { return platform_reply{value}; });
}

} // namespace

platform_model::platform_model(std::uint64_t seed) : random_{seed} {}

bool platform_model::take_token(std::optional<token_bucket>& bucket, double rate, time_point now) {
    if (!bucket) {
        bucket.emplace(rate, rate, rate, now);
    }
    bucket->configure(rate, rate, now);
    return bucket->take(1, now);
}

bool platform_model::draw_bernoulli(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>{0, 1}(random_) < probability;
}

bool platform_model::is_loss_candidate(const platform_call& call) const {
    return faults_.lost_kind.empty() || kind_of(call) == faults_.lost_kind;
}

std::chrono::milliseconds platform_model::draw_delay() {
    const auto spread = faults_.delay_spread.count();
    return faults_.delay + std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>{
                               0, std::max<std::int64_t>(0, spread)}(random_)};
}

simulated_reply platform_model::execute(const platform_call& call, time_point now) {
    if (faults_.outage == outage_mode::hang) {
        ++counts_.refused_by_outage;
        return {simulated_reply::mode::hang, {}, {}};
    }
    if (faults_.outage == outage_mode::refuse) {
        ++counts_.refused_by_outage;
        return {simulated_reply::mode::reply, fail(error_code::platform_down, "outage"), {}};
    }
    const bool is_allowed = is_write(call)
                                ? take_token(write_tokens_, faults_.writes_per_second, now)
                                : take_token(read_tokens_, faults_.reads_per_second, now);
    if (!is_allowed) {
        ++counts_.refused_by_rate;
        return {simulated_reply::mode::reply, fail(error_code::platform_busy, "rate", busy_retry),
                draw_delay()};
    }
    if (is_loss_candidate(call) && draw_bernoulli(faults_.lost_calls)) {
        ++counts_.lost_calls;
        return {simulated_reply::mode::lost, {}, draw_delay()};
    }
    ++(is_write(call) ? counts_.writes : counts_.reads);
    if (const auto* watch = std::get_if<object_watch>(&call); watch != nullptr) {
        const auto page = store_.changes(*watch);
        return page ? simulated_reply{simulated_reply::mode::reply, platform_reply{*page}, {}}
                    : simulated_reply{simulated_reply::mode::wait, {}, {}};
    }
    auto reply = apply(call, now);
    if (!reply && reply.error().code == error_code::conflict) {
        ++counts_.conflicts;
    }
    if (is_loss_candidate(call) && draw_bernoulli(faults_.lost_answers)) {
        ++counts_.lost_answers;
        return {simulated_reply::mode::lost, {}, draw_delay()};
    }
    return {simulated_reply::mode::reply, std::move(reply), draw_delay()};
}

result<void> platform_model::charge_watch(time_point now) {
    if (!take_token(read_tokens_, faults_.reads_per_second, now)) {
        ++counts_.refused_by_rate;
        return fail(error_code::platform_busy, "rate", busy_retry);
    }
    ++counts_.reads;
    return {};
}

std::optional<watch_page> platform_model::watch_changes(const object_watch& call) const {
    return store_.changes(call);
}

result<platform_reply> platform_model::apply(const platform_call& call, time_point now) {
    if (const auto* get = std::get_if<object_get>(&call)) {
        return platform_reply{store_.get(get->id)};
    }
    if (const auto* put = std::get_if<object_put>(&call)) {
        return as_reply(store_.put(*put));
    }
    if (const auto* erase = std::get_if<object_delete>(&call)) {
        return as_reply(store_.erase(*erase));
    }
    if (const auto* list = std::get_if<object_list>(&call)) {
        return platform_reply{store_.list(*list)};
    }
    if (const auto* weights = std::get_if<weight_take>(&call)) {
        return platform_reply{take_weights(weights->bytes, now)};
    }
    return platform_reply{hosts(now)};
}

void platform_model::set_host(const platform_host& host, time_point now) {
    host_changes_.push_back({now + faults_.host_lag, host.name, host});
}

void platform_model::remove_host(const std::string& name, time_point now) {
    host_changes_.push_back({now + faults_.host_lag, name, std::nullopt});
}

host_page platform_model::hosts(time_point now) {
    while (!host_changes_.empty() && host_changes_.front().visible_at <= now) {
        const auto& change = host_changes_.front();
        if (change.host) {
            hosts_[change.name] = *change.host;
        } else {
            hosts_.erase(change.name);
        }
        host_changes_.pop_front();
    }
    host_page page;
    std::ranges::transform(hosts_, std::back_inserter(page.hosts),
                           [](const auto& item) { return item.second; });
    return page;
}

weight_grant platform_model::take_weights(std::uint64_t bytes, time_point now) {
    const auto start = std::max(now, weights_available_at_);
    const std::chrono::duration<double> time{static_cast<double>(bytes) /
                                             faults_.weight_bytes_per_second};
    weights_available_at_ = start + std::chrono::duration_cast<duration>(time);
    return {std::chrono::duration_cast<std::chrono::milliseconds>(weights_available_at_ - now)};
}

} // namespace magnolia
