/// Metrics of an entry, derived from its event records.
#pragma once

#include "entry_core.h"
#include "metrics.h"

#include <map>

namespace magnolia {

/// Metric series of one entry. Owned by entry_server and used on its decision thread.
class entry_metrics {
public:
    explicit entry_metrics(metrics_registry& registry);

    /// Updates the counters and histograms that an event concerns.
    void count(const event_record& event);
    void set_open_requests(std::size_t requests) const;
    void set_members(std::size_t live, bool is_cut_off, bool is_config_lapsed) const;

private:
    /// Counter with one label, created on first use.
    [[nodiscard]] counter& counter_for(const std::string& name, const std::string& help,
                                       const std::string& label, const std::string& value);

    metrics_registry& registry_;
    std::map<std::string, counter> counters_;
    histogram first_token_;
    histogram request_;
    gauge open_;
    gauge live_members_;
    gauge cut_off_;
    gauge config_lapsed_;
};

} // namespace magnolia
