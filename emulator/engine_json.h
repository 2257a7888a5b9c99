// The engines' wire format: JSON bodies to and from the types of the emulator.
#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "emulator/engine_host.h"

namespace quincewick::emulator {

// These throw a JSON exception when a field is missing or has the wrong type.
CompletionCall completionCallFromJson(const nlohmann::json& body);
// Nothing when the kind of the order is unknown.
std::optional<EngineOrder> orderFromJson(const nlohmann::json& body);
// Nothing when a key isn't 32 hexadecimal digits.
std::optional<std::vector<BlockKey>> blocksFromJson(const nlohmann::json& list);

nlohmann::json blocksToJson(const std::vector<BlockKey>& blocks);
nlohmann::json modelsToJson(const std::vector<LoadedModel>& models);
nlohmann::json violationsToJson(const CacheViolations& violations);
nlohmann::json cacheEventToJson(const CacheEvent& event);

// Answers with the status and typed body of a refusal.
void answerRefusal(httplib::Response& response, RefusalReason reason);

// The non-negative number in a query parameter, or `fallback` when absent or malformed.
uint64_t queryNumber(const httplib::Request& request, const std::string& name, uint64_t fallback);

}  // namespace quincewick::emulator
