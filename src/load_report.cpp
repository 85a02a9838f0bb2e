#include "load_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace magnolia {
namespace {

constexpr double us_per_ms = 1000;
constexpr double ms_per_s = 1000;

double to_ms(duration span) {
    return static_cast<double>(span.count()) / us_per_ms;
}

bool is_admitted(const call_sample& sample) {
    return sample.verdict != call_verdict::refused && sample.verdict != call_verdict::not_sent;
}

bool is_in_time(const call_sample& sample, const load_class& class_settings) {
    return sample.verdict == call_verdict::whole && sample.first_token &&
           *sample.first_token <= class_settings.first_token && sample.end <= class_settings.finish;
}

class_summary summarize_class(const experiment_settings& settings, std::size_t length_class,
                              std::span<const call_sample> samples) {
    const auto& class_settings = settings.classes[length_class];
    class_summary summary;
    summary.name = class_settings.name;
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    for (const auto& sample : samples) {
        if (sample.length_class != length_class) {
            continue;
        }
        ++summary.calls;
        ++summary.verdicts[std::string{to_string(sample.verdict)}];
        summary.admitted += is_admitted(sample) ? 1 : 0;
        summary.in_time += is_in_time(sample, class_settings) ? 1 : 0;
        if (sample.first_token) {
            first_tokens.push_back(to_ms(*sample.first_token));
        }
        if (sample.verdict == call_verdict::whole) {
            gaps.push_back(to_ms(sample.mean_gap));
        }
    }
    summary.first_token = quantiles_of(first_tokens);
    summary.token_gap = quantiles_of(gaps);
    return summary;
}

phase_summary summarize_phase(const experiment_settings& settings, std::size_t phase,
                              std::span<const call_sample> all) {
    const auto& phase_settings = settings.phases[phase];
    std::vector<call_sample> samples;
    std::ranges::copy_if(all, std::back_inserter(samples),
                         [phase](const call_sample& sample) { return sample.phase == phase; });
    phase_summary summary;
    summary.name = phase_settings.name;
    summary.load = phase_settings.load;
    summary.calls = samples.size();
    double tokens = 0;
    for (const auto& sample : samples) {
        ++summary.verdicts[std::string{to_string(sample.verdict)}];
        if (!sample.reason.empty()) {
            ++summary.reasons[sample.reason];
        }
        if (is_in_time(sample, settings.classes[sample.length_class])) {
            tokens += sample.generated_tokens;
        }
    }
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        summary.classes.push_back(summarize_class(settings, index, samples));
        summary.admitted += summary.classes.back().admitted;
        summary.in_time += summary.classes.back().in_time;
    }
    const auto seconds = static_cast<double>(phase_settings.length.count()) / ms_per_s;
    summary.offered_per_s = static_cast<double>(summary.calls) / seconds;
    summary.goodput_per_s = static_cast<double>(summary.in_time) / seconds;
    summary.tokens_per_s = tokens / seconds;
    return summary;
}

/// Sets head_of_line for the phases that name a baseline phase.
void compare_with_baseline(const experiment_settings& settings,
                           std::vector<phase_summary>& phases) {
    for (std::size_t phase = 0; phase < phases.size(); ++phase) {
        const auto baseline =
            std::ranges::find(phases, settings.phases[phase].alone, &phase_summary::name);
        if (baseline == phases.end()) {
            continue;
        }
        for (std::size_t index = 0; index < settings.classes.size(); ++index) {
            const auto& baseline_quantiles = baseline->classes[index].first_token;
            auto& compared = phases[phase].classes[index];
            if (baseline_quantiles.count > 0 && compared.first_token.count > 0 &&
                baseline_quantiles.p95 > 0) {
                compared.head_of_line = compared.first_token.p95 / baseline_quantiles.p95;
            }
        }
    }
}

