#include "entry_server.h"

#include "caller_http.h"
#include "engine_client.h"
#include "entry_core.h"
#include "entry_exchange.h"
#include "entry_metrics.h"
#include "outbox.h"
#include "peer_links.h"
#include "platform_client.h"
#include "service_client.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <future>

namespace magnolia {
namespace {

/// Period of the tick of the decision thread.
constexpr auto tick_period = std::chrono::milliseconds{10};

/// Interval at which the exchange is polled.
constexpr auto exchange_period = std::chrono::milliseconds{50};

/// Interval at which readiness and the progress of a planned stop are checked.
constexpr auto stop_poll_period = std::chrono::milliseconds{50};

/// Time for answers to be sent after the last request has ended.
constexpr auto response_drain_time = std::chrono::milliseconds{200};

std::int64_t wall_ms() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
}

event_time event_now() {
    return {steady_now(), wall_ms()};
}

/// Member record of this entry. The start time as incarnation lets a restarted entry override its
/// former record.
member_info self_member(const entry_settings& settings) {
    return {settings.process.name,
            settings.process.zone,
            settings.peer_listen.address,
            settings.peer_listen.port,
            static_cast<std::uint64_t>(wall_ms()),
            host_state::live};
}

std::vector<member_info> configured_members(const entry_settings& settings) {
    std::vector<member_info> members;
    members.reserve(settings.members.size());
    for (const auto& item : settings.members) {
        members.push_back({item.name, item.zone, item.address, item.port, 0, host_state::live});
    }
    return members;
}

/// Reply of the platform to a claim_call.
struct claim_reply {
    std::uint64_t number = 0;
    result<platform_reply> reply;
};

/// Reply of the platform to a call of the exchange.
struct exchange_reply {
    std::uint64_t number = 0;
    result<platform_reply> reply;
};

/// Starts the planned stop.
struct stop_request {};

/// Ends every open request immediately.
struct abandon_request {};

/// Any event handled by the decision thread.
using decision_event =
    std::variant<caller_event, engine_event, service_event, engine_load_report, claim_reply,
                 exchange_reply, peer_delivery, stop_request, abandon_request>;

/// Work for the platform thread.
using platform_work = std::variant<claim_call, numbered_call>;

/// Work for the backend thread.
using backend_command = std::variant<engine_command, service_call>;

} // namespace

class entry_server::state {
public:
    state(process& owner, const entry_settings& settings);
    ~state();

    result<void> run();

private:
    void add_backends();
    void start();
    void drain();

    // On the decision thread.
    void handle_event(decision_event event);
    void on(const caller_event& event) { core_.handle(event, event_now()); }
    void on(const engine_event& event);
    void on(const service_event& event) { core_.handle(event, event_now()); }
    void on(const engine_load_report& event);
    void on(const claim_reply& event) {
        core_.handle_reply(event.number, event.reply, event_now());
    }
    void on(const exchange_reply& event) {
        exchange_.on_reply(event.number, event.reply, steady_now());
    }
    void on(const peer_delivery& event);
    void on(const stop_request& event);
    void on(const abandon_request& /*event*/) { core_.abandon_all(event_now()); }
    /// Runs the exchange and applies the contracts, states, messages and view that it produced.
    void run_exchange(event_time at);
    /// Applies a changed view to the core, the metrics and the peer links.
    void apply_view(exchange_view view, event_time at);
    void emit_member_event(const member_event& event);
    /// Executes the commands of the core and updates the load state of this entry.
    void execute();
    void execute(caller_command command) { to_callers_.push(std::move(command)); }
    void execute(engine_command command) { to_backends_.push(std::move(command)); }
    void execute(service_call command) { to_backends_.push(std::move(command)); }
    void execute(claim_call command) { to_platform_.push(std::move(command)); }
    void execute(outgoing_message command);
    void execute(const event_record& event);
    void schedule_tick();

    // On the platform thread.
    void call_platform(platform_work work);

    /// Passes the reply to a call of this entry to the decision thread.
    void deliver_reply(decision_event event) {
        if (!reply_inbox_.push(std::move(event))) {
            log_.error("Reply inbox full: reply dropped, its request ends at the deadline.");
        }
    }

