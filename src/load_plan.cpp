#include "load_plan.h"

#include <magnolia/config.h>

#include <algorithm>
#include <random>
#include <ranges>

namespace magnolia {
namespace {

constexpr double us_per_second = 1e6;

/// Distribution that picks the index of an item in proportion to its share.
template <class Item>
std::discrete_distribution<std::size_t> share_distribution(const std::vector<Item>& items) {
    std::vector<double> shares(items.size());
    std::ranges::transform(items, shares.begin(), &Item::share);
    return {shares.begin(), shares.end()};
}

template <class Item>
bool has_name(const std::vector<Item>& items, const std::string& name) {
    return std::ranges::find(items, name, &Item::name) != items.end();
}

result<void> check_phase(const experiment_settings& settings, const load_phase& phase) {
    const auto unknown = std::ranges::find_if(
        phase.only, [&](const std::string& name) { return !has_name(settings.classes, name); });
    if (unknown != phase.only.end()) {
        return fail(error_code::bad_settings, phase.name + ": there is no class " + *unknown);
    }
    if (!phase.alone.empty() && !has_name(settings.phases, phase.alone)) {
        return fail(error_code::bad_settings, phase.name + ": there is no phase " + phase.alone);
    }
    return {};
}

result<void> check_settings(const experiment_settings& settings) {
    const auto has_share = [](const auto& item) { return item.share > 0; };
    if (std::ranges::none_of(settings.classes, has_share)) {
        return fail(error_code::bad_settings, "classes: the share of every class is 0");
    }
    if (std::ranges::none_of(settings.workspaces, has_share)) {
        return fail(error_code::bad_settings, "workspaces: the share of every workspace is 0");
    }
    for (const auto& phase : settings.phases) {
        if (auto checked = check_phase(settings, phase); !checked) {
            return checked;
        }
    }
    return {};
}

/// Whether the phase sends calls of the class; an empty list selects all classes.
bool includes_class(const load_phase& phase, const load_class& class_settings) {
    return phase.only.empty() ||
           std::ranges::find(phase.only, class_settings.name) != phase.only.end();
}

/// Appends pseudorandom words, each of three letters and a space, until the text has `length`
/// bytes. The same seed gives the same words.
void append_words(std::string& text, std::uint64_t seed, std::size_t length) {
    std::minstd_rand random{static_cast<std::uint32_t>(seed * 2654435761U + 1)};
    while (text.size() < length) {
        auto bits = random();
        for (int letter = 0; letter < 3; ++letter) {
            text += static_cast<char>('a' + bits % 26);
            bits /= 26;
        }
        text += ' ';
    }
    text.resize(length);
}

} // namespace

std::vector<duration> phase_starts(const experiment_settings& settings) {
    std::vector<duration> starts{duration{0}};
    for (const auto& phase : settings.phases) {
        starts.push_back(starts.back() + phase.length + settings.pause);
    }
    return starts;
}

result<std::vector<planned_call>> plan_load(const experiment_settings& settings) {
    if (const auto checked = check_settings(settings); !checked) {
        return tl::unexpected{checked.error()};
    }
    const auto starts = phase_starts(settings);
    auto classes = share_distribution(settings.classes);
    auto workspaces = share_distribution(settings.workspaces);
    std::uniform_int_distribution<std::uint32_t> groups{0, settings.groups - 1};
    std::vector<planned_call> plan;
    for (std::size_t phase = 0; phase < settings.phases.size(); ++phase) {
        const auto& phase_settings = settings.phases[phase];
        std::mt19937_64 random{settings.seed + phase};
        std::exponential_distribution<double> interarrival{settings.full_rate *
                                                           phase_settings.load / us_per_second};
        const duration length = phase_settings.length;
        auto arrival_us = interarrival(random);
        for (; arrival_us < static_cast<double>(length.count());
             arrival_us += interarrival(random)) {
            planned_call call{.arrival =
                                  starts[phase] + duration{static_cast<std::int64_t>(arrival_us)},
                              .phase = phase,
                              .length_class = classes(random),
                              .workspace = workspaces(random),
                              .group = groups(random)};
            if (!includes_class(phase_settings, settings.classes[call.length_class])) {
                continue;
            }
            if (plan.size() == settings.max_calls) {
                return plan;
            }
            call.number = plan.size();
            call.entry = plan.size() % settings.entries.size();
            plan.push_back(call);
        }
    }
    return plan;
}

std::string prompt_text(const experiment_settings& settings, const planned_call& call) {
    const auto& class_settings = settings.classes[call.length_class];
    const auto bytes = [](std::uint32_t tokens) {
        return tokens * config::estimated_bytes_per_token;
    };
    std::string text;
    text.reserve(bytes(class_settings.prompt_tokens));
    append_words(text, call.group,
                 bytes(std::min(class_settings.shared_tokens, class_settings.prompt_tokens)));
    append_words(text, settings.seed * 1'000'003 + call.number + settings.groups,
                 bytes(class_settings.prompt_tokens));
    return text;
}

} // namespace magnolia
