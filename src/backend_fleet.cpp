#include "backend_fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Weight of the last attempt in the share of failed ones.
constexpr double failure_weight = 0.2;
/// Failure shares fade by this factor with each success.
constexpr double success_weight = 0.1;
/// Bytes of any answer within this time show that a backend server works on requests.
constexpr duration evidence_span = std::chrono::milliseconds{400};
/// Time for which the outcome of a probe counts.
constexpr duration probe_span = std::chrono::milliseconds{1000};
/// Placements in one datagram of a recap, about 100 bytes each: well under its limit of 64 KB.
constexpr std::size_t max_snapshot_placements = 200;
/// Most work of one other gateway that is kept.
constexpr std::size_t max_remote_jobs = 4096;

engine_job job_of(const placed_work& work, std::uint64_t origin) {
    engine_job job;
    job.id = {origin, work.number};
    job.read = {work.prefill_tokens, work.first_attention_span, work.attention_span_increment};
    job.is_helper = work.is_helper;
    job.has_helpers = work.has_helpers;
    job.memory_tokens = work.memory_tokens;
    job.context_tokens = work.context_tokens;
    job.answer_tokens = work.answer_tokens;
    job.target_latency = work.target_latency;
    job.target_pause = work.target_pause;
    job.time_limit = work.time_limit;
    job.value = work.value;
    return job;
}

milliseconds left_of(duration target, duration passed) {
    return std::chrono::duration_cast<milliseconds>(std::max(target - passed, duration{0}));
}

std::uint32_t left_of(std::uint32_t tokens, double done) {
    return done < tokens ? static_cast<std::uint32_t>(tokens - done) : 0;
}

/// What is left of a job, as work that is placed now.
placed_work remaining_work(const engine_job& job, const std::string& backend, time_point now) {
    const auto passed = now - job.placed;
    return {.backend = backend,
            .number = job.id.number,
            .prefill_tokens = left_of(job.read.tokens, job.tokens_read),
            .first_attention_span =
                job.read.first_attention_span + job.read.attention_span_increment * job.tokens_read,
            .attention_span_increment = job.read.attention_span_increment,
            .memory_tokens = job.memory_tokens,
            .context_tokens = job.context_tokens,
            .answer_tokens = left_of(job.answer_tokens, job.tokens_written),
            .is_helper = job.is_helper,
            .has_helpers = job.has_helpers,
            .target_latency = job.is_late ? milliseconds{0} : left_of(job.target_latency, passed),
            .target_pause = job.is_late
                                ? milliseconds{0}
                                : std::chrono::duration_cast<milliseconds>(job.target_pause),
            .time_limit = left_of(job.time_limit, passed),
            .value = job.value};
}

} // namespace

backend_fleet::backend_fleet(std::string zone, std::uint64_t origin, placement_policy policy)
    : zone_{std::move(zone)}, origin_{origin}, placement_{make_placement(policy)}, random_{origin} {
}

void backend_fleet::set_services(const std::vector<routed_service>& services) {
    profiles_.clear();
    for (const auto& service : services) {
        if (service.engine) {
            profiles_.emplace(service.name, *service.engine);
        }
    }
    std::ranges::for_each(backends_ | std::views::values,
                          [this](auto& item) { apply_profile(item); });
}

void backend_fleet::apply_profile(record& item) {
    const auto found = profiles_.find(item.info.service);
    if (found == profiles_.end()) {
        item.forecast.reset();
    } else if (item.forecast) {
        item.forecast->set_profile(found->second);
    } else {
        item.forecast.emplace(found->second);
    }
}

void backend_fleet::replace_all(const std::vector<backend_info>& backends, duration grace,
                                time_point now) {
    std::set<std::string_view> listed;
    for (const auto& backend : backends) {
        listed.insert(backend.id);
        put(backend);
    }
    for (auto& [id, item] : backends_) {
        if (!listed.contains(id) && !item.leaves_at) {
            item.leaves_at = now + grace;
        }
    }
    list_hash_.reset();
    drop_expired(now);
}

void backend_fleet::put(const backend_info& backend) {
    auto found = backends_.find(backend.id);
    const bool is_other_start =
        found != backends_.end() && (found->second.info.started_ms != backend.started_ms ||
                                     found->second.info.address != backend.address ||
                                     found->second.info.service != backend.service);
    if (is_other_start) {
        backends_.erase(found);
        found = backends_.end();
    }
    if (found == backends_.end()) {
        found = backends_.emplace(backend.id, record{}).first;
    }
    auto& item = found->second;
    item.info = backend;
    item.leaves_at.reset();
    apply_profile(item);
    list_hash_.reset();
}

