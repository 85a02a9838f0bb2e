/// Reads JSON into the generated schema structs and collects all errors with their paths.
#pragma once

#include <magnolia/schema.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <initializer_list>
#include <limits>
#include <type_traits>

namespace magnolia {

/// Marks a missing bound of a range.
inline constexpr double no_bound = std::numeric_limits<double>::quiet_NaN();

/// Inclusive range of a number, a string length or an element count.
struct bounds {
    double min = no_bound;
    double max = no_bound;
};

/// A value that violates the schema.
struct schema_error {
    /// Key path, for example `listen.port` or `engines[2].model`.
    std::string path;
    /// Offending value as JSON text, truncated to a readable length.
    std::string value;
    /// Description of the allowed values.
    std::string allowed;
};

/// How keys that the schema does not define are treated.
enum class unknown_keys : std::uint8_t {
    /// Ignored: for messages and objects that a newer release may have written.
    accept,
    /// Reported as errors: for settings and contracts written by people.
    reject,
};

template <class T>
[[nodiscard]] inline nlohmann::json encode(const T& value);

/// Used by the generated read() functions to read a JSON document; collects errors instead of
/// throwing. Not thread-safe; create one per document.
class schema_reader {
public:
    explicit schema_reader(unknown_keys policy) : policy_{policy} {}

    /// Errors found so far, in document order.
    [[nodiscard]] const std::vector<schema_error>& errors() const { return errors_; }

    /// Records an error for `in` at the current path; `allowed` describes the valid values.
    void fail(const nlohmann::json& in, std::string allowed);

    /// Return whether `in` has the type; record an error if it does not.
    [[nodiscard]] bool expect_object(const nlohmann::json& in);
    [[nodiscard]] bool expect_array(const nlohmann::json& in);

    /// Records an error for each key of `in` that is not in `known_keys`, if the policy is reject.
    void reject_unknown(const nlohmann::json& in,
                        std::initializer_list<std::string_view> known_keys);

    /// Reads the field `name` of an object. An absent field keeps its default, and is an error if
    /// `required`.
    template <class T>
    void field(const nlohmann::json& in, const char* name, bool required, bounds range, T& value) {
        const auto found = in.find(name);
        if (found == in.end()) {
            report_absent(name, required);
            return;
        }
        read_at(*found, name, range, value);
    }

    /// Reads the field at `index` of an array. Trailing fields that an older release did not send
    /// keep their defaults.
    template <class T>
    void field(const nlohmann::json& in, std::size_t index, const char* name, bool required,
               bounds range, T& value) {
        if (index >= in.size()) {
            report_absent(name, required);
            return;
        }
        read_at(in[index], name, range, value);
    }

private:
    void report_absent(const char* name, bool required);
    void check(const nlohmann::json& in, double number, bounds range);

    template <class T>
    void read_at(const nlohmann::json& in, const std::string& key, bounds range, T& value) {
        const auto length = path_.size();
        path_ += path_.empty() || key.front() == '[' ? key : "." + key;
        read_value(in, range, value);
        path_.resize(length);
    }

    template <class T>
    void read_number(const nlohmann::json& in, bounds range, T& value) {
        constexpr bool is_integer = std::is_integral_v<T>;
        if (is_integer ? !in.is_number_integer() : !in.is_number()) {
            fail(in, is_integer ? "an integer" : "a number");
            return;
        }
        const auto number = in.get<double>();
        const bool fits =
            !is_integer || (number >= static_cast<double>(std::numeric_limits<T>::min()) &&
                            number <= static_cast<double>(std::numeric_limits<T>::max()));
        if (!fits) {
            fail(in, "a number within the range of its type");
            return;
        }
        check(in, number, range);
        value = in.get<T>();
    }

    void read_value(const nlohmann::json& in, bounds range, bool& value);
    void read_value(const nlohmann::json& in, bounds range, std::string& value);
    void read_value(const nlohmann::json& in, bounds range, std::chrono::milliseconds& value);

    template <class T>
    void read_value(const nlohmann::json& in, bounds range, std::vector<T>& value) {
        if (!expect_array(in)) {
            return;
        }
        check(in, static_cast<double>(in.size()), range);
        value.clear();
        for (std::size_t index = 0; index < in.size(); ++index) {
            read_at(in[index], "[" + std::to_string(index) + "]", {}, value.emplace_back());
        }
    }

    template <class T>
    void read_value(const nlohmann::json& in, bounds range, std::map<std::string, T>& value) {
        if (!expect_object(in)) {
            return;
        }
        check(in, static_cast<double>(in.size()), range);
        value.clear();
        for (const auto& [key, item] : in.items()) {
            read_at(item, key, {}, value[key]);
        }
    }

    template <class T>
    void read_value(const nlohmann::json& in, bounds range, T& value) {
        if constexpr (std::is_arithmetic_v<T>) {
            read_number(in, range, value);
        } else {
            read(in, *this, value);
        }
    }

    unknown_keys policy_;
    std::string path_;
    std::vector<schema_error> errors_;
};

/// Parses a string of the form `ADDRESS:PORT`; returns false if `in` is anything else.
[[nodiscard]] bool read_text(const nlohmann::json& in, endpoint& value);

/// Converts a value to JSON: enumerations by name, durations as a number of milliseconds.
template <class T>
nlohmann::json encode(const T& value) {
    if constexpr (std::is_enum_v<T>) {
        return std::string{to_string(value)};
    } else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
        return value.count();
    } else {
        return nlohmann::json(value);
    }
}

} // namespace magnolia
