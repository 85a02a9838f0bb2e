/// Finds prompt segments that crash backend servers ("queries of death") and blocks the requests
/// that have them, at all gateways. Does no I/O; the time is passed in.
#pragma once

#include "forward_types.h"
#include "recent_times.h"

#include <magnolia/config.h>
#include <magnolia/schema.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia {

/// Ids of segments. The request as a whole counts as one more segment, which only its repetitions
/// have; see whole_request_segment().
using segment_list = std::vector<std::string>;

/// Id of the segment that a request as a whole is; ids of prompt segments have no colon.
[[nodiscard]] std::string whole_request_segment(std::string_view fingerprint);

/// A combination of segments under which backend servers crashed.
struct quarantined_prompt {
    /// Sorted and not empty. A request that has all of them is blocked.
    segment_list segments;
    time_point last_crash{};
    time_point blocked_at{};
    time_point blocked_until{};
    /// How often it was blocked anew after the end of an earlier block.
    std::uint32_t repetitions = 0;
    /// Backend servers that crashed, the last ones; sorted.
    std::vector<std::string> backends;
    /// Gateways that reported these crashes; sorted.
    std::vector<std::string> reporters;
    /// The report that completed the evidence was made by this gateway.
    bool is_own_verdict = false;
};

/// A change that on-call engineers should see.
struct quarantine_change {
    enum class kind : std::uint8_t {
        /// Requests with the combination are blocked from now on.
        blocked,
        /// A segment was taken out of the combination, as an answer to it began.
        narrowed,
        /// Requests pass again: an answer began, or an operator lifted the block.
        released,
        /// Too many combinations are blocked already.
        table_full,
    };
    kind what = kind::blocked;
    quarantined_prompt prompt;
};

/// Evidence and verdicts of one gateway. Owned by the gateway and shared by its calls. Not
/// thread-safe.
///
/// A request is at risk if its answer broke off before its first event. If the backend server then
/// refuses connections, it has crashed. A segment that was at risk in `crashes` crashes, in as many
/// different prompts, without an answer that began since is blocked, together with the segments
/// that were at risk beside it each time: those cannot be told apart until an answer to one of them
/// begins. A combination of segments to which answers had begun before takes twice as many. One
/// that has a whole request needs no different prompts: it blocks the repetitions of that request
/// only.
class prompt_quarantine {
public:
    /// @param host  name of this gateway, for its reports.
    /// @param seed  seed of the random delays.
    prompt_quarantine(std::string host, std::uint64_t seed, const quarantine_settings& settings);

    void set_settings(const quarantine_settings& settings) { settings_ = settings; }

    // Evidence of this gateway's own requests.
    /// An answer broke off before its first event. Returns whether to check by a probe if the
    /// backend server has crashed.
    bool on_answer_lost(const backend_process& backend, const prompt_outline& prompt,
                        time_point now);
    /// The backend server refuses connections.
    void on_connection_refused(const backend_process& backend, time_point now);
    /// The first event of an answer arrived. Returns whether that is news about a segment.
    bool on_answer_began(const segment_list& segments, time_point now);

    // Decisions.
    /// Whether there is evidence or a verdict, for which the fingerprints of requests are needed.
    [[nodiscard]] bool needs_fingerprints() const {
        return !crashes_.empty() || !unconfirmed_.empty() || !verdicts_.empty();
    }
    /// The combination that blocks requests with these segments; null if they pass.
    [[nodiscard]] const quarantined_prompt* find_block(const segment_list& segments,
                                                       time_point now) const;
    /// Whether one of the segments was at risk in an unexplained crash of another backend server
    /// than this one and has not been cleared since. Such a request must not be sent again after it
    /// was lost.
    [[nodiscard]] bool is_suspect(const segment_list& segments,
                                  const backend_process& backend) const;

    /// Reaches the verdicts for which evidence has arrived; see next_due().
    void poll(time_point now);

    // Exchange between gateways.
    /// Number of other gateways; spreads their reports on the same event.
    void set_peer_count(std::size_t count) { peer_count_ = count; }
    /// Takes what the other gateways have to be told now. With `is_digest` it repeats what was sent
    /// since the last digest. Each update fits in a datagram.
    [[nodiscard]] std::vector<quarantine_update> take_updates(time_point now, bool is_digest);
    /// Time at which to call poll() and take_updates(); time_point::max() if there is nothing.
    [[nodiscard]] time_point next_due() const;
    void apply_update(const quarantine_update& update, time_point now);
    /// All crashes and verdicts, for a gateway that has just started or lacks some.
    [[nodiscard]] std::vector<quarantine_update> snapshot(time_point now) const;
    /// Hash of the verdicts; gateways with the same verdicts compute the same hash.
    [[nodiscard]] std::uint64_t hash() const;

    // Durable verdicts.
    [[nodiscard]] const std::vector<quarantined_prompt>& verdicts() const { return verdicts_; }
    /// Adds a verdict of another gateway or of the store, unless this gateway knows better.
    void adopt(quarantined_prompt verdict, time_point now);
    /// An operator decided that the combination passes.
    void lift(const segment_list& segments, time_point now);
    /// Forgets evidence and verdicts that are too old.
    void expire(time_point now);

