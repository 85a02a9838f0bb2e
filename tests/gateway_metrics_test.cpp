#include "gateway_metrics.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

// The logs and metrics of the incident ORDER did not show how answers were framed and ended.
TEST(gateway_metrics, answers_are_counted_by_framing_and_result) {
    metrics_registry registry;
    gateway_metrics metrics{registry};
    const answer_summary broken{.framing = body_framing::until_close,
                                .events = 2,
                                .partial_event_bytes = 6,
                                .result = attempt_result::lost};
    metrics.count(broken);
    metrics.count(broken);
    metrics.count(answer_summary{.framing = body_framing::chunked, .result = attempt_result::done});
    metrics.count(answer_summary{.result = attempt_result::refused});
    // The caller left: the rest of the event was not waited for.
    metrics.count(answer_summary{.framing = body_framing::chunked, .partial_event_bytes = 6});
    const auto text = registry.text();
    const auto expect_line = [&text](const std::string& line) {
        EXPECT_NE(text.find(line + "\n"), std::string::npos) << line << "\n" << text;
    };
    expect_line(R"(magnolia_backend_answers_total{framing="until_close",result="lost"} 2)");
    expect_line(R"(magnolia_backend_answers_total{framing="chunked",result="done"} 1)");
    expect_line(R"(magnolia_backend_answers_total{framing="chunked",result="cancelled"} 1)");
    expect_line(R"(magnolia_backend_answers_total{framing="no_header",result="refused"} 1)");
    expect_line("magnolia_partial_events_total 2");
}

// The metrics of the incident BUDGET did not show that engines ended as answers began.
TEST(gateway_metrics, lost_answers_are_counted_by_what_had_arrived) {
    metrics_registry registry;
    gateway_metrics metrics{registry};
    metrics.count(answer_summary{.result = attempt_result::lost});
    metrics.count(answer_summary{.framing = body_framing::chunked, .result = attempt_result::lost});
    metrics.count(answer_summary{
        .framing = body_framing::chunked, .events = 1, .result = attempt_result::lost});
    metrics.count(answer_summary{.framing = body_framing::chunked, .result = attempt_result::done});
    const auto text = registry.text();
    for (const auto* stage : {"not_begun", "before_first_event", "under_way"}) {
        const auto line = "magnolia_lost_answers_total{stage=\"" + std::string{stage} + "\"} 1\n";
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

// Incident LOST: the metrics did not show that requests ended without an answer, nor why.
TEST(gateway_metrics, unanswered_requests_are_counted_by_cause) {
    metrics_registry registry;
    gateway_metrics metrics{registry};
    metrics.count(unanswered_request{.cause = cut_cause::write_timeout});
    metrics.count(unanswered_request{.cause = cut_cause::write_timeout});
    const auto text = registry.text();
    const std::string line = "magnolia_unanswered_requests_total{cause=\"write_timeout\"} 2\n";
    EXPECT_NE(text.find(line), std::string::npos) << text;
}

// Incident LIMIT: what a host may send to servers with a limit could not be summed over the hosts.
TEST(gateway_metrics, the_share_of_stated_limits_is_shown) {
    metrics_registry registry;
    const gateway_metrics metrics{registry};
    metrics.set_gauges({.limited_backends = 2, .limited_share = 1.5});
    const auto text = registry.text();
    EXPECT_NE(text.find("magnolia_limited_backends 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("magnolia_limited_share_per_second 1.5\n"), std::string::npos) << text;
}

} // namespace
} // namespace magnolia
