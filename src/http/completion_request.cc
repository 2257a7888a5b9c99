#include "http/completion_request.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

namespace quincewick::http {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kDefaultMaxTokens = 256;
constexpr uint32_t kMaxTokensLimit = 65'536;

auto invalid(std::string message) {
  return fail(ErrorCode::kInvalidArgument, std::move(message));
}

Result<std::string> stringField(const Json& object, const char* field) {
  const auto entry = object.find(field);
  if (entry == object.end() || !entry->is_string()) {
    return invalid(std::string("'") + field + "' must be a string");
  }
  return entry->get<std::string>();
}

// `content` is a string or a list of parts, each with a string field `text`; the texts are concatenated.
Result<std::string> messageContent(const Json& message) {
  const auto content = message.find("content");
  if (content == message.end()) {
    return invalid("a message needs 'content'");
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return invalid("'content' must be a string or a list of parts");
  }
  std::string text;
  for (const Json& part : *content) {
    if (!part.is_object()) {
      return invalid("a content part must be an object");
    }
    BOOST_OUTCOME_TRY(part_text, stringField(part, "text"));
    text += part_text;
  }
  return text;
}

Result<std::string> renderMessages(const Json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return invalid("'messages' must be a list with at least one message");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      return invalid("a message must be an object");
    }
    BOOST_OUTCOME_TRY(role, stringField(message, "role"));
    BOOST_OUTCOME_TRY(content, messageContent(message));
    absl::StrAppend(&prompt, "<|", role, "|>", content);
  }
  return prompt + "<|assistant|>";
}

Result<uint32_t> maximumTokens(const Json& body) {
  for (const char* field : {"max_completion_tokens", "max_tokens"}) {
    const auto entry = body.find(field);
    if (entry == body.end() || entry->is_null()) {
      continue;
    }
    if (!entry->is_number_unsigned() || *entry == 0U || *entry > kMaxTokensLimit) {
      return invalid(std::string("'") + field + "' must be from 1 to " + std::to_string(kMaxTokensLimit));
    }
    return entry->get<uint32_t>();
  }
  return kDefaultMaxTokens;
}

Result<bool> booleanField(const Json& body, const char* field, bool default_value) {
  const auto entry = body.find(field);
  if (entry == body.end() || entry->is_null()) {
    return default_value;
  }
  if (!entry->is_boolean()) {
    return invalid(std::string("'") + field + "' must be true or false");
  }
  return entry->get<bool>();
}

}  // namespace

Result<CompletionRequest> parseCompletionRequest(CompletionShape shape, std::string_view body) {
  constexpr bool allow_exceptions = false;
  const Json json = Json::parse(body, nullptr, allow_exceptions);
  if (json.is_discarded() || !json.is_object()) {
    return invalid("the body must be a JSON object");
  }
  CompletionRequest request;
  request.shape = shape;
  BOOST_OUTCOME_TRY(model, stringField(json, "model"));
  request.model = ModelName(std::move(model));
  if (json.contains("adapter")) {
    BOOST_OUTCOME_TRY(adapter, stringField(json, "adapter"));
    request.adapter = AdapterName(std::move(adapter));
  }
  if (shape == CompletionShape::kChat) {
    BOOST_OUTCOME_TRY(prompt, renderMessages(json));
    request.prompt = std::move(prompt);
  } else {
    BOOST_OUTCOME_TRY(prompt, stringField(json, "prompt"));
    request.prompt = std::move(prompt);
  }
  BOOST_OUTCOME_TRY(maximum_tokens, maximumTokens(json));
  request.maximum_tokens = maximum_tokens;
  BOOST_OUTCOME_TRY(stream, booleanField(json, "stream", false));
  request.stream = stream;
  return request;
}

}  // namespace quincewick::http
