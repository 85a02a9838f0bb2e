/// Plans the calls of a load experiment before it starts: open-loop arrivals that do not wait for
/// answers. Pure; the same settings give the same plan.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <span>

namespace magnolia {

/// One call of the plan.
struct planned_call {
    /// Time after the start of the run.
    duration at{0};
    std::size_t phase = 0;
    /// Index into the settings' classes.
    std::size_t length_class = 0;
    std::size_t workspace = 0;
    std::size_t entry = 0;
    /// Group that shares the start of the prompt.
    std::uint32_t group = 0;
    /// Makes the rest of the prompt unique.
    std::uint64_t number = 0;
};

/// Start of each phase after the start of the run, and the end of the last one.
[[nodiscard]] std::vector<duration> phase_starts(const experiment_settings& settings);

/// Poisson arrivals of all phases, in the order of their times. Errors: bad_settings for a class or
/// a phase that is named and does not exist, or if no class has a weight.
[[nodiscard]] result<std::vector<planned_call>> plan_load(const experiment_settings& settings);

/// Text of a call's prompt: config::estimated_bytes_per_token bytes a token.
[[nodiscard]] std::string prompt_text(const experiment_settings& settings,
                                      const planned_call& call);

} // namespace magnolia
