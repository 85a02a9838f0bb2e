/// Prometheus metrics behind small handles, so that users need not include the library's headers.
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

/// Label names and values of a series.
using metric_labels = std::map<std::string, std::string>;

/// Handle of a counter: a value that only increases. Safe to use from any thread. A
/// default-constructed handle does nothing.
class counter {
public:
    counter() = default;
    explicit counter(prometheus::Counter* series) : series_{series} {}
    void add(double amount = 1) const;
    [[nodiscard]] double value() const;

private:
    prometheus::Counter* series_ = nullptr;
};

/// Handle of a gauge: a value that increases and decreases. Safe to use from any thread. A
/// default-constructed handle does nothing.
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

/// Handle of a histogram with fixed buckets. Safe to use from any thread. A default-constructed
/// handle does nothing.
class histogram {
public:
    histogram() = default;
    explicit histogram(prometheus::Histogram* series) : series_{series} {}
    void observe(double value) const;

private:
    prometheus::Histogram* series_ = nullptr;
};

/// Default bucket bounds for latencies, from 1 ms to 1000 s, in seconds.
[[nodiscard]] std::span<const double> latency_buckets();

/// Owns all metrics of a process. Thread-safe. Handles must not be used after the registry is
/// destroyed.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Returns a handle of the series with this name and these labels; creates the series if it
    /// does not exist. A series beyond config::max_metric_series is refused: the handle does
    /// nothing, and magnolia_metrics_refused_total is incremented.
    /// @param name  starts with magnolia_ and contains the unit; names of counters end in _total.
    [[nodiscard]] counter make_counter(const std::string& name, const std::string& help,
                                       const metric_labels& labels = {});
    [[nodiscard]] gauge make_gauge(const std::string& name, const std::string& help,
                                   const metric_labels& labels = {});
    /// @param bounds  upper bounds of the buckets, in increasing order.
    [[nodiscard]] histogram make_histogram(const std::string& name, const std::string& help,
                                           const metric_labels& labels = {},
                                           std::span<const double> bounds = latency_buckets());

    /// All series in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
