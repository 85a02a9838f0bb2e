#include "store_reader.h"

#include "log.h"
#include "platform_wire.h"

#include <charconv>
#include <utility>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// A round trip within a zone, with a lost packet and a busy host.
constexpr milliseconds connect_timeout{400};
constexpr unsigned status_ok = 200;

const logger& log_of() {
    static const logger log{"store"};
    return log;
}

std::optional<duration> read_age(const http_headers& headers, std::string_view field) {
    const auto text = find_header(headers, field);
    std::int64_t ms = 0;
    const auto [last, failure] = std::from_chars(text.begin(), text.end(), ms);
    const bool is_number = failure == std::errc{} && last == text.end() && ms >= 0;
    return is_number ? std::optional<duration>{milliseconds{ms}} : std::nullopt;
}

/// Why there is no reply, for the log.
std::string describe(const http_failure& failure) {
    return failure.failure.code == error_code::too_large
               ? to_string(failure.failure) + " max_bytes=" + std::to_string(max_reply_bytes)
               : failure.failure.subject;
}

void set_epoch(platform_reply& reply, std::uint64_t epoch) {
    if (auto* page = std::get_if<object_page>(&reply)) {
        page->position.epoch = epoch;
    } else if (auto* changes = std::get_if<watch_page>(&reply)) {
        changes->position.epoch = epoch;
    }
}

} // namespace

store_reader::store_reader(boost::asio::io_context& context, platform_client& store,
                           std::uint64_t seed, milliseconds timeout)
    : context_{context}, store_{store}, client_{context}, random_{seed}, timeout_{timeout} {}

void store_reader::set_relays(const std::vector<relay>& near, const std::vector<relay>& far,
                              std::size_t host_count) {
    addresses_.clear();
    std::vector<std::string> names[2];
    for (const auto& [relays, list] : {std::pair{&near, &names[0]}, std::pair{&far, &names[1]}}) {
        for (const auto& item : *relays) {
            addresses_[item.host] = item.address;
            list->push_back(item.host);
        }
    }
    sources_.set_relays(names[0], names[1], host_count);
}

void store_reader::on_lag(const relay& teller) {
    teller_ = teller;
    sources_.on_lag(teller.host, steady_now());
    log_of().info("what this host reads from is behind; " + teller.host + " has told more; " +
                  sources_.explain(steady_now()));
}

bool store_reader::reads_from_store() const {
    return sources_.is_store_next(steady_now());
}

double store_reader::draw() {
    return std::uniform_real_distribution<double>{0, 1}(random_);
}

void store_reader::read(platform_call call, reply_handler done) {
    const auto choice = sources_.choose(steady_now(), draw());
    if (choice.is_store()) {
        return ask_store(std::move(call), std::move(done));
    }
    const auto known = addresses_.find(choice.host);
    const auto target = known != addresses_.end() ? relay{known->first, known->second} : teller_;
    ask(target, choice, std::move(call), std::move(done));
}

void store_reader::ask_store(platform_call call, reply_handler done) {
    store_.execute(
        std::move(call), call_priority::configuration,
        [this, lifetime = std::weak_ptr{lifetime_}, done = std::move(done)](const auto& reply) {
            if (!lifetime.expired()) {
                on_store_reply(reply);
                done({.reply = reply, .since_reconnect = std::nullopt});
            }
        });
}

void store_reader::on_store_reply(const result<platform_reply>& reply) {
    const auto now = steady_now();
    const bool is_answered = reply || (reply.error().code != error_code::platform_down &&
                                       reply.error().code != error_code::platform_busy);
    sources_.on_store_answer(is_answered, now);
    if (!is_answered) {
        outage_seen_at_ = now;
    }
}

void store_reader::probe_store() {
    if (is_probing_ || !probe_ || relayed_reads_.empty() || !sources_.returns_to_store()) {
        return;
    }
    is_probing_ = true;
    // The client spaces calls while they fail.
    store_.execute(object_get{*probe_}, call_priority::configuration,
                   [this, lifetime = std::weak_ptr{lifetime_}](const auto& reply) {
                       if (lifetime.expired()) {
                           return;
                       }
                       is_probing_ = false;
                       on_store_reply(reply);
                       if (sources_.is_store_failing()) {
                           return probe_store();
                       }
                       log_of().info("store responds again, reads from it instead of host " +
                                     teller_.host);
                       withdraw_relayed_reads();
                   });
}

