#include "world.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace magnolia::testing {
namespace {

/// Range of the one-way network delay.
constexpr duration min_network_delay{500};
constexpr duration max_network_delay{4'000};
/// Additional delay of a late token event.
constexpr duration late_frame_delay = std::chrono::milliseconds{300};
/// Interval of the ticks of an entry.
constexpr duration tick_interval = std::chrono::milliseconds{5};
/// Time until an entry detects that a connection broke.
constexpr duration connection_loss_delay = std::chrono::milliseconds{2};
/// Time until the other entries detect the crash of an entry.
constexpr duration failure_detection_delay = std::chrono::seconds{3};
/// Execution time of a service call.
constexpr duration service_execution_time = std::chrono::milliseconds{10};
/// Allowed time between a deadline and the arrival of its error at the caller: covers a tick and
/// two network delays.
constexpr duration deadline_slack = std::chrono::milliseconds{20};
/// Wall clock time at the start of a test, ms since 1970.
constexpr std::int64_t wall_clock_start_ms = 1'760'000'000'000;

/// Returns a prompt that is unique to the call.
std::string prompt_of(const std::string& call, std::uint32_t tokens) {
    constexpr std::size_t bytes_per_token = 4;
    std::string text = "prompt of " + call + " ";
    text.resize(tokens * bytes_per_token, 'x');
    return text;
}

} // namespace

/// An entry; without a core it has crashed.
struct world::entry {
    entry_options options;
    std::unique_ptr<entry_core> core;
    bool is_paused = false;
    time_point paused_at{};
    bool is_stopping = false;
    /// Events that arrived while it was paused.
    std::vector<std::function<void(entry_core&)>> pending_events;
};

/// An engine: the description that the entries receive, and its model.
struct world::engine {
    engine_info info;
    engine_handle handle;
    fakes::engine_model model;
    bool is_paused = false;
};

/// Store of versioned objects. Injected faults affect only the answers, never the stored objects.
struct world::store {
    std::map<object_id, stored_object> objects;
    bool is_down = false;
    bool loses_answers = false;

    result<platform_reply> operator()(const object_get& call) {
        const auto found = objects.find(call.id);
        return found == objects.end() ? stored_object{call.id, 0, {}} : found->second;
    }

    result<platform_reply> operator()(const object_put& call) {
        auto& stored = objects[call.id];
        stored.id = call.id;
        if (stored.version != call.expected_version) {
            return fail(error_code::conflict, call.id.name);
        }
        ++stored.version;
        stored.value = call.value;
        return platform_reply{stored_object{stored.id, stored.version, {}}};
    }

    result<platform_reply> operator()(const object_delete& call) {
        const auto found = objects.find(call.id);
        if (found == objects.end() || found->second.version != call.expected_version) {
            return fail(error_code::conflict, call.id.name);
        }
        objects.erase(found);
        return platform_reply{stored_object{call.id, 0, {}}};
    }

    result<platform_reply> operator()(const object_list& call) {
        object_page page;
        for (const auto& [id, object] : objects) {
            if (id.kind == call.kind && id.name > call.after) {
                page.items.push_back(object);
            }
        }
        return platform_reply{std::move(page)};
    }

    result<platform_reply> operator()(const auto& /*call*/) {
        return fail(error_code::bad_request);
    }
};

// Virtual clock and event queue.

world::world(std::uint64_t seed) : random_{seed}, store_{std::make_unique<store>()} {}

world::~world() = default;

void world::schedule_at(time_point when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
}

void world::schedule_after(duration delay, std::function<void()> action) {
    schedule_at(now_ + delay, std::move(action));
}

duration world::network_delay() {
    return duration{std::uniform_int_distribution{min_network_delay.count(),
                                                  max_network_delay.count()}(random_)};
}

event_time world::time() const {
    return {
        now_,
        wall_clock_start_ms +
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()};
}

void world::run_until(time_point end) {
    while (now_ < end) {
        auto next = now_ + tick_interval;
        next = std::min(next, end);
        if (!events_.empty()) {
            next = std::max(now_, std::min(next, events_.begin()->first));
        }
        now_ = next;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.extract(events_.begin()).mapped());
            action();
        }
        advance_engines();
        for (auto& [name, target] : entries_) {
            if (target->core && !target->is_paused) {
                target->core->tick(time());
                execute_commands(*target);
            }
        }
    }
}

