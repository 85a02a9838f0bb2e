#include "gateway_metrics.h"

namespace magnolia {
namespace {

/// Upper bounds of the prompt length classes, tokens; the last class is unbounded. Each class has a
/// histogram of its own.
constexpr std::array<std::uint32_t, 3> prompt_length_bounds{1, 24'000, 100'000};
constexpr std::array<const char*, 4> prompt_length_names{"none", "short", "long", "longest"};

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

std::size_t prompt_length_class(std::uint32_t tokens) {
    std::size_t class_index = 0;
    while (class_index < prompt_length_bounds.size() &&
           tokens >= prompt_length_bounds[class_index]) {
        ++class_index;
    }
    return class_index;
}

/// Error type of a cause, without its subject; "answered" if there is no cause.
std::string cause_type(const std::string& cause) {
    return cause.empty() ? "answered" : cause.substr(0, cause.find(':'));
}

constexpr std::array<double, 9> ratio_buckets{0.25, 0.5, 0.8, 1, 1.25, 2, 4, 8, 16};

} // namespace

gateway_metrics::gateway_metrics(metrics_registry& registry)
    : registry_{registry},
      partial_events_{registry.make_counter("magnolia_partial_events_total",
                                            "Answers that ended inside an event.")},
      longest_pause_{registry.make_histogram("magnolia_longest_pause_seconds",
                                             "Longest pause between two events of a stream.")},
      pause_ratio_{registry.make_histogram(
          "magnolia_pause_to_prediction_ratio",
          "Longest pause of a stream, divided by the predicted one.", {}, ratio_buckets)},
      resends_{registry.make_counter("magnolia_further_sends_total",
                                     "Sends of requests beyond the first.")},
      config_version_{registry.make_gauge("magnolia_config_version", "Configuration in force.")},
      config_age_{registry.make_gauge("magnolia_config_age_seconds",
                                      "Time since the store confirmed the configuration.")},
      store_epoch_{registry.make_gauge(
          "magnolia_store_epoch", "Epoch of the store; rises when it is restored from a copy")},
      live_backends_{
          registry.make_gauge("magnolia_live_backends", "Backend servers that take new work.")},
      live_gateways_{registry.make_gauge("magnolia_live_gateways",
                                         "Gateways that are heard, this one included.")},
      store_reachable_{
          registry.make_gauge("magnolia_store_reachable", "1 while the platform's store answers.")},
      open_requests_{registry.make_gauge("magnolia_open_requests", "Requests under way.")},
      relayed_requests_{registry.make_gauge("magnolia_relayed_requests",
                                            "Requests under way that other hosts passed on.")},
      unreachable_services_{registry.make_gauge("magnolia_unreachable_services",
                                                "Services that this host cannot connect to.")},
      reservations_{registry.make_gauge("magnolia_reservations",
                                        "Requests that hold memory of several engines.")},
      evacuated_zones_{registry.make_gauge("magnolia_evacuated_zones",
                                           "Zones to whose backend servers nothing is sent.")},
      limited_backends_{
          registry.make_gauge("magnolia_limited_backends", "Backend servers that state a limit.")},
      limited_share_{registry.make_gauge(
          "magnolia_limited_share_per_second",
          "Requests per second that this host may send to backend servers with a limit.")},
      answer_bytes_{registry.make_gauge(
          "magnolia_answer_bytes",
          "Bytes of answers that wait in this host: incomplete, or not read by their callers.")} {
    for (std::size_t class_index = 0; class_index < first_byte_.size(); ++class_index) {
        first_byte_[class_index] = registry.make_histogram(
            "magnolia_first_byte_seconds", "Time from arrival to the first byte sent.",
            {{"prompt", prompt_length_names[class_index]}});
    }
}

void gateway_metrics::count(const answer_summary& answer) {
    const std::string framing{answer.framing ? to_string(*answer.framing) : "no_header"};
    const std::string result{to_string(answer.result)};
    const auto [found, is_new] = answers_.try_emplace(framing + "/" + result);
    if (is_new) {
        found->second =
            registry_.make_counter("magnolia_backend_answers_total",
                                   "Answers of backend servers by framing of the body and result.",
                                   {{"framing", framing}, {"result", result}});
    }
    found->second.add();
    if (answer.result == attempt_result::lost) {
        const auto stage = stage_of(answer);
        const auto [lost, is_new_stage] = lost_answers_.try_emplace(stage);
        if (is_new_stage) {
            lost->second = registry_.make_counter(
                "magnolia_lost_answers_total",
                "Answers that backend servers broke off, by what had arrived.",
                {{"stage", std::string{to_string(stage)}}});
        }
        lost->second.add();
    }
    if (answer.partial_event_bytes > 0 && answer.result != attempt_result::cancelled) {
        partial_events_.add();
    }
}

void gateway_metrics::count(const call_summary& summary) {
    const auto cause = cause_type(summary.cause);
    const auto status = std::to_string(summary.status);
    const auto [found, is_new] = outcomes_.try_emplace(status + "/" + cause);
    if (is_new) {
        found->second = registry_.make_counter("magnolia_requests_total", "Requests that ended.",
                                               {{"status", status}, {"cause", cause}});
    }
    found->second.add();
    if (summary.first_byte.count() > 0) {
        first_byte_[prompt_length_class(summary.prompt_tokens)].observe(
            to_seconds(summary.first_byte));
    }
    if (summary.longest_pause.count() > 0) {
        longest_pause_.observe(to_seconds(summary.longest_pause));
        if (summary.predicted_pause.count() > 0) {
            pause_ratio_.observe(to_seconds(summary.longest_pause) /
                                 to_seconds(summary.predicted_pause));
        }
    }
    if (summary.backends.size() > 1) {
        resends_.add(static_cast<double>(summary.backends.size() - 1));
    }
}

void gateway_metrics::count(const unanswered_request& request) {
    const auto [found, is_new] = unanswered_.try_emplace(request.cause);
    if (is_new) {
        found->second = registry_.make_counter(
            "magnolia_unanswered_requests_total",
            "Requests whose connection closed before their response was sent completely.",
            {{"cause", std::string{to_string(request.cause)}}});
    }
    found->second.add();
}

void gateway_metrics::set_gauges(const gateway_gauges& gauges) const {
    config_version_.set(static_cast<double>(gauges.config_version));
    config_age_.set(to_seconds(gauges.config_age));
    store_epoch_.set(static_cast<double>(gauges.store_epoch));
    live_backends_.set(static_cast<double>(gauges.live_backends));
    live_gateways_.set(static_cast<double>(gauges.live_gateways));
    store_reachable_.set(gauges.is_store_reachable ? 1 : 0);
    open_requests_.set(static_cast<double>(gauges.open_requests));
    relayed_requests_.set(static_cast<double>(gauges.relayed_requests));
    unreachable_services_.set(static_cast<double>(gauges.unreachable_services));
    reservations_.set(static_cast<double>(gauges.reservations));
    evacuated_zones_.set(static_cast<double>(gauges.evacuated_zones));
    limited_backends_.set(static_cast<double>(gauges.limited_backends));
    limited_share_.set(gauges.limited_share);
    answer_bytes_.set(static_cast<double>(gauges.answer_bytes));
}

} // namespace magnolia
