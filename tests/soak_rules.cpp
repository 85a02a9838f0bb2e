#include "soak_rules.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace magnolia {
namespace {

/// A connection may be closed within this time of the last byte of a request that is not passed on.
constexpr milliseconds loss_slack{200};
/// What was done to a host this long before a request excuses its loss.
constexpr milliseconds contact_time{3000};
/// A request that was sent later after the signal is not accepted if its server may outlast the
/// stop.
constexpr milliseconds max_uncertain_time{3000};
/// Part of a stop, at its end, in which a request whose server is at work may be broken off.
constexpr int last_part = 6;
/// Time for a host to end once it is no longer frozen and its stop is over.
constexpr milliseconds end_after_freeze{1000};

constexpr unsigned status_ok = 200;
constexpr unsigned first_refusal = 300;
constexpr unsigned first_failure = 500;
/// Answers that promise that the request was not run and will not be.
constexpr std::array not_run_statuses{408U, 421U, 429U, 503U};

bool promises_not_run(unsigned status) {
    return std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

bool is_disturbed(const soak_call& call, const host_history& host) {
    return std::ranges::any_of(host.disturbances, [&](const auto& span) {
        return span.begin <= call.ended_at && span.end + contact_time >= *call.written_at;
    });
}

/// Whether the connection was closed at the end of a stop that the server's work outlasted.
bool is_outlasted(const soak_call& call, const host_history& host) {
    return std::ranges::any_of(host.stops, [&](const auto& stop) {
        return *call.written_at <= stop.at + max_uncertain_time &&
               call.ended_at >= stop.at + stop.min_timeout - stop.min_timeout / last_part &&
               call.ended_at <= end_of_stop(stop, host) + end_after_freeze;
    });
}

call_verdict judge_answer(const soak_call& call, const server_record& server) {
    const auto status = call.answer->status;
    if (status == status_ok) {
        return call.answer->body == call.expected_body && server.arrivals > 0 ? call_verdict::served
                                                                              : call_verdict::mixed;
    }
    if (promises_not_run(status)) {
        return server.arrivals > 0 && !call.is_repeatable ? call_verdict::refused_though_run
                                                          : call_verdict::refused;
    }
    return status >= first_refusal && status < first_failure ? call_verdict::denied
                                                             : call_verdict::refused;
}

} // namespace

std::ostream& operator<<(std::ostream& out, call_verdict verdict) {
    constexpr std::array names{
        "served", "refused", "not sent", "disturbed",          "crossed", "outlasted",
        "LOST",   "MIXED",   "DENIED",   "REFUSED though run", "TWICE"};
    return out << names.at(static_cast<std::size_t>(verdict));
}

call_verdict judge(const soak_call& call, const server_record& server, const host_history& host,
                   duration lateness) {
    if (server.arrivals > 1 && !call.is_repeatable) {
        return call_verdict::run_twice;
    }
    if (call.answer) {
        return judge_answer(call, server);
    }
    if (!call.written_at) {
        return call_verdict::not_sent;
    }
    if (is_disturbed(call, host)) {
        return call_verdict::disturbed;
    }
    if (server.arrivals == 0) {
        return call.ended_at - *call.written_at <= loss_slack + lateness ? call_verdict::crossed
                                                                         : call_verdict::lost;
    }
    return !server.is_finished && is_outlasted(call, host) ? call_verdict::outlasted
                                                           : call_verdict::lost;
}

time_point end_of_stop(const asked_stop& stop, const host_history& host) {
    auto end = stop.at + stop.max_timeout;
    for (const auto& span : host.disturbances) {
        if (span.begin <= stop.at && span.end >= stop.at) {
            // The process sees the signal when it is no longer frozen.
            end = std::max(end, span.end + stop.max_timeout);
        } else if (span.end >= stop.at && span.begin <= end) {
            end = std::max(end, span.end + end_after_freeze);
        }
    }
    return end;
}

} // namespace magnolia