// Topology and configuration.

void world::start_entry(entry& target) {
    target.options.origin = next_boot_++;
    target.core = std::make_unique<entry_core>(target.options);
    target.is_stopping = false;
    target.is_paused = false;
    target.pending_events.clear();
    for (const auto& item : engines_) {
        target.core->put_engine(item->info, time());
    }
    for (const auto& item : service_infos_) {
        target.core->put_service(item);
    }
    for (const auto& [workspace, item] : contracts_) {
        target.core->put_contract(item.first, item.second, time());
    }
    update_members();
}

void world::update_members() {
    std::vector<limit_member> members;
    for (const auto& [name, item] : entries_) {
        const auto state = item->core ? host_state::live : host_state::gone;
        members.push_back({name, item->options.zone, state});
    }
    for (auto& [name, item] : entries_) {
        if (item->core) {
            item->core->set_members(members, false, time());
        }
    }
}

void world::add_entry(const std::string& name, const std::string& zone) {
    auto& added = entries_[name];
    added = std::make_unique<entry>();
    added->options.name = name;
    added->options.zone = zone;
    added->options.seed = random_();
    start_entry(*added);
}

void world::add_engine(const fakes::engine_model_settings& settings, const std::string& zone) {
    auto model_settings = settings;
    model_settings.self = engine_handle{static_cast<std::uint32_t>(engines_.size())};
    engine_info info{model_settings.name, zone, {}, {}, model_settings.memory_tokens,
                     engine_role::any};
    for (const auto& item : model_settings.models) {
        info.models.push_back(item.name);
    }
    engines_.push_back(
        std::make_unique<engine>(engine{info, model_settings.self, {model_settings, parts_}}));
    for (auto& [name, target] : entries_) {
        target->core->put_engine(info, time());
    }
}

void world::add_service(const std::string& name, std::vector<std::string> unrepeatable_paths) {
    services_[name].name = name;
    service_infos_.push_back({name, {}, std::move(unrepeatable_paths)});
    for (auto& [entry_name, target] : entries_) {
        target->core->put_service(service_infos_.back());
    }
}

void world::put_contract(const contract& value) {
    auto& stored = contracts_[value.workspace];
    stored.first = value;
    ++stored.second;
    for (auto& [name, target] : entries_) {
        if (target->core) {
            target->core->put_contract(stored.first, stored.second, time());
        }
    }
}

// Actions of callers.

call_record& world::add_call(const std::string& call, const std::string& entry_name) {
    auto& record = calls_[call];
    record.name = call;
    record.entry = entry_name;
    record.sent_at = now_;
    call_of_caller_[next_caller_] = call;
    return record;
}

void world::start_completion(const std::string& call, const std::string& entry_name,
                             const std::string& workspace, const std::string& model,
                             std::uint32_t prompt_tokens, std::uint32_t max_tokens) {
    auto& record = add_call(call, entry_name);
    record.model = model;
    record.prompt = std::make_shared<const std::string>(prompt_of(call, prompt_tokens));
    record.max_tokens = max_tokens;
    const auto& contract = contracts_.at(workspace).first;
    record.must_end_by = now_ + (contract.deadlines.empty() ? std::chrono::hours{1}
                                                            : contract.deadlines.back().finish);
    completion_request event;
    event.caller = caller_handle{next_caller_++};
    event.identity = {workspace, workspace + "-key", {}};
    event.model = model;
    event.prompt = record.prompt;
    event.max_tokens = max_tokens;
    send_call(call, event);
}

void world::start_order(const std::string& call, const std::string& entry_name,
                        const std::string& workspace, const std::string& service_name,
                        const std::string& path, const std::string& key) {
    auto& record = add_call(call, entry_name);
    record.key = key;
    record.must_end_by = now_ + std::chrono::seconds{10};
    service_request event;
    event.caller = caller_handle{next_caller_++};
    event.identity = {workspace, workspace + "-key", {}};
    event.service = service_name;
    event.path = path;
    event.body = std::make_shared<const std::string>("body of " + key);
    if (!key.empty()) {
        event.key = idempotency_key{key, wall_clock_start_ms};
    }
    send_call(call, event);
}

