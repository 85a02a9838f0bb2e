#include "gateway_fixture.h"
#include "http_server.h"
#include "object_relay.h"
#include "platform_server.h"

#include <boost/asio/steady_timer.hpp>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// A host that watches the store, and one that reads from it.
class store_reader_test : public testing::Test {
protected:
    /// Client, reader and watcher of one host.
    struct host {
        host(boost::asio::io_context& context, const endpoint& store,
             milliseconds timeout = milliseconds{200})
            : client{context, store, budget(), 1}, reader{context, client, 1, timeout},
              watcher{reader,
                      "servers",
                      [] { return milliseconds{300}; },
                      {[this](const auto& objects) {
                           ++lists;
                           names.clear();
                           for (const auto& object : objects) {
                               names.insert(object.id.name);
                           }
                       },
                       [this](const auto& object) {
                           object.deleted ? names.erase(object.id.name)
                                          : names.insert(object.id.name).second;
                       },
                       [this] {
                           if (relay != nullptr) {
                               relay->on_advance();
                           }
                       }}} {}

        static platform_budget budget() {
            platform_budget budget;
            budget.timeout = milliseconds{100};
            budget.initial_backoff = milliseconds{5};
            budget.max_backoff = milliseconds{20};
            return budget;
        }

        platform_client client;
        store_reader reader;
        object_relay* relay = nullptr;
        std::set<std::string> names;
        int lists = 0;
        object_watcher watcher;
    };

    void SetUp() override {
        ASSERT_TRUE(store_.listen(endpoint{}));
        ASSERT_TRUE(server_.listen(endpoint{}));
        const endpoint address{"127.0.0.1", store_.port()};
        watching_ = std::make_unique<host>(context_, address);
        reading_ = std::make_unique<host>(context_, address);
        watching_->relay = &relay_;
        relay_.add(watching_->watcher, [this] { return watching_->watcher.confirmed_at(); });
        reading_->reader.set_max_age(milliseconds{500});
        reading_->reader.set_relays({{"watching", {"127.0.0.1", server_.port()}}}, {}, 1);
        schedule_expiry();
        write("a");
    }

    void write(const std::string& name) {
        ASSERT_TRUE(store_.model().store().put({{"servers", name}, 0, "1"}));
    }

    void start() {
        watching_->watcher.start();
        reading_->watcher.start();
        run_until([this] { return reading_->lists == 1 && watching_->lists == 1; });
    }

