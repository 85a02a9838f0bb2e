#include "entry_metrics.h"

namespace magnolia {
namespace {

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Name of an error without its subject.
std::string error_name(const std::string& detail) {
    return detail.substr(0, detail.find(':'));
}

} // namespace

entry_metrics::entry_metrics(metrics_registry& registry)
    : registry_{registry},
      first_token_{registry.make_histogram("magnolia_first_token_seconds",
                                           "Time from arrival to first token.")},
      request_{
          registry.make_histogram("magnolia_request_seconds", "Time from arrival to outcome.")},
      open_{registry.make_gauge("magnolia_open_requests", "Requests under way.")},
      live_members_{
          registry.make_gauge("magnolia_live_members", "Entries that answer, this one included.")},
      cut_off_{registry.make_gauge("magnolia_zone_cut_off", "1 while no other zone answers.")},
      config_lapsed_{registry.make_gauge("magnolia_config_lapsed",
                                         "1 while the configuration may be out of date.")} {}

counter& entry_metrics::counter_for(const std::string& name, const std::string& help,
                                    const std::string& label, const std::string& value) {
    auto& series = counters_[name + "/" + value];
    if (series.value() == 0) {
        series = registry_.make_counter(name, help, {{label, value}});
    }
    return series;
}

void entry_metrics::count(const event_record& event) {
    switch (event.kind) {
    case event_kind::request_ended:
        counter_for("magnolia_requests_total", "Requests by outcome.", "outcome", event.detail)
            .add();
        return request_.observe(seconds(event.elapsed));
    case event_kind::request_refused:
        return counter_for("magnolia_failures_total", "Requests that did not complete, by error.",
                           "error", error_name(event.detail))
            .add();
    case event_kind::attempt_first_token:
        return first_token_.observe(seconds(event.elapsed));
    case event_kind::attempt_started:
    case event_kind::attempt_resumed:
    case event_kind::claim_written:
    case event_kind::backend_leaving:
    case event_kind::contract_in_force:
        return counter_for("magnolia_events_total", "Events of the time line by kind.", "kind",
                           std::string{to_string(event.kind)})
            .add();
    default:
        return;
    }
}

void entry_metrics::set_open_requests(std::size_t requests) const {
    open_.set(static_cast<double>(requests));
}

void entry_metrics::set_members(std::size_t live, bool is_cut_off, bool is_config_lapsed) const {
    live_members_.set(static_cast<double>(live));
    cut_off_.set(is_cut_off ? 1 : 0);
    config_lapsed_.set(is_config_lapsed ? 1 : 0);
}

} // namespace magnolia
