// Parses the request bodies of /v1/chat/completions and /v1/completions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::http {

enum class CompletionShape { kChat, kText };

// A parsed completion request. Fields of the API that the router does not need are ignored.
struct CompletionRequest {
  CompletionShape shape = CompletionShape::kText;
  ModelName model;
  AdapterName adapter;
  std::string prompt;  // for chat: the messages in order, each preceded by its role as <|role|>
  uint32_t maximum_tokens = 0;
  bool stream = false;
};

// Parses a JSON body. kInvalidArgument with a message that names the missing or invalid field.
Result<CompletionRequest> parseCompletionRequest(CompletionShape shape, std::string_view body);

}  // namespace quincewick::http
