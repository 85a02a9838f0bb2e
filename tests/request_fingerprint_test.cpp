#include "request_fingerprint.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

http_request sample() {
    return {"POST", "/a/b", {{"Host", "x.example"}, {"attempt", "1"}}, "body", {}};
}

TEST(request_fingerprint, ids_and_deadlines_do_not_count) {
    auto other = sample();
    other.headers[1].value = "2";
    EXPECT_EQ(request_fingerprint("k1", sample()), request_fingerprint("k1", other));
    EXPECT_EQ(request_fingerprint("k1", sample()).size(), 32U);
}

TEST(request_fingerprint, caller_method_host_path_and_body_count) {
    const auto original = request_fingerprint("k1", sample());
    EXPECT_NE(request_fingerprint("k2", sample()), original);
    const auto changed = [](auto change) {
        auto request = sample();
        change(request);
        return request_fingerprint("k1", request);
    };
    EXPECT_NE(changed([](auto& request) { request.method = "GET"; }), original);
    EXPECT_NE(changed([](auto& request) { request.headers[0].value = "y.example"; }), original);
    EXPECT_NE(changed([](auto& request) { request.target = "/a"; }), original);
    EXPECT_NE(changed([](auto& request) { request.body = "other"; }), original);
    // The same bytes, divided in another way.
    EXPECT_NE(changed([](auto& request) {
                  request.target = "/a/bbo";
                  request.body = "dy";
              }),
              original);
}

} // namespace
} // namespace magnolia
