/// Simulated platform with rate limits and faults, without I/O. For tests and fake-platform.
#pragma once

#include "object_store.h"
#include "token_bucket.h"

#include <random>

namespace magnolia {

/// Behaviour during an outage.
enum class outage_mode : std::uint8_t {
    /// No outage.
    none,
    /// Every call fails with platform_down and has no effect.
    refuse,
    /// No call is answered or has an effect.
    hang,
};

/// Rates and faults; they may be changed at any time.
struct platform_faults {
    double writes_per_second = 500;
    double reads_per_second = 2000;
    outage_mode outage = outage_mode::none;
    /// Probability that the reply to a call is lost after the call took effect.
    double lost_answers = 0;
    /// Probability that a call is lost before it takes effect.
    double lost_calls = 0;
    /// Kind of object whose calls are lost; empty for all calls.
    std::string lost_kind;
    /// Delay of every reply and of every lost call, and upper bound of a uniformly distributed
    /// addition. Refusals during an outage and pages of a watch are not delayed.
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds delay_spread{0};
    /// Time after which the host list shows a change.
    std::chrono::milliseconds host_lag{30000};
    double weight_bytes_per_second = 1e9;
};

/// Number of calls since the start, by result.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused_by_rate = 0;
    std::uint64_t refused_by_outage = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t lost_calls = 0;
    /// Number of watches that wait now.
    std::uint64_t watches_waiting = 0;
};

/// Result of a call and how it is delivered.
struct simulated_reply {
    enum class mode : std::uint8_t {
        /// The reply is sent after the delay.
        reply,
        /// The connection is closed without a reply.
        lost,
        /// No reply is sent and the connection stays open.
        hang,
        /// A watch without changes yet; call watch_changes() until its wait has passed.
        wait,
    };

    mode delivery = mode::reply;
    result<platform_reply> reply = platform_reply{};
    std::chrono::milliseconds delay{0};
};

/// The platform: an object store, a host list and a weight store behind rate limits and faults. Not
/// thread-safe.
class platform_model {
public:
    explicit platform_model(std::uint64_t seed);

    [[nodiscard]] platform_faults& faults() { return faults_; }
    [[nodiscard]] object_store& store() { return store_; }
    [[nodiscard]] platform_counts& counts() { return counts_; }

    /// Executes a call; its effect takes place now.
    simulated_reply execute(const platform_call& call, time_point now);
    /// Charges a waiting watch for one second as one read. Errors: platform_busy.
    result<void> charge_watch(time_point now);
    /// Changes for a waiting watch; none if there are none yet.
    [[nodiscard]] std::optional<watch_page> watch_changes(const object_watch& call) const;

    /// Adds or changes a host; the list shows it after faults().host_lag.
    void set_host(const platform_host& host, time_point now);
    void remove_host(const std::string& name, time_point now);

private:
    struct host_change {
        time_point visible_at;
        std::string name;
        /// Absent if the host was removed.
        std::optional<platform_host> host;
    };

    /// Takes a token from a bucket that refills at `rate` and holds one second of it.
    static bool take_token(std::optional<token_bucket>& bucket, double rate, time_point now);
    /// Returns true with the given probability.
    [[nodiscard]] bool draw_bernoulli(double probability);
    /// Whether the call may be lost according to faults().lost_kind.
    [[nodiscard]] bool is_loss_candidate(const platform_call& call) const;
    result<platform_reply> apply(const platform_call& call, time_point now);
    host_page hosts(time_point now);
    weight_grant take_weights(std::uint64_t bytes, time_point now);
    [[nodiscard]] std::chrono::milliseconds draw_delay();

    platform_faults faults_;
    platform_counts counts_;
    object_store store_;
    std::mt19937_64 random_;
    /// Token buckets of the rates, with a burst of one second.
    std::optional<token_bucket> read_tokens_;
    std::optional<token_bucket> write_tokens_;
    std::map<std::string, platform_host> hosts_;
    std::deque<host_change> host_changes_;
    /// Time at which all weight bytes granted so far have been transferred.
    time_point weights_available_at_{};
};

} // namespace magnolia
