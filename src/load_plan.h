/// Plans the calls of a load experiment before it starts: open-loop arrivals, which do not depend
/// on when earlier calls end. Does no I/O; the same settings give the same plan.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <span>

namespace magnolia {

/// A planned call.
struct planned_call {
    /// Arrival time, relative to the start of the run.
    duration arrival{0};
    /// Index into the phases of the settings.
    std::size_t phase = 0;
    /// Index into the length classes of the settings.
    std::size_t length_class = 0;
    /// Index into the workspaces of the settings.
    std::size_t workspace = 0;
    /// Index into the entries of the settings.
    std::size_t entry = 0;
    /// Prompts of the same group start with the same words, as far as the shared_tokens of both
    /// their classes reach.
    std::uint32_t group = 0;
    /// Number of the call in the plan; makes the rest of its prompt unique.
    std::uint64_t number = 0;
};

/// Start of each phase relative to the start of the run, followed by the end of the last phase with
/// its pause.
[[nodiscard]] std::vector<duration> phase_starts(const experiment_settings& settings);

/// Poisson arrivals of all phases, ordered by time. Errors: bad_settings if a phase refers to a
/// class or phase that does not exist, or if the shares of all classes or of all workspaces are 0.
[[nodiscard]] result<std::vector<planned_call>> plan_load(const experiment_settings& settings);

/// Prompt text of a call, with config::estimated_bytes_per_token bytes per token.
[[nodiscard]] std::string prompt_text(const experiment_settings& settings,
                                      const planned_call& call);

} // namespace magnolia
