/// Counters, gauges and histograms behind small handles, without the library's headers.
#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace magnolia {

/// Label names and values of one series.
using metric_labels = std::map<std::string, std::string>;

/// Number that only rises. Safe from any thread; a default handle ignores what it is told.
class counter {
public:
    counter() = default;
    explicit counter(prometheus::Counter* series) : series_{series} {}
    void add(double amount = 1) const;
    [[nodiscard]] double value() const;

private:
    prometheus::Counter* series_ = nullptr;
};

/// Number that rises and falls. Safe from any thread; a default handle ignores what it is told.
class gauge {
public:
    gauge() = default;
    explicit gauge(prometheus::Gauge* series) : series_{series} {}
    void set(double value) const;
    void add(double amount) const;
    [[nodiscard]] double value() const;

private:
    prometheus::Gauge* series_ = nullptr;
};

/// Distribution over fixed buckets. Safe from any thread; a default handle ignores what it is told.
class histogram {
public:
    histogram() = default;
    explicit histogram(prometheus::Histogram* series) : series_{series} {}
    void observe(double value) const;

private:
    prometheus::Histogram* series_ = nullptr;
};

/// Bucket bounds from a millisecond to a thousand seconds, in seconds.
[[nodiscard]] std::span<const double> latency_buckets();

/// Metrics of one process. Handles stay good as long as the registry lives.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// The series of that name and labels; made if it is not there. Beyond
    /// config::max_metric_series the handle is a default one, and
    /// magnolia_metrics_refused_total counts it.
    /// @param name  with the prefix magnolia_ and the unit; counters end in _total.
    [[nodiscard]] counter make_counter(const std::string& name, const std::string& help,
                                       const metric_labels& labels = {});
    [[nodiscard]] gauge make_gauge(const std::string& name, const std::string& help,
                                   const metric_labels& labels = {});
    /// @param bounds  upper bounds of the buckets, rising.
    [[nodiscard]] histogram make_histogram(const std::string& name, const std::string& help,
                                           const metric_labels& labels = {},
                                           std::span<const double> bounds = latency_buckets());

    /// All series in Prometheus text form.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
