/// Leader lease on an object in the platform's store, kept by conditional writes.
#pragma once

#include "platform_port.h"

#include <memory>
#include <optional>

namespace magnolia {

/// Identity of a process that competes for a lease, and timing of the lease.
struct lease_settings {
    /// Name of the lease object.
    std::string name;
    /// Name of this process, and random number that identifies this run of it.
    std::string holder;
    std::uint64_t boot = 0;
    /// Time for which a write makes this process the holder.
    std::chrono::milliseconds ttl{10000};
    /// Time between renewals.
    std::chrono::milliseconds renewal_interval{3000};
    /// Time between two reads while another process is the holder, and between retries.
    std::chrono::milliseconds check_interval{2000};
    /// Largest difference of two clocks over a ttl.
    std::chrono::milliseconds clock_drift{100};
    /// Longest time after its sending in which an order can still take effect.
    std::chrono::milliseconds order_time{5000};
};

/// Content of the lease object.
struct lease_record {
    /// Name of the holder; empty if the lease was released.
    std::string holder;
    std::uint64_t boot = 0;
    /// Fencing token; raised with each change of the holder.
    std::uint64_t fencing_token = 0;

    bool operator==(const lease_record&) const = default;
};

/// Encodes the content of the lease object as JSON.
[[nodiscard]] std::string encode(const lease_record& record);
/// Decodes the content of the lease object. Errors: frame_invalid.
[[nodiscard]] result<lease_record> decode_lease(std::string_view value);

/// State machine of one process that competes for a lease. Owned by the control process
/// (magnolia-control). Not thread-safe; does no I/O: poll() returns the next call to the store.
///
/// The lease is free if it was released, or if its version has not changed for ttl + clock_drift on
/// this process's own clock. The holder counts its ttl from the sending of its last confirmed
/// write. A write without a reply may or may not have taken effect: the object is read back before
/// anything else is done.
class lease {
public:
    explicit lease(lease_settings settings);
    ~lease();
    lease(lease&&) noexcept;
    lease& operator=(lease&&) noexcept;

    /// Returns the call to the store that is due, if any. There is one call at a time: the next one
    /// is returned only after on_reply().
    [[nodiscard]] std::optional<platform_call> poll(time_point now);
    /// Handles the reply to the last call, or its failure.
    void on_reply(const result<platform_reply>& reply, time_point now);
    /// Releases the lease and does not acquire it again; see is_stopped().
    void stop();

    /// Whether this process is the holder and an order sent now takes effect before the lease ends.
    /// To be checked right before each order is sent.
    [[nodiscard]] bool may_send_order(time_point now) const;
    /// The same for backend servers that do not check fencing tokens. False until every order of an
    /// earlier holder has either taken effect or can no longer do so.
    [[nodiscard]] bool may_send_unfenced_order(time_point now) const;
    /// Fencing token of this process's orders; 0 if it is not the holder.
    [[nodiscard]] std::uint64_t fencing_token(time_point now) const;
    /// Whether stop() has completed.
    [[nodiscard]] bool is_stopped() const;
    /// Time at which poll() is to be called next.
    [[nodiscard]] time_point next_due() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
