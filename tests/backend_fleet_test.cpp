#include "backend_fleet.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

backend_info make_backend(const std::string& id, const std::string& service = "llm") {
    backend_info info;
    info.id = id;
    info.service = service;
    info.address = {"127.0.0.1", 1};
    info.zone = "z1";
    info.slots = 16;
    return info;
}

placement_query short_query() {
    placement_query query;
    query.demand.prompt_tokens = 5000;
    query.demand.answer_tokens = 1000;
    query.demand.target_latency = milliseconds{300};
    query.time_left = milliseconds{10'000};
    return query;
}

std::vector<routed_service> services() {
    engine_profile profile;
    profile.memory_tokens = 232'000;
    profile.steps_per_pass = 43;
    return {{"llm", profile}, {"desk", std::nullopt}};
}

/// Two gateways, `fleet_` and `other_`, with the same engines "a" and "b".
class fleet_test : public testing::Test {
protected:
    void SetUp() override {
        for (auto* fleet : {&fleet_, &other_}) {
            fleet->set_services(services());
            for (const auto* id : {"a", "b"}) {
                fleet->put(make_backend(id));
            }
        }
    }

    std::string chosen(const std::vector<std::string>& tried = {}, time_point now = start) {
        const auto choice = fleet_.choose("llm", short_query(), tried, now);
        return choice ? choice->members.front().id : "none";
    }

    backend_fleet fleet_{"z1", 1, placement_policy::pause_aware};
    backend_fleet other_{"z1", 2, placement_policy::pause_aware};
};

TEST_F(fleet_test, a_leaving_backend_server_gets_no_requests) {
    auto leaving = make_backend("a");
    leaving.is_leaving = true;
    fleet_.put(leaving);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chosen(), "b");
    }
    fleet_.set_gone("b");
    EXPECT_EQ(chosen(), "none");
    EXPECT_FALSE(fleet_.has_live("llm", start));
}

// Incident BUDGET: a server that had asked for rest was chosen again.
TEST_F(fleet_test, a_backend_server_at_rest_is_not_chosen_even_if_there_is_no_other) {
    fleet_.on_rest_asked(fleet_.process_of("a"), milliseconds{4000}, start);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chosen(), "b");
    }
    EXPECT_EQ(chosen({"b"}), "b");
    fleet_.on_rest_asked(fleet_.process_of("b"), milliseconds{2000}, start);
    const auto refusal = fleet_.choose("llm", short_query(), {}, start);
    ASSERT_FALSE(refusal);
    EXPECT_GE(refusal.error().retry_after, milliseconds{2000});
    EXPECT_LE(refusal.error().retry_after, milliseconds{2200});
    EXPECT_FALSE(fleet_.has_live("llm", start));
    EXPECT_EQ(chosen({}, start + milliseconds{2500}), "b");
}

TEST_F(fleet_test, a_request_for_rest_holds_for_one_process) {
    const auto old_process = fleet_.process_of("a");
    fleet_.on_rest_asked(old_process, milliseconds{4000}, start);
    auto restarted = make_backend("a");
    restarted.started_ms = 1;
    fleet_.put(restarted);
    EXPECT_FALSE(fleet_.is_resting("a", start));
    // An answer of the earlier process may arrive late.
    fleet_.on_rest_asked(old_process, milliseconds{4000}, start);
    EXPECT_FALSE(fleet_.is_resting("a", start));
}

TEST_F(fleet_test, a_choice_is_withdrawn_if_one_of_its_backend_servers_asks_for_rest) {
    const auto choice = fleet_.choose("llm", short_query(), {}, start);
    ASSERT_TRUE(choice);
    EXPECT_TRUE(fleet_.is_still_admitted(*choice, start));
    fleet_.on_rest_asked(fleet_.process_of(choice->members.front().id), milliseconds{500}, start);
    EXPECT_FALSE(fleet_.is_still_admitted(*choice, start));
}

TEST_F(fleet_test, a_removal_takes_effect_after_its_grace_and_can_be_revoked) {
    fleet_.remove("a", milliseconds{1000}, start);
    fleet_.remove("b", duration{0}, start);
    EXPECT_EQ(chosen(), "a");
    EXPECT_EQ(chosen({}, start + milliseconds{1000}), "none");
    fleet_.put(make_backend("a"));
    EXPECT_EQ(chosen({}, start + milliseconds{9000}), "a");
}

