#include "admin_api.h"
#include "contract_rules.h"
#include "key_hash.h"
#include "platform_server.h"

#include <gtest/gtest.h>

#include <optional>

namespace magnolia {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

contract sample() {
    contract value;
    value.workspace = "parts";
    value.models = {"m"};
    return value;
}

TEST(contract_rules, errors_name_the_field_and_the_allowed_values) {
    auto value = sample();
    value.deadlines = {{4000, milliseconds{100}, milliseconds{50}},
                       {1000, milliseconds{1}, milliseconds{2}}};
    value.prompt_token_burst = 10;
    value.key_hashes = {"abc"};
    const auto errors = validate_contract(value);
    std::vector<std::string> paths;
    for (const auto& item : errors) {
        paths.push_back(item.path);
        EXPECT_FALSE(item.allowed.empty());
    }
    EXPECT_EQ(paths, (std::vector<std::string>{"key_hashes", "prompt_token_burst",
                                               "deadlines[0].first_token",
                                               "deadlines[1].up_to_tokens", "deadlines"}));
    const auto read = read_contract_document(json(value));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().code, error_code::bad_contract);
    EXPECT_TRUE(read_contract_document(json(sample())));
}

TEST(key_hash, is_sha_256) {
    EXPECT_EQ(key_hash("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(is_same_hash("ab", "ab"));
    EXPECT_FALSE(is_same_hash("ab", "abc"));
}

const object_put own_write{{"k", "n"}, 3, "mine"};

bool has_own_token(const stored_object& object) {
    return object.value.find("mine") != std::string::npos;
}

result<platform_reply> object_reply(std::uint64_t version, std::string value) {
    return platform_reply{stored_object{{"k", "n"}, version, std::move(value), false}};
}

/// The reply was lost and another write followed: the write must be reported as done, not as a
/// conflict.
TEST(conditional_write, after_a_lost_reply_the_token_identifies_the_own_write) {
    const time_point now{};
    conditional_write write{own_write, has_own_token, now + milliseconds{100}};
    const auto lost = fail(error_code::platform_down);
    EXPECT_TRUE(std::holds_alternative<platform_call>(write.on_reply(lost, now)));
    const auto done = write.on_reply(object_reply(5, "theirs after mine"), now);
    ASSERT_TRUE(std::holds_alternative<write_done>(done));
    EXPECT_EQ(std::get<write_done>(done).version, 5U);
}

/// The first write takes effect only after the object was read back, so the second one conflicts
/// with it.
TEST(conditional_write, an_unchanged_object_is_written_again) {
    const time_point now{};
    conditional_write write{own_write, has_own_token, now + milliseconds{100}};
    (void)write.on_reply(fail(error_code::platform_down), now);
    const auto again = write.on_reply(object_reply(3, "old"), now);
    ASSERT_TRUE(std::holds_alternative<platform_call>(again));
    EXPECT_TRUE(std::holds_alternative<object_put>(std::get<platform_call>(again)));
    (void)write.on_reply(fail(error_code::conflict), now);
    EXPECT_TRUE(std::holds_alternative<write_done>(write.on_reply(object_reply(4, "mine"), now)));
}

TEST(conditional_write, a_conflict_returns_the_current_object_and_a_lost_reply_is_reported) {
    const time_point now{};
    conditional_write write{own_write, has_own_token, now + milliseconds{100}};
    (void)write.on_reply(fail(error_code::conflict), now);
    EXPECT_TRUE(
        std::holds_alternative<write_conflict>(write.on_reply(object_reply(4, "theirs"), now)));
    conditional_write without_reply{own_write, has_own_token, now};
    const auto failed = without_reply.on_reply(fail(error_code::platform_down), now);
    ASSERT_TRUE(std::holds_alternative<write_failed>(failed));
    EXPECT_TRUE(std::get<write_failed>(failed).may_have_effect);
}

/// The administration API, a simulated platform and a caller on one I/O context.
class admin_api_test : public testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(platform_.listen(endpoint{}));
        settings_.operators = {{"ana", key_hash("secret")}};
        platform_budget budget;
        budget.timeout = milliseconds{200};
        budget.initial_backoff = milliseconds{1};
        budget.max_backoff = milliseconds{20};
        client_.emplace(context_, endpoint{"127.0.0.1", platform_.port()}, budget, 1);
        api_.emplace(
            *client_, settings_, [] { return std::int64_t{42}; }, 1);
        server_.emplace(context_, http_server_limits{},
                        [this](const http_request& request, const http_responder& responder) {
                            api_->handle(request, responder);
                        });
        ASSERT_TRUE(server_->listen(endpoint{}));
    }

    std::pair<unsigned, json> call(const std::string& method, const std::string& target,
                                   const json& body = {}, const std::string& key = "secret") {
        std::optional<http_response> answer;
        http_request request{method, target, {{"Authorization", "Bearer " + key}}, body.dump()};
        caller_.call({"127.0.0.1", server_->port()}, std::move(request), {},
                     [&](const auto& received) { answer = received.value(); });
        while (!answer && context_.run_one() > 0) {
        }
        return {answer->status, json::parse(answer->body)};
    }

    boost::asio::io_context context_{1};
    platform_server platform_{context_, 1};
    admin_settings settings_;
    std::optional<platform_client> client_;
    std::optional<admin_api> api_;
    std::optional<http_server> server_;
    http_client caller_{context_};
};

