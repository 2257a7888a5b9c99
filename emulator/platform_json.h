// The platform's wire format: JSON bodies to and from the types of types/platform.h.
#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "types/platform.h"

namespace quincewick::emulator {

// These throw a JSON exception when a field is missing or has the wrong type.
TableTransaction transactionFromJson(const nlohmann::json& body);
TableRead readFromJson(const nlohmann::json& body);
TableScan scanFromJson(const nlohmann::json& body);

nlohmann::json machineToJson(const Machine& machine);
// Sets the fields that `body` has; false if one is malformed.
bool mergeMachine(const nlohmann::json& body, Machine& machine);

// Answers with the status and body of a result.
void answerPlatformResult(httplib::Response& response, const PlatformResult& result);

}  // namespace quincewick::emulator
