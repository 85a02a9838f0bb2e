/// Behaviour of the platform with its rates and faults. Pure; for tests and fake-platform.
#pragma once

#include "object_store.h"
#include "token_bucket.h"

#include <random>

namespace magnolia {

/// What an outage looks like.
enum class outage_mode : std::uint8_t {
    /// No outage.
    none,
    /// Every call is answered with platform_down.
    refuse,
    /// No call is answered, and none takes effect.
    hang,
};

/// Rates and faults; all may be changed at any time.
struct platform_faults {
    double writes_per_second = 500;
    double reads_per_second = 2000;
    outage_mode outage = outage_mode::none;
    /// Share of calls whose answer is lost after the effect.
    double lost_answers = 0;
    /// Share of calls that are lost before the effect.
    double lost_calls = 0;
    /// Only calls for this kind of object are lost; empty for all.
    std::string lost_kind;
    /// Added to every answer, and a uniformly drawn part on top.
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds delay_spread{0};
    /// Time until the host list shows a change.
    std::chrono::milliseconds host_lag{30000};
    double weight_bytes_per_second = 1e9;
};

/// Calls since the start.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused_by_rate = 0;
    std::uint64_t refused_by_outage = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t lost_calls = 0;
    std::uint64_t watches_waiting = 0;
};

/// What becomes of a call.
struct simulated_reply {
    enum class mode : std::uint8_t {
        /// The reply goes out after the delay.
        reply,
        /// The connection breaks.
        lost,
        /// Nothing comes until the caller gives up.
        hang,
        /// A watch without changes; ask watch_changes() until its wait is over.
        wait,
    };

    mode delivery = mode::reply;
    result<platform_reply> reply = platform_reply{};
    std::chrono::milliseconds delay{0};
};

/// The platform. Not thread-safe.
class platform_model {
public:
    explicit platform_model(std::uint64_t seed);

    [[nodiscard]] platform_faults& faults() { return faults_; }
    [[nodiscard]] object_store& store() { return store_; }
    [[nodiscard]] platform_counts& counts() { return counts_; }

    /// Executes a call with its effect now.
    simulated_reply execute(const platform_call& call, time_point now);
    /// Counts one second of a waiting watch as a read. Errors: platform_busy.
    result<void> charge_watch(time_point now);
    /// Answer to a waiting watch; empty page when the wait is over.
    [[nodiscard]] std::optional<watch_page> watch_changes(const object_watch& call) const;

    /// Sets a host's state; the list shows it after the lag.
    void set_host(const platform_host& host, time_point now);
    void remove_host(const std::string& name, time_point now);

private:
    struct host_change {
        time_point visible_at;
        std::string name;
        /// Absent: removed.
        std::optional<platform_host> host;
    };

    static bool take_token(std::optional<token_bucket>& bucket, double rate, time_point now);
    [[nodiscard]] bool draw_bernoulli(double probability);
    [[nodiscard]] bool is_loss_candidate(const platform_call& call) const;
    result<platform_reply> apply(const platform_call& call, time_point now);
    host_page hosts(time_point now);
    weight_grant take_weights(std::uint64_t bytes, time_point now);
    [[nodiscard]] std::chrono::milliseconds draw_delay();

    platform_faults faults_;
    platform_counts counts_;
    object_store store_;
    std::mt19937_64 random_;
    /// Calls that the rates leave over; at most a second's worth gathers.
    std::optional<token_bucket> read_tokens_;
    std::optional<token_bucket> write_tokens_;
    std::map<std::string, platform_host> hosts_;
    std::deque<host_change> host_changes_;
    time_point weights_available_at_{};
};

} // namespace magnolia