    /// Whether the decision thread accepts requests and engine events, which may wait; false while
    /// an outbox is blocked.
    [[nodiscard]] bool accepts_work() const { return !is_congested_.load(); }

    process& owner_;
    entry_settings settings_;
    logger log_{"entry"};
    std::atomic<bool> is_congested_{false};
    /// Open requests, plus one while outcomes wait to be recorded.
    std::atomic<std::size_t> open_work_{0};

    io_thread callers_{"callers"};
    io_thread decisions_{"decisions"};
    io_thread backends_{"backends"};
    io_thread platform_{"platform"};
    io_thread peers_{"peers"};

    inbox<decision_event> decision_inbox_;
    /// Queue for replies that must not be refused; their number is bounded by the calls in
    /// progress.
    inbox<decision_event> reply_inbox_;
    inbox<caller_command> caller_inbox_;
    inbox<backend_command> backend_inbox_;
    inbox<platform_work> platform_inbox_;

    // Owned by the decision thread.
    entry_core core_;
    entry_exchange exchange_;
    entry_metrics metrics_;
    std::unordered_map<std::string, engine_handle> engine_of_name_;
    std::vector<std::string> engine_names_;
    time_point next_exchange_{};
    exchange_view view_;
    std::atomic<bool> is_ready_{false};
    outbox<caller_command> to_callers_{caller_inbox_};
    outbox<backend_command> to_backends_{backend_inbox_};
    outbox<platform_work> to_platform_{platform_inbox_};
    boost::asio::steady_timer tick_{decisions_.context()};

    // Owned by the other threads.
    caller_http caller_http_;
    engine_client engines_;
    service_client services_;
    platform_client platform_client_;
    peer_links links_;
};

entry_server::state::state(process& owner, const entry_settings& settings)
    : owner_{owner}, settings_{settings},
      decision_inbox_{decisions_, config::ring_capacity,
                      [this](decision_event event) { handle_event(std::move(event)); }},
      reply_inbox_{decisions_, config::ring_capacity + 2 * std::size_t{settings.max_requests},
                   [this](decision_event event) { handle_event(std::move(event)); }},
      caller_inbox_{callers_, config::ring_capacity,
                    [this](const caller_command& command) { caller_http_.deliver(command); }},
      backend_inbox_{backends_, config::ring_capacity,
                     [this](const backend_command& command) {
                         if (const auto* call = std::get_if<service_call>(&command)) {
                             services_.submit(*call);
                         } else {
                             engines_.submit(std::get<engine_command>(command));
                         }
                     }},
      platform_inbox_{platform_, config::ring_capacity,
                      [this](platform_work work) { call_platform(std::move(work)); }},
      core_{{.name = settings.process.name,
             .zone = settings.process.zone,
             .origin = owner.boot(),
             .seed = owner.boot(),
             .max_requests = settings.max_requests,
             .claim_retention = settings.claim_retention}},
      exchange_{self_member(settings), configured_members(settings), owner.boot(), steady_now()},
      metrics_{owner.metrics()}, caller_http_{callers_.context(),
                                              {.max_total_body_bytes = settings.body_memory,
                                               .body_timeout = settings.body_timeout},
                                              [this](caller_event event) -> result<void> {
                                                  if (!accepts_work()) {
                                                      return fail(error_code::ring_full);
                                                  }
                                                  return decision_inbox_.push(std::move(event));
                                              }},
      engines_{backends_.context(), {.owner = settings.process.name}},
      services_{backends_.context(), {}},
      platform_client_{platform_.context(), settings.process.platform, {}, owner.boot()},
      links_{peers_,
             {settings.process.name, settings.process.zone, owner.boot(), config::protocol_release},
             owner.boot(),
             [this](peer_delivery delivery) {
                 static_cast<void>(decision_inbox_.push(std::move(delivery)));
             }} {}

entry_server::state::~state() {
    for (auto* item : {&callers_, &peers_, &platform_, &backends_, &decisions_}) {
        item->stop();
    }
}

// Start and stop.

