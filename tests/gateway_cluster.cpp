#include "gateway_cluster.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;

std::string to_text(const endpoint& address) {
    return address.address + ":" + std::to_string(address.port);
}

} // namespace

host_settings::host_settings(boost::asio::io_context& context, const std::string& name,
                             const endpoint& store)
    : file_{std::filesystem::path{testing::TempDir()} /
            ("gateway_" + name + "_" + std::to_string(::getpid()) + ".yaml")} {
    settings_.process.name = name;
    settings_.process.zone = "z1";
    settings_.process.platform = store;
    settings_.listen.port = take_port(context);
    settings_.readiness.port = take_port(context);
    settings_.peer_listen.port = take_port(context);
    settings_.stop_timeout_s = default_stop_timeout_s;
    write(text(store));
}

std::uint16_t host_settings::take_port(boost::asio::io_context& context) {
    auto& holder = port_holders_.emplace_back(context, tcp::v4());
    holder.set_option(tcp::acceptor::reuse_address{true});
    holder.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    return holder.local_endpoint().port();
}

std::string host_settings::text(const endpoint& store, double stop_timeout_s) const {
    std::ostringstream out;
    out << "process: {name: " << settings_.process.name << ", zone: z1, platform: \""
        << to_text(store) << "\"}\nlisten: \"" << to_text(settings_.listen) << "\"\nreadiness: \""
        << to_text(settings_.readiness) << "\"\npeer_listen: \"" << to_text(settings_.peer_listen)
        << "\"\nstop_timeout_s: " << stop_timeout_s << "\n";
    return out.str();
}

void host_settings::write(const std::string& text) const {
    const auto next = file_.string() + ".next";
    std::ofstream{next} << text;
    std::filesystem::rename(next, file_);
}

running_gateway::running_gateway(boost::asio::io_context& context, const std::string& name,
                                 const endpoint& store, const store_codec& store_codec,
                                 const gateway_codec* codec)
    : settings_{context, name, store},
      owner_{std::make_unique<process>(settings_.get().process, settings_.file())} {
    thread_ = std::thread{[this, &store_codec, codec] {
        gateway host{*owner_, settings(), codec != nullptr ? *codec : default_codec_, store_codec};
        EXPECT_TRUE(host.run());
        has_ended_ = true;
    }};
}

running_gateway::~running_gateway() {
    request_stop();
    thread_.join();
}

void gateway_cluster::SetUp() {
    ASSERT_TRUE(store_.listen(endpoint{}));
    gateways_store_ = {"127.0.0.1", store_.port()};
    operator_client_ = std::make_unique<platform_client>(
        context_, endpoint{"127.0.0.1", store_.port()},
        platform_budget{.writes_per_second = 400, .reads_per_second = 400}, 1);
    put("routes", "main", R"({"version":2})");
}

void gateway_cluster::TearDown() {
    stop_gateways();
}

running_gateway& gateway_cluster::start_gateway(const std::string& name) {
    return start_gateway(name, store_codec_);
}

running_gateway& gateway_cluster::start_gateway(const std::string& name, const store_codec& codec,
                                                const gateway_codec* gateway_codec) {
    gateways_.push_back(
        std::make_unique<running_gateway>(context_, name, gateways_store_, codec, gateway_codec));
    wait_for_readiness(*gateways_.back(), true);
    return *gateways_.back();
}

void gateway_cluster::wait_for_peers() {
    wait_for_metric("magnolia_live_gateways", gateways_.size());
}

void gateway_cluster::wait_for_metric(const std::string& name, std::uint64_t value) {
    const auto line = name + " " + std::to_string(value) + "\n";
    poll([&] {
        return std::ranges::all_of(gateways_, [&](const auto& gateway) {
            return gateway->metrics().find(line) != std::string::npos;
        });
    });
}

void gateway_cluster::restore_store(const object_store& copy) {
    auto& store = store_.model().store();
    store.restore(copy);
    for (auto& [id, version] : versions_) {
        version = store.get(id).version;
    }
}

void gateway_cluster::stop_gateways() {
    for (const auto& gateway : gateways_) {
        gateway->request_stop();
    }
    poll([this] {
        return std::ranges::all_of(gateways_, [](const auto& item) { return item->has_ended(); });
    });
    gateways_.clear();
}

void gateway_cluster::write(const object_id& id, const std::string& value) {
    operator_client_->execute(object_put{id, versions_[id], value}, call_priority::claim,
                              [this, id](const auto& reply) {
                                  ASSERT_TRUE(reply);
                                  versions_[id] = std::get<stored_object>(*reply).version;
                              });
}

void gateway_cluster::put(const std::string& kind, const std::string& name,
                          const std::string& value) {
    const object_id id{kind, name};
    const auto previous = versions_[id];
    write(id, value);
    run_until([&] { return versions_[id] != previous; });
}

std::size_t gateway_cluster::object_count(const std::string& kind) {
    std::optional<std::size_t> count;
    operator_client_->list_all(
        {.kind = kind, .after = {}, .limit = 0}, call_priority::claim,
        [&](const auto& objects) { count = objects ? objects->size() : std::size_t{0}; });
    run_until([&] { return count.has_value(); });
    return *count;
}

tl::expected<http_response, http_failure>
gateway_cluster::get(std::uint16_t port, const std::string& target, const http_headers& headers) {
    http_request request{
        "GET", target, {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}};
    std::ranges::copy(headers, std::back_inserter(request.headers));
    std::optional<tl::expected<http_response, http_failure>> answer;
    caller_.call({"127.0.0.1", port}, std::move(request), {},
                 [&](auto received) { answer = std::move(received); });
    run_until([&] { return answer.has_value(); });
    return *answer;
}

void gateway_cluster::wait_for_readiness(const running_gateway& gateway, bool expected_ready) {
    poll([&] {
        const auto answer = get(gateway.settings().readiness.port, "/ready");
        return (answer && answer->status == 200) == expected_ready;
    });
}

gateway_cluster::load_result gateway_cluster::send_until(time_point end, milliseconds interval,
                                                         const std::string& target) {
    load_result load;
    std::size_t pending = 0;
    boost::asio::steady_timer timer{context_};
    // The handler of the timer refers to this frame, so that it must have run when that ends.
    bool is_timer_set = false;
    std::function<void()> send = [&] {
        ++pending;
        const auto& settings = gateways_[load.sent++ % gateways_.size()]->settings();
        const http_headers headers{{"Host", "shop.example"},
                                   {"attempt", "a1"},
                                   {"key", "k1"},
                                   {"via", settings.process.name}};
        caller_.call({"127.0.0.1", settings.listen.port}, {"GET", target, headers, {}, {}}, {},
                     [&](const auto& answer) {
                         --pending;
                         load.served += answer && answer->status == 200 ? 1 : 0;
                     });
        timer.expires_after(interval);
        is_timer_set = true;
        timer.async_wait([&](const auto& failure) {
            is_timer_set = false;
            if (!failure && steady_now() < end) {
                send();
            }
        });
    };
    send();
    run_until([&] { return steady_now() >= end && pending == 0 && !is_timer_set; });
    return load;
}

} // namespace magnolia
