/// Runs a load experiment against the entries and writes its report.
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

/// Bytes of each token that the stand-in engines generate.
constexpr std::size_t answer_token_bytes = 4;
/// Time after the deadline that an entry's final answer may need to arrive.
constexpr std::chrono::milliseconds answer_grace{2000};

/// One call under way.
struct open_call {
    planned_call plan;
    time_point planned_at{};
    std::string prompt;
    answer_reader reader{answer_token_bytes};
    unsigned status = 0;
    std::string error_body;
};

using order_answer = tl::expected<http_response, http_failure>;

/// Error of an answer that is no stream.
struct refusal {
    std::string type = "malformed";
    std::string outcome_name = "unknown";
};

refusal read_refusal(const std::string& body) {
    constexpr bool no_exceptions = false;
    const auto document = nlohmann::json::parse(body, nullptr, no_exceptions);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        return {};
    }
    const auto& found = document["error"];
    return {found.value("type", "malformed"), found.value("outcome", "unknown")};
}

call_verdict verdict_of(std::string_view outcome_name) {
    if (outcome_name == to_string(outcome::not_run)) {
        return call_verdict::refused;
    }
    return outcome_name == to_string(outcome::failed) ? call_verdict::failed
                                                      : call_verdict::unknown;
}

void judge_stream(const open_call& call, const load_class& length, stream_fault fault,
                  call_sample& sample) {
    if (!call.reader.error_type().empty()) {
        sample.verdict = verdict_of(call.reader.outcome_name());
        sample.reason = call.reader.error_type();
        return;
    }
    const auto expected = fakes::answer_text(call.prompt, 0, length.generated_tokens);
    const bool is_right = call.reader.text() == expected;
    if (fault == stream_fault::none && is_right) {
        sample.verdict = call_verdict::whole;
        return;
    }
    sample.verdict = call_verdict::wrong;
    sample.reason = fault == stream_fault::none ? "other_text" : std::string{to_string(fault)};
}

void measure_gaps(const std::vector<time_point>& arrivals, std::uint32_t tokens,
                  call_sample& sample) {
    for (std::size_t index = 1; index < arrivals.size(); ++index) {
        sample.longest_gap = std::max(sample.longest_gap, arrivals[index] - arrivals[index - 1]);
    }
    if (arrivals.size() > 1 && tokens > 1) {
        sample.mean_gap = (arrivals.back() - arrivals.front()) / (tokens - 1);
    }
}

/// Duty that sends the calls of a plan at their times, whatever becomes of earlier ones.
class load_driver {
public:
    /// @param run_name  unique for each run; makes its idempotency keys unique.
    load_driver(const experiment_settings& settings, std::vector<planned_call> plan,
                std::string run_name)
        : settings_{settings}, plan_{std::move(plan)}, run_name_{std::move(run_name)} {
        samples_.reserve(plan_.size());
    }

