/// Summary of a load experiment: quantiles, outcomes, plots. Pure.
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

/// How a call of the experiment ended.
enum class call_verdict : std::uint8_t {
    /// The whole and right answer.
    whole,
    /// An answer that is not the one to this prompt, or not whole though said so.
    wrong,
    /// Refused, and said to be not run.
    refused,
    /// Failed after it was admitted.
    failed,
    /// The outcome is unknown, as said by the entry or for a broken connection.
    unknown,
    /// Never sent: too many calls were open.
    not_sent,
};

/// Name of the verdict as it stands in reports.
[[nodiscard]] std::string_view to_string(call_verdict verdict);

/// What one call gave. Times count from the planned arrival, so that a late sender cannot hide
/// waiting.
struct call_sample {
    std::size_t phase = 0;
    std::size_t length_class = 0;
    call_verdict verdict = call_verdict::not_sent;
    /// Error type for what is not whole; the stream's fault for what is wrong.
    std::string reason{};
    std::optional<duration> first_token{};
    duration end{0};
    /// Longest and mean time between two arrivals of text.
    duration longest_gap{0};
    duration mean_gap{0};
    std::uint32_t generated_tokens = 0;
};

/// Exact quantile of values, which are sorted in place; 0 for no values.
/// @param share  0 to 1; nearest rank.
[[nodiscard]] double quantile(std::span<double> values, double share);

/// Middle and tail of some values.
struct quantiles {
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Sorts the values in place.
[[nodiscard]] quantiles quantiles_of(std::span<double> values);

/// Calls of one phase and one class.
struct class_summary {
    std::string name;
    std::size_t calls = 0;
    /// Calls that were neither refused nor left unsent.
    std::size_t admitted = 0;
    /// Admitted calls whose first token and end came in time with the whole answer.
    std::size_t in_time = 0;
    std::map<std::string, std::size_t> verdicts;
    /// Milliseconds.
    quantiles first_token;
    quantiles token_gap;
    /// p95 of the first token over the p95 of the same class in the phase without long prompts.
    std::optional<double> head_of_line;
};

struct phase_summary {
    std::string name;
    double load = 0;
    double offered_per_s = 0;
    /// Calls a second that ended whole and in time.
    double goodput_per_s = 0;
    double tokens_per_s = 0;
    std::size_t calls = 0;
    std::size_t admitted = 0;
    std::size_t in_time = 0;
    /// Calls by verdict, and by reason for what is not whole.
    std::map<std::string, std::size_t> verdicts;
    std::map<std::string, std::size_t> reasons;
    std::vector<class_summary> classes;
};

struct load_summary {
    std::string title;
    std::uint64_t seed = 0;
    std::vector<phase_summary> phases;
};

[[nodiscard]] load_summary summarize(const experiment_settings& settings,
                                     std::span<const call_sample> samples);

/// Results for other programs.
[[nodiscard]] nlohmann::json report_json(const load_summary& summary);

/// Results for people: tables, and plots in SVG.
[[nodiscard]] std::string report_html(const load_summary& summary);

/// Results for a terminal, a line for each phase and class.
[[nodiscard]] std::string report_text(const load_summary& summary);

} // namespace magnolia
