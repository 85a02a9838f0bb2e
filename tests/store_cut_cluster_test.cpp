/// From the contact time after its link to the store is back, a host acts on nothing older than the
/// time within which changes are promised.
#include "delay_link.h"
#include "gateway_cluster.h"

namespace magnolia {
namespace {

using fakes::link_fault;

/// Two hosts, each with a link of its own to the store, before two servers of one service and one
/// of another.
class store_cut_cluster : public gateway_cluster {
protected:
    static constexpr milliseconds contact_time{3000};

    void SetUp() override {
        gateway_cluster::SetUp();
        for (const auto* id : {"desk1", "desk2", "other1"}) {
            auto& server = servers_[id];
            server = std::make_unique<test_backend>(context_);
            server->add_handler(respond_with(200, id));
            put("backends", id, entry(id));
        }
        for (const auto* name : {"g1", "g2"}) {
            auto& link = links_[name];
            link = std::make_unique<fakes::delay_link>(
                context_,
                fakes::delay_link_settings{.listen = {}, .target = {"127.0.0.1", store_.port()}});
            ASSERT_TRUE(link->listen());
            gateways_store_ = {"127.0.0.1", link->port()};
            start_gateway(name);
        }
        wait_for_peers();
    }

    [[nodiscard]] std::string entry(const std::string& id) const {
        return id.substr(0, id.size() - 1) +
               " 127.0.0.1:" + std::to_string(servers_.at(id)->port());
    }

    void wait(duration span) {
        bool has_expired = false;
        boost::asio::steady_timer timer{context_, span};
        timer.async_wait([&](const auto&) { has_expired = true; });
        run_until([&] { return has_expired; });
    }

    std::map<std::string, std::unique_ptr<test_backend>> servers_;
    std::map<std::string, std::unique_ptr<fakes::delay_link>> links_;
};

// Review case 2, CONFIG: a host whose own cut had ended read from one that was cut meanwhile.
TEST_F(store_cut_cluster, what_a_host_reads_after_its_cut_is_the_stores_state) {
    ASSERT_TRUE(links_["g1"]->set_fault(link_fault::reset));
    put("routes", "main", R"({"version":3})");
    const auto& host = *gateways_.front();
    poll([&] { return host.metrics().find("magnolia_config_version 3\n") != std::string::npos; });
    // It reads from the other host now, which does not notice that it is cut.
    ASSERT_TRUE(links_["g2"]->set_fault(link_fault::hang));
    ASSERT_TRUE(links_["g1"]->set_fault(link_fault::none));
    const auto healed = steady_now();
    put("routes", "main", R"({"version":4,"keys":["k2"],"without":"/stream/","moved":"/unsafe/"})");
    put("backends", "desk1", entry("desk1") + " leaving");
    wait(healed + contact_time - steady_now());
    const auto port = host.settings().listen.port;
    // A key that was taken away, a dropped route, a moved one, a server that leaves.
    EXPECT_EQ(get(port, "/safe/")->status, 401U);
    const auto ask = [&](const std::string& target) {
        http_request request{
            "GET", target, {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k2"}}, {}, {}};
        std::optional<http_response> answer;
        caller_.call({"127.0.0.1", port}, std::move(request), {}, [&](const auto& received) {
            answer = received ? *received : http_response{};
        });
        run_until([&] { return answer.has_value(); });
        return *answer;
    };
    EXPECT_EQ(ask("/stream/").status, 404U);
    EXPECT_EQ(ask("/unsafe/").body, "other1");
    for (int request = 0; request < 8; ++request) {
        EXPECT_EQ(ask("/safe/").body, "desk2");
    }
}

// A zone that is cut from the store goes on serving by what it knows.
TEST_F(store_cut_cluster, hosts_that_are_all_cut_go_on_serving) {
    for (const auto& link : links_) {
        ASSERT_TRUE(link.second->set_fault(link_fault::hang));
    }
    const auto load = send_until(steady_now() + 2 * contact_time, milliseconds{20});
    EXPECT_EQ(load.served, load.sent);
}

} // namespace
} // namespace magnolia
