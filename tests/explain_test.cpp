#include "explain.h"

#include <gtest/gtest.h>

#include <sstream>

namespace magnolia {
namespace {

TEST(explain, shows_a_request_with_the_state_lines_of_its_hosts) {
    std::istringstream log{
        "2026-01-01T00:00:03.000Z INFO  [gateway   ] host=g1 req=a1 end status=502\n"
        "2026-01-01T00:00:01.000Z INFO  [call      ] host=g1 req=a1 send attempt=1\n"
        "2026-01-01T00:00:02.000Z INFO  [probe     ] host=g1 req=- backend server b is silent\n"
        "2026-01-01T00:00:02.000Z INFO  [probe     ] host=g2 req=- another host\n"
        "2026-01-01T00:00:02.500Z INFO  [call      ] host=g1 req=a2 another request\n"
        "   1.5 g1 2026-01-01T00:00:00.500Z WARN  [store     ] host=g1 req=- store call failed\n"
        "2026-01-01T00:00:09.000Z INFO  [store     ] host=g1 req=- later\n"
        "no log line\n"};
    const auto lines = explain_request(log, "a1");
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_NE(lines[0].find("store call failed"), std::string::npos);
    EXPECT_NE(lines[1].find("send attempt=1"), std::string::npos);
    EXPECT_NE(lines[2].find("is silent"), std::string::npos);
    EXPECT_NE(lines[3].find("end status=502"), std::string::npos);
}

// The process ended with a stack overflow at a line of 200 KB.
TEST(explain, a_line_without_end_is_ignored) {
    const std::string sound = "2026-01-01T00:00:01.000Z INFO  [call      ] host=g1 req=a1 send\n";
    const std::string start = "2026-01-01T00:00:01.000Z INFO  [call      ] host=";
    const std::string filler(8'000'000, 'x');
    std::istringstream log{start + filler + " req=a1 end\n" + sound + start + "g1 req=a1 " +
                           filler};
    EXPECT_EQ(explain_request(log, "a1").size(), 1U);
}

TEST(explain, an_unknown_request_has_no_lines) {
    std::istringstream log{"2026-01-01T00:00:03.000Z INFO  [gateway   ] host=g1 req=a1 end\n"};
    EXPECT_TRUE(explain_request(log, "a9").empty());
}

} // namespace
} // namespace magnolia
