// The engines' JSON, written and read. Nothing here throws; what doesn't fit the protocol is kInternal.
#pragma once

#include <string>
#include <string_view>

#include "engine/engine_channel.h"
#include "engine/server_sent_events.h"

namespace quincewick::engine {

std::string encodeRequest(const EngineRequest& request);
std::string encodeOrder(const EngineOrder& order);

// What one server-sent event of an attempt holds.
struct DecodedEvent {
  std::optional<EngineObservation> observation;
  std::optional<streams::AnswerEvent> answer;  // nothing for the closing "[DONE]"
};

// Reads one event of the stream of `request`. An event that names another request's stream is an error: the
// engine has crossed two answers.
Result<DecodedEvent> decodeStreamEvent(const EngineRequest& request, const ServerSentEvent& event);

Result<EngineReport> decodeReport(std::string_view body);
Result<CacheEventPage> decodeCacheEvents(std::string_view body);

// The error of an answer with a status other than 200, before any token. The engine's own word on whether it
// ran counts; without it a status of 4xx, 429 or 503 means that it did not.
Error decodeRefusal(int status, std::string_view body);

}  // namespace quincewick::engine
