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

Json envelope(const AnswerHeader& header, bool is_chunk) {
  const bool is_chat = header.shape == CompletionShape::kChat;
  const char* object = "text_completion";
  if (is_chat) {
    object = is_chunk ? "chat.completion.chunk" : "chat.completion";
  }
  return {{"id", header.request.value()},
          {"object", object},
          {"created", header.created_unix_seconds},
          {"model", header.model.value()}};
}

Json chunk(const AnswerHeader& header, const std::string& text, const Json& finish_reason) {
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (header.shape == CompletionShape::kChat) {
    choice["delta"] = text.empty() ? Json::object() : Json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  Json body = envelope(header, true);
  body["choices"] = Json::array({choice});
  return body;
}

std::string tokenText(const AnswerHeader& header, const TokenEvent& token) {
  const std::string id = streams::formatEventId({header.request, token.offset});
  return "id: " + id + "\ndata: " + dump(chunk(header, token.text, nullptr)) + "\n\n";
}

std::string endText(const AnswerHeader& header, const EndEvent& end) {
  Json body = chunk(header, "", finishReasonName(end.reason));
  body["usage"] = usageJson(end.usage);
  // No id of its own: a caller that lost the connection here comes back with the last token's.
  return "data: " + dump(body) + "\n\ndata: [DONE]\n\n";
}

std::string cutText(const AnswerHeader& header, const CutEvent& cut) {
  return "event: error\ndata: " + errorBody(cut.error, header.request) + "\n\n";
}

}  // namespace

std::string serverSentEvent(const AnswerHeader& header, const StreamEvent& event) {
  if (const auto* token = std::get_if<TokenEvent>(&event)) {
    return tokenText(header, *token);
  }
  if (const auto* end = std::get_if<EndEvent>(&event)) {
    return endText(header, *end);
  }
  return cutText(header, std::get<CutEvent>(event));
}

std::string wholeAnswer(const AnswerHeader& header, const std::string& text, const EndEvent& end) {
  Json choice = {{"index", 0}, {"finish_reason", finishReasonName(end.reason)}};
  if (header.shape == CompletionShape::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  Json body = envelope(header, false);
  body["choices"] = Json::array({choice});
  body["usage"] = usageJson(end.usage);
  return dump(body);
}

}  // namespace quincewick::http