void world::disconnect_caller(const std::string& call) {
    const auto& record = calls_.at(call);
    const auto is_call = [&](const auto& item) { return item.second == call; };
    const auto found = std::ranges::find_if(call_of_caller_, is_call);
    const caller_gone event{caller_handle{found->first}};
    const auto boot = entries_.at(record.entry)->options.origin;
    deliver(record.entry, boot,
            [this, event](entry_core& core) { core.handle(caller_event{event}, time()); });
}

void world::send_call(const std::string& call, const caller_event& event) {
    const auto& name = calls_.at(call).entry;
    const auto boot = entries_.at(name)->options.origin;
    schedule_after(network_delay(), [this, call, name, boot, event] {
        const auto& target = *entries_.at(name);
        if (!target.core || target.options.origin != boot) {
            // No entry listens there: the caller's connection is refused.
            if (!calls_.at(call).ended_at) {
                end_call(calls_.at(call), outcome::unknown);
            }
            return;
        }
        deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
    });
}

// Fault injection.

void world::crash_engine(const std::string& name) {
    for (auto& item : engines_) {
        if (item->info.name != name) {
            continue;
        }
        for (const auto& attempt : item->model.crash(now_)) {
            engine_failed failure{attempt,
                                  item->handle,
                                  {},
                                  {error_code::backend_lost, name, {}},
                                  run_certainty::unknown};
            schedule_after(connection_loss_delay, [this, failure] { send_engine_event(failure); });
        }
    }
}

void world::restart_engine(const std::string& name) {
    for (auto& item : engines_) {
        if (item->info.name == name) {
            item->model.restart(now_);
        }
    }
}

void world::pause_engine(const std::string& name, bool is_paused) {
    for (auto& item : engines_) {
        if (item->info.name == name && item->is_paused != is_paused) {
            item->is_paused = is_paused;
            is_paused ? item->model.pause(now_) : item->model.resume(now_);
        }
    }
}

void world::drain_engine(const std::string& name) {
    for (auto& item : engines_) {
        if (item->info.name == name) {
            item->model.drain();
        }
    }
}

void world::crash_entry(const std::string& name) {
    auto& target = *entries_.at(name);
    if (target.is_paused) {
        extend_deadlines(name, target.paused_at);
    }
    target.core.reset();
    schedule_after(failure_detection_delay, [this] { update_members(); });
    // The callers' connections break; the outcome of open calls is unknown to them.
    for (auto& [call_name, call] : calls_) {
        if (call.entry == name && !call.ended_at) {
            end_call(call, outcome::unknown);
        }
    }
    // The engines detect that the connections broke: attempts 1 to 8 of each request are cancelled.
    for (const auto& [request, call_name] : call_of_request_) {
        if (request.origin != target.options.origin) {
            continue;
        }
        for (std::uint32_t number = 1; number <= 8; ++number) {
            for (auto& item : engines_) {
                static_cast<void>(item->model.submit(engine_cancel{{request, number}, item->handle},
                                                     {name, request.origin}, now_));
            }
        }
    }
}

void world::restart_entry(const std::string& name) {
    auto& target = *entries_.at(name);
    if (!target.core) {
        start_entry(target);
    }
}

void world::pause_entry(const std::string& name, bool is_paused) {
    auto& target = *entries_.at(name);
    if (is_paused && !target.is_paused) {
        target.paused_at = now_;
    }
    if (!is_paused && target.is_paused) {
        extend_deadlines(name, target.paused_at);
    }
    target.is_paused = is_paused;
    if (is_paused || !target.core) {
        return;
    }
    for (const auto& event : std::exchange(target.pending_events, {})) {
        event(*target.core);
        execute_commands(target);
    }
}

void world::extend_deadlines(const std::string& entry_name, time_point paused_at) {
    // A paused process cannot answer, so the deadlines of its calls move by the length of the
    // pause.
    for (auto& [name, call] : calls_) {
        if (call.entry == entry_name && !call.ended_at) {
            call.must_end_by += now_ - std::max(call.sent_at, paused_at);
        }
    }
}

void world::stop_entry(const std::string& name) {
    auto& target = *entries_.at(name);
    if (target.core) {
        target.is_stopping = true;
        target.core->begin_stop();
    }
}

void world::set_store_down(bool is_down) {
    store_->is_down = is_down;
}

void world::set_store_loses_answers(bool loses) {
    store_->loses_answers = loses;
}

test_service& world::service(const std::string& name) {
    return services_.at(name);
}

void world::set_frame_faults(double duplicate_share, double late_share) {
    duplicate_share_ = duplicate_share;
    late_share_ = late_share;
}

