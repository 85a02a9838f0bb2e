#include "world.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace magnolia::testing {
namespace {

/// One way over the network, least and most.
constexpr duration least_delay{500};
constexpr duration most_delay{4'000};
/// Extra delay of a late frame.
constexpr duration lateness = std::chrono::milliseconds{300};
/// Time between two ticks of an entry.
constexpr duration tick_period = std::chrono::milliseconds{5};
/// Time that a broken connection takes to be seen.
constexpr duration break_delay = std::chrono::milliseconds{2};
/// Time until the other entries know that one has died.
constexpr duration member_lag = std::chrono::seconds{3};
/// Execution of a service call.
constexpr duration service_time = std::chrono::milliseconds{10};
/// Allowed time between a deadline and the answer that it passed: a tick and two network delays.
constexpr duration deadline_slack = std::chrono::milliseconds{20};
/// Wall clock at the start of a test, ms since 1970.
constexpr std::int64_t wall_start_ms = 1'760'000'000'000;

std::string prompt_of(const std::string& call, std::uint32_t tokens) {
    constexpr std::size_t bytes_per_token = 4;
    std::string text = "prompt of " + call + " ";
    text.resize(tokens * bytes_per_token, 'x');
    return text;
}

} // namespace

struct world::entry {
    entry_options options;
    std::unique_ptr<entry_core> core;
    /// Set while paused: what waits to be handled.
    bool is_paused = false;
    time_point paused_at{};
    bool is_stopping = false;
    std::vector<std::function<void(entry_core&)>> waiting;
};

struct world::engine {
    engine_info info;
    engine_handle handle;
    fakes::engine_model model;
    bool is_paused = false;
};

/// Objects with versions; faults change what the answer tells, never what the store holds.
struct world::store {
    std::map<object_id, stored_object> objects;
    bool is_down = false;
    bool loses_answers = false;

    result<platform_reply> operator()(const object_get& call) {
        const auto found = objects.find(call.id);
        return found == objects.end() ? stored_object{call.id, 0, {}} : found->second;
    }

