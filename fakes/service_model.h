/// Model of a plain service: executes calls, counts executions per idempotency key and injects
/// faults. No sockets, no threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::fakes {

/// Injected faults. Each count is the number of calls that the fault still applies to.
struct service_faults {
    /// The connection closes before the call runs.
    std::uint32_t crashes_before = 0;
    /// The call runs and the connection closes before the answer.
    std::uint32_t lost_answers = 0;
    /// The call does not run, and the refusal does not state that.
    std::uint32_t vague_refusals = 0;
    /// The call does not run, and the refusal states that.
    std::uint32_t refusals = 0;
};

/// Answer to a call; without a status the connection is closed instead.
struct service_reply {
    std::optional<unsigned> status;
    std::string body;
    /// Execution time, passed before the answer is sent.
    std::chrono::milliseconds delay{0};
};

/// One simulated plain service. Owned by a service_server; not thread-safe.
class service_model {
public:
    /// Executes one call, unless a fault prevents it. Calls with the same idempotency key are
    /// executed every time: the entries under test are responsible for sending them once.
    [[nodiscard]] service_reply call(std::string_view path, std::string_view body,
                                     const std::string& idempotency_key);

    /// Returns the body of the answer of the n-th execution of a call; n starts at 1.
    [[nodiscard]] static std::string answer(std::string_view path, std::string_view body,
                                            std::uint32_t execution);

    void set_faults(service_faults faults) { faults_ = faults; }
    [[nodiscard]] const service_faults& faults() const { return faults_; }
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    void set_draining(bool draining) { is_draining_ = draining; }
    /// Executions per idempotency key; calls without a key are counted under the empty key.
    [[nodiscard]] const std::map<std::string, std::uint32_t>& executions() const {
        return executions_;
    }

private:
    service_faults faults_;
    std::chrono::milliseconds delay_{0};
    bool is_draining_ = false;
    std::map<std::string, std::uint32_t> executions_;
};

} // namespace magnolia::fakes
