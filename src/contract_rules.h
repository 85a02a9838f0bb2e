/// Rules that a contract has to meet beyond the bounds of its fields.
#pragma once

#include "schema_reader.h"

#include <magnolia/error.h>

namespace magnolia {

/// Every rule that the contract breaks, with the field and what is allowed.
[[nodiscard]] std::vector<schema_error> validate_contract(const contract& value);

/// Reads a contract that a person wrote. Errors: bad_contract; the subject lists every error, one a
/// line.
[[nodiscard]] result<contract> read_contract_document(const nlohmann::json& document);

} // namespace magnolia
