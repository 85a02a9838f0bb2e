/// Lease held through conditional writes to one object in the platform's store. Pure decisions; the
/// life cycle is a state machine in lease.cpp.
#pragma once

#include "platform_port.h"

#include <memory>
#include <optional>

namespace magnolia {

struct lease_settings {
    /// Name of the lease object.
    std::string name;
    /// Name of this process and random number of its start.
    std::string holder;
    std::uint64_t boot = 0;
    /// Time for which a write holds.
    std::chrono::milliseconds ttl{10000};
    /// Time between renewals.
    std::chrono::milliseconds renewal_interval{3000};
    /// Time between looks at another's lease, and between retries.
    std::chrono::milliseconds check_interval{2000};
    /// Most that two clocks differ over a ttl, and the longest an order sent in time can still take
    /// effect.
    std::chrono::milliseconds clock_drift{100};
    std::chrono::milliseconds order_time{5000};
};

/// What the lease object holds.
struct lease_record {
    /// Empty if it was released.
    std::string holder;
    std::uint64_t boot = 0;
    /// Rises with every change of the holder.
    std::uint64_t fencing_token = 0;

    bool operator==(const lease_record&) const = default;
};

/// Value of the object. Errors: frame_invalid.
[[nodiscard]] std::string encode(const lease_record& record);
[[nodiscard]] result<lease_record> decode_lease(std::string_view value);

/// One process's part in a lease. Not thread-safe.
///
/// The lease is free if it was released, or if its version did not change for a ttl and a drift by
/// this process's own clock. The holder counts its ttl from the sending of the write that holds,
/// and a write without an answer is read back before anything else is done.
class lease {
public:
    explicit lease(lease_settings settings);
    ~lease();
    lease(lease&&) noexcept;
    lease& operator=(lease&&) noexcept;

    /// Call due now, if there is one; its reply goes to on_reply() before the next is given.
    [[nodiscard]] std::optional<platform_call> poll(time_point now);
    void on_reply(const result<platform_reply>& reply, time_point now);
    /// Gives the lease back and never takes it again.
    void stop();

    /// Whether the holder may send an order now that takes effect before the lease ends. To be
    /// asked right before each act.
    [[nodiscard]] bool may_send_order(time_point now) const;
    /// The same for back ends that ignore fencing: not before every order of an earlier holder has
    /// taken effect or never will.
    [[nodiscard]] bool may_send_unfenced_order(time_point now) const;
    /// Number of the holder's orders; 0 if this process does not hold the lease.
    [[nodiscard]] std::uint64_t fencing_token(time_point now) const;
    /// Whether a stop has ended.
    [[nodiscard]] bool is_stopped() const;
    [[nodiscard]] time_point next_due() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
