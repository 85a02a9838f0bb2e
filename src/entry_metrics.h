/// Metrics of an entry, counted from its time line.
#pragma once

#include "entry_core.h"
#include "metrics.h"

#include <map>

namespace magnolia {

/// Series of one entry. Used by the duty of decisions.
class entry_metrics {
public:
    explicit entry_metrics(metrics_registry& registry);

    void count(const event_record& event);
    void set_open_requests(std::size_t requests) const;
    void set_members(std::size_t live, bool is_cut_off, bool is_config_lapsed) const;

private:
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
