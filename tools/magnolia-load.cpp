/// Load generator: runs an experiment against the entries and writes its report.
#include "answer_reader.h"
#include "engine_model.h"
#include "http_client.h"
#include "io_thread.h"
#include "load_plan.h"
#include "load_report.h"
#include "process.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <future>
#include <iostream>

namespace {

using namespace magnolia;

/// Size of each token that the fake engines generate, in bytes.
constexpr std::size_t answer_token_bytes = 4;
/// Time after the deadline of a call that is allowed for the entry's final response to arrive.
constexpr std::chrono::milliseconds answer_grace{2000};

/// A completion call in progress.
struct pending_call {
    planned_call plan;
    time_point planned_at{};
    std::string prompt;
    answer_reader reader{answer_token_bytes};
    unsigned status = 0;
    std::string error_body;
};

using order_response = tl::expected<http_response, http_failure>;

/// Type and outcome in the body of an error response.
struct error_reply {
    std::string type = "malformed";
    std::string outcome_name = "unknown";
};

error_reply parse_error_reply(const std::string& body) {
    constexpr bool no_exceptions = false;
    const auto document = nlohmann::json::parse(body, nullptr, no_exceptions);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        return {};
    }
    const auto& found = document["error"];
    return {found.value("type", "malformed"), found.value("outcome", "unknown")};
}

/// Verdict on a call that ended with an error, from the outcome that the entry reported.
call_verdict verdict_for_outcome(std::string_view outcome_name) {
    if (outcome_name == to_string(outcome::not_run)) {
        return call_verdict::refused;
    }
    return outcome_name == to_string(outcome::failed) ? call_verdict::failed
                                                      : call_verdict::unknown;
}

/// Sets the verdict of a call whose stream has ended: compares the text with the one that the fake
/// engines generate for the prompt.
void classify_stream(const pending_call& call, const load_class& class_settings, stream_fault fault,
                     call_sample& sample) {
    if (!call.reader.error_type().empty()) {
        sample.verdict = verdict_for_outcome(call.reader.outcome_name());
        sample.reason = call.reader.error_type();
        return;
    }
    const auto expected = fakes::answer_text(call.prompt, 0, class_settings.generated_tokens);
    const bool is_expected_text = call.reader.text() == expected;
    if (fault == stream_fault::none && is_expected_text) {
        sample.verdict = call_verdict::whole;
        return;
    }
    sample.verdict = call_verdict::wrong;
    sample.reason = fault == stream_fault::none ? "other_text" : std::string{to_string(fault)};
}

/// Sets the longest time between two arrivals of text and the mean time per token.
void measure_gaps(const std::vector<time_point>& arrivals, std::uint32_t tokens,
                  call_sample& sample) {
    for (std::size_t index = 1; index < arrivals.size(); ++index) {
        sample.longest_gap = std::max(sample.longest_gap, arrivals[index] - arrivals[index - 1]);
    }
    if (arrivals.size() > 1 && tokens > 1) {
        sample.mean_gap = (arrivals.back() - arrivals.front()) / (tokens - 1);
    }
}

/// Sends the calls of a plan at their arrival times, regardless of when earlier calls end (open
/// loop), on an I/O thread of its own.
class load_driver {
public:
    /// @param run_name  unique per run; prefix of its idempotency keys.
    load_driver(const experiment_settings& settings, std::vector<planned_call> plan,
                std::string run_name)
        : settings_{settings}, plan_{std::move(plan)}, run_name_{std::move(run_name)} {
        samples_.reserve(plan_.size());
    }

