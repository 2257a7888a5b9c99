// Checks one streamed answer against what emulated engines must answer to its prompt.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loadgen/event_stream.h"
#include "loadgen/outcome.h"

namespace quincewick::loadgen {

// Fed with the events of one response; knows the answer from (model, prompt). Not thread-safe.
class AnswerCheck {
 public:
  // `prompt` is the text that the engine sees: for chat, the rendered messages.
  AnswerCheck(std::string_view model, std::string_view prompt, uint32_t maximum_tokens);

  // `at` is the time since the start of the run.
  void accept(const ServerSentEvent& event, absl::Duration at);

  // The response is over; `cleanly` if by its own end, not by a broken connection. Fills in the outcome's
  // class, error, tokens, usage, first token and violation.
  void finish(bool cleanly, RequestOutcome& outcome) const;

 private:
  void acceptToken(const std::string& id, const std::string& text, absl::Duration at);
  void violate(Violation violation);

  uint64_t seed_;
  uint64_t expected_tokens_;
  uint64_t tokens_ = 0;
  std::optional<absl::Duration> first_token_;
  bool has_finish_reason_ = false;
  bool has_end_marker_ = false;
  std::optional<std::string> error_type_;
  Execution execution_ = Execution::kUnknown;
  Usage usage_;
  std::optional<Violation> violation_;
};

// The type and the "ran" field of a typed error body; nothing if it is none.
struct TypedError {
  std::string type;
  Execution execution = Execution::kUnknown;
};
std::optional<TypedError> parseTypedError(std::string_view body);

}  // namespace quincewick::loadgen
