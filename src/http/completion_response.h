// Writes answers in the shapes of the chat and text completion API, whole or as server-sent events.
#pragma once

#include <string>

#include "http/completion_request.h"
#include "types/token_event.h"

namespace quincewick::http {

// What stays the same in all events of one answer.
struct ResponseMetadata {
  CompletionShape shape = CompletionShape::kText;
  RequestId request;
  ModelName model;
  int64_t created_unix_seconds = 0;
};

// One stream event as server-sent event text. A token's event id names the request and the offset, so that a
// caller can come back to any node with the last one it has; the end is followed by "data: [DONE]"; a cut is
// an "error" event.
std::string serverSentEvent(const ResponseMetadata& metadata, const StreamEvent& event);

// A whole answer as one JSON object.
std::string completeResponseBody(const ResponseMetadata& metadata, const std::string& text,
                                 const EndEvent& end);

}  // namespace quincewick::http
