/// Validation of contracts beyond the bounds of single fields.
#pragma once

#include "schema_reader.h"

#include <magnolia/error.h>

namespace magnolia {

/// Returns every violated rule with the field, its value and the allowed values.
[[nodiscard]] std::vector<schema_error> validate_contract(const contract& value);

/// Parses and validates a contract written by a person. Errors: bad_contract; the subject lists,
/// one per line, all violations of the schema, or if there are none, those of validate_contract().
[[nodiscard]] result<contract> read_contract_document(const nlohmann::json& document);

} // namespace magnolia
