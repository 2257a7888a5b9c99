#include "loadgen/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emulator/answer.h"

namespace quincewick::loadgen {
namespace {

using Json = nlohmann::json;

constexpr bool kThrowNothing = false;

Json parseJson(std::string_view text) {
  return Json::parse(text, nullptr, kThrowNothing);
}

// The member, or null where `json` is no object or lacks it.
Json member(const Json& json, const char* name) {
  return json.is_object() && json.contains(name) ? json[name] : Json();
}

uint64_t unsignedMember(const Json& json, const char* name) {
  const Json value = member(json, name);
  return value.is_number_unsigned() ? value.get<uint64_t>() : 0;
}

std::string textMember(const Json& json, const char* name) {
  const Json value = member(json, name);
  return value.is_string() ? value.get<std::string>() : "";
}

Json firstChoice(const Json& json) {
  const Json choices = member(json, "choices");
  return choices.is_array() && !choices.empty() ? choices[0] : Json();
}

Usage readUsage(const Json& json) {
  Usage usage;
  usage.prompt_tokens = unsignedMember(json, "prompt_tokens");
  usage.completion_tokens = unsignedMember(json, "completion_tokens");
  usage.cached_tokens = unsignedMember(member(json, "prompt_tokens_details"), "cached_tokens");
  return usage;
}

std::optional<TypedError> readTypedError(const Json& json) {
  const Json error = member(json, "error");
  if (!error.is_object()) {
    return std::nullopt;
  }
  TypedError typed{textMember(error, "type"), Execution::kUnknown};
  const std::string ran = textMember(error, "ran");
  if (ran == executionName(Execution::kNotRun)) {
    typed.execution = Execution::kNotRun;
  } else if (ran == executionName(Execution::kRan)) {
    typed.execution = Execution::kRan;
  }
  return typed;
}

}  // namespace

std::optional<TypedError> parseTypedError(std::string_view body) {
  return readTypedError(parseJson(body));
}

AnswerCheck::AnswerCheck(std::string_view model, std::string_view prompt, uint32_t maximum_tokens)
    : seed_(emulator::answerSeed(model, prompt)),
      expected_tokens_(std::min<uint64_t>(maximum_tokens, emulator::answerLength(seed_))) {}

void AnswerCheck::accept(const ServerSentEvent& event, absl::Duration at) {
  if (has_end_marker_ || error_type_) {
    violate(Violation::kEndMarker);
    return;
  }
  if (event.data == "[DONE]") {
    has_end_marker_ = true;
    if (!has_finish_reason_ || tokens_ != expected_tokens_) {
      violate(Violation::kIncomplete);
    }
    return;
  }
  const Json json = parseJson(event.data);
  if (const std::optional<TypedError> error = readTypedError(json)) {
    error_type_ = error->type;
    execution_ = error->execution;
    return;
  }
  const Json choice = firstChoice(json);
  std::string text = textMember(choice, "text");
  if (text.empty()) {
    text = textMember(member(choice, "delta"), "content");
  }
  if (!text.empty()) {
    acceptToken(event.id, text, at);
  }
  if (member(choice, "finish_reason").is_string()) {
    has_finish_reason_ = true;
    usage_ = readUsage(member(json, "usage"));
  }
}

void AnswerCheck::acceptToken(const std::string& id, const std::string& text, absl::Duration at) {
  if (!first_token_) {
    first_token_ = at;
  }
  if (has_finish_reason_) {
    violate(Violation::kEndMarker);
  }
  // An id is the token's offset, or REQUEST:OFFSET.
  const std::string offset = id.substr(id.rfind(':') + 1);
  if (!id.empty() && offset != std::to_string(tokens_)) {
    violate(Violation::kOutOfOrder);
  }
  if (text != emulator::answerToken(seed_, tokens_)) {
    violate(Violation::kForeignText);
  }
  ++tokens_;
}

void AnswerCheck::violate(Violation violation) {
  if (!violation_) {
    violation_ = violation;
  }
}

void AnswerCheck::finish(bool cleanly, RequestOutcome& outcome) const {
  outcome.tokens = tokens_;
  outcome.usage = usage_;
  outcome.first_token = first_token_;
  outcome.violation = violation_;
  if (has_end_marker_) {
    outcome.outcome = OutcomeClass::kComplete;
    outcome.execution = Execution::kRan;
    return;
  }
  if (error_type_) {
    outcome.outcome = tokens_ > 0 ? OutcomeClass::kCut : OutcomeClass::kRefused;
    outcome.error_type = *error_type_;
    outcome.execution = execution_;
    return;
  }
  outcome.outcome = OutcomeClass::kFailed;
  outcome.error_type = "connection_lost";
  if (cleanly && !outcome.violation) {
    outcome.violation = Violation::kSilentEnd;
  }
}

}  // namespace quincewick::loadgen
