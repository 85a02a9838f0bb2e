#include "wire_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <set>

namespace magnolia::platform {
namespace {

using json = nlohmann::json;

/// Streaming and unsafe routes, services with and without an engine, limits and a tenant.
constexpr auto config_text = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"a.example","PathPrefix":"/x/","Kind":"streaming","TimeoutMs":10000,
   "TargetLatencyMs":300,"Priority":3,"TrafficSplit":[{"Service":"s1","Weight":90},
   {"Service":"s2","Weight":10}],"Attempts":2,"Public":false,"Resumable":true,"TargetGapMs":250},
  {"Name":"r2","Host":"a.example","PathPrefix":"/y/","Kind":"unsafe","TimeoutMs":600,
   "Service":"s2","Attempts":1,"Public":true}],
 "Services":[{"Name":"s1","HealthPath":"/health","MaxConnections":434,"ColdStartS":3.5,"ColdPerS":14.0,"Engine":{"Slots":16,
   "KvTokens":232000,"Stride":43,"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,
   "read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"usual":{"prompt":12331,"answer":1303},
   "HopMs":0.075}},{"Name":"s2","MaxConnections":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
   "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1}]})";

http_request sample_request() {
    return {"POST",
            "/x/2f",
            {{"Host", "a.example"},
             {"X-Attempt-Id", "9c41"},
             {"Last-Event-Id", "12"},
             {"X-Model", "m"},
             {"X-Token-Usage", "1460,80"},
             {"X-Deadline-Ms", "10000"},
             {"X-Tenant", "forged"},
             {"X-Helpers", "10.0.0.1:1"},
             {"Api-Key", "k1"}},
            "body",
            {}};
}

TEST(wire_codec, reads_the_configuration) {
    const auto config = wire_codec{}.read_config(config_text);
    ASSERT_TRUE(config);
    EXPECT_EQ(config->version, 7U);
    ASSERT_EQ(config->routes.size(), 2U);
    const auto& stream = config->routes[0];
    EXPECT_TRUE(stream.is_stream);
    EXPECT_EQ(stream.repeat, repeat_rule::resumable);
    EXPECT_EQ(stream.timeout, milliseconds{10000});
    EXPECT_EQ(stream.target_pause, milliseconds{250});
    EXPECT_EQ(stream.max_attempts, 2U);
    EXPECT_TRUE(stream.needs_key);
    ASSERT_EQ(stream.services.size(), 2U);
    EXPECT_EQ(stream.services[0].weight, 90U);
    EXPECT_EQ(config->routes[1].repeat, repeat_rule::never);
    EXPECT_FALSE(config->routes[1].needs_key);
    const auto& engine = config->services[0].engine;
    ASSERT_TRUE(engine);
    EXPECT_EQ(engine->memory_tokens, 232'000U);
    EXPECT_DOUBLE_EQ(engine->prefill_tokens_per_ms, 206);
    EXPECT_EQ(engine->mean_answer_tokens, 1303U);
    EXPECT_FALSE(config->services[1].engine);
    EXPECT_EQ(config->services[0].cold, (cold_terms{milliseconds{3500}, 14}));
    EXPECT_FALSE(config->services[1].cold);
    EXPECT_EQ(stream.urgency, 3U);
    EXPECT_EQ(config->routes[1].urgency, 0U);
    EXPECT_EQ(config->workspaces[0].urgency, 1U);
    EXPECT_EQ(config->workspaces[0].keys.size(), 2U);
}

TEST(wire_codec, an_unreadable_configuration_error_names_the_field) {
    const wire_codec codec;
    EXPECT_EQ(codec.read_config("nothing").error().code, error_code::bad_request);
    EXPECT_EQ(codec.read_config(R"({"Routes":[]})").error().subject, "configuration.Version");
    EXPECT_EQ(
        codec.read_config(R"({"Version":1,"Routes":[{"Name":"r","Host":"h"}]})").error().subject,
        "configuration.Routes.PathPrefix");
}

/// Calls the function for each value inside the document, with the name of its field.
void for_each_field(json& document, const std::string& name,
                    const std::function<void(json& value, const std::string& name)>& visit) {
    if (document.is_object()) {
        for (auto& [key, value] : document.items()) {
            visit(value, key);
            for_each_field(value, key, visit);
        }
    } else if (document.is_array()) {
        for (auto& value : document) {
            for_each_field(value, name, visit);
        }
    }
}

// Incident CONFIG: a document without its routes, or with fields of another type, was read as a
// configuration with defaults in their place, which refused all requests or admitted too many.
TEST(wire_codec, a_configuration_with_a_field_missing_or_of_another_type_is_rejected) {
    const wire_codec codec;
    const std::set<std::string> unread{"HealthPath", "MaxConnections", "Protocol", "Tls",
                                       "Sticky",     "HopMs",          "prompt"};
    const std::set<std::string> required{"Version", "Routes",      "Services",   "Name",
                                         "Host",    "Kind",        "PathPrefix", "TimeoutMs",
                                         "Service", "TrafficSplit"};
    auto document = json::parse(config_text);
    ASSERT_TRUE(codec.read_config(document.dump()));
    std::size_t checked = 0;
    for_each_field(document, {}, [&](json& value, const std::string& name) {
        if (unread.contains(name)) {
            return;
        }
        ++checked;
        const auto good = value;
        for (const auto& bad : {json("x"), json(-1), json(1e300), json::array({7}),
                                json::object({{"x", 1}}), json(true)}) {
            const bool is_same_type = bad.type() == good.type();
            value = bad;
            EXPECT_TRUE(is_same_type || !codec.read_config(document.dump())) << name << " " << bad;
        }
        value = nullptr;
        EXPECT_EQ(!codec.read_config(document.dump()), required.contains(name)) << name;
        value = good;
    });
    EXPECT_GT(checked, 30U);
}

// Incident CONFIG: requests on the route would have been refused as if its service had no servers.
TEST(wire_codec, a_configuration_with_a_route_to_an_unknown_service_is_rejected) {
    auto document = json::parse(config_text);
    document["Services"].erase(1);
    EXPECT_EQ(wire_codec{}.read_config(document.dump()).error().subject, "service of a route");
}

/// Objects that other programs write under the same kind have to be rejected, not read with default
/// values.
TEST(wire_codec, objects_of_other_writers_are_no_backend_servers) {
    const wire_codec codec;
    const json good{{"Service", "s1"},
                    {"Address", "10.128.0.9:8080"},
                    {"Zone", "z"},
                    {"Slots", 16},
                    {"State", "ready"},
                    {"born", 5},
                    {"ColdRemainingMs", 2500}};
    const auto backend = codec.read_backend("i-1", good.dump());
    ASSERT_TRUE(backend);
    EXPECT_EQ(backend->address.address, "10.128.0.9");
    EXPECT_EQ(backend->address.port, 8080);
    EXPECT_EQ(backend->started_ms, 5);
    EXPECT_FALSE(backend->is_leaving);
    EXPECT_EQ(backend->cold_left, milliseconds{2500});
    auto negative = good;
    negative["ColdRemainingMs"] = -1;
    EXPECT_FALSE(codec.read_backend("i-1", negative.dump()));
    auto draining = good;
    draining["State"] = "draining";
    EXPECT_TRUE(codec.read_backend("i-1", draining.dump())->is_leaving);
    for (const auto& [field, value] :
         {std::pair<std::string, json>{"State", "asleep"}, {"Service", 7}, {"Address", "x"}}) {
        auto bad = good;
        bad[field] = value;
        EXPECT_FALSE(codec.read_backend("i-1", bad.dump())) << field;
        bad.erase(field);
        EXPECT_FALSE(codec.read_backend("i-1", bad.dump())) << field;
    }
    EXPECT_FALSE(codec.read_backend("i-1", "\x01\x02"));
}

TEST(wire_codec, reads_the_request_head) {
    const auto head = wire_codec{}.read_request(sample_request());
    ASSERT_TRUE(head);
    EXPECT_EQ(head->attempt, "9c41");
    EXPECT_EQ(head->key, "k1");
    EXPECT_EQ(head->time_left, milliseconds{10000});
    EXPECT_EQ(head->prompt_tokens, 1460U);
    EXPECT_EQ(head->max_answer_tokens, 80U);
    EXPECT_EQ(head->resume_after, 12U);
    auto without_attempt_id = sample_request();
    without_attempt_id.headers.erase(without_attempt_id.headers.begin() + 1);
    EXPECT_EQ(wire_codec{}.read_request(without_attempt_id).error().code, error_code::bad_request);
    auto with_invalid_deadline = sample_request();
    with_invalid_deadline.headers[5].value = "soon";
    EXPECT_FALSE(wire_codec{}.read_request(with_invalid_deadline));
}

// The last segment is the request's own. The gateway of the incident BUDGET did not read the
// segments.
TEST(wire_codec, reads_the_segments_of_a_prompt) {
    const auto segments_of = [](std::string value) {
        auto request = sample_request();
        request.headers.push_back({"X-Prompt-Prefix", std::move(value)});
        return wire_codec{}.read_request(request)->prompt;
    };
    using outline = prompt_outline;
    EXPECT_EQ(segments_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
              (outline{{"5c1e07a2", "91bd3f06"}, "e4402b7d"}));
    EXPECT_EQ(segments_of(" 5c1e07a2 :800, 91bd3f06,e4402b7d"),
              (outline{{"5c1e07a2", "91bd3f06"}, "e4402b7d"}));
    EXPECT_EQ(segments_of("5c1e07a2:800"), (outline{{}, "5c1e07a2"}));
    EXPECT_EQ(segments_of(""), outline{});
    EXPECT_EQ(segments_of(",,5c1e\" x:1,:2,91bd3f06:410,"), (outline{{"91bd3f06"}, ""}));
    EXPECT_EQ(segments_of(std::string(65, 'a') + ":1,b:1,c:1"), (outline{{"b"}, "c"}));
    std::string many;
    for (int segment = 0; segment < 100; ++segment) {
        many += std::to_string(segment) + ":1,";
    }
    EXPECT_EQ(segments_of(many).shared.size(), 64U);
    EXPECT_EQ(segments_of(many).shared.back(), "63");
}

/// Headers that a caller could forge are replaced or removed, and its key is not forwarded.
TEST(wire_codec, writes_the_request_to_a_backend_server) {
    attempt_parameters parameters;
    parameters.time_left = milliseconds{9500};
    parameters.backend_id = "i-7";
    parameters.workspace = "t1";
    parameters.helpers = {{{"10.2.64.3", 8080}, "t81"}, {{"10.2.64.5", 8080}, ""}};
    const auto out = wire_codec{}.write_request(sample_request(), parameters);
    const auto field = [&](std::string_view name) { return find_header(out.headers, name); };
    EXPECT_EQ(field("X-Deadline-Ms"), "9500");
    EXPECT_EQ(field("X-Expect-Instance"), "i-7");
    EXPECT_EQ(field("X-Tenant"), "t1");
    EXPECT_EQ(field("X-Helpers"), "10.2.64.3:8080/t81,10.2.64.5:8080");
    EXPECT_EQ(field("Api-Key"), "");
    EXPECT_EQ(field("X-Model"), "m");
    EXPECT_EQ(field("X-Token-Usage"), "1460,80");
    EXPECT_EQ(field("X-Attempt-Id"), "9c41");
    EXPECT_EQ(field("Last-Event-Id"), "12");
    EXPECT_EQ(out.body, "body");
    parameters.workspace.clear();
    parameters.helpers.clear();
    parameters.resume_after = 15;
    EXPECT_EQ(field("X-Request-Priority"), "");
    parameters.urgency = 12;
    const auto public_request = wire_codec{}.write_request(sample_request(), parameters);
    EXPECT_EQ(find_header(public_request.headers, "X-Tenant"), "");
    EXPECT_EQ(find_header(public_request.headers, "X-Helpers"), "");
    EXPECT_EQ(find_header(public_request.headers, "Last-Event-Id"), "15");
    EXPECT_EQ(find_header(public_request.headers, "X-Request-Priority"), "9");
}

/// Only an answer that proves that the call was not executed permits another attempt at a
/// non-repeatable call.
TEST(wire_codec, reads_the_evidence_of_an_answer) {
    const wire_codec codec;
    EXPECT_TRUE(codec.read_answer(503, {{"X-Not-Executed", "1"}}).is_not_run);
    EXPECT_TRUE(codec.read_answer(421, {}).is_not_run);
    EXPECT_TRUE(codec.read_answer(421, {}).is_other_backend);
    EXPECT_FALSE(codec.read_answer(503, {}).is_not_run);
    const auto signed_answer = codec.read_answer(
        200, {{"X-Response-Signature", "s"}, {"Content-Type", "text/event-stream"}});
    EXPECT_TRUE(signed_answer.is_signed);
    EXPECT_TRUE(signed_answer.is_event_stream);
    EXPECT_EQ(codec.read_answer(503, {{"Retry-After", "0.25"}}).retry_after, milliseconds{250});
}

// MIXED: a failure bears a server's signature and another status than that server gave.
TEST(wire_codec, an_answer_with_another_status_loses_its_signature) {
    const http_headers headers{{"x-response-signature", "s"}, {"X-Attempt-Id", "a1"}};
    EXPECT_EQ(wire_codec{}.without_signature(headers), (http_headers{{"X-Attempt-Id", "a1"}}));
}

// The gateway of the incident LIMIT did not read the limit that a server states.
TEST(wire_codec, reads_the_limit_that_a_backend_server_states) {
    const auto limit_of = [](std::string value) {
        return wire_codec{}.read_answer(200, {{"Server-Limit", std::move(value)}}).requests_per_s;
    };
    EXPECT_EQ(limit_of("1"), 1.0);
    EXPECT_EQ(limit_of("0.25"), 0.25);
    EXPECT_EQ(limit_of("0"), 0.0);
    for (const auto* invalid : {"", "-1", "many", "1/s", "inf", "nan"}) {
        EXPECT_EQ(limit_of(invalid), std::nullopt) << invalid;
    }
    EXPECT_EQ(wire_codec{}.read_answer(200, {}).requests_per_s, std::nullopt);
}

// A limit that could not be read passed for its end: all hosts sent without one.
TEST(wire_codec, tells_an_unreadable_limit_from_none) {
    const auto is_unreadable = [](std::string value) {
        return wire_codec{}
            .read_answer(200, {{"Server-Limit", std::move(value)}})
            .is_limit_unreadable;
    };
    for (const auto* invalid : {"", "-1", "many", "1/s", "inf", "nan", "1, 2", "1e999"}) {
        EXPECT_TRUE(is_unreadable(invalid)) << invalid;
    }
    EXPECT_FALSE(is_unreadable("0.05"));
    EXPECT_FALSE(wire_codec{}.read_answer(200, {}).is_limit_unreadable);
}

TEST(wire_codec, reads_how_long_a_backend_server_stays_cold) {
    const auto cold_left_of = [](std::string value) {
        return wire_codec{}.read_answer(200, {{"X-Cold-Ms", std::move(value)}}).cold_left;
    };
    EXPECT_EQ(cold_left_of("1500"), milliseconds{1500});
    EXPECT_EQ(cold_left_of("0"), milliseconds{0});
    for (const auto* invalid : {"", "-1", "long", "inf", "nan"}) {
        EXPECT_EQ(cold_left_of(invalid), std::nullopt) << invalid;
    }
}

// Incident BUDGET: a request for rest was told to the caller only.
TEST(wire_codec, reads_a_request_for_rest) {
    const platform::wire_codec codec;
    const auto read = [&](unsigned status, const std::string& retry_after) {
        return codec.read_answer(status, {{"Retry-After", retry_after}});
    };
    EXPECT_TRUE(read(503, "2.5").asks_for_rest);
    EXPECT_EQ(read(503, "2.5").retry_after, milliseconds{2500});
    EXPECT_FALSE(read(503, "0").asks_for_rest);
    EXPECT_FALSE(read(429, "2").asks_for_rest);
    EXPECT_FALSE(codec.read_answer(503, {}).asks_for_rest);
    EXPECT_EQ(read(503, "1e300").retry_after, std::chrono::hours{24});
    for (const auto* text : {"-1", "nan", "soon", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        EXPECT_TRUE(read(503, text).asks_for_rest) << text;
        EXPECT_EQ(read(503, text).retry_after, milliseconds{0}) << text;
    }
}

TEST(wire_codec, a_refusal_carries_retry_after) {
    request_head head;
    head.attempt = "9c41";
    const auto response =
        wire_codec{}.write_failure(head, {error_code::no_capacity, "x", milliseconds{250}});
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(find_header(response.headers, "Retry-After"), "0.25");
    EXPECT_EQ(find_header(response.headers, "X-Attempt-Id"), "9c41");
    EXPECT_EQ(find_header(response.headers, "X-Response-Signature"), "");
}

TEST(wire_codec, writes_memory_orders) {
    const auto reserve = wire_codec{}.write_reserve("i-1", "t81", 60000, milliseconds{3000});
    EXPECT_EQ(reserve.method + reserve.target, "POST/-/order");
    EXPECT_EQ(json::parse(reserve.body), json::parse(R"({"Operation":"reserve","Id":"t81",
        "Tokens":60000,"HoldMs":3000,"Wait":false})"));
    const auto release = wire_codec{}.write_release("i-1", "t81");
    EXPECT_EQ(json::parse(release.body), json::parse(R"({"Operation":"release","Id":"t81"})"));
    // STUCK: a renewal reserved memory at another process that had taken over the address.
    EXPECT_EQ(find_header(reserve.headers, "X-Expect-Instance"), "i-1");
    EXPECT_EQ(find_header(release.headers, "X-Expect-Instance"), "i-1");
}

// LEAK: a probe showed only that some process has the address.
TEST(wire_codec, a_probe_tells_which_process_answers) {
    const wire_codec codec;
    const auto probe = codec.write_probe("i-1");
    EXPECT_EQ(probe.method + probe.target, "GET/-/report");
    EXPECT_EQ(find_header(probe.headers, "X-Expect-Instance"), "i-1");
    const auto read = [&](unsigned status, std::string body) {
        return codec.read_probe({status, {}, std::move(body)});
    };
    EXPECT_EQ(read(200, R"({"born":1790000000123,"Running":3})").started_ms, 1'790'000'000'123);
    EXPECT_FALSE(read(200, R"({"born":5})").is_other_backend);
    for (const auto* unknown : {R"({"Running":3})", R"({"born":"x"})", R"({"born":0})",
                                R"({"born":-1})", R"({"born":1e300})", "[5]", "\x01", ""}) {
        EXPECT_FALSE(read(200, unknown).started_ms) << unknown;
    }
    EXPECT_FALSE(read(503, R"({"born":5})").started_ms);
    EXPECT_TRUE(read(421, {}).is_other_backend);
}

TEST(object_store_codec, encodes_calls) {
    const object_store_codec codec;
    EXPECT_EQ(codec.encode(object_get{{"config", "main"}}).target, "/-/objects/config/main");
    EXPECT_EQ(codec.encode(object_list{"servers", "i-7", 0, false}).target,
              "/-/objects/servers?After=i-7");
    EXPECT_EQ(codec.encode(object_list{"servers", {}, 0, true}).target,
              "/-/objects/servers?AllowStale=1");
    EXPECT_EQ(codec.encode(object_watch{"servers", {.revision = 530}, milliseconds{1500}}).target,
              "/-/objects/servers?Watch=530&WaitMs=1500");
    const auto create = codec.encode(object_put{{"k", "n"}, 0, "1"});
    EXPECT_EQ(create.method + create.target, "POST/-/objects/k");
    EXPECT_EQ(json::parse(create.body)["Metadata"]["Name"], "n");
    const auto replace = codec.encode(object_put{{"k", "n"}, 412, "1"});
    EXPECT_EQ(replace.method + replace.target, "PUT/-/objects/k/n");
    EXPECT_EQ(json::parse(replace.body)["Metadata"]["Revision"], 412);
}

TEST(object_store_codec, decodes_replies) {
    const object_store_codec codec;
    const object_list list{"servers", {}, 0, false};
    const auto page = codec.decode(
        list, {200, {}, R"({"Items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{"x":1}}],
                           "HasMore":true,"StoreRevision":530})"});
    ASSERT_TRUE(page);
    const auto& items = std::get<object_page>(*page);
    EXPECT_EQ(items.position.revision, 530U);
    EXPECT_TRUE(items.more);
    ASSERT_EQ(items.items.size(), 1U);
    EXPECT_EQ(items.items[0].id.name, "a");
    EXPECT_EQ(items.items[0].value, R"({"x":1})");
    const object_watch watch{"servers", {.revision = 530}, milliseconds{1500}};
    const auto changes = codec.decode(
        watch, {200, {}, R"({"events":[{"Deleted":true,"Object":{"Metadata":{"Name":"a"}}}],
                            "StoreRevision":533})"});
    EXPECT_TRUE(std::get<watch_page>(*changes).changes[0].deleted);
    EXPECT_TRUE(std::get<watch_page>(*codec.decode(watch, {410, {}, {}})).gap);
    EXPECT_EQ(codec.decode(watch, {429, {{"Retry-After", "0.5"}}, {}}).error(),
              (error{error_code::platform_busy, "status 429", milliseconds{500}}));
    EXPECT_EQ(codec.decode(list, {200, {}, "?"}).error().code, error_code::platform_down);
    EXPECT_EQ(codec.decode(object_put{{"k", "n"}, 1, "1"}, {409, {}, "{}"}).error().code,
              error_code::conflict);
    const auto none = codec.decode(object_get{{"k", "n"}}, {404, {}, {}});
    EXPECT_EQ(std::get<stored_object>(*none).version, 0U);
}

/// Values of another writer that no reader of this project may follow.
std::vector<std::string> odd_specs() {
    constexpr std::size_t depth = 400'000;
    return {std::string(depth, '[') + std::string(depth, ']'),
            R"({"Service":"s1","Slots":1e999})",
            R"({"Service":"s1","Slots":123456789012345678901234567890})",
            R"({"Service":"s1","Zone":"z","State":"ready","Address":"127.0.0.1:70000"})",
            R"({"Service":"s1","Zone":"z","State":"ready","Address":"127.0.0.1:0"})",
            "7",
            "null"};
}

// One odd entry ended the process, or hid the whole list, each time that it was read.
TEST(object_store_codec, an_odd_entry_hides_no_other_one) {
    const std::string sound = R"({"Metadata":{"Name":"i-1","Revision":7},"Spec":)"
                              R"({"Service":"s1","Zone":"z","State":"ready",)"
                              R"("Address":"127.0.0.1:80"}})";
    const object_store_codec codec;
    for (const auto& spec : odd_specs()) {
        const auto odd = R"({"Metadata":{"Name":"i-0","Revision":8},"Spec":)" + spec + "}";
        const auto shown = spec.substr(0, 80);
        const auto expect_entries = [&](const std::vector<stored_object>& objects) {
            ASSERT_EQ(objects.size(), 2U) << shown;
            EXPECT_EQ(objects[0].id.name, "i-0") << shown;
            EXPECT_EQ(objects[0].version, 8U) << shown;
            EXPECT_FALSE(wire_codec{}.read_backend("i-0", objects[0].value)) << shown;
            EXPECT_TRUE(wire_codec{}.read_backend("i-1", objects[1].value)) << shown;
        };
        const auto list = codec.decode(
            object_list{.kind = "servers"},
            {200,
             {},
             R"({"Items":[)" + odd + "," + sound + R"(],"HasMore":false,"StoreRevision":9})"});
        ASSERT_TRUE(list) << shown;
        expect_entries(std::get<object_page>(*list).items);
        const auto watch = codec.decode(object_watch{"servers", {}, {}},
                                        {200,
                                         {},
                                         R"({"StoreRevision":9,"events":[{"Object":)" + odd +
                                             R"(,"Deleted":false},{"Object":)" + sound +
                                             R"(,"Deleted":false}]})"});
        ASSERT_TRUE(watch) << shown;
        EXPECT_EQ(std::get<watch_page>(*watch).position.revision, 9U) << shown;
        expect_entries(std::get<watch_page>(*watch).changes);
        const auto one = codec.decode(object_get{{"servers", "i-0"}}, {200, {}, odd});
        ASSERT_TRUE(one) << shown;
        EXPECT_EQ(std::get<stored_object>(*one).version, 8U) << shown;
        EXPECT_FALSE(wire_codec{}.read_config(std::get<stored_object>(*one).value)) << shown;
    }
}

TEST(object_store_codec, the_epoch_is_read_from_replies_of_any_status) {
    const object_store_codec codec;
    EXPECT_EQ(codec.read_epoch({{"Store-Era", "7"}}), 7U);
    EXPECT_EQ(codec.read_epoch({}), std::nullopt);
    EXPECT_EQ(codec.read_epoch({{"Store-Era", "7x"}}), std::nullopt);
    EXPECT_EQ(codec.read_epoch({{"Store-Era", "-1"}}), std::nullopt);
}

// A reply without its list was taken for a complete list without entries, which removed every
// backend server; one without a revision made the next watch start at 0.
TEST(object_store_codec, a_reply_of_another_form_is_an_error) {
    const object_store_codec codec;
    const object_list list{"servers", {}, 0, false};
    const object_watch watch{"servers", {.revision = 530}, milliseconds{1500}};
    const auto error_of = [&](const platform_call& call, std::string body) {
        const auto reply = codec.decode(call, {200, {}, std::move(body)});
        return reply ? error_code::internal : reply.error().code;
    };
    for (const auto* body :
         {"null", "[]", "{}", R"({"HasMore":false,"StoreRevision":5})",
          R"({"Items":{},"HasMore":false,"StoreRevision":5})", R"({"Items":[],"HasMore":false})",
          R"({"Items":[],"HasMore":"no","StoreRevision":5})",
          R"({"Items":[],"StoreRevision":5})"}) {
        EXPECT_EQ(error_of(list, body), error_code::platform_down) << body;
    }
    for (const auto* body : {"{}", R"({"events":[]})", R"({"StoreRevision":5})",
                             R"({"events":null,"StoreRevision":5})"}) {
        EXPECT_EQ(error_of(watch, body), error_code::platform_down) << body;
    }
    for (const auto* body : {"{}", "3", R"({"Metadata":{"Name":"n"},"Spec":1})"}) {
        EXPECT_EQ(error_of(object_get{{"k", "n"}}, body), error_code::platform_down) << body;
        EXPECT_EQ(error_of(object_put{{"k", "n"}, 1, "1"}, body), error_code::platform_down)
            << body;
    }
    EXPECT_EQ(codec.decode(list, {410, {}, {}}).error().code, error_code::platform_down);
}

} // namespace
} // namespace magnolia::platform
