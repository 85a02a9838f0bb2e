#include "schema_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace magnolia {
namespace {

constexpr std::size_t max_shown_value_bytes = 60;

std::string format_value(const nlohmann::json& in) {
    auto text = in.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_value_bytes) {
        text.resize(max_shown_value_bytes);
        text += "...";
    }
    return text;
}

std::string format_range(bounds range) {
    std::ostringstream text;
    text << (std::isnan(range.min) ? 0.0 : range.min) << "..";
    if (!std::isnan(range.max)) {
        text << std::fixed << std::setprecision(0) << range.max;
    }
    return text.str();
}

} // namespace

void schema_reader::fail(const nlohmann::json& in, std::string allowed) {
    errors_.push_back({path_, format_value(in), std::move(allowed)});
}

bool schema_reader::expect_object(const nlohmann::json& in) {
    if (!in.is_object()) {
        fail(in, "an object");
    }
    return in.is_object();
}

bool schema_reader::expect_array(const nlohmann::json& in) {
    if (!in.is_array()) {
        fail(in, "a list");
    }
    return in.is_array();
}

void schema_reader::reject_unknown(const nlohmann::json& in,
                                   std::initializer_list<std::string_view> known_keys) {
    if (policy_ == unknown_keys::accept) {
        return;
    }
    for (const auto& [key, item] : in.items()) {
        if (std::ranges::find(known_keys, key) == known_keys.end()) {
            errors_.push_back({path_.empty() ? key : path_ + "." + key, format_value(item),
                               "only keys of the schema"});
        }
    }
}

void schema_reader::report_absent(const char* name, bool required) {
    if (required) {
        errors_.push_back({path_.empty() ? name : path_ + "." + name, "nothing",
                           "a value (the key is required)"});
    }
}

void schema_reader::check(const nlohmann::json& in, double number, bounds range) {
    const bool too_small = !std::isnan(range.min) && number < range.min;
    const bool too_large = !std::isnan(range.max) && number > range.max;
    if (too_small || too_large) {
        fail(in, format_range(range));
    }
}

void schema_reader::read_value(const nlohmann::json& in, bounds /*range*/, bool& value) {
    if (!in.is_boolean()) {
        fail(in, "true or false");
        return;
    }
    value = in.get<bool>();
}

void schema_reader::read_value(const nlohmann::json& in, bounds range, std::string& value) {
    if (!in.is_string()) {
        fail(in, "text");
        return;
    }
    value = in.get<std::string>();
    check(in, static_cast<double>(value.size()), range);
}

void schema_reader::read_value(const nlohmann::json& in, bounds range,
                               std::chrono::milliseconds& value) {
    if (!in.is_number_integer()) {
        fail(in, "an integer number of milliseconds");
        return;
    }
    value = std::chrono::milliseconds{in.get<std::int64_t>()};
    check(in, static_cast<double>(value.count()), range);
}

bool read_text(const nlohmann::json& in, endpoint& value) {
    if (!in.is_string()) {
        return false;
    }
    const auto text = in.get<std::string>();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data() + colon + 1, end, port);
    if (failure != std::errc{} || last != end) {
        return false;
    }
    value = {text.substr(0, colon), port};
    return true;
}

} // namespace magnolia
