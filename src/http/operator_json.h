// JSON bodies of the HTTP API for operators.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/operator_backend.h"

namespace quincewick::http {

nlohmann::json toJson(const PolicyText& policy);
nlohmann::json toJson(const ChangeSummary& change);
nlohmann::json toJson(const StatusReport& report);
nlohmann::json toJson(const Explanation& explanation);

// Parses {"operation","comment"?,"base_version","policy"} or, instead of "policy", "changes":
// [{"key","text"|null}]. kInvalidArgument with a message that names the expected fields, as for the others
// below.
Result<PolicyChange> parsePolicyChange(const std::string& body);
// Parses {"operation","comment"?,"version"}; the version is stored in `base`.
Result<PolicyChange> parseRollback(const std::string& body);
// Parses {"tenant","kind","model","adapter"?,"prompt"?}.
Result<ExplainQuery> parseExplainQuery(const std::string& body);

}  // namespace quincewick::http
