/// Control process of a zone. While it holds the zone's lease, it sends orders to the engines until
/// their models, adapters and roles match the desired state in the platform's objects of kind
/// `engine`.
#include "claim_collector.h"
#include "engine_client.h"
#include "fenced_orders.h"
#include "io_thread.h"
#include "json_text.h"
#include "lease.h"
#include "platform_client.h"
#include "process.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace {

using namespace magnolia;

/// Interval of the control loop.
constexpr std::chrono::milliseconds tick_interval{100};
/// Kind of the platform objects that hold the desired state of an engine.
constexpr auto desired_state_kind = "engine";

/// Connects the decision classes of the control process (lease, orders, claim collector) to the
/// clients of the platform and the engines, in a loop driven by a timer. Not thread-safe; runs on
/// one I/O thread.
class controller {
public:
    controller(boost::asio::io_context& context, process& running,
               const control_settings& settings);

    /// Starts the loop.
    void start() { on_tick(); }
    /// Starts to release the lease. `done` is called once the lease is released, or if the platform
    /// is down.
    void stop(std::function<void()> done);

private:
    void on_tick();
    void poll_lease(time_point now);
    /// Reads the desired state of the engines from the platform, once per plan_interval. Reads only
    /// the first page of the list.
    void fetch_desired(time_point now);
    void on_desired(const std::vector<stored_object>& objects);
    /// Queries the status of the engines whose status the orders need.
    void fetch_status(time_point now);
    void poll_orders(time_point now);
    /// Deletes expired claims. Called by the lease holder only, to save calls to the platform.
    void poll_claim_collector(time_point now);
    /// Requests bytes of the weight store's read budget, before an engine loads weights.
    void send(const weight_request& request);
    /// Sends an order to an engine if the lease still permits it.
    void send(const engine_order& order);
    /// Logs and emits an event when the lease was acquired or lost.
    void report_lease_change(time_point now);
    [[nodiscard]] order_permit permit(time_point now) const;

    process& running_;
    const control_settings& settings_;
    logger log_{"control"};
    platform_client platform_;
    engine_client engines_;
    lease lease_;
    fenced_orders orders_;
    claim_collector claims_;
    std::map<std::string, engine_handle> handles_by_name_;
    /// Whether a status query of the engine is in progress.
    std::map<engine_handle, bool> is_status_pending_;
    boost::asio::steady_timer timer_;
    time_point next_desired_fetch_{};
    bool is_fetching_desired_ = false;
    /// Token of the last lease event that was emitted; 0 while the lease is not held.
    std::uint64_t reported_fencing_token_ = 0;
    /// Set by stop(), until the lease is released.
    std::function<void()> on_stopped_;
};

/// Wall clock time in milliseconds since 1970.
std::int64_t wall_ms() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
}

lease_settings make_lease_settings(const process& running, const control_settings& settings) {
    return {.name = "zone-" + settings.process.zone,
            .holder = settings.process.name,
            .boot = running.boot(),
            .ttl = settings.lease_ttl,
            .renewal_interval = settings.renewal_interval,
            .order_time = settings.order_time};
}

engine_client_settings make_client_settings(const control_settings& settings) {
    engine_client_settings client;
    client.owner = settings.process.name;
    client.load_interval = std::chrono::milliseconds{0};
    client.call_timeout = settings.order_time;
    return client;
}

controller::controller(boost::asio::io_context& context, process& running,
                       const control_settings& settings)
    : running_{running}, settings_{settings},
      platform_{context, settings.process.platform, {}, running.boot()},
      engines_{context, make_client_settings(settings)},
      lease_{make_lease_settings(running, settings)}, orders_{{.max_loads = settings.max_loads}},
      claims_{
          {.retention = settings.claim_retention}, settings.claim_collect_interval, running.boot()},
      timer_{context} {
    for (const auto& engine : settings.engines) {
        const engine_handle handle{static_cast<std::uint32_t>(handles_by_name_.size())};
        handles_by_name_.emplace(engine.name, handle);
        engines_.put_engine(handle, http_engine{{engine.address, engine.port}});
    }
}

void controller::on_tick() {
    const auto now = steady_now();
    poll_lease(now);
    if (lease_.fencing_token(now) != 0) {
        fetch_desired(now);
        fetch_status(now);
        poll_orders(now);
        poll_claim_collector(now);
    }
    report_lease_change(now);
    if (on_stopped_ && (lease_.is_stopped() || !platform_.is_up())) {
        std::exchange(on_stopped_, {})();
        return;
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            on_tick();
        }
    });
}

void controller::poll_claim_collector(time_point now) {
    if (auto call = claims_.poll(now, wall_ms())) {
        platform_.execute(std::move(*call), call_priority::status,
                          [this](const result<platform_reply>& reply) {
                              claims_.on_reply(reply, steady_now(), wall_ms());
                          });
    }
}

void controller::poll_lease(time_point now) {
    if (auto call = lease_.poll(now)) {
        platform_.execute(
            std::move(*call), call_priority::lease,
            [this](const result<platform_reply>& reply) { lease_.on_reply(reply, steady_now()); });
    }
}

