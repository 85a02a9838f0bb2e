#include "answer_reader.h"

#include "json_text.h"

#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

constexpr std::size_t max_event_bytes = std::size_t{4} << 20U;
constexpr std::string_view event_separator = "\n\n";
constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_marker = "[DONE]";

std::string string_field(const nlohmann::json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<std::uint64_t> unsigned_field(const nlohmann::json& object, const char* name) {
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
    for (auto end = pending_.find(event_separator); end != std::string::npos;
         end = pending_.find(event_separator, start)) {
        parse_event(std::string_view{pending_}.substr(start, end - start), now);
        start = end + event_separator.size();
    }
    pending_.erase(0, start);
    if (pending_.size() > max_event_bytes) {
        record_fault(stream_fault::malformed);
        pending_.clear();
    }
}

stream_fault answer_reader::finish() {
    const bool is_complete = has_final_event_ && has_done_marker_ && pending_.empty();
    if (!is_complete && error_.empty()) {
        record_fault(stream_fault::incomplete);
    }
    return fault_;
}

void answer_reader::record_fault(stream_fault fault) {
    if (fault_ == stream_fault::none) {
        fault_ = fault;
    }
}

void answer_reader::parse_event(std::string_view event, time_point now) {
    if (!event.starts_with(data_prefix)) {
        // Comment lines are keep-alives and carry no data.
        if (!event.starts_with(':')) {
            record_fault(stream_fault::malformed);
        }
        return;
    }
    event.remove_prefix(data_prefix.size());
    if (has_done_marker_) {
        record_fault(stream_fault::after_end);
        return;
    }
    if (event == done_marker) {
        has_done_marker_ = true;
        return;
    }
    const auto data = parse_json(event);
    if (!data.is_object()) {
        record_fault(stream_fault::malformed);
        return;
    }
    parse_data(data, now);
}

void answer_reader::parse_data(const nlohmann::json& data, time_point now) {
    const auto id = string_field(data, "id");
    if (id_.empty()) {
        id_ = id;
    }
    if (id != id_) {
        record_fault(stream_fault::crossed);
        return;
    }
    if (const auto error = data.find("error"); error != data.end()) {
        error_ = string_field(*error, "type");
        outcome_ = string_field(*error, "outcome");
        return;
    }
    if (has_final_event_) {
        record_fault(stream_fault::after_end);
        return;
    }
    const auto choices = data.find("choices");
    if (choices == data.end() || !choices->is_array() || choices->empty()) {
        record_fault(stream_fault::malformed);
        return;
    }
    const auto& choice = choices->front();
    if (!string_field(choice, "finish_reason").empty()) {
        has_final_event_ = true;
        outcome_ = string_field(data, "outcome");
        if (const auto usage = data.find("usage"); usage != data.end()) {
            generated_ =
                static_cast<std::uint32_t>(unsigned_field(*usage, "completion_tokens").value_or(0));
        }
        return;
    }
    const auto offset = unsigned_field(data, "offset");
    if (!offset) {
        record_fault(stream_fault::malformed);
        return;
    }
    append_text(*offset, string_field(choice, "text"), now);
}

void answer_reader::append_text(std::uint64_t offset, const std::string& text, time_point now) {
    const bool is_next = token_bytes_ > 0 ? offset * token_bytes_ == text_.size()
                                          : (!last_offset_ || offset > *last_offset_);
    if (!is_next) {
        record_fault(stream_fault::gap);
    }
    last_offset_ = offset;
    text_ += text;
    arrivals_.push_back(now);
}

} // namespace magnolia
