#include "platform_server.h"

#include "platform_wire.h"
#include "schema_reader.h"

#include <algorithm>
#include <array>
#include <memory>

namespace magnolia {
namespace {

using json = nlohmann::json;

/// Interval of the check of waiting watches and closed connections.
constexpr auto poll_interval = std::chrono::milliseconds{20};
/// A waiting watch is charged one read per interval.
constexpr auto watch_charge_interval = std::chrono::seconds{1};
/// Upper bound of the wait of a watch.
constexpr auto max_watch_wait = std::chrono::seconds{60};
constexpr std::string_view host_control = "/control/hosts/";

constexpr std::array<std::string_view, 3> outage_names{"none", "refuse", "hang"};

std::string_view to_string(outage_mode mode) {
    return outage_names.at(static_cast<std::size_t>(mode));
}

void read_outage(const json& in, schema_reader& reader, outage_mode& mode) {
    std::string name{to_string(mode)};
    reader.field(in, "outage", false, {}, name);
    const auto found = std::ranges::find(outage_names, name);
    if (found == outage_names.end()) {
        reader.fail(in["outage"], "one of none, refuse, hang");
        return;
    }
    mode = static_cast<outage_mode>(found - outage_names.begin());
}

json to_value(const platform_faults& faults) {
    return {{"writes_per_second", faults.writes_per_second},
            {"reads_per_second", faults.reads_per_second},
            {"outage", std::string{to_string(faults.outage)}},
            {"lost_answers", faults.lost_answers},
            {"lost_calls", faults.lost_calls},
            {"lost_kind", faults.lost_kind},
            {"delay", faults.delay.count()},
            {"delay_spread", faults.delay_spread.count()},
            {"host_lag", faults.host_lag.count()},
            {"weight_bytes_per_second", faults.weight_bytes_per_second}};
}

void read_faults(const json& in, schema_reader& reader, platform_faults& faults) {
    const bounds rate{0, 1e9};
    const bounds share{0, 1};
    const bounds time{0, 3600000};
    reader.field(in, "writes_per_second", false, rate, faults.writes_per_second);
    reader.field(in, "reads_per_second", false, rate, faults.reads_per_second);
    read_outage(in, reader, faults.outage);
    reader.field(in, "lost_answers", false, share, faults.lost_answers);
    reader.field(in, "lost_calls", false, share, faults.lost_calls);
    reader.field(in, "lost_kind", false, {}, faults.lost_kind);
    reader.field(in, "delay", false, time, faults.delay);
    reader.field(in, "delay_spread", false, time, faults.delay_spread);
    reader.field(in, "host_lag", false, time, faults.host_lag);
    reader.field(in, "weight_bytes_per_second", false, {1, 1e15}, faults.weight_bytes_per_second);
}

json to_value(const platform_counts& counts) {
    return {{"reads", counts.reads},
            {"writes", counts.writes},
            {"conflicts", counts.conflicts},
            {"refused_by_rate", counts.refused_by_rate},
            {"refused_by_outage", counts.refused_by_outage},
            {"lost_answers", counts.lost_answers},
            {"lost_calls", counts.lost_calls},
            {"watches_waiting", counts.watches_waiting}};
}

std::string first_error(const schema_reader& reader) {
    const auto& found = reader.errors().front();
    return found.path + ": " + found.value + "; allowed: " + found.allowed;
}

result<void> set_faults(const json& body, platform_faults& faults) {
    if (!body.is_object()) {
        return fail(error_code::bad_request, "the body must be a JSON object");
    }
    schema_reader reader{unknown_keys::reject};
    auto changed = faults;
    read_faults(body, reader, changed);
    for (const auto& [key, value] : body.items()) {
        if (!to_value(faults).contains(key)) {
            return fail(error_code::bad_request, key);
        }
    }
    if (!reader.errors().empty()) {
        return fail(error_code::bad_request, first_error(reader));
    }
    faults = changed;
    return {};
}

result<platform_host> read_host(const json& body, const std::string& name) {
    if (!body.is_object()) {
        return fail(error_code::bad_request, "the body must be a JSON object");
    }
    platform_host host;
    host.name = name;
    schema_reader reader{unknown_keys::accept};
    reader.field(body, "zone", true, {}, host.zone);
    reader.field(body, "address", true, {}, host.address);
    reader.field(body, "port", true, {}, host.port);
    reader.field(body, "kind", true, {}, host.kind);
    std::string state = "live";
    reader.field(body, "state", false, {}, state);
    host.state = state == "live" ? host_state::live : host_state::leaving;
    if (!reader.errors().empty()) {
        return fail(error_code::bad_request, first_error(reader));
    }
    return host;
}

http_response empty_response() {
    return json_response(200, "{}");
}

} // namespace

platform_server::platform_server(boost::asio::io_context& context, std::uint64_t seed)
    : context_{context}, model_{seed},
      server_{
          context,
          {},
          [this](http_request request, http_responder responder) { handle(request, responder); }},
      poll_timer_{context} {}

platform_server::~platform_server() {
    server_.close();
}

result<void> platform_server::listen(const endpoint& listen_address) {
    schedule_poll();
    return server_.listen(listen_address);
}

void platform_server::handle(const http_request& request, const http_responder& responder) {
    if (request.target.starts_with("/control/")) {
        handle_control(request, responder);
        return;
    }
    const auto call = decode_call(request);
    if (!call) {
        responder.send(encode(tl::unexpected{call.error()}));
        return;
    }
    answer(*call, responder);
}

http_response platform_server::encode(const result<platform_reply>& reply) {
    return encode_reply(reply, model_.store().epoch());
}

void platform_server::handle_control(const http_request& request, const http_responder& responder) {
    const auto path = target_path(request.target);
    const auto body = json::parse(request.body, nullptr, false);
    if (path == "/control/counts") {
        model_.counts().watches_waiting = watches_.size();
        responder.send(json_response(200, to_value(model_.counts()).dump()));
    } else if (path == "/control/faults") {
        const auto changed = request.method == "GET" ? result<void>{} // nothing to change
                                                     : set_faults(body, model_.faults());
        responder.send(changed ? json_response(200, to_value(model_.faults()).dump())
                               : error_response(changed.error()));
    } else if (path == "/control/forget-history") {
        model_.store().discard_history();
        responder.send(empty_response());
    } else if (path == "/control/copy") {
        copy_ = model_.store();
        responder.send(empty_response());
    } else if (path == "/control/restore") {
        model_.store().restore(copy_);
        responder.send(empty_response());
    } else if (path.starts_with(host_control)) {
        const auto name = percent_decode(path.substr(host_control.size()));
        if (request.method == "DELETE") {
            model_.remove_host(name, steady_now());
            responder.send(empty_response());
            return;
        }
        const auto host = read_host(body, name);
        if (host) {
            model_.set_host(*host, steady_now());
        }
        responder.send(host ? empty_response() : error_response(host.error()));
    } else {
        responder.send(error_response({error_code::not_found, std::string{path}}));
    }
}

void platform_server::answer(const platform_call& call, const http_responder& responder) {
    const auto now = steady_now();
    auto simulated = model_.execute(call, now);
    switch (simulated.delivery) {
    case simulated_reply::mode::reply:
        send_after(responder, encode(simulated.reply), simulated.delay);
        break;
    case simulated_reply::mode::lost:
        abort_after(responder, simulated.delay);
        break;
    case simulated_reply::mode::hang:
        unanswered_calls_.push_back(responder);
        break;
    case simulated_reply::mode::wait: {
        const auto& watch = std::get<object_watch>(call);
        const auto end = now + std::min<duration>(watch.wait, max_watch_wait);
        watches_.push_back({watch, responder, end, now + watch_charge_interval});
        break;
    }
    }
    if (is_write(call)) {
        poll_watches();
    }
}

void platform_server::send_after(const http_responder& responder, http_response response,
                                 std::chrono::milliseconds delay) {
    if (delay.count() == 0) {
        responder.send(std::move(response));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, responder, response = std::move(response)](const auto& failure) {
        if (!failure) {
            responder.send(response);
        }
    });
}

