#include "metrics.h"

#include <magnolia/config.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <mutex>
#include <set>
#include <utility>

namespace magnolia {
namespace {

constexpr std::array bucket_bounds{0.001, 0.002, 0.005, 0.01,  0.02,  0.05,  0.1,
                                   0.2,   0.5,   1.0,   1.4,   2.0,   5.0,   10.0,
                                   20.0,  50.0,  100.0, 200.0, 500.0, 1000.0};

} // namespace

struct metrics_registry::state {
    std::mutex mutex;
    prometheus::Registry registry;
    std::set<std::pair<std::string, metric_labels>> series;
    prometheus::Counter* refused = nullptr;

    /// Whether the series exists or may be created; a refusal is counted.
    bool admit(const std::string& name, const metric_labels& labels) {
        const std::scoped_lock lock{mutex};
        std::pair key{name, labels};
        if (series.contains(key)) {
            return true;
        }
        if (series.size() >= config::max_metric_series) {
            refused->Increment();
            return false;
        }
        series.insert(std::move(key));
        return true;
    }
};

std::span<const double> latency_buckets() {
    return bucket_bounds;
}

void counter::add(double amount) const {
    if (series_ != nullptr) {
        series_->Increment(amount);
    }
}

double counter::value() const {
    return series_ != nullptr ? series_->Value() : 0;
}

void gauge::set(double value) const {
    if (series_ != nullptr) {
        series_->Set(value);
    }
}

void gauge::add(double amount) const {
    if (series_ != nullptr) {
        series_->Increment(amount);
    }
}

double gauge::value() const {
    return series_ != nullptr ? series_->Value() : 0;
}

void histogram::observe(double value) const {
    if (series_ != nullptr) {
        series_->Observe(value);
    }
}

metrics_registry::metrics_registry() : state_{std::make_unique<state>()} {
    state_->refused = &prometheus::BuildCounter()
                           .Name("magnolia_metrics_refused_total")
                           .Help("Series beyond the bound of the process.")
                           .Register(state_->registry)
                           .Add({});
}

metrics_registry::~metrics_registry() = default;

counter metrics_registry::make_counter(const std::string& name, const std::string& help,
                                       const metric_labels& labels) {
    if (!state_->admit(name, labels)) {
        return {};
    }
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(state_->registry);
    return counter{&family.Add(labels)};
}

gauge metrics_registry::make_gauge(const std::string& name, const std::string& help,
                                   const metric_labels& labels) {
    if (!state_->admit(name, labels)) {
        return {};
    }
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(state_->registry);
    return gauge{&family.Add(labels)};
}

histogram metrics_registry::make_histogram(const std::string& name, const std::string& help,
                                           const metric_labels& labels,
                                           std::span<const double> bounds) {
    if (!state_->admit(name, labels)) {
        return {};
    }
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(state_->registry);
    const prometheus::Histogram::BucketBoundaries buckets(bounds.begin(), bounds.end());
    return histogram{&family.Add(labels, buckets)};
}

std::string metrics_registry::text() const {
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

} // namespace magnolia
