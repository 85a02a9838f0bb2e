/// Summarizes the results of a load experiment: latency quantiles, verdicts and goodput, rendered
/// as JSON, HTML or text. Does no I/O.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace magnolia {

/// Result of a call of the experiment.
enum class call_verdict : std::uint8_t {
    /// The answer was complete and correct.
    whole,
    /// The answer did not match the prompt, or was incomplete although it was reported as complete.
    wrong,
    /// Refused, with the guarantee that it was not run.
    refused,
    /// Failed after it was admitted.
    failed,
    /// The outcome is unknown: reported so by the entry, or the connection broke.
    unknown,
    /// Not sent, because the limit of concurrent calls was reached.
    not_sent,
};

/// Name of the verdict in reports.
[[nodiscard]] std::string_view to_string(call_verdict verdict);

/// Measurements of one call. Times are relative to the planned arrival, so that delays of the
/// sender count as latency (no coordinated omission).
struct call_sample {
    std::size_t phase = 0;
    std::size_t length_class = 0;
    call_verdict verdict = call_verdict::not_sent;
    /// Error type; for `wrong` the fault found in the answer; for a connection that could not be
    /// opened or broke "broken:" and the error code. Empty for `whole` and `not_sent`.
    std::string reason{};
    std::optional<duration> first_token{};
    duration end{0};
    /// Longest time between two arrivals of text, and mean time per token between the first and the
    /// last one.
    duration longest_gap{0};
    duration mean_gap{0};
    std::uint32_t generated_tokens = 0;
};

/// Exact quantile by the nearest-rank method; 0 if there are no values. Sorts the values in place.
/// @param share  0 to 1.
[[nodiscard]] double quantile(std::span<double> values, double share);

/// Number of values, with their median, p95 and p99.
struct quantiles {
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Computes the quantiles of the values. Sorts them in place.
[[nodiscard]] quantiles quantiles_of(std::span<double> values);

/// Results of the calls of one phase and one length class.
struct class_summary {
    std::string name;
    std::size_t calls = 0;
    /// Calls that were sent and not refused.
    std::size_t admitted = 0;
    /// Calls with a complete and correct answer that met the first token and finish deadlines.
    std::size_t in_time = 0;
    std::map<std::string, std::size_t> verdicts;
    /// Time to first token and time between tokens, in milliseconds.
    quantiles first_token;
    quantiles token_gap;
    /// Head-of-line blocking: p95 of the time to first token, divided by that of the same class in
    /// the baseline phase without long prompts.
    std::optional<double> head_of_line;
};

/// Results of all calls of one phase.
struct phase_summary {
    std::string name;
    /// Load as a fraction of the full rate.
    double load = 0;
    double offered_per_s = 0;
    /// Calls per second with a complete and correct answer in time.
    double goodput_per_s = 0;
    /// Generated tokens per second of the calls that count as goodput.
    double tokens_per_s = 0;
    std::size_t calls = 0;
    std::size_t admitted = 0;
    std::size_t in_time = 0;
    /// Number of calls by verdict, and by reason for calls that were not `whole`.
    std::map<std::string, std::size_t> verdicts;
    std::map<std::string, std::size_t> reasons;
    std::vector<class_summary> classes;
};

/// Results of an experiment.
struct load_summary {
    std::string title;
    std::uint64_t seed = 0;
    std::vector<phase_summary> phases;
};

/// Summarizes the samples of all calls by phase and length class.
[[nodiscard]] load_summary summarize(const experiment_settings& settings,
                                     std::span<const call_sample> samples);

/// Report for other programs.
[[nodiscard]] nlohmann::json report_json(const load_summary& summary);

/// Report as an HTML page with SVG plots.
[[nodiscard]] std::string report_html(const load_summary& summary);

/// Report for a terminal, with a line for each phase and class.
[[nodiscard]] std::string report_text(const load_summary& summary);

} // namespace magnolia
