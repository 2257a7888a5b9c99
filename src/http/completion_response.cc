#include "http/completion_response.h"

#include <nlohmann/json.hpp>

#include "http/error_body.h"
#include "streams/stream_position.h"

namespace quincewick::http {
namespace {

using Json = nlohmann::json;

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const char* finishReasonName(FinishReason reason) {
  return reason == FinishReason::kLength ? "length" : "stop";
}

Json usageJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

Json envelope(const ResponseMetadata& metadata, bool is_chunk) {
  const bool is_chat = metadata.shape == CompletionShape::kChat;
  const char* object = "text_completion";
  if (is_chat) {
    object = is_chunk ? "chat.completion.chunk" : "chat.completion";
  }
  return {{"id", metadata.request.value()},
          {"object", object},
          {"created", metadata.created_unix_seconds},
          {"model", metadata.model.value()}};
}

Json chunk(const ResponseMetadata& metadata, const std::string& text, const Json& finish_reason) {
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (metadata.shape == CompletionShape::kChat) {
    choice["delta"] = text.empty() ? Json::object() : Json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  Json body = envelope(metadata, true);
  body["choices"] = Json::array({choice});
  return body;
}

std::string formatTokenEvent(const ResponseMetadata& metadata, const TokenEvent& token) {
  const std::string id = streams::formatEventId({metadata.request, token.offset});
  return "id: " + id + "\ndata: " + dump(chunk(metadata, token.text, nullptr)) + "\n\n";
}

std::string formatEndEvent(const ResponseMetadata& metadata, const EndEvent& end) {
  Json body = chunk(metadata, "", finishReasonName(end.reason));
  body["usage"] = usageJson(end.usage);
  // Without an id: a caller that loses the connection here resumes from the last token's id.
  return "data: " + dump(body) + "\n\ndata: [DONE]\n\n";
}

std::string formatErrorEvent(const ResponseMetadata& metadata, const CutEvent& cut) {
  return "event: error\ndata: " + errorBody(cut.error, metadata.request) + "\n\n";
}

}  // namespace

std::string serverSentEvent(const ResponseMetadata& metadata, const StreamEvent& event) {
  if (const auto* token = std::get_if<TokenEvent>(&event)) {
    return formatTokenEvent(metadata, *token);
  }
  if (const auto* end = std::get_if<EndEvent>(&event)) {
    return formatEndEvent(metadata, *end);
  }
  return formatErrorEvent(metadata, std::get<CutEvent>(event));
}

std::string completeResponseBody(const ResponseMetadata& metadata, const std::string& text,
                                 const EndEvent& end) {
  Json choice = {{"index", 0}, {"finish_reason", finishReasonName(end.reason)}};
  if (metadata.shape == CompletionShape::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  Json body = envelope(metadata, false);
  body["choices"] = Json::array({choice});
  body["usage"] = usageJson(end.usage);
  return dump(body);
}

}  // namespace quincewick::http