TEST_F(admin_api_test, contract_lifecycle_from_creation_to_tombstone) {
    EXPECT_EQ(call("GET", "/v1/contracts", {}, "wrong").first, 401U);
    const auto [create_status, first] = call("POST", "/v1/contracts", sample());
    ASSERT_EQ(create_status, 201U);
    EXPECT_EQ(first["contract"]["changed_by"], "ana");
    EXPECT_EQ(first["contract"]["changed_at_ms"], 42);
    EXPECT_EQ(call("POST", "/v1/contracts", sample()).first, 409U);
    auto value = sample();
    value.concurrency = 3;
    const auto version = first["version"].get<std::uint64_t>();
    const auto target = "/v1/contracts/parts?expected_version=" + std::to_string(version);
    const auto [change_status, second] = call("PUT", target, value);
    ASSERT_EQ(change_status, 200U);
    const auto [conflict_status, conflict] = call("PUT", target, value);
    EXPECT_EQ(conflict_status, 409U);
    EXPECT_EQ(conflict["current"]["version"], second["version"]);
    const auto second_version = std::to_string(second["version"].get<std::uint64_t>());
    ASSERT_EQ(call("DELETE", "/v1/contracts/parts?expected_version=" + second_version).first, 200U);
    const auto [show_status, tombstone] = call("GET", "/v1/contracts/parts");
    EXPECT_EQ(tombstone["contract"]["state"], "retired");
    const auto tombstone_version = std::to_string(tombstone["version"].get<std::uint64_t>());
    EXPECT_EQ(call("PUT", "/v1/contracts/parts?expected_version=" + tombstone_version, value).first,
              403U);
    EXPECT_EQ(call("POST", "/v1/contracts", sample()).first, 409U);
    const auto [history_status, history] = call("GET", "/v1/contracts/parts/history");
    ASSERT_EQ(history["versions"].size(), 2U);
    EXPECT_EQ(history["versions"][0]["version"], first["version"]);
}

/// Half of the replies are lost; no change may be reported as failed or as a conflict with itself.
TEST_F(admin_api_test, a_change_whose_reply_is_lost_is_read_back) {
    platform_.model().faults().lost_kind = "contract";
    platform_.model().faults().lost_answers = 0.5;
    int accepted = 0;
    for (int number = 0; number < 10; ++number) {
        auto value = sample();
        value.workspace = "w" + std::to_string(number);
        accepted += call("POST", "/v1/contracts", value).first == 201U ? 1 : 0;
    }
    EXPECT_EQ(accepted, 10);
}

// The status of zones beyond the first page of the store's list was missing.
TEST_F(admin_api_test, the_status_covers_all_pages_of_the_list) {
    constexpr std::size_t object_count = 501;
    for (std::size_t index = 0; index < object_count; ++index) {
        ASSERT_TRUE(platform_.model().store().put(
            {{"status", "config/z" + std::to_string(index)}, 0, "{}"}));
    }
    const auto [status, body] = call("GET", "/v1/status");
    EXPECT_EQ(status, 200U);
    EXPECT_EQ(body["status"].size(), object_count);
}

TEST_F(admin_api_test, invalid_contracts_and_paths_get_typed_errors) {
    auto bad = sample();
    bad.prompt_token_burst = 1;
    const auto [status, body] = call("POST", "/v1/contracts", bad);
    EXPECT_EQ(status, 422U);
    EXPECT_NE(body["error"]["subject"].get<std::string>().find("prompt_token_burst"),
              std::string::npos);
    EXPECT_EQ(call("POST", "/v1/validate", sample()).first, 200U);
    EXPECT_EQ(call("GET", "/v1/contracts/none").first, 404U);
    EXPECT_EQ(call("GET", "/v1/nothing").first, 404U);
    EXPECT_EQ(call("PUT", "/v1/contracts/parts", sample()).first, 400U);
    platform_.model().faults().outage = outage_mode::refuse;
    EXPECT_EQ(call("GET", "/v1/contracts/parts").first, 503U);
}

} // namespace
} // namespace magnolia
