#include "service_model.h"

#include "fake_control.h"

#include <xxhash.h>

namespace magnolia::fakes {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

std::string service_model::answer(std::string_view path, std::string_view body,
                                  std::uint32_t execution) {
    const auto hash = XXH64(body.data(), body.size(), XXH64(path.data(), path.size(), 0));
    return R"({"answer":)" + std::to_string(hash) + R"(,"execution":)" + std::to_string(execution) +
           "}";
}

service_reply service_model::call(std::string_view path, std::string_view body,
                                  const std::string& idempotency_key) {
    if (is_draining_) {
        return {status_unavailable, R"({"ran":false,"leaving":true})", {}};
    }
    if (consume_fault(faults_.refusals)) {
        return {status_unavailable, R"({"ran":false})", {}};
    }
    if (consume_fault(faults_.vague_refusals)) {
        return {status_unavailable, {}, {}};
    }
    if (consume_fault(faults_.crashes_before)) {
        return {};
    }
    const auto execution = ++executions_[idempotency_key];
    if (consume_fault(faults_.lost_answers)) {
        return {std::nullopt, {}, delay_};
    }
    return {status_ok, answer(path, body, execution), delay_};
}

} // namespace magnolia::fakes