void platform_server::abort_after(const http_responder& responder,
                                  std::chrono::milliseconds delay) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, responder](const auto& failure) {
        if (!failure) {
            responder.abort();
        }
    });
}

void platform_server::poll_watches() {
    const auto now = steady_now();
    watches_.remove_if([&](pending_watch& watch) { return try_finish(watch, now); });
}

/// Answers a watch that has changes, that failed or whose wait has passed. Returns whether it
/// ended.
bool platform_server::try_finish(pending_watch& watch, time_point now) {
    if (watch.responder.is_closed()) {
        return true;
    }
    if (model_.faults().outage == outage_mode::hang) {
        return false;
    }
    if (model_.faults().outage == outage_mode::refuse) {
        watch.responder.abort();
        return true;
    }
    // A watch that waits while the store is restored is not told: its position may lie ahead of the
    // store's then.
    const bool is_ahead = watch.call.after.revision > model_.store().revision();
    if (const auto page = is_ahead ? std::nullopt : model_.watch_changes(watch.call)) {
        watch.responder.send(encode(platform_reply{*page}));
        return true;
    }
    if (now >= watch.end) {
        const watch_page empty_page{{}, {.revision = model_.store().revision()}, false};
        watch.responder.send(encode(platform_reply{empty_page}));
        return true;
    }
    if (now >= watch.next_charge) {
        watch.next_charge += watch_charge_interval;
        if (const auto charged = model_.charge_watch(now); !charged) {
            watch.responder.send(encode(tl::unexpected{charged.error()}));
            return true;
        }
    }
    return false;
}

void platform_server::schedule_poll() {
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait([this](const auto& failure) {
        if (failure) {
            return;
        }
        poll_watches();
        unanswered_calls_.remove_if(
            [](const http_responder& responder) { return responder.is_closed(); });
        schedule_poll();
    });
}

} // namespace magnolia
