#include "relay_receiver.h"

#include "host_relay.h"

namespace magnolia {
namespace {

/// Time after which a host that was refused may ask again.
constexpr milliseconds refusal_retry_after{200};
/// Space for the relay's own header field, bytes.
constexpr std::uint32_t context_header_bytes = 1024;

} // namespace

relay_receiver::relay_receiver(shared_call_state& shared, object_relay& reads,
                               std::function<bool(const std::string& address)> is_peer)
    : shared_{shared}, reads_{reads},
      server_{shared.io,
              {},
              [this](http_request request, const http_responder& responder) {
                  on_request(std::move(request), responder);
              },
              [this](const error& failure) { return refusal(failure); }} {
    server_.set_peer_filter(std::move(is_peer));
}

void relay_receiver::set_limits(const http_server_limits& limits, std::size_t max_relayed) {
    auto relay_limits = limits;
    relay_limits.max_header_bytes += context_header_bytes;
    server_.set_limits(relay_limits);
    max_relayed_ = max_relayed;
}

http_response relay_receiver::refusal(const error& failure) const {
    auto response = shared_.codec.write_failure({}, failure);
    const bool may_have_run = failure.code == error_code::internal;
    set_relay_outcome(response,
                      may_have_run ? run_knowledge::may_have_run : run_knowledge::not_run);
    return response;
}

void relay_receiver::on_request(http_request request, const http_responder& responder) {
    if (reads_.handle(request, responder)) {
        return;
    }
    const auto context = take_relay_context(request.headers);
    if (!context) {
        return responder.send(refusal({error_code::bad_request, "relay context"}));
    }
    // The request itself counts as active.
    if (active_requests() > max_relayed_) {
        return responder.send(
            refusal({error_code::overloaded, "relayed requests", refusal_retry_after}));
    }
    std::make_shared<forward_call>(shared_, std::move(request), responder, context)->start();
}

} // namespace magnolia