void backend_fleet::remove(const std::string& id, duration grace, time_point now) {
    if (auto* item = find(id); item != nullptr && !item->leaves_at) {
        item->leaves_at = now + grace;
        list_hash_.reset();
    }
    drop_expired(now);
}

void backend_fleet::set_gone(const std::string& id) {
    if (auto* item = find(id)) {
        item->is_gone = true;
    }
}

void backend_fleet::on_helper_failure(const std::string& id, time_point now) {
    if (auto* item = find(id)) {
        count_result(*item, attempt_result::lost, now);
    }
}

void backend_fleet::drop_expired(time_point now) {
    std::erase_if(backends_, [now](const auto& entry) {
        return entry.second.leaves_at && *entry.second.leaves_at <= now;
    });
}

backend_fleet::record* backend_fleet::find(const std::string& id) {
    const auto found = backends_.find(id);
    return found == backends_.end() ? nullptr : &found->second;
}

bool backend_fleet::is_usable(const record& item, time_point now) const {
    const bool is_listed = !item.leaves_at || *item.leaves_at > now;
    return is_listed && !item.info.is_leaving && !item.is_gone;
}

std::vector<backend_fleet::record*> backend_fleet::candidates(std::string_view service,
                                                              const std::vector<std::string>& tried,
                                                              time_point now) {
    drop_expired(now);
    std::vector<record*> usable;
    for (auto& item : backends_ | std::views::values) {
        if (item.info.service == service && is_usable(item, now)) {
            usable.push_back(&item);
        }
    }
    const auto narrow = [&usable](auto&& keeps) {
        std::vector<record*> kept;
        std::ranges::copy_if(usable, std::back_inserter(kept), keeps);
        if (!kept.empty()) {
            usable = std::move(kept);
        }
    };
    narrow(
        [&](const record* item) { return std::ranges::find(tried, item->info.id) == tried.end(); });
    narrow([now](const record* item) { return item->failures.allows(now); });
    return usable;
}

bool backend_fleet::has_live(std::string_view service, time_point now) {
    return std::ranges::any_of(backends_ | std::views::values, [&](const auto& item) {
        return item.info.service == service && is_usable(item, now);
    });
}

std::size_t backend_fleet::live_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(backends_ | std::views::values, [](const auto& item) {
            return !item.info.is_leaving && !item.is_gone;
        }));
}

std::uint64_t backend_fleet::list_hash() const {
    if (list_hash_) {
        return *list_hash_;
    }
    std::uint64_t hash = 0;
    for (const auto& [id, item] : backends_) {
        if (item.leaves_at) {
            continue;
        }
        const auto text = id + (item.info.is_leaving ? "-" : "+") +
                          std::to_string(item.info.started_ms) + item.info.address.address + ":" +
                          std::to_string(item.info.address.port) + item.info.service;
        hash ^= XXH3_64bits(text.data(), text.size());
    }
    list_hash_ = hash;
    return hash;
}

result<chosen_backends> backend_fleet::choose(std::string_view service,
                                              const placement_query& query,
                                              const std::vector<std::string>& tried,
                                              time_point now) {
    const auto usable = candidates(service, tried, now);
    const auto kept = kept_engines(service, usable, now);
    std::vector<placement_candidate> options;
    options.reserve(usable.size());
    for (std::uint32_t index = 0; index < usable.size(); ++index) {
        auto& item = *usable[index];
        options.push_back({.index = index,
                           .is_own_zone = item.info.zone == zone_,
                           .open_calls = item.open_calls,
                           .slots = item.info.slots,
                           .failure_share = item.failure_share,
                           .is_reserved_for_long = kept.contains(item.info.id),
                           .forecast = item.forecast ? &*item.forecast : nullptr});
    }
    auto loaded = query;
    loaded.short_load = partitions_[std::string{service}].short_load(now);
    const auto choice =
        std::visit([&](auto& placement) { return placement.choose(loaded, options, now, random_); },
                   placement_);
    if (!choice) {
        return tl::unexpected{choice.error()};
    }
    chosen_backends chosen;
    chosen.first_event = choice->first_event;
    chosen.share = choice->share;
    chosen.net_value = choice->net_value;
    for (const auto& member : choice->members) {
        const auto& info = usable[member.index]->info;
        chosen.members.push_back({info.id, info.address, member.reserved_tokens});
    }
    return chosen;
}

