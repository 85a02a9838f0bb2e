/// Cost model of one language model: predicts prefill and decode times on an otherwise idle engine,
/// and learns its coefficients from measured answers.
#pragma once

#include <cstdint>

namespace magnolia {

/// Prefill of the tokens [first, last) takes a * (last - first) + b * (last^2 - first^2) seconds,
/// where the second term is attention; decode takes one step per token. The coefficients a and b
/// are fitted online by ridge regression towards a prior. Used by the router. Not thread-safe.
class cost_model {
public:
    /// Time to prefill the tokens [first, last) of a prompt.
    [[nodiscard]] double prefill_seconds(double first, double last) const {
        return per_token_ * (last - first) + per_square_ * (last * last - first * first);
    }

    /// Time between two generated tokens of a request.
    [[nodiscard]] double step_seconds() const { return step_; }

    /// Upper estimate of the tokens that a request with a limit of `limit` generates: mean share of
    /// the limit plus three mean absolute deviations.
    [[nodiscard]] double expected_generated(std::uint32_t limit) const;

    /// Learns from a prefill during which the engine did nothing else.
    void observe_prefill(double first, double last, double seconds);

    /// Learns from the time to generate `tokens` tokens after the first one.
    void observe_decode(std::uint32_t tokens, double seconds);

    /// Learns from the length of an answer relative to its limit.
    void observe_generated(std::uint32_t tokens, std::uint32_t limit);

private:
    /// Fits per_token_ and per_square_ to the sums.
    void solve();
    /// Measured over prior time, for all samples together.
    [[nodiscard]] double speed_factor() const;

    /// Coefficients, in seconds.
    double per_token_ = 1.0 / 10'000;
    double per_square_ = 2.0e-10;
    double step_ = 0.030;
    /// Answer length as a share of its limit: moving mean and mean absolute deviation.
    double used_share_ = 0.5;
    double used_deviation_ = 0.25;
    /// Exponentially decayed sums of the weighted normal equations.
    double sum_11_ = 0;
    double sum_12_ = 0;
    double sum_22_ = 0;
    double sum_1t_ = 0;
    double sum_2t_ = 0;
};

} // namespace magnolia
