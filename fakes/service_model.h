/// Model of a plain service: runs calls, counts executions per idempotency key, and fails as told.
/// No sockets, no threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::fakes {

/// What happens to the next calls; each count is used up one by one.
struct service_faults {
    /// The connection breaks and nothing ran.
    std::uint32_t crashes_before = 0;
    /// The call ran and the connection breaks.
    std::uint32_t lost_answers = 0;
    /// Refused without proof; nothing ran.
    std::uint32_t vague_refusals = 0;
    /// Refused with proof.
    std::uint32_t refusals = 0;
};

/// Answer to a call; without a status the connection breaks.
struct service_reply {
    std::optional<unsigned> status;
    std::string body;
    /// Time of the work before the answer.
    std::chrono::milliseconds delay{0};
};

class service_model {
public:
    /// Runs one call, unless a fault prevents it. A call under an idempotency key runs again each
    /// time that it comes: the caller has to see to it that it comes once.
    [[nodiscard]] service_reply call(std::string_view path, std::string_view body,
                                     const std::string& idempotency_key);

    /// Body of the answer of the n-th execution of a call, n from 1.
    [[nodiscard]] static std::string answer(std::string_view path, std::string_view body,
                                            std::uint32_t execution);

    void set_faults(service_faults faults) { faults_ = faults; }
    [[nodiscard]] const service_faults& faults() const { return faults_; }
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    void set_draining(bool draining) { is_draining_ = draining; }
    /// Executions per idempotency key; calls without one count under the empty key.
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
