#include "backend_fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Smoothing factors of the moving average of failed attempts, for a failure and for a success.
constexpr double failure_gain = 0.2;
constexpr double success_gain = 0.1;
/// Bytes of any answer within this time show that the backend server processes requests.
constexpr duration answer_window = std::chrono::milliseconds{400};
/// Time for which the result of a probe is valid.
constexpr duration probe_validity = std::chrono::milliseconds{1000};

engine_job to_engine_job(const placed_work& work, std::uint64_t origin) {
    engine_job job;
    job.id = {origin, work.number};
    job.prefill = {work.prefill_tokens, work.first_attention_span, work.attention_span_increment};
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

} // namespace

backend_fleet::backend_fleet(std::string zone, std::uint64_t origin, placement_policy policy)
    : zone_{std::move(zone)}, topology_{zone_}, origin_{origin}, placement_{make_placement(policy)},
      random_{origin} {}

void backend_fleet::set_services(const std::vector<routed_service>& services) {
    profiles_.clear();
    for (const auto& service : services) {
        if (service.engine) {
            profiles_.emplace(service.name, *service.engine);
        }
    }
    std::ranges::for_each(backends_ | std::views::values,
                          [this](auto& record) { apply_profile(record); });
    on_list_changed();
}

void backend_fleet::apply_profile(backend_record& record) {
    const auto found = profiles_.find(record.info.service);
    if (found == profiles_.end()) {
        record.forecast.reset();
    } else if (record.forecast) {
        record.forecast->set_profile(found->second);
    } else {
        record.forecast.emplace(found->second);
    }
}

void backend_fleet::replace_all(const std::vector<backend_info>& backends, duration grace,
                                time_point now) {
    std::set<std::string_view> listed;
    for (const auto& backend : backends) {
        listed.insert(backend.id);
        put(backend);
    }
    for (auto& [id, record] : backends_) {
        if (!listed.contains(id) && !record.removal_due) {
            record.removal_due = now + grace;
        }
    }
    on_list_changed();
    remove_expired(now);
}

void backend_fleet::put(const backend_info& backend) {
    auto found = backends_.find(backend.id);
    const bool is_restarted =
        found != backends_.end() && (found->second.info.started_ms != backend.started_ms ||
                                     found->second.info.address != backend.address ||
                                     found->second.info.service != backend.service);
    if (is_restarted) {
        backends_.erase(found);
        found = backends_.end();
    }
    if (found == backends_.end()) {
        found = backends_.emplace(backend.id, backend_record{}).first;
    }
    auto& record = found->second;
    record.info = backend;
    record.removal_due.reset();
    apply_profile(record);
    on_list_changed();
}

void backend_fleet::remove(const std::string& id, duration grace, time_point now) {
    if (auto* record = find(id); record != nullptr && !record->removal_due) {
        record->removal_due = now + grace;
        on_list_changed();
    }
    remove_expired(now);
}

void backend_fleet::on_list_changed() {
    list_hash_.reset();
    is_topology_current_ = false;
    are_shares_current_ = false;
}

const exchange_topology& backend_fleet::topology() {
    if (!is_topology_current_) {
        std::vector<located_name> engines;
        for (const auto& [id, record] : backends_) {
            if (record.forecast && !record.removal_due) {
                engines.push_back({id, record.info.zone});
            }
        }
        topology_.update(host_, hosts_, engines);
        is_topology_current_ = true;
    }
    return topology_;
}

void backend_fleet::set_gone(const std::string& id) {
    if (auto* record = find(id)) {
        record->is_gone = true;
    }
}

void backend_fleet::on_helper_failure(const std::string& id, time_point now) {
    if (auto* record = find(id)) {
        record_result(*record, attempt_result::lost, now);
    }
}

void backend_fleet::remove_expired(time_point now) {
    std::erase_if(backends_, [now](const auto& entry) {
        return entry.second.removal_due && *entry.second.removal_due <= now;
    });
}

backend_fleet::backend_record* backend_fleet::find(const std::string& id) {
    const auto found = backends_.find(id);
    return found == backends_.end() ? nullptr : &found->second;
}

backend_fleet::backend_record* backend_fleet::find(const backend_process& process) {
    auto* record = find(process.id);
    return record != nullptr && record->info.started_ms == process.started_ms ? record : nullptr;
}

bool backend_fleet::is_usable(const backend_record& record, time_point now) const {
    const bool is_listed = !record.removal_due || *record.removal_due > now;
    return is_listed && !record.info.is_leaving && !record.is_gone &&
           !evacuation_.is_evacuated(record.info.zone, now);
}

bool backend_fleet::has_live(std::string_view service, time_point now) {
    return std::ranges::any_of(backends_ | std::views::values, [&](const auto& record) {
        return record.info.service == service && is_usable(record, now) &&
               record.terms.is_open(now);
    });
}

bool backend_fleet::is_still_admitted(const chosen_backends& chosen, time_point now) const {
    return is_allowed(chosen.members, now) &&
           std::ranges::none_of(chosen.members,
                                [&](const auto& member) { return is_resting(member.id, now); });
}

