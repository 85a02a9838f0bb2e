#include "host_relay.h"

#include "json_text.h"
#include "schema_reader.h"

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

constexpr std::string_view context_field = "Magnolia-Relay";
constexpr std::string_view outcome_field = "Magnolia-Relay-Outcome";
constexpr std::string_view not_run_value = "not-run";
constexpr std::string_view in_doubt_value = "in-doubt";

void drop_field(http_headers& headers, std::string_view name) {
    std::erase_if(headers, [name](const auto& field) { return boost::iequals(field.name, name); });
}

} // namespace

http_request make_relay_request(const http_request& request, const relay_context& context) {
    http_request relayed{request.method, request.target, request.headers, request.body, {}};
    drop_field(relayed.headers, context_field);
    relayed.headers.push_back({std::string{context_field}, write_json(context)});
    return relayed;
}

std::optional<relay_context> take_relay_context(http_headers& headers) {
    const std::string text{find_header(headers, context_field)};
    drop_field(headers, context_field);
    relay_context context;
    schema_reader reader{unknown_keys::accept};
    read(parse_json(text), reader, context);
    return reader.errors().empty() ? std::optional{context} : std::nullopt;
}

void set_relay_outcome(http_response& response, run_knowledge known) {
    const auto value = known == run_knowledge::not_run ? not_run_value : in_doubt_value;
    response.headers.push_back({std::string{outcome_field}, std::string{value}});
}

void drop_relay_outcome(http_headers& headers) {
    drop_field(headers, outcome_field);
}

std::optional<run_knowledge> read_relay_outcome(const http_headers& headers) {
    const auto value = find_header(headers, outcome_field);
    if (value.empty()) {
        return std::nullopt;
    }
    return value == not_run_value ? run_knowledge::not_run : run_knowledge::may_have_run;
}

} // namespace magnolia
