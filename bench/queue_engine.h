/// Model of one engine for the queueing simulation in route_experiment.cpp: continuous batching
/// with chunked prefill, jobs ordered by urgency and arrival.
#pragma once

#include "engine_port.h"

#include <algorithm>
#include <cstdint>
#include <list>
#include <vector>

namespace magnolia::bench {

// Cost model of the simulated engines.
inline constexpr double prefill_tokens_per_second = 12'000;
/// Prompt length at which attention doubles the prefill time.
inline constexpr double attention_doubling_tokens = 500'000;
/// Largest part of a prompt that one step prefills.
inline constexpr std::uint32_t chunk_tokens = 300;
/// Duration of a decoding step without sequences, and the time that each sequence adds.
inline constexpr double decode_step_seconds = 0.025;
inline constexpr double decode_per_sequence_seconds = 0.0001;
inline constexpr std::uint32_t engine_memory_tokens = 450'000;
inline constexpr std::uint32_t engine_cache_tokens = 120'000;
inline constexpr std::size_t max_running_jobs = 64;

/// Returns the time to prefill the first `tokens` tokens of a prompt, s.
[[nodiscard]] inline double prefill_seconds_until(double tokens) {
    return tokens / prefill_tokens_per_second * (1 + tokens / attention_doubling_tokens);
}

/// Work of one request at an engine.
struct queue_job {
    std::size_t request = 0;
    urgency_level urgency = urgency_level::standard;
    /// Arrival order at the engine, set by queue_engine::add().
    std::uint64_t arrival = 0;
    /// Range of prompt tokens still to prefill.
    std::uint32_t next_prefill = 0;
    std::uint32_t end_prefill = 0;
    /// Answer tokens still to generate.
    std::uint32_t remaining_tokens = 0;
    /// KV memory that the job occupies; 0 if the request has reserved it before.
    std::uint32_t memory_tokens = 0;
    /// ID of the shared prefix of the prompt, 0 for none, and its length.
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    /// Whether the job computes a share of the prefill for another engine of a group.
    bool is_part = false;
    bool is_running = false;

    [[nodiscard]] bool is_prefilling() const { return next_prefill < end_prefill; }
};

/// Requests whose state changed in a step.
struct step_result {
    std::vector<std::size_t> first_tokens;
    std::vector<std::size_t> finished;
    /// Requests whose share of the prefill on this engine is complete.
    std::vector<std::size_t> prefill_shares;
};

/// One simulated engine. The experiment's event loop owns it, starts its steps and ends them at the
/// simulated time. Not thread-safe.
class queue_engine {
public:
    /// Queues a job behind the jobs of the same or a higher priority.
    void add(queue_job job) {
        job.arrival = ++arrivals_;
        const auto position = std::ranges::find_if(
            jobs_, [&job](const queue_job& other) { return other.urgency > job.urgency; });
        jobs_.insert(position, job);
    }

    /// Removes all jobs of a request.
    void remove(std::size_t request) {
        std::erase_if(jobs_, [request](const queue_job& job) { return job.request == request; });
    }

    /// Starts waiting jobs in order of urgency and arrival while memory and slots are free. Returns
    /// the requests of the started jobs with the prompt tokens found in the prefix cache.
    std::vector<std::pair<std::size_t, std::uint32_t>> admit() {
        std::vector<std::pair<std::size_t, std::uint32_t>> started;
        std::uint64_t used = reserved_tokens;
        std::size_t running = 0;
        for (const auto& job : jobs_) {
            used += job.is_running ? job.memory_tokens : 0;
            running += job.is_running ? 1 : 0;
        }
        for (auto& job : jobs_) {
            if (job.is_running) {
                continue;
            }
            if (used + job.memory_tokens > engine_memory_tokens || running >= max_running_jobs) {
                break;
            }
            job.is_running = true;
            used += job.memory_tokens;
            ++running;
            const auto cached = job.is_part ? 0 : cached_tokens(job.prefix, job.prefix_tokens);
            job.next_prefill += cached;
            started.emplace_back(job.request, cached);
        }
        return started;
    }