void entry_server::state::add_backends() {
    const auto now = event_now();
    for (const auto& item : settings_.engines) {
        const auto handle = core_.put_engine(
            {item.name, item.zone, item.models, {}, item.memory_tokens, item.role}, now);
        engines_.put_engine(handle, http_engine{{item.address, item.port}});
        engine_names_.push_back(item.name);
        engine_of_name_[item.name] = handle;
    }
    for (const auto& item : settings_.services) {
        const auto handle = core_.put_service({item.name, item.zone, item.unrepeatable_paths});
        services_.put_service(handle, http_service{{item.address, item.port}});
    }
}

void entry_server::state::start() {
    add_backends();
    engines_.set_event_sink([this](engine_event& event) {
        decision_event item{std::move(event)};
        const bool is_taken = accepts_work() && decision_inbox_.try_push(item);
        if (!is_taken) {
            event = std::move(std::get<engine_event>(item));
        }
        return is_taken;
    });
    engines_.set_report_sink([this](const engine_load_report& report) {
        static_cast<void>(decision_inbox_.push(report));
    });
    services_.set_event_sink([this](service_event event) { deliver_reply(std::move(event)); });
    boost::asio::post(decisions_.context(), [this] { schedule_tick(); });
    for (auto* item : {&decisions_, &backends_, &platform_, &peers_, &callers_}) {
        item->start();
    }
}

result<void> entry_server::state::run() {
    if (auto opened = caller_http_.listen(settings_.listen); !opened) {
        return opened;
    }
    if (auto opened = links_.listen(settings_.peer_listen); !opened) {
        return tl::unexpected{opened.error()};
    }
    apply_view(exchange_.view(steady_now()), event_now());
    start();
    log_.info("Listening for callers on port " + std::to_string(caller_http_.port()) + ".");
    while (!is_ready_.load() && !owner_.is_stopping()) {
        std::this_thread::sleep_for(stop_poll_period);
    }
    owner_.set_ready(true);
    owner_.wait_for_stop();
    drain();
    return {};
}

void entry_server::state::drain() {
    owner_.set_ready(false);
    static_cast<void>(decision_inbox_.push(stop_request{}));
    const auto drain_deadline = steady_now() + settings_.stop_timeout;
    std::this_thread::sleep_for(stop_poll_period);
    while (open_work_.load() > 0 && steady_now() < drain_deadline) {
        std::this_thread::sleep_for(stop_poll_period);
    }
    if (open_work_.load() > 0) {
        log_.warn("Stop timeout reached: ending " + std::to_string(open_work_.load()) +
                  " open requests.");
        static_cast<void>(decision_inbox_.push(abandon_request{}));
    }
    std::this_thread::sleep_for(response_drain_time);
    boost::asio::post(callers_.context(), [this] { caller_http_.stop_accepting(); });
    std::this_thread::sleep_for(response_drain_time);
}

// Decision thread.

void entry_server::state::handle_event(decision_event event) {
    std::visit([this](const auto& item) { on(item); }, event);
    execute();
}

void entry_server::state::on(const engine_event& event) {
    if (const auto* failed = std::get_if<engine_failed>(&event);
        failed != nullptr && failed->is_leaving) {
        exchange_.on_backend_report(engine_names_.at(failed->engine.value), host_state::leaving, {},
                                    steady_now());
    }
    core_.handle(event, event_now());
}

void entry_server::state::on(const engine_load_report& event) {
    const auto now = event_now();
    if (!event.load) {
        return core_.on_load_query_failed(event.engine, now);
    }
    const auto& name = engine_names_.at(event.engine.value);
    exchange_.on_backend_report(name, event.load->state, event.load->age, now.now);
    core_.set_engine_state(event.engine, exchange_.backend_state(name), now);
    core_.on_engine_load(event.engine, *event.load, now);
}

void entry_server::state::on(const peer_delivery& event) {
    const auto now = event_now();
    exchange_.on_message(event.from, event.message, now.now);
    core_.handle_message(event.from, event.message, now);
}

void entry_server::state::on(const stop_request& /*event*/) {
    core_.begin_stop();
    exchange_.leave();
}

