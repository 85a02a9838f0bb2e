#include "cost_model.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Prior: a common accelerator server. It weighs as much as a few observations.
constexpr double prior_per_token = 1.0 / 10'000;
constexpr double prior_per_square = 2.0e-10;
constexpr double prior_weight = 2.0;
/// Weight of the prior in speed_factor(), in samples.
constexpr double prior_speed_weight = 0.5;
/// Decay of the sums per observation.
constexpr double decay_factor = 0.98;
/// Learnt coefficients stay within this factor of the prior.
constexpr double max_prior_factor = 50;
/// Weight of a sample above the prediction. Queueing that was not observed can only add time, so
/// slow samples are less reliable.
constexpr double slow_sample_weight = 0.35;
/// Smoothing factors of the moving averages of step time and answer length.
constexpr double step_gain = 0.05;
constexpr double length_gain = 0.02;
/// Shorter prefills are not learnt from.
constexpr double min_prefill_tokens = 16;
/// Scales that bring both features of the regression near one.
constexpr double token_scale = 1.0e4;
constexpr double square_scale = 1.0e10;

} // namespace

double cost_model::expected_generated(std::uint32_t limit) const {
    const double share = std::clamp(used_share_ + 3 * used_deviation_, 0.05, 1.0);
    return share * limit;
}

void cost_model::observe_prefill(double first, double last, double seconds) {
    if (last - first < min_prefill_tokens || seconds <= 0) {
        return;
    }
    const double predicted = prefill_seconds(first, last);
    const double bounded = std::clamp(seconds, predicted / 4, predicted * 4);
    const double weight = (bounded > predicted ? slow_sample_weight : 1.0) / (bounded * bounded);
    const double x1 = (last - first) / token_scale;
    const double x2 = (last * last - first * first) / square_scale;
    sum_11_ = decay_factor * sum_11_ + weight * x1 * x1;
    sum_12_ = decay_factor * sum_12_ + weight * x1 * x2;
    sum_22_ = decay_factor * sum_22_ + weight * x2 * x2;
    sum_1t_ = decay_factor * sum_1t_ + weight * x1 * bounded;
    sum_2t_ = decay_factor * sum_2t_ + weight * x2 * bounded;
    solve();
}

double cost_model::speed_factor() const {
    const double p1 = prior_per_token * token_scale;
    const double p2 = prior_per_square * square_scale;
    const double observed = p1 * sum_1t_ + p2 * sum_2t_;
    const double expected = p1 * p1 * sum_11_ + 2 * p1 * p2 * sum_12_ + p2 * p2 * sum_22_;
    const double factor = (observed + prior_speed_weight) / (expected + prior_speed_weight);
    return std::clamp(factor, 1 / max_prior_factor, max_prior_factor);
}

void cost_model::solve() {
    // Regularizes towards the prior scaled by the observed speed, in relative units like the
    // samples: an engine that is fast for short prompts is expected to be fast for long ones, even
    // before one was observed.
    const double speed = speed_factor();
    const double prior_1 = speed * prior_per_token * token_scale;
    const double prior_2 = speed * prior_per_square * square_scale;
    const double ridge_1 = prior_weight / (prior_1 * prior_1);
    const double ridge_2 = prior_weight / (prior_2 * prior_2);
    const double a = sum_11_ + ridge_1;
    const double d = sum_22_ + ridge_2;
    const double t1 = sum_1t_ + ridge_1 * prior_1;
    const double t2 = sum_2t_ + ridge_2 * prior_2;
    const double determinant = a * d - sum_12_ * sum_12_;
    const double first = (t1 * d - t2 * sum_12_) / determinant;
    const double second = (t2 * a - t1 * sum_12_) / determinant;
    per_token_ = std::clamp(first / token_scale, prior_per_token / max_prior_factor,
                            prior_per_token * max_prior_factor);
    per_square_ = std::clamp(second / square_scale, 0.0, prior_per_square * max_prior_factor);
}

void cost_model::observe_decode(std::uint32_t tokens, double seconds) {
    if (tokens == 0 || seconds <= 0) {
        return;
    }
    step_ += step_gain * (std::min(seconds / tokens, 4 * step_) - step_);
}

void cost_model::observe_generated(std::uint32_t tokens, std::uint32_t limit) {
    if (limit == 0) {
        return;
    }
    const double share = std::min(1.0, static_cast<double>(tokens) / limit);
    used_deviation_ += length_gain * (std::abs(share - used_share_) - used_deviation_);
    used_share_ += length_gain * (share - used_share_);
}

} // namespace magnolia
