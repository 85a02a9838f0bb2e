#include "run_promise.h"

#include <algorithm>
#include <array>

namespace magnolia {
namespace {

constexpr std::array<unsigned, 4> promising_statuses{408, 421, 429, 503};

} // namespace

bool promises_not_run(unsigned status) {
    return std::ranges::find(promising_statuses, status) != promising_statuses.end();
}

unsigned status_to_forward(unsigned status, repeat_rule repeat) {
    const bool endangers_caller = repeat == repeat_rule::never && promises_not_run(status);
    return endangers_caller ? http_status(error_code::backend_failed) : status;
}

error truthful_failure(const error& failure, run_knowledge known) {
    if (known == run_knowledge::not_run || !promises_not_run(http_status(failure.code))) {
        return failure;
    }
    return {error_code::backend_lost, to_string(failure)};
}

} // namespace magnolia
