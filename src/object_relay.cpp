#include "object_relay.h"

#include "platform_wire.h"
#include "store_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Time that a list waits for a host that has just started and has none yet.
constexpr milliseconds list_wait{800};
/// Bounds the reads that wait.
constexpr std::size_t max_waiting = 1024;

std::string to_ms(duration span) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

std::string_view kind_of(const platform_call& call) {
    if (const auto* list = std::get_if<object_list>(&call)) {
        return list->kind;
    }
    const auto* watch = std::get_if<object_watch>(&call);
    return watch != nullptr ? std::string_view{watch->kind} : std::string_view{};
}

std::uint64_t epoch_of(const http_headers& headers) {
    const auto text = find_header(headers, relayed_epoch_field);
    std::uint64_t epoch = 0;
    std::from_chars(text.begin(), text.end(), epoch);
    return epoch;
}

} // namespace

void object_relay::add(const object_watcher& watcher, std::function<time_point()> confirmed_at) {
    sources_.push_back({&watcher, std::move(confirmed_at)});
}

bool object_relay::handle(const http_request& request, const http_responder& responder) {
    auto call = decode_call(request);
    const auto kind = call ? kind_of(*call) : std::string_view{};
    const auto from = std::ranges::find_if(
        sources_, [kind](const source& item) { return item.watcher->kind() == kind; });
    if (kind.empty() || from == sources_.end()) {
        return false;
    }
    const bool reports_loss = !find_header(request.headers, report_loss_field).empty();
    const bool is_over = reports_loss && from->watcher->is_disconnected();
    auto wait = list_wait;
    if (auto* watch = std::get_if<object_watch>(&*call)) {
        watch->after.epoch = epoch_of(request.headers);
        wait = watch->wait;
    }
    if (is_closed_ || waiting_.size() >= max_waiting) {
        refuse(responder);
    } else if (const auto reply = reply_to(*from, *call, is_over)) {
        send(*from, *reply, responder);
    } else if (is_over) {
        refuse(responder);
    } else {
        waiting_.push_back(
            {&*from, std::move(*call), responder, steady_now() + wait, reports_loss});
    }
    return true;
}

std::optional<platform_reply> object_relay::reply_to(const source& from, const platform_call& call,
                                                     bool is_time_over) {
    const auto& cache = from.watcher->cache();
    if (!cache.is_complete()) {
        return std::nullopt;
    }
    const auto* watch = std::get_if<object_watch>(&call);
    if (watch == nullptr) {
        return cache.list();
    }
    const auto page = cache.changes_after(watch->after);
    if (page && (page->gap || !page->changes.empty() || is_time_over)) {
        return *page;
    }
    // The reader was at the store itself meanwhile. Of objects of this kind nothing later is known.
    const bool is_ahead = !page && watch->after.epoch == cache.position().epoch;
    return is_ahead && is_time_over
               ? std::optional<platform_reply>{watch_page{{}, watch->after, false}}
               : std::nullopt;
}

void object_relay::send(const source& from, const platform_reply& reply,
                        const http_responder& responder) {
    const auto now = steady_now();
    auto response = encode_reply(reply, from.watcher->cache().position().epoch);
    response.headers.push_back(
        {std::string{relayed_age_field}, to_ms(std::max(now - from.confirmed_at(), duration{0}))});
    if (from.watcher->is_disconnected()) {
        response.headers.push_back({std::string{relayed_loss_field}, "1"});
    }
    if (from.watcher->reconnected_at() != time_point{}) {
        response.headers.push_back(
            {std::string{relayed_reconnect_field}, to_ms(now - from.watcher->reconnected_at())});
    }
    responder.send(std::move(response));
}

void object_relay::refuse(const http_responder& responder) {
    responder.send(encode_reply(fail(error_code::platform_down, "not relayed")));
}

void object_relay::flush(time_point now) {
    const bool has_advanced = std::exchange(has_advanced_, false);
    std::erase_if(waiting_, [&](const waiting_read& item) {
        const bool is_over =
            now >= item.deadline || (item.reports_loss && item.from->watcher->is_disconnected());
        if (!is_over && !has_advanced) {
            return item.responder.is_closed();
        }
        const auto reply = reply_to(*item.from, item.call, is_over);
        if (reply) {
            send(*item.from, *reply, item.responder);
        } else if (is_over) {
            refuse(item.responder);
        }
        return reply || is_over || item.responder.is_closed();
    });
}

void object_relay::close() {
    is_closed_ = true;
    std::ranges::for_each(waiting_, [](const auto& item) { refuse(item.responder); });
    waiting_.clear();
}

} // namespace magnolia
