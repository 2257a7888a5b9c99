// How answers of the operators' API are shown.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quincewick::cli {

// Lines up rows under headings, with two spaces between columns.
std::string formatTable(const std::vector<std::string>& headings,
                        const std::vector<std::vector<std::string>>& rows);

// A list of objects as a table of the named fields; absent fields are left empty.
std::string formatObjects(const nlohmann::json& list, const std::vector<std::string>& fields);

// The status answer as tables.
std::string formatStatus(const nlohmann::json& status);
// The explanation of a request's routing as tables.
std::string formatExplanation(const nlohmann::json& explanation);

}  // namespace quincewick::cli
