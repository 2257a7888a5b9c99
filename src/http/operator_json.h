// The JSON bodies of the operators' API.
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

// Reads {"operation","comment"?,"base_version","policy"} or, instead of "policy", "changes":
// [{"key","text"|null}]. kInvalidArgument with what was expected.
Result<PolicyChange> parsePolicyChange(const std::string& body);
// Reads {"operation","comment"?,"version"}: the version goes to `base`.
Result<PolicyChange> parseRollback(const std::string& body);
// Reads {"tenant","kind","model","adapter"?,"prompt"?}.
Result<ExplainQuery> parseExplainQuery(const std::string& body);

}  // namespace quincewick::http
