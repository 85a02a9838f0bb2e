#include "metrics.h"

#include <magnolia/config.h>

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(metrics, text_shows_each_series_with_its_labels) {
    metrics_registry registry;
    registry.make_counter("magnolia_requests_total", "Requests.", {{"outcome", "done"}}).add(3);
    registry.make_gauge("magnolia_queue", "Waiting.").set(2);
    registry.make_histogram("magnolia_first_token_seconds", "First token.").observe(0.3);
    const auto text = registry.text();
    EXPECT_NE(text.find("magnolia_requests_total{outcome=\"done\"} 3"), std::string::npos);
    EXPECT_NE(text.find("magnolia_queue 2"), std::string::npos);
    EXPECT_NE(text.find("magnolia_first_token_seconds_bucket{le=\"0.5\"} 1"), std::string::npos);
}

TEST(metrics, handles_with_the_same_name_and_labels_share_a_series) {
    metrics_registry registry;
    registry.make_counter("magnolia_a_total", "A.").add();
    const auto again = registry.make_counter("magnolia_a_total", "A.");
    again.add();
    EXPECT_EQ(again.value(), 2);
}

TEST(metrics, series_over_the_limit_are_refused_and_counted) {
    metrics_registry registry;
    for (std::size_t index = 0; index < config::max_metric_series; ++index) {
        (void)registry.make_counter("magnolia_w_total", "W.", {{"w", std::to_string(index)}});
    }
    const auto refused = registry.make_counter("magnolia_w_total", "W.", {{"w", "one more"}});
    refused.add();
    EXPECT_EQ(refused.value(), 0);
    EXPECT_NE(registry.text().find("magnolia_metrics_refused_total 1"), std::string::npos);
}

} // namespace
} // namespace magnolia