void store_reader::withdraw_relayed_reads() {
    for (const auto& [number, call] : std::exchange(relayed_reads_, {})) {
        client_.cancel(call);
    }
}

void store_reader::call_after(milliseconds pause, std::function<void()> function) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, pause);
    timer->async_wait([lifetime = std::weak_ptr{lifetime_}, timer,
                       function = std::move(function)](const auto& failure) {
        if (!failure && !lifetime.expired()) {
            function();
        }
    });
}

void store_reader::ask(const relay& target, const read_choice& choice, platform_call call,
                       reply_handler done) {
    auto* watch = std::get_if<object_watch>(&call);
    if (watch != nullptr && watch->wait > choice.longest_wait) {
        watch->wait = std::chrono::ceil<milliseconds>(choice.longest_wait);
    }
    http_call_limits limits;
    limits.connect_timeout = connect_timeout;
    limits.total_timeout = timeout_ + (watch != nullptr ? watch->wait : milliseconds{0});
    limits.inactivity_timeout = limits.total_timeout;
    limits.max_body_bytes = max_reply_bytes;
    auto request = encode_call(call);
    if (watch != nullptr) {
        request.headers.push_back(
            {std::string{relayed_epoch_field}, std::to_string(watch->after.epoch)});
    }
    if (choice.reports_loss) {
        request.headers.push_back({std::string{report_loss_field}, "1"});
    }
    const auto number = next_read_++;
    relayed_reads_[number] =
        client_.call(target.address, std::move(request), limits,
                     [this, lifetime = std::weak_ptr{lifetime_}, number, host = target.host,
                      accepts_loss = choice.accepts_loss, call = std::move(call),
                      done = std::move(done)](const auto& answer) mutable {
                         if (lifetime.expired()) {
                             return;
                         }
                         const bool is_withdrawn = relayed_reads_.erase(number) == 0;
                         if (is_withdrawn) {
                             return read(std::move(call), done);
                         }
                         auto reply =
                             answer ? decode(call, *answer)
                                    : fail(error_code::platform_down, describe(answer.error()));
                         on_relayed(host, accepts_loss, std::move(call), std::move(reply), done);
                     });
    probe_store();
}

void store_reader::on_relayed(const std::string& host, bool accepts_loss, platform_call call,
                              result<sourced_reply> reply, const reply_handler& done) {
    if (!reply) {
        sources_.on_failure(host, steady_now());
        log_change(host, "does not relay the store: " + reply.error().subject);
        return read(std::move(call), done);
    }
    const bool is_worse =
        sources_.on_answer(host, reply->age, reply->is_lost, steady_now(), draw());
    const auto* changes = std::get_if<watch_page>(&*reply->reply);
    const bool has_news = changes != nullptr && (changes->gap || !changes->changes.empty());
    if (is_worse && !accepts_loss && !has_news) {
        if (reply->is_lost) {
            log_change(host, "has lost the store");
        }
        return read(std::move(call), done);
    }
    if (reply->is_lost) {
        outage_seen_at_ = steady_now();
    }
    // News of a source that is worse are used, and the next call goes to another one.
    reply->is_lost = reply->is_lost && accepts_loss;
    done(*reply);
}

result<sourced_reply> store_reader::decode(const platform_call& call,
                                           const http_response& response) {
    const auto age = read_age(response.headers, relayed_age_field);
    const auto epoch = read_epoch(response.headers);
    if (response.status != status_ok || !age || !epoch) {
        return fail(error_code::platform_down, "status " + std::to_string(response.status));
    }
    auto reply = decode_reply(call, response);
    if (!reply) {
        return tl::unexpected{reply.error()};
    }
    if (const auto checked = store_.observe_epoch(*epoch); !checked) {
        return tl::unexpected{checked.error()};
    }
    set_epoch(*reply, *epoch);
    return sourced_reply{.reply = std::move(*reply),
                         .age = *age,
                         .since_reconnect = read_age(response.headers, relayed_reconnect_field),
                         .is_from_store = false,
                         .is_lost = !find_header(response.headers, relayed_loss_field).empty()};
}

void store_reader::log_change(const std::string& host, std::string_view reason) const {
    log_of().info("host " + host + " " + std::string{reason} + ", reads elsewhere; " +
                  sources_.explain(steady_now()));
}

} // namespace magnolia
