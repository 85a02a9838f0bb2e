#include "platform_client.h"

#include "log.h"
#include "platform_wire.h"

#include <boost/asio/post.hpp>

namespace magnolia {
namespace {

constexpr std::size_t max_idle_connections = 64;

/// Timeout of a call; a watch is given its own wait on top.
std::chrono::milliseconds timeout_of(const platform_call& call, std::chrono::milliseconds base) {
    const auto* watch = std::get_if<object_watch>(&call);
    return watch == nullptr ? base : base + watch->wait;
}

const logger& log_of() {
    static const logger log{"store"};
    return log;
}

/// Error of a call without a reply. A write may have taken effect.
error reply_failure(const http_failure& failure) {
    if (failure.failure.code == error_code::too_large) {
        log_of().warn("gives a reply of the store up, which is larger than any: " +
                      to_string(failure.failure) + " max_bytes=" + std::to_string(max_reply_bytes));
        return {error_code::platform_down, to_string(failure.failure)};
    }
    return {error_code::platform_down, failure.failure.subject};
}

/// Sets the epoch of a page's position.
void set_epoch(result<platform_reply>& reply, std::uint64_t epoch) {
    if (!reply) {
        return;
    }
    if (auto* page = std::get_if<object_page>(&*reply)) {
        page->position.epoch = epoch;
    } else if (auto* changes = std::get_if<watch_page>(&*reply)) {
        changes->position.epoch = epoch;
    }
}

/// Whether a list can be continued after the page, or the page is its last one.
bool has_end_or_next(const result<platform_reply>& reply) {
    const auto* page = reply ? std::get_if<object_page>(&*reply) : nullptr;
    return page == nullptr || !page->more ||
           (!page->items.empty() && !page->items.back().id.name.empty());
}

} // namespace

http_platform_transport::http_platform_transport(boost::asio::io_context& context, endpoint address,
                                                 const store_codec* codec)
    : client_{context, max_idle_connections}, address_{std::move(address)}, codec_{codec} {}

void http_platform_transport::execute(const platform_call& call, std::chrono::milliseconds timeout,
                                      std::function<void(transport_reply)> done) {
    http_call_limits limits;
    limits.connect_timeout = timeout;
    limits.inactivity_timeout = timeout;
    limits.total_timeout = timeout;
    // A list often follows the suspicion that a watch is waiting on a dead connection.
    const auto* list = std::get_if<object_list>(&call);
    // After a failure, idle connections may be as dead as the one that failed; each would cost a
    // further failure and a longer pause.
    limits.may_reuse_connection = !has_failed_ && (list == nullptr || !list->after.empty());
    limits.max_body_bytes = max_reply_bytes;
    client_.call(address_, codec_ != nullptr ? codec_->encode(call) : encode_call(call), limits,
                 [this, call, done = std::move(done)](const auto& answer) {
                     has_failed_ = !answer;
                     if (answer) {
                         done(decode(call, *answer));
                     } else {
                         done({tl::unexpected{reply_failure(answer.error())}, std::nullopt});
                     }
                 });
}

transport_reply http_platform_transport::decode(const platform_call& call,
                                                const http_response& response) const {
    if (codec_ == nullptr) {
        return {decode_reply(call, response), read_epoch(response.headers)};
    }
    return {codec_->decode(call, response), codec_->read_epoch(response.headers)};
}

platform_client::platform_client(boost::asio::io_context& context, const endpoint& address,
                                 const platform_budget& budget, std::uint64_t seed,
                                 const store_codec* codec)
    : transport_{std::in_place_type<http_platform_transport>, context, address, codec},
      budget_{budget}, scheduler_{budget, seed}, timer_{context} {}

platform_client::~platform_client() = default;

void platform_client::set_address(const endpoint& address) {
    std::visit([&](auto& transport) { transport.set_address(address); }, transport_);
    ++address_number_;
    epoch_.reset();
    if (on_restored_) {
        on_restored_();
    }
}

void platform_client::execute(platform_call call, call_priority priority,
                              platform_reply_handler done) {
    const auto number = next_number_++;
    const auto now = steady_now();
    const auto added = scheduler_.add(number, call, priority, now);
    calls_.emplace(number, pending_call{std::move(call), std::move(done)});
    if (!added) {
        post_failure(number, added.error());
        return;
    }
    schedule_dispatch(now);
}

void platform_client::list_all(object_list call, call_priority priority, object_list_handler done) {
    list_next(std::move(call), priority, {}, std::nullopt, std::move(done));
}

void platform_client::list_next(object_list call, call_priority priority,
                                std::vector<stored_object> objects,
                                std::optional<std::uint64_t> epoch, object_list_handler done) {
    auto on_page = [this, call, priority, objects = std::move(objects), epoch,
                    done = std::move(done)](const result<platform_reply>& reply) mutable {
        if (!reply) {
            return done(tl::unexpected{reply.error()});
        }
        const auto& page = std::get<object_page>(*reply);
        if (page.position.epoch != epoch.value_or(page.position.epoch)) {
            return done(
                fail(error_code::platform_down, "the store was restored between two pages"));
        }
        objects.insert(objects.end(), page.items.begin(), page.items.end());
        if (!page.more) {
            return done(std::move(objects));
        }
        call.after = objects.back().id.name;
        list_next(std::move(call), priority, std::move(objects), page.position.epoch,
                  std::move(done));
    };
    execute(std::move(call), priority, std::move(on_page));
}

void platform_client::post_failure(std::uint64_t number, const error& failure) {
    boost::asio::post(timer_.get_executor(),
                      [this, lifetime = std::weak_ptr{lifetime_}, number, failure] {
                          if (!lifetime.expired()) {
                              complete(number, tl::unexpected{failure});
                          }
                      });
}

void platform_client::dispatch(time_point now) {
    timer_due_ = time_point::max();
    for (const auto& scheduled : scheduler_.poll(now)) {
        if (scheduled.refusal) {
            post_failure(scheduled.number, *scheduled.refusal);
        } else {
            send(scheduled.number);
        }
    }
    schedule_dispatch(scheduler_.next_due(now));
}

void platform_client::send(std::uint64_t number) {
    const auto& call = calls_.at(number).call;
    calls_.at(number).address_number = address_number_;
    auto answered = [this, lifetime = std::weak_ptr{lifetime_}, number](transport_reply reply) {
        if (!lifetime.expired()) {
            on_reply(number, std::move(reply));
        }
    };
    std::visit(
        [&](auto& transport) {
            transport.execute(call, timeout_of(call, budget_.timeout), std::move(answered));
        },
        transport_);
}

void platform_client::on_reply(std::uint64_t number, transport_reply answer) {
    auto& reply = answer.reply;
    if (!has_end_or_next(reply)) {
        reply = fail(error_code::platform_down, "page without objects that is not the last one");
    }
    const auto call = calls_.find(number);
    if (call != calls_.end() && call->second.address_number != address_number_) {
        reply = fail(error_code::platform_down, "reply of the store at the previous address");
    } else if (answer.epoch) {
        if (const auto checked = check_epoch(*answer.epoch); !checked) {
            reply = tl::unexpected{checked.error()};
        }
    }
    set_epoch(reply, epoch());
    const bool was_up = is_up();
    const auto now = steady_now();
    scheduler_.on_completed(number, reply ? nullptr : &reply.error(), now);
    schedule_dispatch(now);
    if (was_up != is_up() && on_change_) {
        on_change_(is_up());
    }
    complete(number, reply);
}

result<void> platform_client::check_epoch(std::uint64_t epoch) {
    if (epoch_ && epoch < *epoch_) {
        return fail(error_code::platform_down, "reply of an earlier epoch of the store");
    }
    const auto previous = std::exchange(epoch_, epoch);
    if (previous && epoch > *previous) {
        log_of().warn("store was restored from a copy epoch=" + std::to_string(epoch) +
                      " previous_epoch=" + std::to_string(*previous));
        if (on_restored_) {
            on_restored_();
        }
    }
    return {};
}

void platform_client::complete(std::uint64_t number, const result<platform_reply>& reply) {
    auto node = calls_.extract(number);
    if (!node.empty()) {
        node.mapped().done(reply);
    }
}

void platform_client::schedule_dispatch(time_point when) {
    if (when >= timer_due_) {
        return;
    }
    timer_due_ = when;
    timer_.expires_at(std::chrono::steady_clock::time_point{when.time_since_epoch()});
    timer_.async_wait([this, lifetime = std::weak_ptr{lifetime_}](const auto& failure) {
        if (!failure && !lifetime.expired()) {
            dispatch(steady_now());
        }
    });
}

} // namespace magnolia
