// Serializes responses of the chat and text completion APIs, as one JSON object or as server-sent events.
#pragma once

#include <string>

#include "http/completion_request.h"
#include "types/token_event.h"

namespace quincewick::http {

// Fields that all events of one response have in common.
struct ResponseMetadata {
  CompletionShape shape = CompletionShape::kText;
  RequestId request;
  ModelName model;
  int64_t created_unix_seconds = 0;
};

// Formats one stream event as a server-sent event. A token's event id contains the request id and the offset,
// so that a caller can resume at any node with the last id it received. An EndEvent is followed by "data:
// [DONE]"; a CutEvent becomes an "error" event.
std::string serverSentEvent(const ResponseMetadata& metadata, const StreamEvent& event);

// Returns a complete response as one JSON object.
std::string completeResponseBody(const ResponseMetadata& metadata, const std::string& text,
                                 const EndEvent& end);

}  // namespace quincewick::http