    result<platform_reply> operator()(const object_put& call) {
        auto& held = objects[call.id];
        held.id = call.id;
        if (held.version != call.expected_version) {
            return fail(error_code::conflict, call.id.name);
        }
        ++held.version;
        held.value = call.value;
        return platform_reply{stored_object{held.id, held.version, {}}};
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

// Time.

world::world(std::uint64_t seed) : random_{seed}, store_{std::make_unique<store>()} {}

world::~world() = default;

void world::at(time_point when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
}

void world::after(duration delay, std::function<void()> action) {
    at(now_ + delay, std::move(action));
}

duration world::network_delay() {
    return duration{
        std::uniform_int_distribution{least_delay.count(), most_delay.count()}(random_)};
}

event_time world::time() const {
    return {
        now_,
        wall_start_ms +
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()};
}

void world::run_until(time_point end) {
    while (now_ < end) {
        auto next = now_ + tick_period;
        next = std::min(next, end);
        if (!events_.empty()) {
            next = std::max(now_, std::min(next, events_.begin()->first));
        }
        now_ = next;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.extract(events_.begin()).mapped());
            action();
        }
        poll_engines();
        for (auto& [name, target] : entries_) {
            if (target->core && !target->is_paused) {
                target->core->tick(time());
                flush(*target);
            }
        }
    }
}

// What there is.

void world::start_entry(entry& target) {
    target.options.origin = next_boot_++;
    target.core = std::make_unique<entry_core>(target.options);
    target.is_stopping = false;
    target.is_paused = false;
    target.waiting.clear();
    for (const auto& item : engines_) {
        target.core->put_engine(item->info, time());
    }
    for (const auto& item : service_infos_) {
        target.core->put_service(item);
    }
    for (const auto& [workspace, item] : contracts_) {
        target.core->put_contract(item.first, item.second, time());
    }
    tell_members();
}

void world::tell_members() {
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
    auto& slot = entries_[name];
    slot = std::make_unique<entry>();
    slot->options.name = name;
    slot->options.zone = zone;
    slot->options.seed = random_();
    start_entry(*slot);
}

void world::add_engine(const fakes::engine_model_settings& settings, const std::string& zone) {
    auto own = settings;
    own.self = engine_handle{static_cast<std::uint32_t>(engines_.size())};
    engine_info info{own.name, zone, {}, {}, own.memory_tokens, engine_role::any};
    for (const auto& item : own.models) {
        info.models.push_back(item.name);
    }
    engines_.push_back(std::make_unique<engine>(engine{info, own.self, {own, parts_}}));
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
    auto& held = contracts_[value.workspace];
    held.first = value;
    ++held.second;
    for (auto& [name, target] : entries_) {
        if (target->core) {
            target->core->put_contract(held.first, held.second, time());
        }
    }
}

// What callers do.

call_record& world::open_call(const std::string& call, const std::string& entry_name) {
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
    auto& record = open_call(call, entry_name);
    record.model = model;
    record.prompt = std::make_shared<const std::string>(prompt_of(call, prompt_tokens));
    record.max_tokens = max_tokens;
    const auto& terms = contracts_.at(workspace).first;
    record.must_end_by =
        now_ + (terms.deadlines.empty() ? std::chrono::hours{1} : terms.deadlines.back().finish);
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
    auto& record = open_call(call, entry_name);
    record.key = key;
    record.must_end_by = now_ + std::chrono::seconds{10};
    service_request event;
    event.caller = caller_handle{next_caller_++};
    event.identity = {workspace, workspace + "-key", {}};
    event.service = service_name;
    event.path = path;
    event.body = std::make_shared<const std::string>("body of " + key);
    if (!key.empty()) {
        event.key = idempotency_key{key, wall_start_ms};
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
    after(network_delay(), [this, call, name, boot, event] {
        const auto& target = *entries_.at(name);
        if (!target.core || target.options.origin != boot) {
            // No entry listens; the caller sees that its connection is refused.
            if (!calls_.at(call).ended_at) {
                end(calls_.at(call), outcome::unknown);
            }
            return;
        }
        deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
    });
}

// What fails.

void world::crash_engine(const std::string& name) {
    for (auto& item : engines_) {
        if (item->info.name != name) {
            continue;
        }
        for (const auto& cut : item->model.crash(now_)) {
            engine_failed failure{cut,
                                  item->handle,
                                  {},
                                  {error_code::backend_lost, name, {}},
                                  run_certainty::unknown};
            after(break_delay, [this, failure] { send_event(failure); });
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
    after(member_lag, [this] { tell_members(); });
    // The callers' connections break; what had not ended is unknown to them.
    for (auto& [call_name, call] : calls_) {
        if (call.entry == name && !call.ended_at) {
            end(call, outcome::unknown);
        }
    }
    // Engines see the connections break and end the attempts.
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
    for (const auto& event : std::exchange(target.waiting, {})) {
        event(*target.core);
        flush(target);
    }
}

void world::extend_deadlines(const std::string& entry_name, time_point paused_at) {
    // A process that does not run cannot answer; its callers wait longer by exactly that time.
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

void world::set_frame_faults(double twice, double late) {
    twice_ = twice;
    late_ = late;
}

// Between entries and what surrounds them.

void world::deliver(const std::string& entry_name, std::uint64_t boot,
                    std::function<void(entry_core&)> event) {
    auto& target = *entries_.at(entry_name);
    if (!target.core || target.options.origin != boot) {
        return;
    }
    if (target.is_paused) {
        target.waiting.push_back(std::move(event));
        return;
    }
    event(*target.core);
    flush(target);
}

void world::flush(entry& target) {
    for (const auto& command : target.core->take_commands()) {
        std::visit([&](const auto& item) { run(target, item); }, command);
    }
}

void world::run(entry& /*source*/, const caller_command& command) {
    std::visit(
        [this](const auto& item) {
            auto& call = calls_.at(call_of_caller_.at(item.caller.value));
            call.request = item.request;
            tell(call, item);
        },
        command);
}

void world::run(entry& source, const engine_command& command) {
    const auto boot = source.options.origin;
    if (const auto* start = std::get_if<engine_start>(&command)) {
        call_of_request_[start->id.request] = {};
    }
    after(network_delay(), [this, command, name = source.options.name, boot] {
        const auto target = std::visit([](const auto& item) { return item.engine; }, command);
        const auto id = std::visit([](const auto& item) { return item.id; }, command);
        auto& item = *engines_.at(target.value);
        const auto taken = item.model.submit(command, {name, boot}, now_);
        if (!taken && !std::holds_alternative<engine_cancel>(command)) {
            const bool leaving = item.model.current_load().state == host_state::leaving;
            send_event(
                engine_failed{id, target, {}, taken.error(), run_certainty::not_run, leaving});
        }
    });
}

void world::poll_engines() {
    for (auto& item : engines_) {
        for (const auto& event : item->model.advance(now_)) {
            send_event(event);
        }
    }
}

void world::send_event(const engine_event& event) {
    const auto id = std::visit([](const auto& item) { return item.id; }, event);
    const auto owner = std::ranges::find_if(entries_, [&](const auto& item) {
        return item.second->options.origin == id.request.origin;
    });
    if (owner == entries_.end()) {
        return;
    }
    std::uniform_real_distribution<double> share;
    const bool is_tokens = std::holds_alternative<engine_tokens>(event);
    const auto copies = is_tokens && share(random_) < twice_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // Events of one attempt keep their order, unless the test makes some late.
        const auto extra = is_tokens && share(random_) < late_ ? lateness : duration{0};
        after(least_delay + extra, [this, event, name = owner->first, boot = id.request.origin] {
            deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
        });
    }
}

void world::run(entry& source, const service_call& command) {
    const auto name = source.options.name;
    const auto boot = source.options.origin;
    const auto reply = [this, name, boot](const service_event& event) {
        after(network_delay(), [this, name, boot, event] {
            deliver(name, boot, [this, event](entry_core& core) { core.handle(event, time()); });
        });
    };
    after(network_delay(), [this, command, reply] {
        auto& target = services_.at(service_infos_.at(command.service.value).name);
        if (target.is_down || target.refuses) {
            const auto code = target.is_down ? error_code::connection : error_code::backend_refused;
            return reply(
                service_failed{command.id, {code, target.name, {}}, run_certainty::not_run});
        }
        ++target.executions[command.idempotency_key];
        after(service_time, [command, reply, loses = target.loses_answers] {
            if (loses) {
                reply(service_failed{
                    command.id, {error_code::backend_lost, {}, {}}, run_certainty::unknown});
            } else {
                reply(service_answer{command.id, 200, "done " + command.idempotency_key});
            }
        });
    });
}

void world::run(entry& source, const claim_call& command) {
    const auto name = source.options.name;
    const auto boot = source.options.origin;
    after(network_delay(), [this, command, name, boot] {
        constexpr duration lost_after = std::chrono::milliseconds{500};
        auto answer = store_->is_down ? result<platform_reply>{fail(error_code::platform_down)}
                                      : std::visit(*store_, command.call);
        const bool is_lost = store_->loses_answers;
        if (is_lost) {
            answer = fail(error_code::platform_down);
        }
        after(is_lost ? lost_after : network_delay(),
              [this, name, boot, answer, number = command.number] {
                  deliver(name, boot, [this, answer, number](entry_core& core) {
                      core.handle_reply(number, answer, time());
                  });
              });
    });
}

void world::run(entry& source, const outgoing_message& command) {
    if (!entries_.contains(command.member)) {
        return;
    }
    const auto boot = entries_.at(command.member)->options.origin;
    after(network_delay(), [this, command, boot, from = source.options.name] {
        deliver(command.member, boot, [this, command, from](entry_core& core) {
            core.handle_message(from, command.message, time());
        });
    });
}

void world::run(entry& /*source*/, const event_record& /*command*/) {}

// What callers are told.

void world::tell(call_record& call, const caller_text& event) {
    if (!call.first_token_at) {
        call.first_token_at = now_;
    }
    call.text += event.text;
}

void world::tell(call_record& call, const caller_done& event) {
    call.generated_tokens = event.generated_tokens;
    end(call, outcome::done);
}

void world::tell(call_record& call, const caller_answer& event) {
    call.status = event.status;
    call.is_replayed = event.is_replayed;
    end(call, outcome::done);
}

void world::tell(call_record& call, const caller_failed& event) {
    call.failure = event.failure.code;
    end(call, event.result);
}

void world::end(call_record& call, outcome result) {
    ++call.end_count;
    call.ended_at = now_;
    call.result = result;
}

// The oracle.

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
    std::vector<std::string> broken;
    for (const auto& [name, call] : calls_) {
        if (call.end_count > 1) {
            broken.push_back(name + ": ended twice");
        }
        const auto moment = call.ended_at.value_or(now_);
        const bool may_be_late = entries_.at(call.entry)->is_paused;
        if (moment > call.must_end_by + deadline_slack && !may_be_late) {
            broken.push_back(name + ": ended after its deadline");
        }
        if (is_final && !call.ended_at) {
            broken.push_back(name + ": never ended");
        }
        if (call.prompt && !call.text.empty()) {
            const auto whole = fakes::answer_text(*call.prompt, 0, call.max_tokens);
            if (!whole.starts_with(call.text)) {
                broken.push_back(name + ": got text that is not its answer");
            }
            if (call.result == outcome::done && call.text != whole) {
                broken.push_back(name + ": done with part of its answer");
            }
        }
        if (call.prompt && call.result == outcome::not_run && engine_executions(call.request) > 0) {
            broken.push_back(name + ": said not_run and ran");
        }
    }
    for (const auto& [service_name, item] : services_) {
        for (const auto& [key, count] : item.executions) {
            if (!key.empty() && count > 1) {
                broken.push_back(key + ": ran " + std::to_string(count) + " times");
            }
        }
    }
    for (const auto& [name, call] : calls_) {
        const bool has_key = !call.key.empty();
        const auto ran = has_key && std::ranges::any_of(services_, [&](const auto& item) {
                             return item.second.executions.contains(call.key);
                         });
        const bool is_alone = std::ranges::count_if(calls_, [&](const auto& other) {
                                  return other.second.key == call.key;
                              }) == 1;
        if (has_key && is_alone && ran && call.result == outcome::not_run) {
            broken.push_back(name + ": said not_run and ran");
        }
        if (has_key && !ran && call.result == outcome::done) {
            broken.push_back(name + ": said done and never ran");
        }
    }
    if (is_final && used_engine_memory() > 0) {
        broken.push_back("engines hold memory: " + std::to_string(used_engine_memory()) +
                         " tokens");
    }
    return broken;
}

} // namespace magnolia::testing
