#include "delay_link.h"
#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// A client and gateways whose connections to the store may go silent without being closed.
class silent_connections : public gateway_cluster {
protected:
    void SetUp() override {
        gateway_cluster::SetUp();
        link_.emplace(context_,
                      fakes::delay_link_settings{.listen = {}, .target = gateways_store_});
        ASSERT_TRUE(link_->listen());
        gateways_store_.port = link_->port();
    }

    std::optional<fakes::delay_link> link_;
};

// Incident CONFIG: after a watch on a dead connection had timed out, the next calls took other dead
// connections from the pool, one timeout each.
TEST_F(silent_connections, one_timeout_ends_the_use_of_all_connections_of_that_time) {
    platform_budget budget;
    budget.timeout = milliseconds{400};
    budget.initial_backoff = budget.max_backoff = milliseconds{5};
    platform_client client{context_, gateways_store_, budget, 1};
    std::size_t pending = 0;
    std::size_t failed = 0;
    const auto read = [&](platform_call call) {
        ++pending;
        client.execute(std::move(call), call_priority::claim, [&](const auto& reply) {
            --pending;
            failed += reply ? 0 : 1;
        });
    };
    const auto read_and_wait = [&](const platform_call& call) {
        read(call);
        run_until([&] { return pending == 0; });
    };
    constexpr int connections = 5;
    for (int connection = 0; connection < connections; ++connection) {
        read(object_get{{"routes", "main"}});
    }
    run_until([&] { return pending == 0; });
    ASSERT_EQ(failed, 0U);

    link_->silence_connections();
    read_and_wait(object_list{.kind = "routes", .after = {}});
    EXPECT_EQ(failed, 0U);
    link_->silence_connections();
    read_and_wait(object_get{{"routes", "main"}});
    EXPECT_EQ(failed, 1U);
    read_and_wait(object_get{{"routes", "main"}});
    EXPECT_EQ(failed, 1U);
}

TEST_F(silent_connections, a_change_reaches_hosts_whose_connections_all_went_silent) {
    for (const auto* name : {"g1", "g2", "g3"}) {
        start_gateway(name);
    }
    wait_for_peers();
    for (const auto* version : {"3", "4"}) {
        link_->silence_connections();
        put("routes", "main", std::string{R"({"version":)"} + version + "}");
        wait_for_metric("magnolia_config_version", std::stoul(version));
    }
}

} // namespace
} // namespace magnolia