void controller::report_lease_change(time_point now) {
    const auto fencing_token = lease_.fencing_token(now);
    if (fencing_token == reported_fencing_token_) {
        return;
    }
    reported_fencing_token_ = fencing_token;
    const bool is_holder = fencing_token != 0;
    running_.events().emit(
        is_holder ? event_kind::lease_taken : event_kind::lease_lapsed,
        {.subject = "zone-" + settings_.process.zone, .detail = std::to_string(fencing_token)});
    log_.info(is_holder ? "Acquired the zone's lease; sending orders."
                        : "No longer holds the zone's lease; sending no more orders.");
}

void controller::fetch_desired(time_point now) {
    if (is_fetching_desired_ || now < next_desired_fetch_) {
        return;
    }
    is_fetching_desired_ = true;
    next_desired_fetch_ = now + settings_.plan_interval;
    platform_.list_all({desired_state_kind, {}}, call_priority::configuration,
                       [this](const result<std::vector<stored_object>>& objects) {
                           is_fetching_desired_ = false;
                           if (!objects) {
                               log_.warn("Could not read the desired state of the engines: " +
                                         to_string(objects.error()));
                               return;
                           }
                           on_desired(*objects);
                       });
}

void controller::on_desired(const std::vector<stored_object>& objects) {
    for (const auto& object : objects) {
        const auto handle = handles_by_name_.find(object.id.name);
        const auto in = parse_json(object.value);
        if (handle == handles_by_name_.end() || in.is_discarded()) {
            continue;
        }
        schema_reader reader{unknown_keys::accept};
        wanted_engine_object desired;
        read(in, reader, desired);
        if (!reader.errors().empty()) {
            log_.warn("Ignored the desired state of " + object.id.name +
                      ": it does not match the schema.");
            continue;
        }
        const auto items = [](const std::vector<wanted_item_object>& list) {
            std::vector<desired_item> all;
            std::ranges::transform(list, std::back_inserter(all), [](const auto& item) {
                return desired_item{item.name, item.version, item.bytes};
            });
            return all;
        };
        const auto& engine = settings_.engines[handle->second.value];
        orders_.set_desired(handle->second, {items(desired.models), items(desired.adapters),
                                             desired.role, desired.leaving, engine.checks_fencing});
    }
}

void controller::fetch_status(time_point now) {
    for (const auto engine : orders_.engines_needing_status(now)) {
        if (std::exchange(is_status_pending_[engine], true)) {
            continue;
        }
        engines_.status(engine, [this, engine, now](const result<engine_status>& status) {
            is_status_pending_[engine] = false;
            if (status) {
                // The status is at least as recent as the query, so it is recorded with the time of
                // the query.
                orders_.on_status(engine, *status, now);
            }
        });
    }
}

order_permit controller::permit(time_point now) const {
    return {lease_.fencing_token(now), lease_.may_send_order(now),
            lease_.may_send_unfenced_order(now)};
}

void controller::poll_orders(time_point now) {
    for (const auto& step : orders_.poll(permit(now), now)) {
        std::visit([this](const auto& value) { send(value); }, step);
    }
}

void controller::send(const weight_request& request) {
    platform_.execute(weight_take{request.bytes}, call_priority::status,
                      [this, request](const result<platform_reply>& reply) {
                          const auto wait = reply.map([](const platform_reply& value) {
                              return std::get<weight_grant>(value).wait;
                          });
                          orders_.on_weight_grant(request.engine, wait, steady_now());
                      });
}

void controller::send(const engine_order& order) {
    const auto now = steady_now();
    const auto allowed = permit(now);
    const auto& engine = settings_.engines[order.engine.value];
    const bool may_send_order =
        engine.checks_fencing ? allowed.may_send_order : allowed.may_send_unfenced_order;
    if (!may_send_order || allowed.fencing_token != order.fencing) {
        orders_.on_order_answered(order.engine, fail(error_code::lease_lost), now);
        return;
    }
    running_.events().emit(event_kind::order_sent,
                           {.subject = engine.name, .detail = order.name + " " + order.version});
    engines_.order(order, [this, engine = order.engine](const result<void>& response) {
        orders_.on_order_answered(engine, response, steady_now());
    });
}

void controller::stop(std::function<void()> done) {
    on_stopped_ = std::move(done);
    lease_.stop();
}

result<void> run(process& running, const control_settings& settings) {
    if (settings.order_time >= settings.lease_ttl ||
        settings.renewal_interval * 2 >= settings.lease_ttl) {
        return fail(error_code::bad_settings,
                    "order_time and twice the renewal_interval have to be less than lease_ttl");
    }
    io_thread control_thread{"control"};
    controller control{control_thread.context(), running, settings};
    boost::asio::post(control_thread.context(), [&control] { control.start(); });
    control_thread.start();
    running.set_ready(true);
    running.wait_for_stop();
    std::promise<void> stopped;
    boost::asio::post(control_thread.context(),
                      [&] { control.stop([&stopped] { stopped.set_value(); }); });
    static_cast<void>(stopped.get_future().wait_for(settings.lease_ttl));
    control_thread.stop();
    return {};
}

} // namespace

int main(int argc, char** argv) {
    return run_program<control_settings>(
        argc, argv,
        {"magnolia-control",
         "Sends orders to a zone's engines: models, adapters, versions and roles."},
        run);
}
