/// Third part of forward_call: passes the request on to another host.
#include "forward_call.h"
#include "log.h"

namespace magnolia {
namespace {

const logger& log_of() {
    static const logger log{"call"};
    return log;
}

} // namespace

bool forward_call::relay_if_unreachable(time_point now) {
    if (!shared_.reach.is_unreachable(service_)) {
        return false;
    }
    if (relayed_) {
        refuse_with_retry_after({error_code::no_capacity, "service is unreachable from this host"});
        return true;
    }
    const auto host = shared_.relays.choose(service_, tried_hosts_, now, shared_.random);
    if (host) {
        relay(*host);
    }
    return host.has_value();
}

void forward_call::relay(const relay_host& host) {
    const auto now = steady_now();
    sends_before_relay_ = sends_made_;
    const relay_context context{.sender = shared_.host,
                                .time_left =
                                    std::chrono::duration_cast<milliseconds>(deadline_ - now),
                                .sends_left = max_sends() - sends_made_,
                                .config_version = routes_->version(),
                                .is_resumed = last_event_.has_value(),
                                .last_event = last_event_.value_or(0)};
    job_ = {};
    process_ = {};
    predicted_ = {};
    predicted_pause_ = {};
    members_.clear();
    begin_attempt(host.name, host.address, now);
    relay_host_ = host.name;
    sends_made_ = max_sends();
    log_of().info(head_.attempt, "relay host=" + host.name + " service=" + service_ +
                                     " sends_left=" + std::to_string(context.sends_left) +
                                     " left_ms=" + std::to_string(context.time_left.count()));
    open_call(make_relay_request(request_, context), now);
}

void forward_call::on_relay_lost(run_evidence evidence, const http_failure& failure) {
    if (evidence == run_evidence::not_sent) {
        tried_hosts_.push_back(relay_host_);
        shared_.relays.on_refused(relay_host_, steady_now());
    }
    fail_attempt(evidence, attempt_result::lost, failure.failure);
}

void forward_call::on_relay_failure() {
    const error failure{error_code::backend_refused,
                        "status " + std::to_string(status_) + " of host " + relay_host_,
                        answer_.retry_after};
    if (relay_outcome_ == run_knowledge::may_have_run) {
        return fail_attempt(run_evidence::in_doubt, attempt_result::failed, failure);
    }
    tried_hosts_.push_back(relay_host_);
    shared_.relays.on_refused(relay_host_, steady_now());
    // No backend server has the request, so that another host may take it.
    fail_attempt(run_evidence::not_sent, attempt_result::refused, failure);
}

} // namespace magnolia
