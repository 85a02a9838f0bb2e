/// Times that a model's work takes on an engine, learnt from the engines' answers.
#pragma once

#include <cstdint>

namespace magnolia {

/// Prefill costs a * tokens + b * (last^2 - first^2); decode costs one step a token. All times are
/// seconds of an engine that does nothing else.
class cost_model {
public:
    /// Time to compute the tokens [first, last) of a prompt.
    [[nodiscard]] double prefill_seconds(double first, double last) const {
        return per_token_ * (last - first) + per_square_ * (last * last - first * first);
    }

    /// Time between two generated tokens.
    [[nodiscard]] double step_seconds() const { return step_; }

    /// Generated tokens that a request asking for at most `limit` is expected to need at most.
    [[nodiscard]] double expected_generated(std::uint32_t limit) const;

    /// Learns from a prefill that had the engine for itself.
    void observe_prefill(double first, double last, double seconds);

    /// Learns from the generation of `tokens` after the first one.
    void observe_decode(std::uint32_t tokens, double seconds);

    /// Learns how much of the allowed length an answer used.
    void observe_generated(std::uint32_t tokens, std::uint32_t limit);

private:
    void solve();
    /// Time seen over time by the prior, for all prompts together.
    [[nodiscard]] double speed_factor() const;

    double per_token_ = 1.0 / 10'000;
    double per_square_ = 2.0e-10;
    double step_ = 0.030;
    /// Used share of the allowed length: mean and mean absolute deviation.
    double used_share_ = 0.5;
    double used_deviation_ = 0.25;
    /// Decayed sums of the weighted normal equations.
    double sum_11_ = 0;
    double sum_12_ = 0;
    double sum_22_ = 0;
    double sum_1t_ = 0;
    double sum_2t_ = 0;
};

} // namespace magnolia
