#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// Codec of the object API on which watches never report a change.
class deaf_codec final : public product_store_codec {
public:
    [[nodiscard]] result<platform_reply> decode(const platform_call& call,
                                                const http_response& response) const override {
        auto reply = product_store_codec::decode(call, response);
        if (const auto* watch = std::get_if<object_watch>(&call); watch != nullptr && reply) {
            return watch_page{{}, watch->after, false};
        }
        return reply;
    }
};

/// Codec of the object API that reports the configuration of the first list for ever.
class frozen_codec final : public product_store_codec {
public:
    [[nodiscard]] result<platform_reply> decode(const platform_call& call,
                                                const http_response& response) const override {
        auto reply = product_store_codec::decode(call, response);
        if (const auto* watch = std::get_if<object_watch>(&call); watch != nullptr && reply) {
            return watch_page{{}, watch->after, false};
        }
        const auto* list = std::get_if<object_list>(&call);
        if (list != nullptr && list->kind == "routes" && reply) {
            first_ = first_.value_or(std::get<object_page>(*reply));
            return *first_;
        }
        return reply;
    }

private:
    mutable std::optional<object_page> first_;
};

class lagging_hosts : public gateway_cluster {};

// Incident CONFIG: a host that had missed a change as well made the others forget that a third one
// had told them of it.
TEST_F(lagging_hosts, hosts_that_missed_a_change_learn_of_it_from_one_that_has_it) {
    const deaf_codec deaf;
    start_gateway("g1");
    for (const auto* name : {"g2", "g3", "g4"}) {
        start_gateway(name, deaf);
    }
    wait_for_peers();
    put("routes", "main", R"({"version":3})");
    wait_for_metric("magnolia_config_version", 3);
    put("backends", "b1", "none 127.0.0.1:1");
    wait_for_metric("magnolia_live_backends", 1);
    stop_gateways();
}

// Incident CONFIG: the store confirmed an older configuration to a host, which then refused
// requests on routes that the other hosts knew to exist.
TEST_F(lagging_hosts, a_host_that_heard_of_a_newer_configuration_refuses_no_route_or_key) {
    put("routes", "main", R"({"version":3,"without":"/safe/"})");
    const frozen_codec frozen;
    auto& lagging = start_gateway("g1", frozen);
    start_gateway("g2");
    wait_for_peers();
    EXPECT_EQ(get(lagging.settings().listen.port, "/safe/")->status, 404U);
    put("routes", "main", R"({"version":4})");
    poll([&] {
        const auto answer = get(lagging.settings().listen.port, "/safe/");
        return answer && answer->status == 503;
    });
    stop_gateways();
}

} // namespace
} // namespace magnolia