job_id backend_fleet::start(const chosen_backends& chosen, const job_demand& demand,
                            time_point now) {
    const job_id id{origin_, next_number_++};
    auto& job = open_[id.number];
    const bool has_reservations = std::ranges::any_of(
        chosen.members, [](const auto& item) { return item.reserved_tokens > 0; });
    for (std::size_t index = 0; index < chosen.members.size(); ++index) {
        const auto& member = chosen.members[index];
        auto* item = find(member.id);
        if (item == nullptr) {
            continue;
        }
        job.backends.push_back(member.id);
        const bool writes = index == 0;
        if (writes) {
            ++item->open_calls;
            item->failures.on_sent(now);
        }
        if (!item->forecast) {
            continue;
        }
        const auto whole = demand.prompt_tokens + demand.answer_tokens;
        const auto memory = has_reservations ? member.reserved_tokens : (writes ? whole : 0);
        const placed_work work{
            .backend = member.id,
            .number = id.number,
            .prefill_tokens = chosen.share.tokens,
            .first_attention_span = chosen.share.first_attention_span,
            .attention_span_increment = chosen.share.attention_span_increment,
            .memory_tokens = memory,
            .context_tokens = memory,
            .answer_tokens = demand.answer_tokens,
            .is_helper = !writes,
            .has_helpers = chosen.members.size() > 1,
            .target_latency = demand.is_late
                                  ? milliseconds{0}
                                  : std::chrono::duration_cast<milliseconds>(demand.target_latency),
            .target_pause = demand.is_late
                                ? milliseconds{0}
                                : std::chrono::duration_cast<milliseconds>(demand.target_pause),
            .time_limit = std::chrono::duration_cast<milliseconds>(demand.time_limit),
            .value = demand.value};
        place(*item, job_of(work, origin_), now);
        news_.placed.push_back(work);
    }
    return id;
}

void backend_fleet::place(record& item, const engine_job& job, time_point now) {
    item.forecast->place(job, now);
    partitions_[item.info.service].note(item.forecast->profile(), job, now);
}

/// Engines that are kept for long prompts: the same ones at every gateway that knows the same list.
std::set<std::string> backend_fleet::kept_engines(std::string_view service,
                                                  const std::vector<record*>& engines,
                                                  time_point now) {
    std::vector<std::pair<std::uint64_t, std::string>> order;
    order.reserve(engines.size());
    for (const auto* item : engines) {
        order.emplace_back(XXH3_64bits(item->info.id.data(), item->info.id.size()), item->info.id);
    }
    std::ranges::sort(order);
    const auto count = partitions_[std::string{service}].kept(order.size(), now);
    std::set<std::string> kept;
    for (const auto& [hash, id] : order | std::views::take(count)) {
        kept.insert(id);
    }
    return kept;
}

void backend_fleet::on_event(job_id id, bool is_first, time_point now) {
    const auto found = open_.find(id.number);
    if (found == open_.end()) {
        return;
    }
    bool is_engine = false;
    for (const auto& backend : found->second.backends) {
        if (auto* item = find(backend); item != nullptr && item->forecast) {
            item->forecast->on_event(id, now);
            is_engine = true;
        }
        if (!is_first) {
            break; // Parts are read already.
        }
    }
    if (is_engine && is_first) {
        found->second.has_begun = true;
        news_.answer_started.push_back(id.number);
    }
}

void backend_fleet::on_late(job_id id) {
    const auto found = open_.find(id.number);
    if (found == open_.end()) {
        return;
    }
    for (const auto& backend : found->second.backends) {
        if (auto* item = find(backend); item != nullptr && item->forecast) {
            item->forecast->set_late(id);
        }
    }
}

void backend_fleet::count_result(record& item, attempt_result result, time_point now) {
    switch (result) {
    case attempt_result::done:
        item.failures.on_success();
        item.failure_share *= 1 - success_weight;
        return;
    case attempt_result::lost:
        item.failures.on_failure(now);
        [[fallthrough]];
    case attempt_result::failed:
        item.failure_share += failure_weight * (1 - item.failure_share);
        return;
    case attempt_result::refused:
    case attempt_result::cancelled:
        return;
    }
}

void backend_fleet::on_ended(job_id id, attempt_result result, time_point now) {
    const auto found = open_.find(id.number);
    if (found == open_.end()) {
        return;
    }
    bool is_engine = false;
    bool is_first = true;
    for (const auto& backend : found->second.backends) {
        if (auto* item = find(backend)) {
            if (is_first) {
                item->open_calls -= std::min(item->open_calls, 1U);
                count_result(*item, result, now);
            }
            if (item->forecast) {
                item->forecast->remove(id, now);
                is_engine = true;
            }
        }
        is_first = false;
    }
    if (is_engine) {
        news_.ended.push_back(id.number);
    }
    open_.erase(found);
}

void backend_fleet::on_answer_bytes(const std::string& backend, time_point now) {
    if (auto* item = find(backend)) {
        item->heard = now;
    }
}