bool backend_fleet::is_allowed(std::span<const chosen_member> members, time_point now) const {
    return std::ranges::none_of(
        members, [&](const auto& member) { return evacuation_.is_evacuated(member.zone, now); });
}

bool backend_fleet::has_zone(std::string_view zone) const {
    return std::ranges::any_of(backends_ | std::views::values,
                               [zone](const auto& record) { return record.info.zone == zone; });
}

bool backend_fleet::is_evacuated(const std::string& backend, time_point now) const {
    const auto found = backends_.find(backend);
    return found != backends_.end() && evacuation_.is_evacuated(found->second.info.zone, now);
}

std::vector<chosen_member> backend_fleet::live_backends(std::string_view service,
                                                        time_point now) const {
    std::vector<chosen_member> live;
    for (const auto& [id, record] : backends_) {
        if (record.info.service == service && is_usable(record, now) && !record.terms.rests(now)) {
            live.push_back({id, record.info.address, 0, record.info.zone});
        }
    }
    return live;
}

std::string backend_fleet::service_of(const std::string& id) const {
    const auto found = backends_.find(id);
    return found == backends_.end() ? std::string{} : found->second.info.service;
}

std::set<std::string> backend_fleet::services() const {
    std::set<std::string> services;
    for (const auto& record : backends_ | std::views::values) {
        services.insert(record.info.service);
    }
    return services;
}

void backend_fleet::reset_health(std::string_view service) {
    for (auto& record : backends_ | std::views::values) {
        if (record.info.service == service) {
            record.circuit = {};
            record.failure_rate = 0;
        }
    }
}

backend_process backend_fleet::process_of(const std::string& id) const {
    const auto found = backends_.find(id);
    return {id, found == backends_.end() ? 0 : found->second.info.started_ms};
}

bool backend_fleet::is_engine(const std::string& id) const {
    const auto found = backends_.find(id);
    return found != backends_.end() && found->second.forecast;
}

bool backend_fleet::is_staying(const std::string& id) const {
    const auto found = backends_.find(id);
    return found != backends_.end() && !found->second.info.is_leaving && !found->second.is_gone &&
           !found->second.removal_due;
}

std::size_t backend_fleet::live_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(backends_ | std::views::values, [](const auto& record) {
            return !record.info.is_leaving && !record.is_gone;
        }));
}

std::uint64_t backend_fleet::list_hash() const {
    if (list_hash_) {
        return *list_hash_;
    }
    std::uint64_t hash = 0;
    for (const auto& [id, record] : backends_) {
        if (record.removal_due) {
            continue;
        }
        const auto text = id + (record.info.is_leaving ? "-" : "+") +
                          std::to_string(record.info.started_ms) + record.info.address.address +
                          ":" + std::to_string(record.info.address.port) + record.info.service;
        hash ^= XXH3_64bits(text.data(), text.size());
    }
    list_hash_ = hash;
    return hash;
}

job_id backend_fleet::start(const chosen_backends& chosen, const job_demand& demand,
                            time_point now) {
    const job_id id{origin_, next_job_number_++};
    auto& job = open_jobs_[id.number];
    const bool has_reservations = std::ranges::any_of(
        chosen.members, [](const auto& member) { return member.reserved_tokens > 0; });
    for (std::size_t index = 0; index < chosen.members.size(); ++index) {
        const auto& member = chosen.members[index];
        auto* record = find(member.id);
        if (record == nullptr) {
            continue;
        }
        job.backends.push_back(member.id);
        record->terms.on_sent(now);
        const bool is_decoder = index == 0;
        if (is_decoder) {
            ++record->open_calls;
            record->circuit.on_sent(now);
        }
        if (!record->forecast) {
            continue;
        }
        const auto request_tokens = demand.prompt_tokens + demand.answer_tokens;
        const auto memory =
            has_reservations ? member.reserved_tokens : (is_decoder ? request_tokens : 0);
        const placed_work work{
            .backend = member.id,
            .number = id.number,
            .prefill_tokens = chosen.share.tokens,
            .first_attention_span = chosen.share.first_attention_span,
            .attention_span_increment = chosen.share.attention_span_increment,
            .memory_tokens = memory,
            .context_tokens = memory,
            .answer_tokens = demand.answer_tokens,
            .is_helper = !is_decoder,
            .has_helpers = chosen.members.size() > 1,
            .target_latency = demand.is_late
                                  ? milliseconds{0}
                                  : std::chrono::duration_cast<milliseconds>(demand.target_latency),
            .target_pause = demand.is_late
                                ? milliseconds{0}
                                : std::chrono::duration_cast<milliseconds>(demand.target_pause),
            .time_limit = std::chrono::duration_cast<milliseconds>(demand.time_limit),
            .value = demand.value};
        add_job(*record, work, origin_, now);
        const bool is_long = work.has_helpers || work.is_helper ||
                             engine_partition::is_long(record->forecast->profile(), chosen.share);
        auto audience = topology().audience_of(member.id, is_long);
        outbox_.on_placed(work, audience);
        job.audiences.insert(std::move(audience));
    }
    return id;
}

