// Formats responses of the HTTP API for operators as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quincewick::cli {

// Formats rows as left-aligned columns under headings, with two spaces between columns.
std::string formatTable(const std::vector<std::string>& headings,
                        const std::vector<std::vector<std::string>>& rows);

// Formats a list of objects as a table of the given fields. The cells of missing fields are empty; the result
// is empty if the list is.
std::string formatObjects(const nlohmann::json& list, const std::vector<std::string>& fields);

// Formats a status response as tables.
std::string formatStatus(const nlohmann::json& status);
// Formats the explanation of a routing decision as tables.
std::string formatExplanation(const nlohmann::json& explanation);

}  // namespace quincewick::cli