    /// Runs the whole plan; blocks until the last answer or the end of the drain.
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
    void send_due() {
        while (next_ < plan_.size() && started_ + plan_[next_].at <= steady_now()) {
            send(plan_[next_++]);
        }
        if (next_ == plan_.size()) {
            wait_for_answers();
            return;
        }
        const auto wait = started_ + plan_[next_].at - steady_now();
        timer_.expires_after(std::max(wait, duration{0}));
        timer_.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                send_due();
            }
        });
    }

    void wait_for_answers() {
        timer_.expires_after(settings_.drain);
        timer_.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                finish();
            }
        });
        finish_if_over();
    }

    void finish_if_over() {
        if (next_ == plan_.size() && open_ == 0) {
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
        const auto& length = settings_.classes[plan.length_class];
        const auto& workspace = settings_.workspaces[plan.workspace];
        return {.method = "POST",
                .target = std::move(target),
                .headers = {{"Content-Type", "application/json"},
                            {"Authorization", "Bearer " + workspace.key},
                            {"Magnolia-Workspace", workspace.name},
                            {"Magnolia-Deadline-Ms", std::to_string(length.finish.count())}},
                .body = std::move(body)};
    }

    http_call_limits limits_of(const planned_call& plan) const {
        const auto longest = settings_.classes[plan.length_class].finish + answer_grace;
        return {.inactivity_timeout = longest, .total_timeout = longest};
    }

    void send(const planned_call& plan) {
        if (open_ >= settings_.max_open) {
            samples_.push_back({.phase = plan.phase, .length_class = plan.length_class});
            return;
        }
        ++open_;
        if (settings_.classes[plan.length_class].service.empty()) {
            send_prompt(plan);
        } else {
            send_order(plan);
        }
    }

    void send_prompt(const planned_call& plan) {
        auto call = std::make_shared<open_call>();
        call->plan = plan;
        call->planned_at = started_ + plan.at;
        call->prompt = prompt_text(settings_, plan);
        const nlohmann::json body{
            {"model", settings_.model},
            {"prompt", call->prompt},
            {"max_tokens", settings_.classes[plan.length_class].generated_tokens},
            {"stream", true}};
        client_.stream(
            settings_.entries[plan.entry], make_request(plan, "/v1/completions", body.dump()),
            limits_of(plan),
            {.on_header = [call](unsigned status, const http_headers&) { call->status = status; },
             .on_body = [call](std::string_view text) { take_text(*call, text); },
             .on_end = [this, call](const http_failure* failure) { end(*call, failure); }});
    }

    http_request make_order(const planned_call& plan, const std::string& key,
                            const std::string& created) const {
        const auto& length = settings_.classes[plan.length_class];
        auto request = make_request(plan, "/v1/services/" + length.service + length.path,
                                    R"({"order":)" + std::to_string(plan.number) + "}");
        request.headers.push_back({"Idempotency-Key", key});
        request.headers.push_back({"Idempotency-Key-Time", created});
        return request;
    }

    /// Sends an order; once it is done, sends it again under its key at the next entry, where the
    /// recorded answer has to come.
    void send_order(const planned_call& plan) {
        using namespace std::chrono;
        const auto created = std::to_string(
            duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
        const auto key = run_name_ + "-" + std::to_string(plan.number);
        client_.call(settings_.entries[plan.entry], make_order(plan, key, created), limits_of(plan),
                     [this, plan, key, created](const order_answer& first) {
                         auto sample = judge_order(plan, first);
                         if (sample.verdict != call_verdict::whole) {
                             close(std::move(sample));
                             return;
                         }
                         send_again(plan, make_order(plan, key, created), first->body,
                                    std::move(sample));
                     });
    }

    void send_again(const planned_call& plan, http_request request, const std::string& body,
                    call_sample sample) {
        const auto next = (plan.entry + 1) % settings_.entries.size();
        client_.call(settings_.entries[next], std::move(request), limits_of(plan),
                     [this, body, sample](const order_answer& again) mutable {
                         if (again && again->status == 200 && again->body != body) {
                             sample.verdict = call_verdict::wrong;
                             sample.reason = "other_answer";
                         }
                         close(std::move(sample));
                     });
    }

    call_sample judge_order(const planned_call& plan, const order_answer& answer) const {
        call_sample sample{.phase = plan.phase, .length_class = plan.length_class};
        sample.end = steady_now() - started_ - plan.at;
        if (!answer) {
            sample.verdict =
                answer.error().is_request_written ? call_verdict::unknown : call_verdict::refused;
            sample.reason = "broken:" + std::string{to_string(answer.error().failure.code)};
        } else if (answer->status == 200) {
            sample.verdict = call_verdict::whole;
            sample.first_token = sample.end;
        } else {
            const auto refused = read_refusal(answer->body);
            sample.verdict = verdict_of(refused.outcome_name);
            sample.reason = refused.type;
        }
        return sample;
    }

    void close(call_sample sample) {
        samples_.push_back(std::move(sample));
        --open_;
        finish_if_over();
    }

    static void take_text(open_call& call, std::string_view text) {
        if (call.status == 200) {
            call.reader.feed(text, steady_now());
        } else {
            call.error_body += text;
        }
    }

    void end(open_call& call, const http_failure* failure) {
        const auto& length = settings_.classes[call.plan.length_class];
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
            judge_stream(call, length, call.reader.finish(), sample);
        } else {
            const auto refused = read_refusal(call.error_body);
            sample.verdict = verdict_of(refused.outcome_name);
            sample.reason = refused.type;
        }
        close(std::move(sample));
    }

    const experiment_settings& settings_;
    std::vector<planned_call> plan_;
    std::string run_name_;
    std::vector<call_sample> samples_;
    std::size_t next_ = 0;
    std::size_t open_ = 0;
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
