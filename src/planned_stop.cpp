#include "planned_stop.h"

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Shares of the timeout that the times below take at most.
constexpr double accept_share = 0.4;
constexpr double cautious_share = 0.35;
/// Time that the load balancer needs to stop sending to a host that is not ready: two failed
/// checks, one second apart.
constexpr milliseconds balancer_removal_time{3200};
/// Time after which a caller may expect that a request which was taken is also completed: it does
/// not grow with the timeout.
constexpr milliseconds max_uncertain_time{2800};
/// Time before the end of the timeout for the final answers to reach their callers.
constexpr milliseconds abort_reserve{350};

milliseconds fraction_of(milliseconds span, double share) {
    return std::chrono::duration_cast<milliseconds>(span * share);
}

} // namespace

stop_times plan_stop(time_point begin, milliseconds timeout) {
    return {.cautious_from =
                begin + std::min(max_uncertain_time, fraction_of(timeout, cautious_share)),
            .accepts_until =
                begin + std::min(balancer_removal_time, fraction_of(timeout, accept_share)),
            .aborts_at = begin + timeout - abort_reserve};
}

} // namespace magnolia
