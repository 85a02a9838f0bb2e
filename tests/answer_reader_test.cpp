#include "answer_reader.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

constexpr time_point now{std::chrono::seconds{1}};

std::string text_event(const std::string& id, int offset, const std::string& text) {
    return R"(data: {"id":")" + id + R"(","offset":)" + std::to_string(offset) +
           R"(,"choices":[{"text":")" + text + R"(","index":0,"finish_reason":null}]})" + "\n\n";
}

const std::string last_event =
    R"(data: {"id":"r","outcome":"done","choices":[{"text":"","finish_reason":"stop"}],)"
    R"("usage":{"prompt_tokens":1,"completion_tokens":2}})"
    "\n\ndata: [DONE]\n\n";

/// First fault of a stream whose tokens have 4 bytes each.
stream_fault fault_of(const std::string& body) {
    answer_reader reader{4};
    reader.feed(body, now);
    return reader.finish();
}

TEST(answer_reader, a_complete_answer_passes_for_every_split_of_its_bytes) {
    const auto body = text_event("r", 0, " abc") + text_event("r", 1, " def") + last_event;
    for (std::size_t cut = 1; cut < body.size(); ++cut) {
        answer_reader reader{4};
        reader.feed(std::string_view{body}.substr(0, cut), now);
        reader.feed(std::string_view{body}.substr(cut), now);
        ASSERT_EQ(reader.finish(), stream_fault::none) << cut;
        ASSERT_EQ(reader.text(), " abc def");
        ASSERT_EQ(reader.generated_tokens(), 2U);
    }
}

TEST(answer_reader, gaps_repeats_and_foreign_events_are_detected) {
    EXPECT_EQ(fault_of(text_event("r", 0, " abc") + text_event("r", 2, " def") + last_event),
              stream_fault::gap);
    EXPECT_EQ(fault_of(text_event("r", 0, " abc") + text_event("r", 0, " abc") + last_event),
              stream_fault::gap);
    EXPECT_EQ(fault_of(text_event("r", 0, " abc") + text_event("s", 1, " def") + last_event),
              stream_fault::crossed);
}

TEST(answer_reader, a_stream_that_ends_early_is_incomplete) {
    EXPECT_EQ(fault_of(text_event("r", 0, " abc")), stream_fault::incomplete);
    EXPECT_EQ(fault_of(""), stream_fault::incomplete);
    EXPECT_EQ(fault_of(last_event.substr(0, last_event.size() - 4)), stream_fault::incomplete);
}

TEST(answer_reader, text_after_the_end_and_other_bytes_are_faults) {
    EXPECT_EQ(fault_of(last_event + text_event("r", 0, " abc")), stream_fault::after_end);
    EXPECT_EQ(fault_of("data: [1]\n\n" + last_event), stream_fault::malformed);
    EXPECT_EQ(fault_of("hello\n\n" + last_event), stream_fault::malformed);
}

TEST(answer_reader, an_error_event_reports_its_type_and_outcome) {
    answer_reader reader{4};
    reader.feed(text_event("r", 0, " abc"), now);
    reader.feed("data: {\"id\":\"r\",\"error\":{\"type\":\"backend_lost\",\"outcome\":\"failed\"}}"
                "\n\ndata: [DONE]\n\n",
                now);
    EXPECT_EQ(reader.finish(), stream_fault::none);
    EXPECT_EQ(reader.error_type(), "backend_lost");
    EXPECT_EQ(reader.outcome_name(), "failed");
}

} // namespace
} // namespace magnolia