void entry_server::state::run_exchange(event_time at) {
    exchange_.tick(at.now);
    for (const auto& item : exchange_.take_contracts()) {
        core_.put_contract(item.value, item.version, at);
    }
    for (const auto& item : exchange_.take_backend_changes()) {
        if (const auto found = engine_of_name_.find(item.name); found != engine_of_name_.end()) {
            core_.set_engine_state(found->second, item.state, at);
        }
    }
    for (const auto& item : exchange_.take_member_events()) {
        emit_member_event(item);
    }
    for (auto& message : exchange_.take_messages()) {
        execute(std::move(message));
    }
    for (auto& call : exchange_.take_calls()) {
        to_platform_.push(std::move(call));
    }
    is_ready_.store(exchange_.is_ready(at.now));
    apply_view(exchange_.view(at.now), at);
}

void entry_server::state::apply_view(exchange_view view, event_time at) {
    if (view == view_) {
        return;
    }
    core_.set_members(view.members, view.is_cut_off, at);
    core_.set_config_lapsed(view.is_lapsed);
    metrics_.set_members(view.members.size(), view.is_cut_off, view.is_lapsed);
    if (view.addresses != view_.addresses) {
        std::vector<peer_address> addresses;
        addresses.reserve(view.addresses.size());
        for (const auto& item : view.addresses) {
            addresses.push_back({item.name, item.address, item.port});
        }
        static_cast<void>(links_.set_members(std::move(addresses)));
    }
    view_ = std::move(view);
}

void entry_server::state::emit_member_event(const member_event& event) {
    const auto kind_of = [](host_state value) {
        switch (value) {
        case host_state::live:
            return event_kind::member_joined;
        case host_state::suspect:
            return event_kind::member_suspected;
        default:
            return event_kind::member_left;
        }
    };
    execute(event_record{kind_of(event.member.state),
                         {},
                         {},
                         event.member.name,
                         std::string{to_string(event.member.state)}});
}

void entry_server::state::execute() {
    for (auto& command : core_.take_commands()) {
        std::visit([this](auto&& item) { execute(std::forward<decltype(item)>(item)); },
                   std::move(command));
    }
    open_work_.store(core_.open_requests() + (core_.has_unrecorded_outcomes() ? 1 : 0));
    metrics_.set_open_requests(core_.open_requests());
    is_congested_.store(to_callers_.is_blocked() || to_backends_.is_blocked() ||
                        to_platform_.is_blocked());
}

void entry_server::state::execute(outgoing_message command) {
    // Messages between entries may be lost; the senders repeat those that matter.
    static_cast<void>(links_.send(std::move(command.member), std::move(command.message)));
}

void entry_server::state::execute(const event_record& event) {
    metrics_.count(event);
    event_fields fields;
    fields.workspace = event.workspace;
    fields.subject = event.subject;
    fields.detail = event.detail;
    if (event.request.origin == 0) {
        owner_.events().emit(event.kind, std::move(fields));
    } else {
        owner_.events().emit(event.kind, event.request, std::move(fields));
    }
}

void entry_server::state::schedule_tick() {
    tick_.expires_after(tick_period);
    tick_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled) {
            return;
        }
        to_callers_.flush();
        to_backends_.flush();
        to_platform_.flush();
        const auto now = event_now();
        if (next_exchange_ <= now.now) {
            next_exchange_ = now.now + exchange_period;
            run_exchange(now);
        }
        core_.tick(now);
        execute();
        schedule_tick();
    });
}

// Platform thread.

void entry_server::state::call_platform(platform_work work) {
    if (auto* claim = std::get_if<claim_call>(&work)) {
        platform_client_.execute(
            std::move(claim->call), call_priority::claim,
            [this, number = claim->number](const result<platform_reply>& answer) {
                deliver_reply(claim_reply{number, answer});
            });
        return;
    }
    auto& call = std::get<numbered_call>(work);
    platform_client_.execute(std::move(call.call), call.priority,
                             [this, number = call.number](const result<platform_reply>& answer) {
                                 deliver_reply(exchange_reply{number, answer});
                             });
}

// Public interface.

entry_server::entry_server(process& owner, const entry_settings& settings)
    : state_{std::make_unique<state>(owner, settings)} {}

entry_server::~entry_server() = default;

result<void> entry_server::run() {
    return state_->run();
}

} // namespace magnolia
