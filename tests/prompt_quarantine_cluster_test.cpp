#include "crashing_backends.h"

namespace magnolia {
namespace {

/// Segment of the prompts that end engines.
constexpr auto crashing_segment = "bad";

/// Engines that end as soon as they begin an answer to a prompt with a certain segment.
class crashing_engines : public crashing_backends {
protected:
    static constexpr std::size_t engine_count = 12;
    /// Bound of the users: at most three requests with the segment after the fifth end of an
    /// engine.
    static constexpr std::size_t max_late_requests = 3;
    static constexpr std::size_t max_crashing_requests = 5 + max_late_requests;

    void SetUp() override {
        gateway_cluster::SetUp();
        add_backends("llm", engine_count, [](const http_request& request) {
            return find_header(request.headers, "segments").find(crashing_segment) !=
                   std::string_view::npos;
        });
    }

    /// Sends a prompt with these shared segments, separated by spaces, and waits for the answer.
    tl::expected<http_response, http_failure> ask(const running_gateway& gateway,
                                                  const std::string& segments) {
        const auto path = "/stream/" + std::to_string(next_request_++);
        return get(gateway.settings().listen.port, path,
                   {{"segments", segments}, {"prompt", "100"}, {"time-left", "5000"}});
    }

    /// Sends prompts with the crashing segment to all gateways in turn, no two with the same
    /// segments.
    void ask_with_crashing_segment(std::size_t rounds) {
        for (std::size_t round = 0; round < rounds; ++round) {
            for (const auto& gateway : gateways_) {
                const auto other = "other" + std::to_string(next_segment_++);
                const auto answer = ask(*gateway, other + " " + crashing_segment);
                EXPECT_FALSE(answer && answer->status == 200);
            }
        }
    }

private:
    std::size_t next_segment_ = 0;
    std::size_t next_request_ = 0;
};

// Incident BUDGET: each host sent every prompt with the segment, most of them twice, and ended 93
// engines.
TEST_F(crashing_engines, a_segment_that_crashes_engines_stops_reaching_them_from_any_host) {
    for (const auto* name : {"g1", "g2", "g3"}) {
        start_gateway(name);
    }
    wait_for_peers();
    ask_with_crashing_segment(10);
    EXPECT_LE(crashing_requests(), max_crashing_requests);
    for (const auto& gateway : gateways_) {
        poll([&] {
            const auto answer = ask(*gateway, "other0");
            return answer && answer->status == 200;
        });
    }
}

// Incident BUDGET: hosts that were killed and started again had forgotten what ends engines.
TEST_F(crashing_engines, a_host_that_starts_knows_the_segments_that_crash_engines) {
    start_gateway("g1");
    ask_with_crashing_segment(10);
    EXPECT_LE(crashing_requests(), max_crashing_requests);
    poll([this] { return object_count("quarantine") > 0; });
    stop_gateways();
    const auto before = crashing_requests();
    start_gateway("g2");
    ask_with_crashing_segment(10);
    EXPECT_LE(crashing_requests() - before, max_late_requests);
}

/// Servers of a plain service that end while they run one certain request.
class crashing_request : public crashing_backends {
protected:
    static constexpr std::size_t backend_count = 3;
    /// Bound of the users: at most three sends after the third end of a server.
    static constexpr std::size_t max_late_requests = 3;
    static constexpr std::size_t max_crashing_requests = 3 + max_late_requests;
    static constexpr auto crashing_path = "/safe/bad";

    void SetUp() override {
        gateway_cluster::SetUp();
        add_backends("desk", backend_count,
                     [](const http_request& request) { return request.target == crashing_path; });
    }

    /// Sends the crashing request to all gateways in turn.
    void ask_crashing(std::size_t rounds) {
        for (std::size_t round = 0; round < rounds; ++round) {
            for (const auto& gateway : gateways_) {
                const auto answer = get(gateway->settings().listen.port, crashing_path);
                EXPECT_FALSE(answer && answer->status == 200);
            }
        }
    }

    /// Waits until each gateway serves other requests of the caller.
    void expect_others_served() {
        for (const auto& gateway : gateways_) {
            poll([&] {
                const auto answer = get(gateway->settings().listen.port, "/safe/good");
                return answer && answer->status == 200;
            });
        }
    }
};

// Incident BUDGET: each host sent the request again, most often to two servers, and 20 ended.
TEST_F(crashing_request, a_request_that_crashes_servers_stops_reaching_them_from_any_host) {
    for (const auto* name : {"g1", "g2", "g3"}) {
        start_gateway(name);
    }
    wait_for_peers();
    ask_crashing(10);
    EXPECT_LE(crashing_requests(), max_crashing_requests);
    expect_others_served();
}

// Incident BUDGET: the same for hosts that start later.
TEST_F(crashing_request, a_host_that_starts_knows_the_requests_that_crash_servers) {
    start_gateway("g1");
    ask_crashing(10);
    EXPECT_LE(crashing_requests(), max_crashing_requests);
    poll([this] { return object_count("quarantine") > 0; });
    stop_gateways();
    const auto before = crashing_requests();
    start_gateway("g2");
    ask_crashing(10);
    EXPECT_EQ(crashing_requests(), before);
    expect_others_served();
}

} // namespace
} // namespace magnolia
