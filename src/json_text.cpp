#include "json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia {
namespace {

using json = nlohmann::json;

/// Walks over the values of a text without reading them; uses no stack for nested ones.
class json_scanner {
public:
    explicit json_scanner(std::string_view text) : text_{text} {}

    /// Skips the character, after white space, if it is the next one.
    bool take(char wanted) {
        skip_space();
        const bool is_next = !text_.empty() && text_.front() == wanted;
        text_.remove_prefix(is_next ? 1 : 0);
        return is_next;
    }

    /// Text of the next value; empty if there is none, or its end is missing.
    std::string_view take_value() {
        skip_space();
        std::size_t depth = 0;
        for (std::size_t position = 0; position < text_.size(); ++position) {
            switch (text_[position]) {
            case '"':
                position = end_of_string(position);
                break;
            case '{':
            case '[':
                deepest_ = std::max(deepest_, ++depth);
                continue;
            case '}':
            case ']':
                if (depth == 0) {
                    return take_front(position);
                }
                --depth;
                break;
            case ',':
            case ':':
                if (depth == 0) {
                    return take_front(position);
                }
                continue;
            default:
                continue;
            }
            if (depth == 0) {
                return take_front(std::min(position + 1, text_.size()));
            }
        }
        return depth == 0 ? take_front(text_.size()) : std::string_view{};
    }

    /// Deepest nesting of the values that were taken.
    [[nodiscard]] std::size_t deepest() const { return deepest_; }

private:
    void skip_space() {
        text_.remove_prefix(std::min(text_.find_first_not_of(" \t\r\n"), text_.size()));
    }

    /// Position of the closing quote of the string that begins here.
    [[nodiscard]] std::size_t end_of_string(std::size_t begin) const {
        auto position = begin + 1;
        while (position < text_.size() && text_[position] != '"') {
            position += text_[position] == '\\' ? 2 : 1;
        }
        return position;
    }

    std::string_view take_front(std::size_t count) {
        const auto front = text_.substr(0, count);
        text_.remove_prefix(count);
        return front;
    }

    std::string_view text_;
    std::size_t deepest_ = 0;
};

/// Reads the members of an object, the brace of which was taken.
json read_members(json_scanner& scanner, std::string_view opaque, std::size_t levels) {
    auto document = json::object();
    while (!scanner.take('}')) {
        const auto name = parse_json(scanner.take_value());
        if (!name.is_string() || !scanner.take(':')) {
            return json(json::value_t::discarded);
        }
        const bool is_opaque = name.get_ref<const std::string&>() == opaque;
        auto value = parse_readable_json(scanner.take_value(), opaque, is_opaque ? 0 : levels - 1);
        document[name.get_ref<const std::string&>()] =
            value.is_discarded() ? json{} : std::move(value);
        if (!scanner.take(',')) {
            return scanner.take('}') ? document : json(json::value_t::discarded);
        }
    }
    return document;
}

/// Reads the elements of an array, the bracket of which was taken.
json read_elements(json_scanner& scanner, std::string_view opaque, std::size_t levels) {
    auto document = json::array();
    while (!scanner.take(']')) {
        auto value = parse_readable_json(scanner.take_value(), opaque, levels - 1);
        document.push_back(value.is_discarded() ? json{} : std::move(value));
        if (!scanner.take(',')) {
            return scanner.take(']') ? document : json(json::value_t::discarded);
        }
    }
    return document;
}

} // namespace

std::string write_json(const json& document) {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse_json(std::string_view text) {
    json_scanner scanner{text};
    static_cast<void>(scanner.take_value());
    return scanner.deepest() > max_json_depth ? json(json::value_t::discarded)
                                              : json::parse(text, nullptr, false);
}

json parse_readable_json(std::string_view text, std::string_view opaque, std::size_t levels) {
    auto document = parse_json(text);
    if (!document.is_discarded() || levels == 0) {
        return document;
    }
    json_scanner scanner{text};
    if (scanner.take('{')) {
        return read_members(scanner, opaque, levels);
    }
    if (scanner.take('[')) {
        return read_elements(scanner, opaque, levels);
    }
    return document;
}

} // namespace magnolia
