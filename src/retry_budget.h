/// Retry budget: bounds the work of retries and hedged attempts to a fraction of first attempts.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Budget in prompt tokens: each first attempt deposits a fraction of its tokens, each further
/// attempt withdraws all of its own. Counting attempts instead would let a long prompt cost as
/// little as a short one; the gateway (forward_call) nevertheless counts attempts, one token each.
/// A reserve that refills with time allows retries at low traffic. Not thread-safe.
class retry_budget {
public:
    /// @param fraction  tokens of further attempts per token of first attempts.
    /// @param reserve   tokens that may be spent without any first attempts.
    /// @param period    time in which the reserve refills from empty.
    /// @param cap       largest budget, as a multiple of the reserve.
    explicit retry_budget(double fraction = 0.1, double reserve = 400'000,
                          duration period = std::chrono::minutes{1}, double cap = 4);

    /// Changes the reserve. Tokens above the new cap are discarded.
    void set_reserve(double reserve, time_point now);

    /// Deposits the fraction for a first attempt.
    void on_first_attempt(std::uint32_t tokens, time_point now);

    /// Withdraws the tokens of a further attempt; false, without effect, if the budget lacks them.
    [[nodiscard]] bool try_spend(std::uint32_t tokens, time_point now);

    /// Tokens that could be spent now.
    [[nodiscard]] double available(time_point now) const;

private:
    void refill(time_point now);

    double fraction_;
    double reserve_;
    duration period_;
    double cap_;
    double tokens_;
    time_point refilled_{};
};

/// Input of should_hedge(): a request with one attempt in progress.
struct hedge_query {
    /// Running the request twice is harmless.
    bool is_repeatable = false;
    bool has_first_token = false;
    std::uint32_t prompt_tokens = 0;
    /// Time since the attempt was sent.
    duration elapsed{0};
    duration predicted_first_token{0};
    /// Time until the deadline of the first token.
    duration time_left{0};
    /// Predicted time to the first token on the best other engine.
    duration other_first_token{0};
};

/// Whether to start a hedged attempt now: the first one is later than predicted, another engine can
/// still meet the deadline, and the budget allows it. Withdraws the tokens if so.
[[nodiscard]] bool should_hedge(const hedge_query& query, retry_budget& budget, time_point now);

} // namespace magnolia
