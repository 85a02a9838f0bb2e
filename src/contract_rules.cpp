#include "contract_rules.h"

#include <algorithm>
#include <set>

namespace magnolia {
namespace {

constexpr std::size_t hash_digits = 64;

std::string to_text(double value) {
    return nlohmann::json(value).dump();
}

bool is_name_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.';
}

bool is_hex_hash(std::string_view text) {
    return text.size() == hash_digits && std::ranges::all_of(text, [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'f');
           });
}

/// Checks a contract and collects the violations.
class contract_validator {
public:
    explicit contract_validator(const contract& value) : value_{value} {}

    std::vector<schema_error> validate() {
        check_names();
        check_keys();
        check_bursts();
        check_deadlines();
        return std::move(errors_);
    }

private:
    void require(bool is_met, std::string path, std::string actual, std::string allowed) {
        if (!is_met) {
            errors_.push_back({std::move(path), std::move(actual), std::move(allowed)});
        }
    }

    void check_unique(const std::string& path, const std::vector<std::string>& names) {
        std::set<std::string> seen;
        for (const auto& name : names) {
            require(!name.empty() && seen.insert(name).second, path, '"' + name + '"',
                    "unique, non-empty names");
        }
    }

    void check_names() {
        require(!value_.workspace.empty() &&
                    std::ranges::all_of(value_.workspace, is_name_character),
                "workspace", '"' + value_.workspace + '"', "letters, digits, '-', '_' and '.'");
        check_unique("models", value_.models);
        check_unique("services", value_.services);
        const bool is_active = value_.state == contract_state::active;
        require(!is_active || !value_.models.empty() || !value_.services.empty(), "models",
                "nothing", "at least one model or service");
    }

    void check_keys() {
        for (const auto& hash : value_.key_hashes) {
            require(is_hex_hash(hash), "key_hashes", '"' + hash + '"',
                    "64 lower-case hexadecimal digits");
        }
    }

    void check_bursts() {
        require(value_.prompt_token_burst >= value_.max_prompt_tokens, "prompt_token_burst",
                to_text(value_.prompt_token_burst),
                "at least max_prompt_tokens, " + std::to_string(value_.max_prompt_tokens));
        require(value_.generated_token_burst >= value_.max_generated_tokens,
                "generated_token_burst", to_text(value_.generated_token_burst),
                "at least max_generated_tokens, " + std::to_string(value_.max_generated_tokens));
    }

    void check_deadlines() {
        const auto& classes = value_.deadlines;
        for (std::size_t index = 0; index < classes.size(); ++index) {
            const auto path = "deadlines[" + std::to_string(index) + "]";
            const auto& item = classes[index];
            require(index == 0 || classes[index - 1].up_to_tokens < item.up_to_tokens,
                    path + ".up_to_tokens", std::to_string(item.up_to_tokens),
                    "more than up_to_tokens of the previous class");
            require(item.first_token <= item.finish, path + ".first_token",
                    std::to_string(item.first_token.count()),
                    "at most finish, " + std::to_string(item.finish.count()));
        }
        require(classes.empty() || classes.back().up_to_tokens >= value_.max_prompt_tokens,
                "deadlines", classes.empty() ? "" : std::to_string(classes.back().up_to_tokens),
                "a last class with up_to_tokens of at least max_prompt_tokens, " +
                    std::to_string(value_.max_prompt_tokens));
    }

    const contract& value_;
    std::vector<schema_error> errors_;
};

} // namespace

std::vector<schema_error> validate_contract(const contract& value) {
    return contract_validator{value}.validate();
}

result<contract> read_contract_document(const nlohmann::json& document) {
    schema_reader reader{unknown_keys::reject};
    contract value;
    read(document, reader, value);
    auto errors = reader.errors();
    if (errors.empty()) {
        errors = validate_contract(value);
    }
    if (errors.empty()) {
        return value;
    }
    std::string text;
    for (const auto& item : errors) {
        text += item.path + " is " + item.value + "; allowed: " + item.allowed + '\n';
    }
    return fail(error_code::bad_contract, text);
}

} // namespace magnolia
