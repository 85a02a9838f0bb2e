#include "lag_detector.h"

namespace magnolia {
namespace {

/// Time for which other hosts must have newer state; a change reaches hosts some ms apart.
constexpr duration min_lag_time = std::chrono::milliseconds{250};
/// Minimum time between resyncs. A list takes a few round trips, more if the store is slow.
constexpr duration min_resync_interval = std::chrono::milliseconds{1000};

} // namespace

bool lag_detector::on_digest(bool is_behind, bool is_disconnected, time_point now) {
    if (!is_behind || is_disconnected) {
        behind_since_ = {};
        return false;
    }
    if (behind_since_ == time_point{}) {
        behind_since_ = now;
    }
    if (now - behind_since_ < min_lag_time || now < next_resync_at_) {
        return false;
    }
    behind_since_ = {};
    next_resync_at_ = now + min_resync_interval;
    return true;
}

} // namespace magnolia
