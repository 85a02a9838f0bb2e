#include "settings.h"

#include "json_text.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <fstream>
#include <sstream>

namespace magnolia {
namespace {

nlohmann::json scalar_to_json(const YAML::Node& node) {
    // A quoted scalar has the tag "!" and stays a string.
    if (node.Tag() == "!") {
        return node.Scalar();
    }
    if (std::int64_t integer = 0; YAML::convert<std::int64_t>::decode(node, integer)) {
        return integer;
    }
    if (double number = 0; YAML::convert<double>::decode(node, number)) {
        return number;
    }
    if (bool flag = false; YAML::convert<bool>::decode(node, flag)) {
        return flag;
    }
    return node.Scalar();
}

/// Converts a document of bounded size: aliases can make it endless, or larger than its text.
class yaml_converter {
public:
    /// Throws YAML::Exception if the document is too large.
    nlohmann::json convert(const YAML::Node& node, std::size_t depth = 0) {
        if (depth > max_json_depth || ++nodes_ > max_nodes) {
            throw YAML::Exception{node.Mark(), "document too large or nested too deeply"};
        }
        switch (node.Type()) {
        case YAML::NodeType::Map: {
            auto object = nlohmann::json::object();
            for (const auto& item : node) {
                object[item.first.Scalar()] = convert(item.second, depth + 1);
            }
            return object;
        }
        case YAML::NodeType::Sequence: {
            auto list = nlohmann::json::array();
            for (const auto& item : node) {
                list.push_back(convert(item, depth + 1));
            }
            return list;
        }
        case YAML::NodeType::Scalar:
            return scalar_to_json(node);
        default:
            return nullptr;
        }
    }

private:
    static constexpr std::size_t max_nodes = 100000;

    std::size_t nodes_ = 0;
};

void emit_value(YAML::Emitter& out, const nlohmann::json& value) {
    if (value.is_object()) {
        out << YAML::BeginMap;
        for (const auto& [key, item] : value.items()) {
            out << YAML::Key << key << YAML::Value;
            emit_value(out, item);
        }
        out << YAML::EndMap;
    } else if (value.is_array()) {
        out << YAML::BeginSeq;
        for (const auto& item : value) {
            emit_value(out, item);
        }
        out << YAML::EndSeq;
    } else if (value.is_string()) {
        out << YAML::DoubleQuoted << value.get<std::string>();
    } else {
        out << value.dump();
    }
}

} // namespace

result<nlohmann::json> parse_yaml(const std::string& text) {
    try {
        return yaml_converter{}.convert(YAML::Load(text));
    } catch (const YAML::Exception& failure) {
        return fail(error_code::bad_settings, failure.what());
    }
}

std::optional<std::string> read_text_file(const std::filesystem::path& file) {
    std::ifstream stream{file};
    if (!stream) {
        return std::nullopt;
    }
    std::string text;
    std::array<char, 4096> block{};
    // Iterators of the stream's buffer would throw if a read fails.
    while (stream.read(block.data(), block.size()) || stream.gcount() > 0) {
        text.append(block.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return stream.bad() ? std::nullopt : std::optional{std::move(text)};
}

result<nlohmann::json> read_yaml(const std::filesystem::path& file) {
    const auto text = read_text_file(file);
    if (!text) {
        return fail(error_code::bad_settings, file.string() + ": cannot be read");
    }
    auto document = parse_yaml(*text);
    if (!document) {
        return fail(error_code::bad_settings, file.string() + ": " + document.error().subject);
    }
    return document;
}

std::string format_schema_errors(const std::filesystem::path& file,
                                 std::span<const schema_error> errors) {
    std::ostringstream text;
    for (const auto& item : errors) {
        text << file.string() << ": " << item.path << " is " << item.value
             << "; allowed: " << item.allowed << '\n';
    }
    return text.str();
}

std::string print_yaml(const nlohmann::json& document) {
    YAML::Emitter out;
    emit_value(out, document);
    return out.c_str();
}

} // namespace magnolia
