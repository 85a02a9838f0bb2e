#include "answer_reader.h"

#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

constexpr std::size_t max_event_bytes = std::size_t{4} << 20U;
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_mark = "[DONE]";

std::string text_of(const nlohmann::json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<std::uint64_t> number_of(const nlohmann::json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

} // namespace

std::string_view to_string(stream_fault fault) {
    switch (fault) {
    case stream_fault::none:
        return "none";
    case stream_fault::malformed:
        return "malformed";
    case stream_fault::gap:
        return "gap";
    case stream_fault::crossed:
        return "crossed";
    case stream_fault::incomplete:
        return "incomplete";
    case stream_fault::after_end:
        return "after_end";
    }
    return "invalid";
}

void answer_reader::feed(std::string_view text, time_point now) {
    pending_ += text;
    std::size_t start = 0;
    for (auto end = pending_.find(event_end); end != std::string::npos;
         end = pending_.find(event_end, start)) {
        take_event(std::string_view{pending_}.substr(start, end - start), now);
        start = end + event_end.size();
    }
    pending_.erase(0, start);
    if (pending_.size() > max_event_bytes) {
        fail(stream_fault::malformed);
        pending_.clear();
    }
}

stream_fault answer_reader::finish() {
    const bool is_whole = is_last_seen_ && is_done_ && pending_.empty();
    if (!is_whole && error_.empty()) {
        fail(stream_fault::incomplete);
    }
    return fault_;
}

void answer_reader::fail(stream_fault fault) {
    if (fault_ == stream_fault::none) {
        fault_ = fault;
    }
}

void answer_reader::take_event(std::string_view event, time_point now) {
    if (!event.starts_with(data_prefix)) {
        // Comments keep a connection alive.
        if (!event.starts_with(':')) {
            fail(stream_fault::malformed);
        }
        return;
    }
    event.remove_prefix(data_prefix.size());
    if (is_done_) {
        fail(stream_fault::after_end);
        return;
    }
    if (event == done_mark) {
        is_done_ = true;
        return;
    }
    constexpr bool no_exceptions = false;
    const auto data = nlohmann::json::parse(event, nullptr, no_exceptions);
    if (!data.is_object()) {
        fail(stream_fault::malformed);
        return;
    }
    take_data(data, now);
}

void answer_reader::take_data(const nlohmann::json& data, time_point now) {
    const auto id = text_of(data, "id");
    if (id_.empty()) {
        id_ = id;
    }
    if (id != id_) {
        fail(stream_fault::crossed);
        return;
    }
    if (const auto error = data.find("error"); error != data.end()) {
        error_ = text_of(*error, "type");
        outcome_ = text_of(*error, "outcome");
        return;
    }
    if (is_last_seen_) {
        fail(stream_fault::after_end);
        return;
    }
    const auto choices = data.find("choices");
    if (choices == data.end() || !choices->is_array() || choices->empty()) {
        fail(stream_fault::malformed);
        return;
    }
    const auto& choice = choices->front();
    if (!text_of(choice, "finish_reason").empty()) {
        is_last_seen_ = true;
        outcome_ = text_of(data, "outcome");
        if (const auto usage = data.find("usage"); usage != data.end()) {
            generated_ =
                static_cast<std::uint32_t>(number_of(*usage, "completion_tokens").value_or(0));
        }
        return;
    }
    const auto offset = number_of(data, "offset");
    if (!offset) {
        fail(stream_fault::malformed);
        return;
    }
    take_text(*offset, text_of(choice, "text"), now);
}

void answer_reader::take_text(std::uint64_t offset, const std::string& text, time_point now) {
    const bool is_next = token_bytes_ > 0 ? offset * token_bytes_ == text_.size()
                                          : (!last_offset_ || offset > *last_offset_);
    if (!is_next) {
        fail(stream_fault::gap);
    }
    last_offset_ = offset;
    text_ += text;
    arrivals_.push_back(now);
}

} // namespace magnolia