void backend_fleet::on_probe_answered(const std::string& backend, time_point now) {
    if (auto* item = find(backend)) {
        item->probe_answered = now;
    }
}

void backend_fleet::on_probe_failed(const std::string& backend, time_point now) {
    if (auto* item = find(backend)) {
        item->probe_failed = now;
    }
}

liveness_evidence backend_fleet::liveness_of(const std::string& backend, time_point now) const {
    const auto found = backends_.find(backend);
    if (found == backends_.end()) {
        return liveness_evidence::none;
    }
    const auto& item = found->second;
    if (now - item.heard < evidence_span) {
        return liveness_evidence::answers_others;
    }
    const auto latest = std::max(item.probe_answered, item.probe_failed);
    if (now - latest >= probe_span) {
        return liveness_evidence::none;
    }
    return item.probe_failed > item.probe_answered && item.probe_failed > item.heard
               ? liveness_evidence::silent
               : liveness_evidence::answers_probes;
}

std::optional<placement_update> backend_fleet::take_update(const std::string& sender,
                                                           bool is_digest) {
    const bool is_empty =
        news_.placed.empty() && news_.answer_started.empty() && news_.ended.empty();
    if (is_empty && !is_digest) {
        return std::nullopt;
    }
    auto news = std::exchange(news_, {});
    news.sender = sender;
    news.origin = origin_;
    news.is_digest = is_digest;
    if (is_digest) {
        const auto again = std::exchange(told_once_, news.placed);
        for (const auto& work : again) {
            const auto job = open_.find(work.number);
            if (job == open_.end()) {
                continue;
            }
            news.placed.push_back(work);
            if (job->second.has_begun) {
                news.answer_started.push_back(work.number);
            }
        }
        std::ranges::copy(open_ | std::views::keys, std::back_inserter(news.active));
    } else {
        std::ranges::copy(news.placed, std::back_inserter(told_once_));
    }
    return news;
}

std::vector<placement_update> backend_fleet::snapshot_updates(const std::string& sender,
                                                              time_point now) {
    std::vector<placement_update> parts;
    for (const auto& [number, open] : open_) {
        if (parts.empty() || parts.back().placed.size() >= max_snapshot_placements) {
            parts.push_back({.sender = sender, .origin = origin_});
        }
        for (const auto& backend : open.backends) {
            auto* item = find(backend);
            if (item == nullptr || !item->forecast) {
                continue;
            }
            item->forecast->advance(now);
            if (const auto* job = item->forecast->find({origin_, number})) {
                parts.back().placed.push_back(remaining_work(*job, backend, now));
            }
        }
        if (open.has_begun) {
            parts.back().answer_started.push_back(number);
        }
    }
    return parts;
}

void backend_fleet::take_job(const placed_work& work, std::uint64_t origin, time_point now) {
    auto* item = find(work.backend);
    auto& known = others_[origin][work.number];
    const bool is_known = std::ranges::find(known, work.backend) != known.end();
    if (item == nullptr || !item->forecast || is_known) {
        return;
    }
    place(*item, job_of(work, origin), now);
    known.push_back(work.backend);
}

void backend_fleet::apply_update(const placement_update& news, time_point now) {
    if (news.origin == origin_) {
        return;
    }
    auto& jobs = others_[news.origin];
    const auto end_job = [&](auto job) {
        for (const auto& backend : job->second) {
            if (auto* item = find(backend); item != nullptr && item->forecast) {
                item->forecast->remove({news.origin, job->first}, now);
            }
        }
        return jobs.erase(job);
    };
    for (const auto& work : news.placed) {
        if (jobs.size() < max_remote_jobs) {
            take_job(work, news.origin, now);
        }
    }
    for (const auto number : news.answer_started) {
        const auto job = jobs.find(number);
        if (job == jobs.end()) {
            continue;
        }
        for (const auto& backend : job->second) {
            if (auto* item = find(backend); item != nullptr && item->forecast) {
                item->forecast->on_event({news.origin, number}, now);
            }
        }
    }
    for (const auto number : news.ended) {
        if (const auto job = jobs.find(number); job != jobs.end()) {
            end_job(job);
        }
    }
    if (news.is_digest) {
        for (auto job = jobs.begin(); job != jobs.end();) {
            const bool is_open = std::ranges::find(news.active, job->first) != news.active.end();
            job = is_open ? std::next(job) : end_job(job);
        }
    }
}

void backend_fleet::remove_origin(std::uint64_t origin) {
    for (auto& item : backends_ | std::views::values) {
        if (item.forecast) {
            item.forecast->remove_origin(origin);
        }
    }
    others_.erase(origin);
}

} // namespace magnolia
