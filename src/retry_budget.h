/// Bounds the extra work of retries and hedged attempts to a fraction of the first attempts' work.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Budget in prompt tokens: each first attempt pays in a fraction of its tokens, each further one
/// takes out all of its own. A count would let one long prompt cost as much as a short one.
class retry_budget {
public:
    /// @param fraction  tokens of further attempts per token of first attempts.
    /// @param reserve   tokens that may be spent without any traffic.
    /// @param period    time in which the reserve refills.
    /// @param cap       largest budget, as a multiple of the reserve.
    explicit retry_budget(double fraction = 0.1, double reserve = 400'000,
                          duration period = std::chrono::minutes{1}, double cap = 4);

    /// Changes the reserve; what is above the new cap is lost.
    void set_reserve(double reserve, time_point now);

    void on_first_attempt(std::uint32_t tokens, time_point now);

    /// Takes the tokens of a further attempt if the budget has them.
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

/// What decides on a second attempt beside one that is under way.
struct hedge_query {
    /// Whether running the request twice is harmless.
    bool is_repeatable = false;
    bool has_first_token = false;
    std::uint32_t prompt_tokens = 0;
    duration elapsed{0};
    duration predicted_first_token{0};
    /// Time left to the first token's deadline.
    duration time_left{0};
    /// Prediction of the best other engine.
    duration other_first_token{0};
};

/// Whether to hedge now; spends the budget if so.
[[nodiscard]] bool should_hedge(const hedge_query& query, retry_budget& budget, time_point now);

} // namespace magnolia
