/// Several complete gateways on loopback, each on a thread of its own, with a store and callers
/// that the test provides.
#pragma once

#include "gateway.h"
#include "gateway_fixture.h"
#include "platform_client.h"
#include "platform_server.h"

#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <thread>

namespace magnolia {

/// Settings of a gateway on free ports of the loopback interface, and the file that holds them.
class host_settings {
public:
    /// @param context  finds free ports.
    host_settings(boost::asio::io_context& context, const std::string& name, const endpoint& store);

    static constexpr double default_stop_timeout_s = 2;

    [[nodiscard]] const gateway_settings& get() const { return settings_; }
    [[nodiscard]] const std::filesystem::path& file() const { return file_; }
    /// Text of a file that names this store and time of a stop.
    [[nodiscard]] std::string text(const endpoint& store,
                                   double stop_timeout_s = default_stop_timeout_s) const;
    /// Replaces the file.
    void write(const std::string& text) const;

private:
    /// Chooses a free port and keeps it as long as the object exists.
    std::uint16_t take_port(boost::asio::io_context& context);

    gateway_settings settings_;
    /// Bound and never listening: while the gateway starts, no other process is given its ports.
    std::vector<boost::asio::ip::tcp::acceptor> port_holders_;
    std::filesystem::path file_;
};

/// A complete gateway with its process object, settings file and thread. Stops with the object.
class running_gateway {
public:
    /// @param context      finds free ports.
    /// @param store_codec  has to outlive the gateway.
    /// @param codec        has to outlive the gateway; test_codec if null.
    running_gateway(boost::asio::io_context& context, const std::string& name,
                    const endpoint& store, const store_codec& store_codec,
                    const gateway_codec* codec = nullptr);
    ~running_gateway();
    running_gateway(const running_gateway&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;

    [[nodiscard]] const gateway_settings& settings() const { return settings_.get(); }
    /// Replaces the settings file by one that names another store, or another time for a stop.
    void write_settings(const endpoint& store,
                        double stop_timeout_s = host_settings::default_stop_timeout_s) const {
        settings_.write(settings_.text(store, stop_timeout_s));
    }
    /// Starts the planned stop.
    void request_stop() { owner_->request_stop(); }
    /// Metrics in the text format.
    [[nodiscard]] std::string metrics() const { return owner_->metrics().text(); }
    /// Whether run() has returned.
    [[nodiscard]] bool has_ended() const { return has_ended_; }

private:
    test_codec default_codec_;
    host_settings settings_;
    std::unique_ptr<process> owner_;
    std::atomic<bool> has_ended_{false};
    std::thread thread_;
};

/// Store, operator and callers of the gateways that the test starts.
class gateway_cluster : public testing::Test {
protected:
    /// Starts the store and writes the default configuration as version 2.
    void SetUp() override;
    /// Stops the gateways while the store still answers them.
    void TearDown() override;

    /// Starts a gateway and waits until it is ready.
    running_gateway& start_gateway(const std::string& name);
    running_gateway& start_gateway(const std::string& name, const store_codec& codec,
                                   const gateway_codec* gateway_codec = nullptr);
    /// Waits until each gateway receives the messages of all others.
    void wait_for_peers();
    /// Stops the gateways and removes them.
    void stop_gateways();

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    /// Runs the test's I/O until a condition holds that another thread changes.
    template <class Condition>
    void poll(Condition condition) {
        // Fails a test that would wait forever: 1000 polls of 10 ms take ten seconds.
        constexpr int max_polls = 1000;
        for (int poll_count = 0; !condition(); ++poll_count) {
            ASSERT_LT(poll_count, max_polls);
            bool has_expired = false;
            boost::asio::steady_timer pause{context_, milliseconds{10}};
            pause.async_wait([&](const auto&) { has_expired = true; });
            run_until([&] { return has_expired; });
        }
    }

    /// Writes an object to the store without waiting; replaces the version written before.
    void write(const object_id& id, const std::string& value);
    /// Writes an object to the store and waits for the reply.
    void put(const std::string& kind, const std::string& name, const std::string& value);
    /// Returns the store to an earlier copy of it.
    void restore_store(const object_store& copy);
    /// Waits until each gateway exports the metric with this value.
    void wait_for_metric(const std::string& name, std::uint64_t value);
    /// Number of objects of a kind in the store.
    std::size_t object_count(const std::string& kind);
    /// Sends a GET request as a caller of the workspace acme.
    tl::expected<http_response, http_failure> get(std::uint16_t port, const std::string& target,
                                                  const http_headers& headers = {});
    void wait_for_readiness(const running_gateway& gateway, bool expected_ready);

    struct load_result {
        std::size_t sent = 0;
        /// Requests that were answered with status 200.
        std::size_t served = 0;
    };
    /// Sends requests to all gateways in turn until this time and waits for the answers. Each
    /// names its gateway in the header `via`.
    load_result send_until(time_point end, milliseconds interval,
                           const std::string& target = "/safe/");

    boost::asio::io_context context_{1};
    product_store_codec store_codec_;
    platform_server store_{context_, 1};
    /// Address at which gateways reach the store.
    endpoint gateways_store_{};
    http_client caller_{context_, 0};
    std::unique_ptr<platform_client> operator_client_;
    std::map<object_id, std::uint64_t> versions_;
    std::vector<std::unique_ptr<running_gateway>> gateways_;
};

} // namespace magnolia