    /// Runs the plan; blocks until the last call has ended, the drain time has passed after the
    /// last arrival, or the process is stopping. Returns the samples of the calls that have ended
    /// or were not sent.
    std::vector<call_sample> run(const process& running) {
        io_thread_.start();
        boost::asio::post(io_thread_.context(), [this] {
            started_ = steady_now();
            send_due();
        });
        auto finished = finished_.get_future();
        constexpr std::chrono::milliseconds poll{200};
        while (finished.wait_for(poll) != std::future_status::ready && !running.is_stopping()) {
        }
        io_thread_.stop();
        return std::move(samples_);
    }

private:
    /// Sends all calls whose arrival time has passed, then waits for the next one.
    void send_due() {
        while (next_call_ < plan_.size() && started_ + plan_[next_call_].arrival <= steady_now()) {
            send(plan_[next_call_++]);
        }
        if (next_call_ == plan_.size()) {
            start_drain();
            return;
        }
        const auto wait = started_ + plan_[next_call_].arrival - steady_now();
        timer_.expires_after(std::max(wait, duration{0}));
        timer_.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                send_due();
            }
        });
    }

    /// Waits for the calls in progress, at most for the drain time of the settings.
    void start_drain() {
        timer_.expires_after(settings_.drain);
        timer_.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                finish();
            }
        });
        finish_if_drained();
    }

    void finish_if_drained() {
        if (next_call_ == plan_.size() && open_calls_ == 0) {
            finish();
        }
    }

    void finish() {
        if (!std::exchange(is_finished_, true)) {
            finished_.set_value();
        }
    }

    http_request make_request(const planned_call& plan, std::string target,
                              std::string body) const {
        const auto& class_settings = settings_.classes[plan.length_class];
        const auto& workspace = settings_.workspaces[plan.workspace];
        return {
            .method = "POST",
            .target = std::move(target),
            .headers = {{"Content-Type", "application/json"},
                        {"Authorization", "Bearer " + workspace.key},
                        {"Magnolia-Workspace", workspace.name},
                        {"Magnolia-Deadline-Ms", std::to_string(class_settings.finish.count())}},
            .body = std::move(body)};
    }

    http_call_limits call_limits(const planned_call& plan) const {
        const auto max_call_time = settings_.classes[plan.length_class].finish + answer_grace;
        return {.inactivity_timeout = max_call_time, .total_timeout = max_call_time};
    }

    /// Sends a call, or records it as not sent if the limit of concurrent calls is reached.
    void send(const planned_call& plan) {
        if (open_calls_ >= settings_.max_open) {
            samples_.push_back({.phase = plan.phase, .length_class = plan.length_class});
            return;
        }
        ++open_calls_;
        if (settings_.classes[plan.length_class].service.empty()) {
            send_prompt(plan);
        } else {
            send_order(plan);
        }
    }

    void send_prompt(const planned_call& plan) {
        auto call = std::make_shared<pending_call>();
        call->plan = plan;
        call->planned_at = started_ + plan.arrival;
        call->prompt = prompt_text(settings_, plan);
        const nlohmann::json body{
            {"model", settings_.model},
            {"prompt", call->prompt},
            {"max_tokens", settings_.classes[plan.length_class].generated_tokens},
            {"stream", true}};
        client_.stream(
            settings_.entries[plan.entry], make_request(plan, "/v1/completions", body.dump()),
            call_limits(plan),
            {.on_header = [call](const http_response_head& head) { call->status = head.status; },
             .on_body = [call](std::string_view text) { consume_text(*call, text); },
             .on_end = [this,
                        call](const http_failure* failure) { on_stream_end(*call, failure); }});
    }

    http_request make_order(const planned_call& plan, const std::string& key,
                            const std::string& created) const {
        const auto& class_settings = settings_.classes[plan.length_class];
        auto request =
            make_request(plan, "/v1/services/" + class_settings.service + class_settings.path,
                         R"({"order":)" + std::to_string(plan.number) + "}");
        request.headers.push_back({"Idempotency-Key", key});
        request.headers.push_back({"Idempotency-Key-Time", created});
        return request;
    }

    /// Sends an order. After a success it is repeated with the same idempotency key through the
    /// next entry, which has to return the recorded answer.
    void send_order(const planned_call& plan) {
        using namespace std::chrono;
        const auto created = std::to_string(
            duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
        const auto key = run_name_ + "-" + std::to_string(plan.number);
        client_.call(settings_.entries[plan.entry], make_order(plan, key, created),
                     call_limits(plan), [this, plan, key, created](const order_response& first) {
                         auto sample = classify_order(plan, first);
                         if (sample.verdict != call_verdict::whole) {
                             record_sample(std::move(sample));
                             return;
                         }
                         repeat_order(plan, make_order(plan, key, created), first->body,
                                      std::move(sample));
                     });
    }

    /// Repeats a successful order through the next entry and compares the answers. A repetition
    /// that fails does not change the verdict.
    void repeat_order(const planned_call& plan, http_request request, const std::string& body,
                      call_sample sample) {
        const auto next = (plan.entry + 1) % settings_.entries.size();
        client_.call(settings_.entries[next], std::move(request), call_limits(plan),
                     [this, body, sample](const order_response& again) mutable {
                         if (again && again->status == 200 && again->body != body) {
                             sample.verdict = call_verdict::wrong;
                             sample.reason = "other_answer";
                         }
                         record_sample(std::move(sample));
                     });
    }

    /// Sample of an order for its first response.
    call_sample classify_order(const planned_call& plan, const order_response& response) const {
        call_sample sample{.phase = plan.phase, .length_class = plan.length_class};
        sample.end = steady_now() - started_ - plan.arrival;
        if (!response) {
            sample.verdict =
                response.error().is_request_written ? call_verdict::unknown : call_verdict::refused;
            sample.reason = "broken:" + std::string{to_string(response.error().failure.code)};
        } else if (response->status == 200) {
            sample.verdict = call_verdict::whole;
            sample.first_token = sample.end;
        } else {
            const auto reply = parse_error_reply(response->body);
            sample.verdict = verdict_for_outcome(reply.outcome_name);
            sample.reason = reply.type;
        }
        return sample;
    }

    /// Ends a call in progress.
    void record_sample(call_sample sample) {
        samples_.push_back(std::move(sample));
        --open_calls_;
        finish_if_drained();
    }

    static void consume_text(pending_call& call, std::string_view text) {
        if (call.status == 200) {
            call.reader.feed(text, steady_now());
        } else {
            call.error_body += text;
        }
    }

    void on_stream_end(pending_call& call, const http_failure* failure) {
        const auto& class_settings = settings_.classes[call.plan.length_class];
        call_sample sample{.phase = call.plan.phase, .length_class = call.plan.length_class};
        sample.end = steady_now() - call.planned_at;
        const auto& arrivals = call.reader.arrivals();
        if (!arrivals.empty()) {
            sample.first_token = arrivals.front() - call.planned_at;
        }
        sample.generated_tokens =
            static_cast<std::uint32_t>(call.reader.text().size() / answer_token_bytes);
        measure_gaps(arrivals, sample.generated_tokens, sample);
        if (failure != nullptr) {
            sample.verdict =
                failure->is_request_written ? call_verdict::unknown : call_verdict::refused;
            sample.reason = "broken:" + std::string{to_string(failure->failure.code)};
        } else if (call.status == 200) {
            classify_stream(call, class_settings, call.reader.finish(), sample);
        } else {
            const auto reply = parse_error_reply(call.error_body);
            sample.verdict = verdict_for_outcome(reply.outcome_name);
            sample.reason = reply.type;
        }
        record_sample(std::move(sample));
    }

    const experiment_settings& settings_;
    std::vector<planned_call> plan_;
    std::string run_name_;
    std::vector<call_sample> samples_;
    std::size_t next_call_ = 0;
    /// Number of calls in progress.
    std::size_t open_calls_ = 0;
    time_point started_{};
    bool is_finished_ = false;
    std::promise<void> finished_;
    io_thread io_thread_{"load"};
    http_client client_{io_thread_.context(), 64};
    boost::asio::steady_timer timer_{io_thread_.context()};
};

result<void> write_file(const std::string& path, const std::string& text) {
    std::ofstream file{path};
    file << text;
    if (!file.flush()) {
        return fail(error_code::bad_settings, path + " cannot be written");
    }
    return {};
}

result<void> run(process& running, const experiment_settings& settings) {
    auto plan = plan_load(settings);
    if (!plan) {
        return tl::unexpected{plan.error()};
    }
    running.set_ready(true);
    const auto planned = plan->size();
    load_driver driver{settings, std::move(*plan), std::to_string(running.boot())};
    const auto samples = driver.run(running);
    const auto summary = summarize(settings, samples);
    std::cout << report_text(summary) << samples.size() << " of " << planned
              << " planned calls have ended\n";
    return write_file(settings.report + ".json", report_json(summary).dump(1) + "\n").and_then([&] {
        return write_file(settings.report + ".html", report_html(summary));
    });
}

} // namespace

int main(int argc, char** argv) {
    return run_program<experiment_settings>(
        argc, argv, {"magnolia-load", "Runs a load experiment against the entries."}, run);
}