// Communication between entries and their environment.

void world::deliver(const std::string& entry_name, std::uint64_t boot,
                    std::function<void(entry_core&)> event) {
    auto& target = *entries_.at(entry_name);
    if (!target.core || target.options.origin != boot) {
        return;
    }
    if (target.is_paused) {
        target.pending_events.push_back(std::move(event));
        return;
    }
    event(*target.core);
    execute_commands(target);
}

void world::execute_commands(entry& target) {
    for (const auto& command : target.core->take_commands()) {
        std::visit([&](const auto& item) { execute(target, item); }, command);
    }
}

void world::execute(entry& /*source*/, const caller_command& command) {
    std::visit(
        [this](const auto& item) {
            auto& call = calls_.at(call_of_caller_.at(item.caller.value));
            call.request = item.request;
            record(call, item);
        },
        command);
}

void world::execute(entry& source, const engine_command& command) {
    const auto boot = source.options.origin;
    if (const auto* start = std::get_if<engine_start>(&command)) {
        call_of_request_[start->id.request] = {};
    }
    schedule_after(network_delay(), [this, command, name = source.options.name, boot] {
        const auto engine = std::visit([](const auto& item) { return item.engine; }, command);
        const auto id = std::visit([](const auto& item) { return item.id; }, command);
        auto& item = *engines_.at(engine.value);
        const auto accepted = item.model.submit(command, {name, boot}, now_);
        if (!accepted && !std::holds_alternative<engine_cancel>(command)) {
            const bool leaving = item.model.current_load().state == host_state::leaving;
            send_engine_event(
                engine_failed{id, engine, {}, accepted.error(), run_certainty::not_run, leaving});
        }
    });
}

void world::advance_engines() {
    for (auto& item : engines_) {
        for (const auto& event : item->model.advance(now_)) {
            send_engine_event(event);
        }
    }
}

void world::send_engine_event(const engine_event& event) {
    const auto id = std::visit([](const auto& item) { return item.id; }, event);
    const auto owner = std::ranges::find_if(entries_, [&](const auto& item) {
        return item.second->options.origin == id.request.origin;
    });
    if (owner == entries_.end()) {
        return;
    }
    std::uniform_real_distribution<double> unit;
    const bool is_tokens = std::holds_alternative<engine_tokens>(event);
    const auto copy_count = is_tokens && unit(random_) < duplicate_share_ ? 2 : 1;
    for (int copy = 0; copy < copy_count; ++copy) {
        // Events of one attempt keep their order, except injected late ones.
        const auto extra_delay =
            is_tokens && unit(random_) < late_share_ ? late_frame_delay : duration{0};
        schedule_after(min_network_delay + extra_delay, [this, event, name = owner->first,
                                                         boot = id.request.origin] {
            deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
        });
    }
}

void world::execute(entry& source, const service_call& command) {
    const auto name = source.options.name;
    const auto boot = source.options.origin;
    const auto reply = [this, name, boot](const service_event& event) {
        schedule_after(network_delay(), [this, name, boot, event] {
            deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
        });
    };
    schedule_after(network_delay(), [this, command, reply] {
        auto& target = services_.at(service_infos_.at(command.service.value).name);
        if (target.is_down || target.refuses) {
            const auto code = target.is_down ? error_code::connection : error_code::backend_refused;
            return reply(
                service_failed{command.id, {code, target.name, {}}, run_certainty::not_run});
        }
        ++target.executions[command.idempotency_key];
        schedule_after(service_execution_time, [command, reply, loses = target.loses_answers] {
            if (loses) {
                reply(service_failed{
                    command.id, {error_code::backend_lost, {}, {}}, run_certainty::unknown});
            } else {
                reply(service_answer{command.id, 200, "done " + command.idempotency_key});
            }
        });
    });
}

void world::execute(entry& source, const claim_call& command) {
    const auto name = source.options.name;
    const auto boot = source.options.origin;
    schedule_after(network_delay(), [this, command, name, boot] {
        constexpr duration reply_timeout = std::chrono::milliseconds{500};
        auto answer = store_->is_down ? result<platform_reply>{fail(error_code::platform_down)}
                                      : std::visit(*store_, command.call);
        const bool is_lost = store_->loses_answers;
        if (is_lost) {
            answer = fail(error_code::platform_down);
        }
        schedule_after(is_lost ? reply_timeout : network_delay(),
                       [this, name, boot, answer, number = command.number] {
                           deliver(name, boot, [this, answer, number](entry_core& core) {
                               core.handle_reply(number, answer, time());
                           });
                       });
    });
}