    /// Begins the next step and returns its duration, s; 0 if no job is running.
    double begin_step() {
        double prefill = 0;
        std::size_t decoding = 0;
        prefilling_job_ = nullptr;
        for (auto& job : jobs_) {
            if (!job.is_running) {
                continue;
            }
            if (!job.is_prefilling()) {
                ++decoding;
                job.in_step = true;
            } else if (prefilling_job_ == nullptr) {
                prefilling_job_ = &job;
                chunk_size_ = std::min(chunk_tokens, job.end_prefill - job.next_prefill);
                prefill = prefill_seconds_until(job.next_prefill + chunk_size_) -
                          prefill_seconds_until(job.next_prefill);
            }
        }
        const double decode =
            decoding == 0
                ? 0
                : decode_step_seconds + decode_per_sequence_seconds * static_cast<double>(decoding);
        is_stepping = prefilling_job_ != nullptr || decoding > 0;
        return is_stepping ? std::max(prefill, decode) : 0;
    }

    /// Ends the step that begin_step() began and removes the jobs that finished.
    step_result end_step();

    /// Returns the load report of the engine, without a delay.
    [[nodiscard]] engine_load load() const {
        engine_load value;
        std::uint64_t used = reserved_tokens;
        for (const auto& job : jobs_) {
            value.running_requests += job.is_running ? 1 : 0;
            value.waiting_requests += job.is_running ? 0 : 1;
            value.pending_prefill_tokens += job.end_prefill - job.next_prefill;
            used += job.is_running ? job.memory_tokens : 0;
        }
        value.free_memory_tokens = static_cast<std::uint32_t>(
            engine_memory_tokens - std::min<std::uint64_t>(used, engine_memory_tokens));
        return value;
    }

    /// Returns the actual remaining prefill time of the jobs of this or a higher priority, s.
    [[nodiscard]] double prefill_backlog_seconds(urgency_level urgency) const {
        double sum = 0;
        for (const auto& job : jobs_) {
            if (job.urgency <= urgency) {
                sum += prefill_seconds_until(job.end_prefill) -
                       prefill_seconds_until(job.next_prefill);
            }
        }
        return sum;
    }

    /// KV memory that groups have reserved.
    std::uint32_t reserved_tokens = 0;
    bool is_stepping = false;

private:
    /// A job with its state in the current step.
    struct scheduled_job : queue_job {
        // NOLINTNEXTLINE(google-explicit-constructor)
        scheduled_job(const queue_job& job) : queue_job{job} {}
        bool in_step = false;
    };
    struct cached_prefix {
        std::uint64_t prefix = 0;
        std::uint32_t tokens = 0;
    };

    /// Returns the cached part of a prefix and marks the entry as most recently used.
    std::uint32_t cached_tokens(std::uint64_t prefix, std::uint32_t tokens) {
        const auto found = std::ranges::find(cache_, prefix, &cached_prefix::prefix);
        if (prefix == 0 || found == cache_.end()) {
            return 0;
        }
        cache_.splice(cache_.begin(), cache_, found);
        return std::min(found->tokens, tokens);
    }

    /// Adds the job's prefix to the LRU cache and evicts entries beyond its capacity.
    void cache_prefix(const queue_job& job) {
        if (job.prefix == 0) {
            return;
        }
        std::erase_if(cache_, [&job](const auto& item) { return item.prefix == job.prefix; });
        cache_.push_front({job.prefix, job.prefix_tokens});
        std::uint64_t sum = 0;
        for (auto item = cache_.begin(); item != cache_.end();) {
            sum += item->tokens;
            item = sum > engine_cache_tokens ? cache_.erase(item) : std::next(item);
        }
    }

    std::list<scheduled_job> jobs_;
    /// Most recently used first.
    std::list<cached_prefix> cache_;
    scheduled_job* prefilling_job_ = nullptr;
    std::uint32_t chunk_size_ = 0;
    std::uint64_t arrivals_ = 0;
};

inline step_result queue_engine::end_step() {
    step_result result;
    is_stepping = false;
    for (auto& job : jobs_) {
        const bool was_prefilled = &job == prefilling_job_;
        if (was_prefilled) {
            job.next_prefill += chunk_size_;
            if (job.is_prefilling()) {
                continue;
            }
            if (job.is_part) {
                result.prefill_shares.push_back(job.request);
                continue;
            }
            cache_prefix(job);
            result.first_tokens.push_back(job.request);
        }
        if ((was_prefilled || job.in_step) && --job.remaining_tokens == 0) {
            result.finished.push_back(job.request);
        }
        job.in_step = false;
    }
    prefilling_job_ = nullptr;
    for (const auto request : result.prefill_shares) {
        remove(request);
    }
    for (const auto request : result.finished) {
        remove(request);
    }
    return result;
}

} // namespace magnolia::bench
