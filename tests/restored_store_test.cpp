#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// Gateways on a store that is restored from a copy.
class restored_store : public gateway_cluster {
protected:
    /// Changes after the copy, which the restored store has lost.
    static constexpr std::uint64_t lost_changes = 40;

    void SetUp() override {
        gateway_cluster::SetUp();
        backend_ = std::make_unique<test_backend>(context_);
        backend_->add_handler(respond_with(200));
    }

    void start_gateways() {
        for (const auto* name : {"g1", "g2", "g3"}) {
            start_gateway(name);
        }
        wait_for_peers();
    }

    void add_backend(const std::string& id) {
        put("backends", id, "desk 127.0.0.1:" + std::to_string(backend_->port()));
    }

    /// Writes objects of no interest to the gateways until the store has reached the revision.
    void write_up_to(std::uint64_t revision) {
        while (store_.model().store().revision() < revision) {
            put("other", "o" + std::to_string(next_object_++), "x");
        }
    }

    std::unique_ptr<test_backend> backend_;

private:
    std::size_t next_object_ = 0;
};

// Incident CONFIG: a watch that waited from a revision of the lost history was not told what was
// written under the revisions that the restored store gave out again.
TEST_F(restored_store, a_configuration_written_after_the_restoration_is_in_force_at_all_hosts) {
    add_backend("b1");
    start_gateways();
    const auto copy = store_.model().store();
    write_up_to(copy.revision() + lost_changes);
    put("routes", "main", R"({"version":3})");
    wait_for_metric("magnolia_config_version", 3);
    const auto lost = store_.model().store().revision();

    restore_store(copy);
    put("routes", "main", R"({"version":3})");
    put("routes", "main", R"({"version":4,"without":"/safe/"})");
    write_up_to(lost + 1);
    wait_for_metric("magnolia_config_version", 4);
}

// Incident CONFIG: the same for hosts that the store did not answer while it was restored.
TEST_F(restored_store, hosts_that_could_not_reach_the_store_read_what_was_written_since) {
    add_backend("b1");
    start_gateways();
    const auto copy = store_.model().store();
    write_up_to(copy.revision() + lost_changes);
    put("routes", "main", R"({"version":3})");
    wait_for_metric("magnolia_config_version", 3);
    const auto lost = store_.model().store().revision();
    store_.model().faults().outage = outage_mode::refuse;
    wait_for_metric("magnolia_store_reachable", 0);

    auto& store = store_.model().store();
    store.restore(copy);
    for (const auto* config : {R"({"version":3})", R"({"version":4})"}) {
        const object_id id{"routes", "main"};
        ASSERT_TRUE(store.put({id, store.get(id).version, config}));
    }
    for (int object = 0; store.revision() <= lost; ++object) {
        ASSERT_TRUE(store.put({{"other", "after" + std::to_string(object)}, 0, "x"}));
    }
    store_.model().faults().outage = outage_mode::none;
    wait_for_metric("magnolia_config_version", 4);
}

// Incident CONFIG: the list of backend servers is watched in the same way.
TEST_F(restored_store, a_backend_server_that_registers_after_the_restoration_is_used_by_all_hosts) {
    start_gateways();
    const auto copy = store_.model().store();
    write_up_to(copy.revision() + lost_changes);
    put("backends", "b1", "none 127.0.0.1:1");
    wait_for_metric("magnolia_live_backends", 1);
    const auto lost = store_.model().store().revision();

    restore_store(copy);
    add_backend("b2");
    write_up_to(lost + 1);
    for (const auto& gateway : gateways_) {
        poll([&] {
            const auto answer = get(gateway->settings().listen.port, "/safe/");
            return answer && answer->status == 200;
        });
    }
}

// A host that reads the copy must not go back to the older configuration that it holds.
TEST_F(restored_store, hosts_keep_the_configuration_that_the_copy_has_lost) {
    add_backend("b1");
    start_gateways();
    const auto copy = store_.model().store();
    put("routes", "main", R"({"version":3,"without":"/safe/"})");
    wait_for_metric("magnolia_config_version", 3);
    restore_store(copy);
    wait_for_metric("magnolia_store_epoch", 1);
    put("backends", "b2", "none 127.0.0.1:1");
    wait_for_metric("magnolia_live_backends", 2);
    for (const auto& gateway : gateways_) {
        const auto answer = get(gateway->settings().listen.port, "/safe/");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 404U);
    }
}

// The list of the copy lacks backend servers that have registered since; they register again
// within two seconds.
TEST_F(restored_store, backend_servers_that_the_copy_lacks_are_used_until_they_register_again) {
    start_gateways();
    const auto copy = store_.model().store();
    add_backend("b1");
    wait_for_metric("magnolia_live_backends", 1);
    restore_store(copy);
    wait_for_metric("magnolia_store_epoch", 1);
    for (const auto& gateway : gateways_) {
        const auto answer = get(gateway->settings().listen.port, "/safe/");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200U);
    }
    poll([this] {
        const auto answer = get(gateways_.front()->settings().listen.port, "/safe/");
        return answer && answer->status == 503;
    });
}