TEST_F(fleet_test, a_new_list_removes_missing_backend_servers) {
    fleet_.replace_all({make_backend("b"), make_backend("c")}, duration{0}, start);
    EXPECT_EQ(chosen({"b"}), "c");
    EXPECT_EQ(fleet_.live_count(), 2U);
}

TEST_F(fleet_test, another_start_under_the_same_id_is_another_backend_server) {
    fleet_.set_gone("a");
    fleet_.set_gone("b");
    EXPECT_EQ(chosen(), "none");
    auto restarted = make_backend("a");
    restarted.started_ms = 7;
    fleet_.put(restarted);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(fleet_test, tried_backend_servers_are_the_last_resort) {
    EXPECT_EQ(chosen({"a"}), "b");
    EXPECT_EQ(chosen({"b"}), "a");
    EXPECT_NE(chosen({"a", "b"}), "none");
}

TEST_F(fleet_test, repeated_failures_open_the_circuit_breaker) {
    for (int round = 0; round < 3; ++round) {
        const auto choice = fleet_.choose("llm", short_query(), {"b"}, start);
        const auto job = fleet_.start(*choice, short_query().demand, start);
        fleet_.on_ended(job, attempt_result::lost, start);
    }
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chosen(), "b");
    }
}

TEST_F(fleet_test, placements_of_other_gateways_are_taken_into_account) {
    const auto choice = fleet_.choose("llm", short_query(), {"b"}, start);
    const auto job = fleet_.start(*choice, short_query().demand, start);
    EXPECT_TRUE(fleet_.has_untold_placements());
    const auto placed = fleet_.take_updates();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_TRUE(fleet_.take_updates().empty());
    other_.apply_update(placed.front().update, start);
    const auto other_choice = other_.choose("llm", short_query(), {}, start);
    EXPECT_EQ(other_choice->members.front().id, "b");
    // The update about the end is lost; the next digest repairs that.
    fleet_.on_ended(job, attempt_result::done, start);
    static_cast<void>(fleet_.take_updates());
    other_.apply_update(fleet_.take_digest(), start);
    const auto later = start + milliseconds{500};
    const auto busy = other_.choose("llm", short_query(), {"b"}, later);
    const auto idle = other_.choose("llm", short_query(), {"a"}, later);
    EXPECT_EQ(busy->first_event, idle->first_event);
}