nlohmann::json quantiles_json(const quantiles& values) {
    return {{"count", values.count}, {"p50", values.p50}, {"p95", values.p95}, {"p99", values.p99}};
}

nlohmann::json class_json(const class_summary& item) {
    nlohmann::json object{{"name", item.name},
                          {"calls", item.calls},
                          {"admitted", item.admitted},
                          {"in_time", item.in_time},
                          {"verdicts", item.verdicts},
                          {"first_token_ms", quantiles_json(item.first_token)},
                          {"token_gap_ms", quantiles_json(item.token_gap)}};
    if (item.head_of_line) {
        object["head_of_line"] = *item.head_of_line;
    }
    return object;
}

std::string counts_text(const std::map<std::string, std::size_t>& counts) {
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    }
    return text;
}

} // namespace

std::string_view to_string(call_verdict verdict) {
    switch (verdict) {
    case call_verdict::whole:
        return "whole";
    case call_verdict::wrong:
        return "wrong";
    case call_verdict::refused:
        return "refused";
    case call_verdict::failed:
        return "failed";
    case call_verdict::unknown:
        return "unknown";
    case call_verdict::not_sent:
        return "not_sent";
    }
    return "invalid";
}

double quantile(std::span<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return values[std::min(index, values.size() - 1)];
}

quantiles quantiles_of(std::span<double> values) {
    return {values.size(), quantile(values, 0.50), quantile(values, 0.95), quantile(values, 0.99)};
}

load_summary summarize(const experiment_settings& settings, std::span<const call_sample> samples) {
    load_summary summary{settings.title, settings.seed, {}};
    for (std::size_t phase = 0; phase < settings.phases.size(); ++phase) {
        summary.phases.push_back(summarize_phase(settings, phase, samples));
    }
    compare_with_baseline(settings, summary.phases);
    return summary;
}

nlohmann::json report_json(const load_summary& summary) {
    auto phases = nlohmann::json::array();
    for (const auto& phase : summary.phases) {
        auto classes = nlohmann::json::array();
        std::ranges::transform(phase.classes, std::back_inserter(classes), class_json);
        phases.push_back({{"name", phase.name},
                          {"load", phase.load},
                          {"offered_per_s", phase.offered_per_s},
                          {"goodput_per_s", phase.goodput_per_s},
                          {"tokens_per_s", phase.tokens_per_s},
                          {"calls", phase.calls},
                          {"admitted", phase.admitted},
                          {"in_time", phase.in_time},
                          {"verdicts", phase.verdicts},
                          {"reasons", phase.reasons},
                          {"classes", classes}});
    }
    return {{"title", summary.title}, {"seed", summary.seed}, {"phases", phases}};
}

std::string report_text(const load_summary& summary) {
    std::ostringstream out;
    out << summary.title << '\n' << std::fixed << std::setprecision(1);
    for (const auto& phase : summary.phases) {
        out << phase.name << ": load " << phase.load * 100 << "%, " << phase.calls << " calls, "
            << phase.in_time << " of " << phase.admitted << " admitted in time, goodput "
            << phase.goodput_per_s << "/s; " << counts_text(phase.verdicts);
        out << (phase.reasons.empty() ? "" : "; ") << counts_text(phase.reasons) << '\n';
        for (const auto& item : phase.classes) {
            if (item.calls == 0) {
                continue;
            }
            out << "  " << std::left << std::setw(8) << item.name << std::right << std::setw(6)
                << item.calls << " calls  first token ms p50 " << std::setw(9)
                << item.first_token.p50 << " p95 " << std::setw(9) << item.first_token.p95
                << " p99 " << std::setw(9) << item.first_token.p99 << "  token gap p95 "
                << std::setw(7) << item.token_gap.p95;
            if (item.head_of_line) {
                out << "  head-of-line " << std::setprecision(2) << *item.head_of_line
                    << std::setprecision(1);
            }
            out << '\n';
        }
    }
    return out.str();
}

} // namespace magnolia
