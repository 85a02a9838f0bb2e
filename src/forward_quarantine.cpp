/// Fourth part of forward_call: prompts and requests that crash backend servers.
#include "forward_call.h"
#include "log.h"
#include "request_fingerprint.h"

#include <algorithm>
#include <iterator>

namespace magnolia {

const std::string& forward_call::fingerprint() {
    if (fingerprint_.empty()) {
        fingerprint_ = request_fingerprint(head_.key, request_);
    }
    return fingerprint_;
}

segment_list forward_call::segments() {
    auto segments = head_.prompt.shared;
    segments.push_back(whole_request_segment(fingerprint()));
    return segments;
}

const quarantined_prompt* forward_call::find_block(time_point now) {
    return shared_.quarantine.needs_fingerprints() ? shared_.quarantine.find_block(segments(), now)
                                                   : nullptr;
}

bool forward_call::is_at_risk() const {
    return form_ == answer_form::none ||
           (form_ == answer_form::events && answer_summary_.events == 0);
}

bool forward_call::refuse_if_quarantined() {
    const auto now = steady_now();
    const auto* verdict = find_block(now);
    if (verdict == nullptr) {
        return false;
    }
    const auto segments = join(verdict->segments);
    answer_failure({error_code::prompt_quarantined, segments,
                    std::chrono::duration_cast<milliseconds>(verdict->blocked_until - now)});
    return true;
}

void forward_call::enforce_quarantine() {
    const auto now = steady_now();
    const bool may_crash = call_.value != 0 && is_at_risk();
    if (is_complete_ || !may_crash || find_block(now) == nullptr) {
        return;
    }
    cancel_call();
    end_attempt(attempt_result::cancelled);
    // Answers, as the prompt is blocked.
    next_attempt();
}

void forward_call::report_sound() {
    // Prompts are told apart by their segments; the request as a whole matters under suspicion
    // only.
    const bool is_prompt_enough =
        !head_.prompt.shared.empty() && !shared_.quarantine.needs_fingerprints();
    const auto sound = is_prompt_enough ? head_.prompt.shared : segments();
    if (shared_.quarantine.on_answer_began(sound, steady_now())) {
        shared_.on_quarantine_evidence();
    }
}

void forward_call::report_loss() {
    const auto now = steady_now();
    if (!relay_host_.empty() || !is_at_risk() || !shared_.fleet.is_staying(backend_)) {
        return;
    }
    const prompt_outline suspect{segments(), head_.prompt.own};
    is_resend_barred_ = shared_.quarantine.is_suspect(suspect.shared, process_);
    if (shared_.quarantine.on_answer_lost(process_, suspect, now)) {
        shared_.prober.probe_at_once(process_, address_, now);
    }
    shared_.on_quarantine_evidence();
}

void enforce_quarantine(shared_call_state& shared) {
    std::ranges::for_each(pending_calls(shared),
                          [](const auto& call) { call->enforce_quarantine(); });
}

} // namespace magnolia