// Guards against a new gateway that takes engines with older jobs for idle ones.
TEST_F(fleet_test, a_snapshot_carries_the_remaining_work_to_a_new_gateway) {
    chosen_backends long_prefill;
    long_prefill.members = {{"a", {"127.0.0.1", 1}, 0}};
    long_prefill.share = prefill_share::of(200'000, 1);
    job_demand demand;
    demand.prompt_tokens = 200'000;
    demand.answer_tokens = 500;
    demand.target_latency = milliseconds{2500};
    const auto id = other_.start(long_prefill, demand, start);
    static_cast<void>(other_.take_updates()); // Sent before the other gateway started.
    const auto later = start + milliseconds{500};
    const auto updates = other_.snapshot_updates("other", later);
    ASSERT_EQ(updates.size(), 1U);
    ASSERT_EQ(updates.front().placed.size(), 1U);
    const auto& remaining = updates.front().placed.front();
    EXPECT_EQ(remaining.number, id.number);
    EXPECT_LT(remaining.prefill_tokens, 200'000U);
    EXPECT_GT(remaining.first_attention_span, 0);
    EXPECT_EQ(remaining.target_latency, milliseconds{2000});
    fleet_.apply_update(updates.front(), later);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(chosen({}, later), "b");
    }
    other_.on_ended(id, attempt_result::done, later);
    EXPECT_TRUE(other_.snapshot_updates("other", later).empty());
}

TEST_F(fleet_test, liveness_follows_answers_and_probes) {
    const auto liveness_at = [&](int ms) {
        return fleet_.liveness_of({"a"}, start + milliseconds{ms});
    };
    EXPECT_EQ(liveness_at(0), liveness_evidence::none);
    fleet_.on_answer_bytes("a", start);
    EXPECT_EQ(liveness_at(100), liveness_evidence::answers_others);
    fleet_.on_probe_failed({"a"}, start + milliseconds{500});
    EXPECT_EQ(liveness_at(600), liveness_evidence::silent);
    EXPECT_TRUE(fleet_.on_probe_answered({"a"}, {}, start + milliseconds{700}));
    EXPECT_EQ(liveness_at(800), liveness_evidence::answers_probes);
    EXPECT_EQ(liveness_at(3000), liveness_evidence::none);
}

// LEAK: the answer of another process at the same address counted as a sign of life, so that memory
// was held for a lost request until its deadline.
TEST_F(fleet_test, a_probe_that_another_process_answers_is_no_sign_of_life) {
    const auto list = [&](std::int64_t started_ms) {
        auto backend = make_backend("a");
        backend.started_ms = started_ms;
        fleet_.put(backend);
        return backend_process{"a", started_ms};
    };
    const auto other_start = probe_answer{.is_other_backend = false, .started_ms = 8};
    const auto other_backend = probe_answer{.is_other_backend = true, .started_ms = {}};
    for (const auto& answer : {other_start, other_backend}) {
        const auto process = list(7);
        EXPECT_TRUE(fleet_.on_probe_answered(process, {false, 7}, start));
        EXPECT_EQ(fleet_.liveness_of(process, start), liveness_evidence::answers_probes);
        EXPECT_FALSE(fleet_.on_probe_answered(process, answer, start));
        EXPECT_EQ(fleet_.liveness_of(process, start), liveness_evidence::replaced);
        EXPECT_FALSE(fleet_.is_staying("a"));
        // The platform's list has the new process.
        const auto next = list(8);
        EXPECT_TRUE(fleet_.is_staying("a"));
        EXPECT_EQ(fleet_.liveness_of(process, start), liveness_evidence::replaced);
        EXPECT_EQ(fleet_.liveness_of(next, start), liveness_evidence::none);
        // Results of probes of the earlier process arrive late.
        fleet_.on_probe_failed(process, start);
        EXPECT_FALSE(fleet_.on_probe_answered(process, other_start, start));
        EXPECT_EQ(fleet_.liveness_of(next, start), liveness_evidence::none);
        EXPECT_TRUE(fleet_.is_staying("a"));
    }
    // Neither the list nor the answer has to state the start.
    EXPECT_TRUE(fleet_.on_probe_answered(list(0), other_start, start));
    EXPECT_TRUE(fleet_.on_probe_answered(list(7), {}, start));
}

TEST_F(fleet_test, equal_lists_have_equal_hashes) {
    EXPECT_EQ(fleet_.list_hash(), other_.list_hash());
    auto leaving = make_backend("a");
    leaving.is_leaving = true;
    fleet_.put(leaving);
    EXPECT_NE(fleet_.list_hash(), other_.list_hash());
    other_.put(leaving);
    EXPECT_EQ(fleet_.list_hash(), other_.list_hash());
    fleet_.remove("b", milliseconds{500}, start);
    other_.remove("b", duration{0}, start);
    EXPECT_EQ(fleet_.list_hash(), other_.list_hash());
}

TEST_F(fleet_test, the_next_digest_repeats_placements_once) {
    auto query = short_query();
    query.demand.prompt_tokens = 60'000;
    query.demand.answer_tokens = 100'000;
    const auto choice = fleet_.choose("llm", short_query(), {"b"}, start);
    static_cast<void>(fleet_.start(*choice, query.demand, start));
    static_cast<void>(fleet_.take_updates()); // This datagram is lost.
    const auto digest = fleet_.take_digest();
    other_.apply_update(digest, start);
    other_.apply_update(digest, start);
    // The placement is counted once, not twice: 160,000 of the 232,000 tokens of "a" are in use.
    auto large = short_query();
    large.demand.prompt_tokens = 100'000;
    EXPECT_FALSE(other_.choose("llm", large, {"b"}, start)
                     .map([](const auto& chosen) { return chosen.members.front().id == "a"; })
                     .value_or(false));
    auto fits = short_query();
    fits.demand.prompt_tokens = 30'000;
    other_.set_gone("b");
    EXPECT_TRUE(other_.choose("llm", fits, {}, start));
    EXPECT_TRUE(fleet_.take_digest().placed.empty());
}

} // namespace
} // namespace magnolia