    void schedule_expiry() {
        expiry_.expires_after(milliseconds{20});
        expiry_.async_wait([this](const auto& failure) {
            if (!failure) {
                relay_.flush(steady_now());
                schedule_expiry();
            }
        });
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    void run_for(milliseconds span) {
        bool has_passed = false;
        boost::asio::steady_timer timer{context_, span};
        timer.async_wait([&](const auto&) { has_passed = true; });
        run_until([&] { return has_passed; });
    }

    boost::asio::io_context context_{1};
    platform_server store_{context_, 1};
    object_relay relay_;
    bool is_silent_ = false;
    http_server server_{context_, {}, [this](const auto& request, const auto& responder) {
                            if (!is_silent_) {
                                EXPECT_TRUE(relay_.handle(request, responder));
                            }
                        }};
    boost::asio::steady_timer expiry_{context_};
    std::unique_ptr<host> watching_;
    std::unique_ptr<host> reading_;
};

TEST_F(store_reader_test, a_reader_follows_without_any_call_to_the_store) {
    start();
    EXPECT_EQ(reading_->names, std::set<std::string>{"a"});
    write("b");
    run_until([this] { return reading_->names.contains("b"); });
    run_for(milliseconds{700});
    EXPECT_EQ(reading_->lists, 1);
    EXPECT_EQ(reading_->watcher.last_change(), watching_->watcher.last_change());
    EXPECT_LE(steady_now() - reading_->watcher.confirmed_at(), milliseconds{800});
    EXPECT_FALSE(reading_->reader.reads_from_store());
    // One client of the store: a list and its watches.
    const auto reads = store_.model().counts().reads;
    watching_.reset();
    EXPECT_LE(reads, 8U);
}

TEST_F(store_reader_test, a_reader_that_starts_first_waits_for_the_watcher) {
    reading_->watcher.start();
    run_for(milliseconds{100});
    EXPECT_EQ(reading_->lists, 0);
    watching_->watcher.start();
    run_until([this] { return reading_->lists == 1; });
    EXPECT_EQ(reading_->names, std::set<std::string>{"a"});
}

TEST_F(store_reader_test, a_relay_that_ends_is_replaced_by_the_store_at_once) {
    start();
    relay_.close();
    write("b");
    run_until([this] { return reading_->names.contains("b"); });
    EXPECT_TRUE(reading_->reader.reads_from_store());
    EXPECT_EQ(reading_->lists, 1);
}

// A watcher that is frozen, or a connection that is silent for good in either direction.
TEST_F(store_reader_test, a_silent_relay_is_replaced_by_the_store_after_the_timeout) {
    start();
    is_silent_ = true;
    // The watch that waits is answered once more.
    run_for(milliseconds{350});
    write("b");
    const auto written = steady_now();
    run_until([this] { return reading_->names.contains("b"); });
    EXPECT_LE(steady_now() - written, milliseconds{300 + 200 + 400});
    EXPECT_TRUE(reading_->reader.reads_from_store());
}

// The revision of the store rises with objects of every kind.
TEST_F(store_reader_test, a_reader_that_was_at_the_store_itself_continues_at_the_relay) {
    start();
    for (int object = 0; object < 5; ++object) {
        ASSERT_TRUE(store_.model().store().put({{"other", "o" + std::to_string(object)}, 0, "1"}));
    }
    reading_->reader.set_relays({}, {}, 1);
    reading_->watcher.start();
    run_until([this] { return reading_->lists == 2; });
    reading_->reader.set_relays({{"watching", {"127.0.0.1", server_.port()}}}, {}, 1);
    run_for(milliseconds{400});
    EXPECT_FALSE(reading_->reader.reads_from_store());
    write("b");
    run_until([this] { return reading_->names.contains("b"); });
    EXPECT_EQ(reading_->lists, 2);
}

// The relay's cache is of a history that the store has lost.
TEST_F(store_reader_test, a_relay_of_an_earlier_epoch_is_not_used) {
    const auto copy = store_.model().store();
    start();
    write("lost");
    run_until([this] { return reading_->names.contains("lost"); });
    store_.model().store().restore(copy);
    ASSERT_TRUE(reading_->client.observe_epoch(store_.model().store().epoch()));
    reading_->watcher.start();
    run_until([this] { return reading_->lists == 2; });
    EXPECT_EQ(reading_->names, std::set<std::string>{"a"});
}

// The store turns away just the watchers of the zone.
TEST_F(store_reader_test, a_reader_tries_the_store_when_its_relay_has_lost_it) {
    start();
    watching_->client.set_address({"127.0.0.1", 1});
    write("b");
    run_until([this] { return reading_->names.contains("b"); });
    EXPECT_FALSE(watching_->names.contains("b"));
    EXPECT_LE(steady_now() - reading_->watcher.confirmed_at(), milliseconds{500});
}

// Incident CONFIG: a host whose own calls had failed once ignored for ever after that others had
// told it newer versions.
TEST_F(store_reader_test, a_reader_whose_own_call_failed_is_connected_again_through_its_relay) {
    start();
    reading_->reader.set_relays({}, {}, 1);
    reading_->client.set_address({"127.0.0.1", 1});
    reading_->watcher.start();
    run_until([this] { return reading_->watcher.is_disconnected(); });
    reading_->reader.set_relays({{"watching", {"127.0.0.1", server_.port()}}}, {}, 1);
    run_until([this] { return reading_->lists == 2; });
    run_for(milliseconds{400});
    EXPECT_FALSE(reading_->watcher.is_disconnected());
}

// The store turns away one of the watchers: what its readers wait for cannot come from there.
TEST_F(store_reader_test, a_watch_that_waits_ends_once_its_relay_has_lost_the_store) {
    host other{context_, {"127.0.0.1", store_.port()}};
    object_relay second;
    other.relay = &second;
    second.add(other.watcher, [&] { return other.watcher.confirmed_at(); });
    http_server server{context_, {}, [&](const auto& request, const auto& responder) {
                           EXPECT_TRUE(second.handle(request, responder));
                       }};
    ASSERT_TRUE(server.listen(endpoint{}));
    other.watcher.start();
    reading_->reader.set_max_age(std::chrono::hours{1});
    reading_->reader.set_relays({{"watching", {"127.0.0.1", server_.port()}}},
                                {{"other", {"127.0.0.1", server.port()}}}, 1000);
    start();
    run_for(milliseconds{350});
    watching_->client.set_address({"127.0.0.1", 1});
    run_until([this] { return watching_->watcher.is_disconnected(); });
    const auto lost = steady_now();
    write("b");
    run_until([&] {
        second.flush(steady_now());
        return reading_->names.contains("b");
    });
    EXPECT_LE(steady_now() - lost, milliseconds{250});
    EXPECT_FALSE(reading_->watcher.is_disconnected());
    EXPECT_FALSE(watching_->names.contains("b"));
}

// Removals are held back after an outage of the store, by readers too.
TEST_F(store_reader_test, a_reader_knows_that_the_relay_was_cut_off_from_the_store) {
    start();
    EXPECT_EQ(reading_->watcher.reconnected_at(), time_point{});
    reading_->reader.set_max_age(std::chrono::hours{1});
    store_.model().faults().outage = outage_mode::hang;
    run_until([this] { return watching_->watcher.is_disconnected(); });
    store_.model().faults().outage = outage_mode::none;
    run_until([this] { return reading_->watcher.reconnected_at() != time_point{}; });
    EXPECT_LE(
        std::chrono::abs(reading_->watcher.reconnected_at() - watching_->watcher.reconnected_at()),
        milliseconds{20});
}

// Review case 2, CONFIG: a host whose store answered again waited for the host that it had left
// for.
TEST_F(store_reader_test, a_host_leaves_a_silent_teller_once_its_store_answers_again) {
    constexpr milliseconds contact_time{3000};
    host cut{context_, {"127.0.0.1", store_.port()}, std::chrono::seconds{10}};
    cut.reader.set_relays({}, {}, 2);
    cut.reader.set_probe({"servers", "a"});
    cut.watcher.start();
    run_until([&] { return cut.lists == 1; });
    store_.model().faults().outage = outage_mode::hang;
    run_until([&] { return cut.watcher.is_disconnected(); });
    is_silent_ = true;
    cut.reader.on_lag({"watching", {"127.0.0.1", server_.port()}});
    EXPECT_FALSE(cut.reader.reads_from_store());
    // Until the next call, which goes to the teller.
    run_for(milliseconds{500});
    store_.model().faults().outage = outage_mode::none;
    write("b");
    run_for(contact_time);
    EXPECT_TRUE(cut.names.contains("b"));
    EXPECT_FALSE(cut.watcher.is_disconnected());
}

TEST_F(store_reader_test, other_requests_are_not_taken) {
    object_relay relay;
    bool is_taken = true;
    http_server server{context_, {}, [&](const auto& request, const auto& responder) {
                           is_taken = relay.handle(request, responder);
                           responder.send({404, {}, {}});
                       }};
    ASSERT_TRUE(server.listen(endpoint{}));
    http_client client{context_};
    for (const std::string target : {"/v1/objects/other", "/", "/v1/watch/servers", "/v1/hosts"}) {
        bool has_ended = false;
        client.call({"127.0.0.1", server.port()}, {"GET", target, {}, {}, {}}, {},
                    [&](const auto&) { has_ended = true; });
        run_until([&] { return has_ended; });
        EXPECT_FALSE(is_taken) << target;
    }
}

} // namespace
} // namespace magnolia