void backend_fleet::add_job(backend_record& record, const placed_work& work, std::uint64_t origin,
                            time_point now) {
    const auto job = to_engine_job(work, origin);
    record.forecast->add(job, now);
    auto& partition = partitions_[record.info.service];
    partition.set_short_prompt_scale(topology().domain_to_cell_ratio());
    partition.record_job(record.forecast->profile(), job, now);
}

void backend_fleet::on_event(job_id id, bool is_first, time_point now) {
    const auto found = open_jobs_.find(id.number);
    if (found == open_jobs_.end()) {
        return;
    }
    bool is_engine = false;
    for (const auto& backend : found->second.backends) {
        if (auto* record = find(backend); record != nullptr && record->forecast) {
            record->forecast->on_event(id, now);
            is_engine = true;
        }
        if (!is_first) {
            break; // Helpers finished their prefill before the first event.
        }
    }
    if (is_engine && is_first) {
        found->second.has_first_event = true;
        outbox_.on_answer_started(id.number, found->second.audiences);
    }
}

std::string_view to_string(attempt_result result) {
    switch (result) {
    case attempt_result::done:
        return "done";
    case attempt_result::refused:
        return "refused";
    case attempt_result::failed:
        return "failed";
    case attempt_result::lost:
        return "lost";
    case attempt_result::cancelled:
        return "cancelled";
    }
    return "invalid";
}

void backend_fleet::on_late(job_id id) {
    const auto found = open_jobs_.find(id.number);
    if (found == open_jobs_.end()) {
        return;
    }
    for (const auto& backend : found->second.backends) {
        if (auto* record = find(backend); record != nullptr && record->forecast) {
            record->forecast->mark_late(id);
        }
    }
}

void backend_fleet::record_result(backend_record& record, attempt_result result, time_point now) {
    switch (result) {
    case attempt_result::done:
        record.circuit.on_success();
        record.terms.on_answered();
        record.failure_rate *= 1 - success_gain;
        return;
    case attempt_result::lost:
        record.circuit.on_failure(now);
        [[fallthrough]];
    case attempt_result::failed:
        record.failure_rate += failure_gain * (1 - record.failure_rate);
        return;
    case attempt_result::refused:
    case attempt_result::cancelled:
        return;
    }
}

void backend_fleet::on_ended(job_id id, attempt_result result, time_point now) {
    const auto found = open_jobs_.find(id.number);
    if (found == open_jobs_.end()) {
        return;
    }
    bool is_first = true;
    for (const auto& backend : found->second.backends) {
        if (auto* record = find(backend)) {
            if (is_first) {
                record->open_calls -= std::min(record->open_calls, 1U);
                record_result(*record, result, now);
            }
            if (record->forecast) {
                record->forecast->remove(id, now);
            }
        }
        is_first = false;
    }
    outbox_.on_ended(id.number, found->second.audiences);
    open_jobs_.erase(found);
}

void backend_fleet::on_rest_asked(const backend_process& process, duration span, time_point now) {
    if (auto* record = find(process)) {
        record->terms.ask_for_rest(span, now, random_);
    }
}

bool backend_fleet::is_resting(const std::string& backend, time_point now) const {
    const auto found = backends_.find(backend);
    return found != backends_.end() && found->second.terms.rests(now);
}

void backend_fleet::set_hosts(const std::string& own, std::vector<located_name> hosts,
                              time_point now) {
    if (hosts_ == hosts) {
        return;
    }
    host_ = own;
    hosts_ = std::move(hosts);
    is_topology_current_ = false;
    are_shares_current_ = false;
    refresh_shares(now);
}

void backend_fleet::on_answer_bytes(const std::string& backend, time_point now) {
    if (auto* record = find(backend)) {
        record->last_answer = now;
    }
}

bool backend_fleet::on_probe_answered(const backend_process& process, const probe_answer& answer,
                                      time_point now) {
    const bool is_other_start =
        process.started_ms != 0 && answer.started_ms && *answer.started_ms != process.started_ms;
    auto* record = find(process);
    if (answer.is_other_backend || is_other_start) {
        if (record != nullptr) {
            record->is_gone = true;
        }
        return false;
    }
    if (record != nullptr) {
        record->last_probe_success = now;
    }
    return true;
}

void backend_fleet::on_probe_failed(const backend_process& process, time_point now) {
    if (auto* record = find(process)) {
        record->last_probe_failure = now;
    }
}

liveness_evidence backend_fleet::liveness_of(const backend_process& process, time_point now) const {
    const auto found = backends_.find(process.id);
    if (found == backends_.end()) {
        return liveness_evidence::none;
    }
    const auto& record = found->second;
    if (record.is_gone || record.info.started_ms != process.started_ms) {
        return liveness_evidence::replaced;
    }
    if (now - record.last_answer < answer_window) {
        return liveness_evidence::answers_others;
    }
    const auto latest = std::max(record.last_probe_success, record.last_probe_failure);
    if (now - latest >= probe_validity) {
        return liveness_evidence::none;
    }
    return record.last_probe_failure > record.last_probe_success &&
                   record.last_probe_failure > record.last_answer
               ? liveness_evidence::silent
               : liveness_evidence::answers_probes;
}

} // namespace magnolia
