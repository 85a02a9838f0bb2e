/// Second part of backend_fleet: the choice of the backend servers of a request. In this order:
/// which are allowed, their pace, then the value of a placement, in the own cell or beyond it.
#include "backend_fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <tuple>

namespace magnolia {
namespace {

/// Share of a request's value that an engine of the own cell has to yield. Below it all engines of
/// the domain are considered, of whose short prompts this host has an estimate only.
constexpr double min_near_value = 0.7;

bool is_long_prompt(const engine_forecast& engine, const placement_query& query) {
    return engine_partition::is_long(engine.profile(),
                                     prefill_share::of(query.demand.prompt_tokens, 1));
}

/// The records for which the predicate holds; all if it holds for none.
template <class Record, class Predicate>
std::vector<Record*> preferred_or_all(const std::vector<Record*>& records, Predicate is_preferred) {
    std::vector<Record*> preferred;
    std::ranges::copy_if(records, std::back_inserter(preferred), is_preferred);
    return preferred.empty() ? records : preferred;
}

} // namespace

backend_fleet::record_list backend_fleet::usable_backends(std::string_view service,
                                                          const std::vector<std::string>& tried,
                                                          time_point now) {
    remove_expired(now);
    refresh_shares(now);
    record_list usable;
    for (auto& record : backends_ | std::views::values) {
        if (record.info.service == service && is_usable(record, now) &&
            record.terms.admits(record.open_calls, now)) {
            usable.push_back(&record);
        }
    }
    usable = preferred_or_all(usable, [&](const backend_record* record) {
        return std::ranges::find(tried, record->info.id) == tried.end();
    });
    return preferred_or_all(
        usable, [now](const backend_record* record) { return record->circuit.allows(now); });
}

std::optional<time_point> backend_fleet::first_rest_end(std::string_view service,
                                                        time_point now) const {
    std::optional<time_point> first_end;
    for (const auto& record : backends_ | std::views::values) {
        if (record.info.service == service && is_usable(record, now) && record.terms.rests(now)) {
            const auto end = record.terms.rests_until();
            first_end = std::min(first_end.value_or(end), end);
        }
    }
    return first_end;
}

result<chosen_backends> backend_fleet::choose(std::string_view service,
                                              const placement_query& query,
                                              const std::vector<std::string>& tried,
                                              time_point now) {
    const auto usable = usable_backends(service, tried, now);
    if (const auto rest_end = first_rest_end(service, now); usable.empty() && rest_end) {
        return fail(error_code::no_capacity, "all backend servers rest",
                    std::chrono::ceil<milliseconds>(*rest_end - now));
    }
    const bool has_engines = std::ranges::all_of(
        usable, [](const backend_record* record) { return record->forecast.has_value(); });
    if (usable.empty() || !has_engines || !topology().is_divided()) {
        return choose_among(service, query, usable, usable, now);
    }
    const auto home = preferred_or_all(usable, [this](const backend_record* record) {
        return topology_.is_home(record->info.id);
    });
    const bool is_long = is_long_prompt(*home.front()->forecast, query);
    const auto near = preferred_or_all(
        home, [this](const backend_record* record) { return topology_.is_near(record->info.id); });
    if (is_long || near.size() == home.size()) {
        return choose_among(service, query, home, home, now);
    }
    auto chosen = choose_among(service, query, near, home, now);
    const bool is_good = chosen && chosen->net_value >= min_near_value * query.demand.value;
    if (is_good) {
        return chosen;
    }
    auto wider = choose_among(service, query, home, home, now);
    const bool is_better = wider && (!chosen || wider->net_value > chosen->net_value);
    return is_better ? wider : chosen;
}

duration backend_fleet::predict_pause(job_id id, time_point first_event, time_point now) const {
    const auto job = open_jobs_.find(id.number);
    if (job == open_jobs_.end() || job->second.backends.empty()) {
        return duration{0};
    }
    const auto decoder = backends_.find(job->second.backends.front());
    const bool has_forecast = decoder != backends_.end() && decoder->second.forecast;
    return has_forecast ? decoder->second.forecast->predict_pause(id, first_event, now)
                        : duration{0};
}

template <class Predicate>
const backend_fleet::backend_record*
backend_fleet::similar_near_engine(const record_list& engines, const std::string& id,
                                   Predicate is_similar) const {
    record_list similar;
    std::ranges::copy_if(engines, std::back_inserter(similar), [&](const backend_record* record) {
        return topology_.is_near(record->info.id) && is_similar(record);
    });
    return similar.empty() ? nullptr : similar[XXH3_64bits(id.data(), id.size()) % similar.size()];
}

result<chosen_backends> backend_fleet::choose_among(std::string_view service,
                                                    const placement_query& query,
                                                    const record_list& candidates,
                                                    const record_list& home, time_point now) {
    const auto reserved = engines_reserved_for_long(service, home, now);
    // Estimates of engines of which this host is told the long prompts only. Not for a short
    // prompt: it looks beyond the cell because the cell is full, of which the others are no copy.
    std::deque<engine_forecast> estimates;
    const auto forecast_of = [&](backend_record& record) -> engine_forecast* {
        const bool is_told_all = !record.forecast || topology_.is_near(record.info.id);
        if (is_told_all || !is_long_prompt(*record.forecast, query)) {
            return record.forecast ? &*record.forecast : nullptr;
        }
        const bool is_reserved = reserved.contains(record.info.id);
        const auto* known = similar_near_engine(home, record.info.id, [&](const auto* near) {
            return reserved.contains(near->info.id) == is_reserved;
        });
        if (known == nullptr) {
            return &*record.forecast;
        }
        record.forecast->advance(now);
        return &estimates.emplace_back(record.forecast->with_short_jobs_of(*known->forecast));
    };
    std::vector<placement_candidate> options;
    options.reserve(candidates.size());
    for (std::uint32_t index = 0; index < candidates.size(); ++index) {
        auto& record = *candidates[index];
        options.push_back({.index = index,
                           .is_own_zone = record.info.zone == zone_,
                           .is_well_known = topology_.is_near(record.info.id),
                           .open_calls = record.open_calls,
                           .slots = record.info.slots,
                           .failure_rate = record.failure_rate,
                           .is_reserved_for_long = reserved.contains(record.info.id),
                           .forecast = forecast_of(record)});
    }
    auto loaded_query = query;
    loaded_query.short_load = partitions_[std::string{service}].short_load(now);
    const auto choice = std::visit(
        [&](auto& placement) { return placement.choose(loaded_query, options, now, random_); },
        placement_);
    if (!choice) {
        return tl::unexpected{choice.error()};
    }
    chosen_backends chosen;
    chosen.first_event = choice->first_event;
    chosen.share = choice->share;
    chosen.net_value = choice->net_value;
    for (const auto& member : choice->members) {
        const auto& info = candidates[member.index]->info;
        chosen.members.push_back({info.id, info.address, member.reserved_tokens, info.zone});
    }
    return chosen;
}

/// Rendezvous-style choice: the engines with the lowest hash of their id in each cell, so that
/// gateways with the same list reserve the same engines, and as many in each cell.
std::set<std::string> backend_fleet::engines_reserved_for_long(std::string_view service,
                                                               const record_list& engines,
                                                               time_point now) {
    std::map<audience_id, std::set<std::pair<std::uint64_t, std::string_view>>> cells;
    for (const auto* record : engines) {
        const auto& id = record->info.id;
        cells[topology().audience_of(id, false)].emplace(XXH3_64bits(id.data(), id.size()), id);
    }
    std::vector<std::tuple<std::size_t, std::uint64_t, std::string_view>> order;
    order.reserve(engines.size());
    for (const auto& cell : cells | std::views::values) {
        std::size_t rank = 0;
        for (const auto& [hash, id] : cell) {
            order.emplace_back(rank++, hash, id);
        }
    }
    std::ranges::sort(order);
    const auto count = partitions_[std::string{service}].reserved_engines(order.size(), now);
    std::set<std::string> reserved;
    for (const auto& [rank, hash, id] : order | std::views::take(count)) {
        reserved.emplace(id);
    }
    return reserved;
}

} // namespace magnolia
