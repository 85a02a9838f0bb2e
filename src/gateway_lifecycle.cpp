/// Second part of the gateway: reload of the settings and planned stop.
#include "gateway_p.h"

#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

/// Time between two checks of the settings file. A change applies within the time allowed for a
/// change of the configuration, which is at least 2 s.
constexpr milliseconds settings_check_interval{1000};
constexpr milliseconds stop_poll_interval{50};
/// Time for final responses to be sent before the process ends.
constexpr milliseconds flush_time{150};
/// Time to live of reservations, as a share of the age at which a reservation counts as leaked.
constexpr double reservation_ttl_share = 0.7;

milliseconds fraction_of(milliseconds span, double share) {
    return std::chrono::duration_cast<milliseconds>(span * share);
}

} // namespace

milliseconds gateway::state::reservation_ttl() const {
    return std::min(fraction_of(settings_.late_reservation_ms, reservation_ttl_share),
                    settings_.max_reservation_ms);
}

void gateway::state::check_settings_file(time_point now) {
    if (owner_.settings_file().empty() || now < next_settings_check_) {
        return;
    }
    next_settings_check_ = now + settings_check_interval;
    if (!read_settings_file()) {
        log_.warn("settings file cannot be read or is empty; keeps the current settings");
    }
}

void gateway::state::reload_settings() {
    if (!read_settings_file()) {
        log_.error("settings not reloaded, keeps the current ones: the file cannot be read or is "
                   "empty");
    }
}

bool gateway::state::read_settings_file() {
    auto text = read_text_file(owner_.settings_file());
    if (!text || text->empty()) {
        return false;
    }
    if (*text != settings_text_) {
        settings_text_ = std::move(*text);
        apply_settings(settings_text_);
    }
    return true;
}

void gateway::state::apply_settings(const std::string& text) {
    const auto settings = read_settings<gateway_settings>(parse_yaml(text), owner_.settings_file());
    if (!settings) {
        return log_.error("settings not reloaded, keeps the current ones: " +
                          to_string(settings.error()));
    }
    if (nlohmann::json(*settings) == nlohmann::json(settings_)) {
        return;
    }
    settings_.retry = settings->retry;
    settings_.quarantine = settings->quarantine;
    quarantine_.set_settings(settings_.quarantine);
    settings_.stop_timeout_s = settings->stop_timeout_s;
    settings_.body_memory = settings->body_memory;
    settings_.contact_ms = settings->contact_ms;
    settings_.late_reservation_ms = settings->late_reservation_ms;
    settings_.max_reservation_ms = settings->max_reservation_ms;
    shared_.max_confirmation_age = settings_.contact_ms;
    reader_.set_max_age(settings_.contact_ms);
    reservations_.set_ttl(reservation_ttl());
    if (settings->process.platform != settings_.process.platform) {
        settings_.process.platform = settings->process.platform;
        log_.info("store address changed by the settings; connects to the new address");
        fleet_.evacuation().on_other_store();
        store_.set_address(settings_.process.platform);
    }
    settings_.max_relayed = settings->max_relayed;
    set_request_limits(shared_.routes ? shared_.routes->config().limits : caller_limits{});
    log_.info("settings reloaded");
}

void gateway::state::begin_stop() {
    is_stopping_ = true;
    const auto now = steady_now();
    // A change since the last check may concern the time of this stop.
    next_settings_check_ = now;
    check_settings_file(now);
    const auto timeout = seconds_to_ms(settings_.stop_timeout_s);
    shared_.stop = plan_stop(now, timeout);
    log_.info("planned stop begins, " + std::to_string(active_requests()) +
              " requests in progress, timeout_ms=" + std::to_string(timeout.count()));
    caller_server_.begin_drain();
    relay_receiver_.server().begin_drain();
    send_digest(now);
    send_membership(hosts_.leave());
    object_relay_.close();
    poll_stop();
}

void gateway::state::poll_stop() {
    const auto now = steady_now();
    const auto partial =
        caller_server_.partial_requests() + relay_receiver_.server().partial_requests();
    // The connections that were accepted last have had one interval to bring their requests.
    const bool is_idle = has_stopped_accepting_ && active_requests() + partial == 0;
    if (now >= shared_.stop->aborts_at || is_idle) {
        return end_stop(partial);
    }
    if (now >= shared_.stop->accepts_until && !has_stopped_accepting_) {
        stop_accepting();
    }
    stop_timer_.expires_after(stop_poll_interval);
    stop_timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            poll_stop();
        }
    });
}

void gateway::state::stop_accepting() {
    has_stopped_accepting_ = true;
    caller_server_.stop_accepting();
    relay_receiver_.server().stop_accepting();
}

void gateway::state::end_stop(std::size_t partial_requests) {
    log_.info("planned stop ends, " + std::to_string(active_requests()) + " requests aborted, " +
              std::to_string(partial_requests) + " of which a part was received refused");
    stop_accepting();
    // Requests that still arrive are refused, as no server's answer to them would be waited for.
    shared_.stop->aborts_at = std::min(shared_.stop->aborts_at, steady_now());
    end_calls_of_stop(shared_);
    caller_server_.refuse_partial_requests();
    relay_receiver_.server().refuse_partial_requests();
    stop_timer_.expires_after(flush_time);
    stop_timer_.async_wait([this](const auto& /*failure*/) {
        caller_server_.close();
        relay_receiver_.server().close();
        io_.stop();
    });
}

} // namespace magnolia
