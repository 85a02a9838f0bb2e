/// Renders a load summary as HTML with SVG plots.
#include "load_report.h"
#include "timeline_view.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace magnolia {
namespace {

constexpr double plot_width = 720;
constexpr double plot_height = 320;
constexpr double margin = 60;
constexpr std::array colours{"#2471a3", "#c0392b", "#1e8449", "#7d6608",
                             "#6c3483", "#117a65", "#a04000", "#2e4053"};

/// A named series of values.
struct plot_line {
    std::string name;
    /// Value at each step of the x axis; nullopt for a missing point.
    std::vector<std::optional<double>> values;
};

/// Contents of one line chart.
struct plot {
    std::string title;
    std::string unit;
    /// Labels of the steps of the x axis.
    std::vector<std::string> steps;
    std::vector<plot_line> lines;
    bool is_logarithmic = false;
};

/// Maps steps and values of a plot to coordinates of its image.
class axis_scale {
public:
    explicit axis_scale(const plot& data) : plot_{data} {
        for (const auto& line : data.lines) {
            for (const auto& value : line.values) {
                if (value && *value > 0) {
                    min_ = std::min(min_, *value);
                    max_ = std::max(max_, *value);
                }
            }
        }
        if (min_ >= max_) {
            min_ = max_ / 2;
        }
    }

    [[nodiscard]] double x(std::size_t step) const {
        const auto steps = std::max<std::size_t>(plot_.steps.size(), 2) - 1;
        return margin +
               (plot_width - 2 * margin) * static_cast<double>(step) / static_cast<double>(steps);
    }
    [[nodiscard]] double y(double value) const {
        return plot_height - margin - (plot_height - 2 * margin) * relative_height(value);
    }
    [[nodiscard]] double value_at(double fraction) const {
        if (plot_.is_logarithmic) {
            return min_ * std::pow(max_ / min_, fraction);
        }
        return max_ * fraction;
    }

private:
    [[nodiscard]] double relative_height(double value) const {
        if (plot_.is_logarithmic) {
            return std::log(std::max(value, min_) / min_) / std::log(max_ / min_);
        }
        return value / max_;
    }

    const plot& plot_;
    double min_ = 1e300;
    double max_ = 1e-9;
};

void draw_axes(std::ostream& out, const plot& data, const axis_scale& scale) {
    out << "<text x=\"" << margin << "\" y=\"20\" font-weight=\"bold\">" << xml_escape(data.title)
        << " [" << xml_escape(data.unit) << "]</text>\n";
    for (const double fraction : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        const auto value = scale.value_at(fraction);
        const auto y = scale.y(value);
        out << "<line x1=\"" << margin << "\" x2=\"" << plot_width - margin << "\" y1=\"" << y
            << "\" y2=\"" << y << "\" stroke=\"#ddd\"/><text x=\"4\" y=\"" << y + 4 << "\">"
            << value << "</text>\n";
    }
    for (std::size_t step = 0; step < data.steps.size(); ++step) {
        out << "<text x=\"" << scale.x(step) << "\" y=\"" << plot_height - margin + 18
            << "\" text-anchor=\"middle\">" << xml_escape(data.steps[step]) << "</text>\n";
    }
}

void draw_line(std::ostream& out, const axis_scale& scale, const plot_line& line,
               std::size_t index) {
    const auto* colour = colours[index % colours.size()];
    std::ostringstream points;
    points << std::fixed << std::setprecision(1);
    for (std::size_t step = 0; step < line.values.size(); ++step) {
        if (!line.values[step]) {
            continue;
        }
        const auto x = scale.x(step);
        const auto y = scale.y(*line.values[step]);
        points << x << ',' << y << ' ';
        out << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"3\" fill=\"" << colour
            << "\"><title>" << xml_escape(line.name) << ": " << *line.values[step]
            << "</title></circle>";
    }
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"" << points.str()
        << "\"/><text x=\"" << margin + 90 * static_cast<double>(index) << "\" y=\""
        << plot_height - 12 << "\" fill=\"" << colour << "\">" << xml_escape(line.name)
        << "</text>\n";
}

std::string draw_plot(const plot& data) {
    const axis_scale scale{data};
    std::ostringstream out;
    out << std::fixed << std::setprecision(1)
        << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width << "\" height=\""
        << plot_height << "\" font-family=\"sans-serif\" font-size=\"11\">\n";
    draw_axes(out, data, scale);
    for (std::size_t index = 0; index < data.lines.size(); ++index) {
        draw_line(out, scale, data.lines[index], index);
    }
    out << "</svg>\n";
    return out.str();
}

plot first_token_plot(const load_summary& summary) {
    plot chart{"Time to first token, p95, by prompt length", "ms", {}, {}, true};
    for (const auto& item : summary.phases.front().classes) {
        chart.steps.push_back(item.name);
    }
    for (const auto& phase : summary.phases) {
        plot_line line{phase.name, {}};
        for (const auto& item : phase.classes) {
            const bool has_value = item.first_token.count > 0;
            line.values.push_back(has_value ? std::optional{item.first_token.p95} : std::nullopt);
        }
        chart.lines.push_back(std::move(line));
    }
    return chart;
}

plot head_of_line_plot(const load_summary& summary) {
    plot chart{"Head-of-line blocking: p95 with long prompts over p95 without", "ratio", {}, {}};
    for (const auto& phase : summary.phases) {
        chart.steps.push_back(phase.name);
    }
    const auto& classes = summary.phases.front().classes;
    for (std::size_t index = 0; index < classes.size(); ++index) {
        plot_line line{classes[index].name, {}};
        for (const auto& phase : summary.phases) {
            line.values.push_back(phase.classes[index].head_of_line);
        }
        const auto has_value = [](const std::optional<double>& value) { return value.has_value(); };
        if (std::ranges::any_of(line.values, has_value)) {
            chart.lines.push_back(std::move(line));
        }
    }
    return chart;
}

plot goodput_plot(const load_summary& summary) {
    plot chart{"Goodput against load", "calls/s", {}, {{"offered", {}}, {"goodput", {}}}};
    for (const auto& phase : summary.phases) {
        chart.steps.push_back(phase.name);
        chart.lines[0].values.emplace_back(phase.offered_per_s);
        chart.lines[1].values.emplace_back(phase.goodput_per_s);
    }
    return chart;
}

/// The text report, escaped for HTML.
std::string report_lines(const load_summary& summary) {
    std::istringstream in{report_text(summary)};
    std::string lines;
    for (std::string line; std::getline(in, line);) {
        lines += xml_escape(line) + "\n";
    }
    return lines;
}

} // namespace

std::string report_html(const load_summary& summary) {
    std::ostringstream out;
    out << "<!doctype html>\n<meta charset=\"utf-8\">\n<title>" << xml_escape(summary.title)
        << "</title>\n<h1>" << xml_escape(summary.title) << "</h1>\n<p>Seed " << summary.seed
        << ".</p>\n";
    if (!summary.phases.empty()) {
        out << draw_plot(first_token_plot(summary)) << draw_plot(head_of_line_plot(summary))
            << draw_plot(goodput_plot(summary));
    }
    out << "<pre>" << report_lines(summary) << "</pre>\n";
    return out.str();
}

} // namespace magnolia