// Hosts that are killed on the copy know its configuration only. What is written again, with a
// route that the copy lacks, has to be in force at all of them.
TEST_F(restored_store, hosts_that_start_on_the_copy_take_what_is_written_again) {
    add_backend("b1");
    put("routes", "main", R"({"version":3,"without":"/safe/"})");
    start_gateways();
    const auto copy = store_.model().store();
    write_up_to(copy.revision() + lost_changes);
    put("routes", "main", R"({"version":4})");
    wait_for_metric("magnolia_config_version", 4);
    const auto lost = store_.model().store().revision();

    restore_store(copy);
    stop_gateways();
    start_gateways();
    put("routes", "main", R"({"version":4})");
    write_up_to(lost + 1);
    wait_for_metric("magnolia_config_version", 4);
    for (const auto& gateway : gateways_) {
        EXPECT_EQ(get(gateway->settings().listen.port, "/safe/")->status, 200U);
    }
}

// A host that starts on the copy beside one that knows the lost configuration refuses no route that
// the latter serves.
TEST_F(restored_store, a_host_that_starts_on_the_copy_does_not_deny_what_its_peers_know) {
    add_backend("b1");
    put("routes", "main", R"({"version":3,"without":"/safe/"})");
    start_gateways();
    const auto copy = store_.model().store();
    put("routes", "main", R"({"version":4})");
    wait_for_metric("magnolia_config_version", 4);
    restore_store(copy);
    wait_for_metric("magnolia_store_epoch", 1);

    const auto& started = start_gateway("g4");
    poll([&] { return get(started.settings().listen.port, "/safe/")->status == 503; });
    put("routes", "main", R"({"version":4})");
    poll([&] { return get(started.settings().listen.port, "/safe/")->status == 200; });
}

// A host without a configuration must not deny routes, and takes the newest once there is a store.
TEST_F(restored_store, a_host_that_starts_while_the_store_is_away_denies_nothing) {
    add_backend("b1");
    put("routes", "main", R"({"version":3})");
    const auto copy = store_.model().store();
    store_.model().faults().outage = outage_mode::refuse;
    gateways_.push_back(
        std::make_unique<running_gateway>(context_, "g1", gateways_store_, store_codec_));
    const auto& settings = gateways_.back()->settings();
    poll([&] {
        const auto answer = get(settings.listen.port, "/safe/");
        return answer && answer->status == 503;
    });
    EXPECT_EQ(get(settings.readiness.port, "/ready")->status, 503U);
    auto& store = store_.model().store();
    store.restore(copy);
    const object_id id{"routes", "main"};
    ASSERT_TRUE(store.put({id, store.get(id).version, R"({"version":5})"}));
    store_.model().faults().outage = outage_mode::none;
    wait_for_readiness(*gateways_.back(), true);
    wait_for_metric("magnolia_config_version", 5);
    EXPECT_EQ(get(settings.listen.port, "/safe/")->status, 200U);
}

// What hosts keep in the store is lost with it.
TEST_F(restored_store, hosts_register_again) {
    const auto copy = store_.model().store();
    start_gateways();
    poll([this] { return object_count("gateways") == 3; });
    restore_store(copy);
    poll([this] { return object_count("gateways") == 3; });
}

TEST_F(restored_store, a_store_may_be_restored_again_before_hosts_have_read_it) {
    add_backend("b1");
    start_gateways();
    const auto copy = store_.model().store();
    write_up_to(copy.revision() + lost_changes);
    put("routes", "main", R"({"version":3})");
    wait_for_metric("magnolia_config_version", 3);
    restore_store(copy);
    put("routes", "main", R"({"version":4})");
    restore_store(copy);
    put("routes", "main", R"({"version":5})");
    write_up_to(copy.revision() + lost_changes + 2);
    wait_for_metric("magnolia_config_version", 5);
    wait_for_metric("magnolia_store_epoch", 2);
}

// The revisions of another store are those of another history as well.
TEST_F(restored_store, the_store_at_a_new_address_is_read_from_the_start) {
    add_backend("b1");
    start_gateways();
    platform_server other{context_, 2};
    ASSERT_TRUE(other.listen(endpoint{}));
    auto& objects = other.model().store();
    ASSERT_TRUE(objects.put({{"routes", "main"}, 0, R"({"version":3})"}));
    while (objects.revision() <= store_.model().store().revision() + lost_changes) {
        const auto name = "o" + std::to_string(objects.revision());
        ASSERT_TRUE(objects.put({{"other", name}, 0, "x"}));
    }
    for (const auto& gateway : gateways_) {
        gateway->write_settings({"127.0.0.1", other.port()});
    }
    wait_for_metric("magnolia_config_version", 3);
    stop_gateways();
}

} // namespace
} // namespace magnolia