void world::execute(entry& source, const outgoing_message& command) {
    if (!entries_.contains(command.member)) {
        return;
    }
    const auto boot = entries_.at(command.member)->options.origin;
    schedule_after(network_delay(), [this, command, boot, from = source.options.name] {
        deliver(command.member, boot, [this, command, from](entry_core& core) {
            core.handle_message(from, command.message, time());
        });
    });
}

void world::execute(entry& /*source*/, const event_record& /*command*/) {}

// What callers receive.

void world::record(call_record& call, const caller_text& event) {
    if (!call.first_token_at) {
        call.first_token_at = now_;
    }
    call.text += event.text;
}

void world::record(call_record& call, const caller_done& event) {
    call.generated_tokens = event.generated_tokens;
    end_call(call, outcome::done);
}

void world::record(call_record& call, const caller_answer& event) {
    call.status = event.status;
    call.is_replayed = event.is_replayed;
    end_call(call, outcome::done);
}

void world::record(call_record& call, const caller_failed& event) {
    call.failure = event.failure.code;
    end_call(call, event.result);
}

void world::end_call(call_record& call, outcome result) {
    ++call.end_count;
    call.ended_at = now_;
    call.result = result;
}

// Oracle.

std::uint32_t world::engine_executions(request_id request) const {
    std::uint32_t sum = 0;
    for (const auto& item : engines_) {
        const auto& executions = item->model.counts().executions;
        const auto found = executions.find(request);
        sum += found == executions.end() ? 0U : found->second;
    }
    return sum;
}

std::uint64_t world::used_engine_memory() const {
    std::uint64_t sum = 0;
    for (const auto& item : engines_) {
        sum += item->info.memory_tokens - item->model.current_load().free_memory_tokens;
    }
    return sum;
}

std::vector<std::string> world::find_violations(bool is_final) const {
    std::vector<std::string> violations;
    for (const auto& [name, call] : calls_) {
        if (call.end_count > 1) {
            violations.push_back(name + ": ended twice");
        }
        const auto end_time = call.ended_at.value_or(now_);
        const bool is_entry_paused = entries_.at(call.entry)->is_paused;
        if (end_time > call.must_end_by + deadline_slack && !is_entry_paused) {
            violations.push_back(name + ": ended after its deadline");
        }
        if (is_final && !call.ended_at) {
            violations.push_back(name + ": never ended");
        }
        if (call.prompt && !call.text.empty()) {
            const auto expected = fakes::answer_text(*call.prompt, 0, call.max_tokens);
            if (!expected.starts_with(call.text)) {
                violations.push_back(name + ": received text that is not from its answer");
            }
            if (call.result == outcome::done && call.text != expected) {
                violations.push_back(name + ": outcome done with an incomplete answer");
            }
        }
        if (call.prompt && call.result == outcome::not_run && engine_executions(call.request) > 0) {
            violations.push_back(name + ": outcome not_run, but it was executed");
        }
    }
    for (const auto& [service_name, item] : services_) {
        for (const auto& [key, count] : item.executions) {
            if (!key.empty() && count > 1) {
                violations.push_back(key + ": was executed " + std::to_string(count) + " times");
            }
        }
    }
    for (const auto& [name, call] : calls_) {
        const bool has_key = !call.key.empty();
        const auto was_executed = has_key && std::ranges::any_of(services_, [&](const auto& item) {
                                      return item.second.executions.contains(call.key);
                                  });
        const bool is_only_call = std::ranges::count_if(calls_, [&](const auto& other) {
                                      return other.second.key == call.key;
                                  }) == 1;
        if (has_key && is_only_call && was_executed && call.result == outcome::not_run) {
            violations.push_back(name + ": outcome not_run, but it was executed");
        }
        if (has_key && !was_executed && call.result == outcome::done) {
            violations.push_back(name + ": outcome done, but it was never executed");
        }
    }
    if (is_final && used_engine_memory() > 0) {
        violations.push_back("engine memory still in use: " + std::to_string(used_engine_memory()) +
                             " tokens");
    }
    return violations;
}

} // namespace magnolia::testing
