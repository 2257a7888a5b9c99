// Reads the bodies of /v1/chat/completions and /v1/completions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::http {

enum class CompletionShape { kChat, kText };

// A completion as its caller asked for it. Fields of the API that a router has no use for are ignored.
struct CompletionRequest {
  CompletionShape shape = CompletionShape::kText;
  ModelName model;
  AdapterName adapter;
  std::string prompt;  // for chat: the messages rendered in order
  uint32_t maximum_tokens = 0;
  bool stream = false;
};

// Parses a body. kInvalidArgument names the field that is missing or of the wrong type.
Result<CompletionRequest> parseCompletionRequest(CompletionShape shape, std::string_view body);

}  // namespace quincewick::http