    /// Takes the changes since the last call.
    [[nodiscard]] std::vector<quarantine_change> take_changes();

private:
    /// Answers of this gateway that broke off; it is not known if their backend server crashed.
    struct unconfirmed_loss {
        time_point first_at{};
        std::vector<prompt_outline> prompts;
    };
    struct crash {
        backend_process backend;
        time_point at{};
        /// Prompts whose answers broke off, with sorted segments.
        std::vector<prompt_outline> prompts;
        std::set<std::string> reporters;
        /// Gateway that reported it first.
        std::string first_reporter;
        /// Has to be reported, or repeated with the next digest.
        bool is_due = false;
        bool is_repeat_due = false;
    };
    struct clearance {
        /// Last answer known to have begun; it may be older than the crashes.
        time_point at{};
        /// Time to report it; time_point::max() if another gateway has.
        time_point due = time_point::max();
        bool is_repeat_due = false;
    };
    /// A prompt at risk in a crash.
    struct exhibit {
        const crash* record = nullptr;
        const prompt_outline* prompt = nullptr;
    };
    /// Prompts at risk with each segment, in the order of the crashes: without crashes before it
    /// was cleared, and without those that another segment explains.
    using evidence_table = std::map<std::string, std::vector<exhibit>, std::less<>>;
    struct prompts_of_crash {
        const crash* record = nullptr;
        std::vector<const prompt_outline*> prompts;
    };
    /// Number of crashes in which a prompt with the segment was at risk.
    using crash_counts = std::unordered_map<std::string_view, std::size_t>;

    /// Adds prompts to the crash of a backend server.
    void add_crash(const backend_process& backend, const std::vector<prompt_outline>& prompts,
                   const std::string& reporter, time_point at);
    /// Reports the crash if answers of this gateway broke off there.
    void confirm_losses(const backend_process& backend, time_point now);
    /// Whether the crash is due to a verdict's combination.
    [[nodiscard]] const quarantined_prompt* explanation_of(const crash& record) const;
    /// Evidence against all segments; computed again after a change.
    [[nodiscard]] const evidence_table& evidence() const;
    [[nodiscard]] evidence_table collect_evidence() const;
    /// Must be called after each change of crashes or verdicts.
    void on_evidence_changed() { evidence_.reset(); }
    /// Blocks combinations with enough evidence, and those that crash again after their block.
    void judge(time_point now);
    void judge_repetitions(time_point now);
    /// Number of crashes apart and of different prompts among the exhibits of the combination,
    /// whichever is less; 0 if all crashes are explained. All crashes of a whole request count.
    [[nodiscard]] std::size_t weight_of(const segment_list& combination,
                                        const std::vector<exhibit>& exhibits) const;
    [[nodiscard]] static std::vector<prompts_of_crash>
    group_by_crash(const std::vector<exhibit>& exhibits);
    [[nodiscard]] crash_counts count_crashes() const;
    /// The largest combination with the segment that was at risk as a whole in each of the crashes.
    /// Of the other segments only those at risk in as many crashes are tried.
    [[nodiscard]] segment_list most_specific(const std::string& segment,
                                             const std::vector<exhibit>& exhibits,
                                             const crash_counts& counts) const;
    /// The combination with the most evidence, if that suffices.
    [[nodiscard]] std::optional<quarantined_prompt> find_culprit() const;
    /// Blocks requests with the combination from now on.
    void block(quarantined_prompt verdict, time_point now);
    /// Takes the crashes before this time from the evidence against the segment.
    void on_cleared(const std::string& segment, time_point at);
    /// The segment does not crash backend servers, as an answer that began at this time shows.
    void clear(const std::string& segment, time_point at);
    [[nodiscard]] bool was_cleared_after(const std::string& segment, time_point at) const;
    /// Tells the others which segments at risk in the crash were known to be sound before.
    void report_sound_segments(const crash& record, time_point now);
    /// Sends the time of the last answer later, unless another gateway does so first.
    void schedule_clearance(const std::string& segment, time_point now);
    [[nodiscard]] recent_times& sound_times(const std::string& segment);
    /// Number of crashes that prove that the combination causes them.
    [[nodiscard]] std::size_t required_crashes(const segment_list& combination) const;
    /// Whether a clearance of the segment would change any belief.
    [[nodiscard]] bool is_tracked(const std::string& segment) const;
    [[nodiscard]] duration block_time(std::uint32_t repetitions) const;

    std::string host_;
    std::mt19937_64 random_;
    quarantine_settings settings_;
    std::size_t peer_count_ = 0;
    std::map<backend_process, unconfirmed_loss> unconfirmed_;
    /// Ordered by arrival.
    std::vector<crash> crashes_;
    std::map<std::string, clearance, std::less<>> clearances_;
    /// Last answer that began at this gateway, by segment of a prompt and by whole request.
    recent_times sound_prompts_{config::max_sound_segments};
    recent_times sound_requests_{config::max_sound_segments};
    std::vector<quarantined_prompt> verdicts_;
    /// Time to judge: reports on the same crash have arrived from the other gateways by then.
    time_point judge_due_ = time_point::max();
    /// Cache of evidence(); refers to `crashes_`.
    mutable std::optional<evidence_table> evidence_;
    /// Combinations whose verdict has to be sent, or repeated with the next digest.
    std::set<segment_list> due_verdicts_;
    std::set<segment_list> repeated_verdicts_;
    std::vector<quarantine_change> changes_;
};

} // namespace magnolia
