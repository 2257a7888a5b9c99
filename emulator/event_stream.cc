#include "emulator/event_stream.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

#include "emulator/answer.h"

namespace quincewick::emulator {
namespace {

constexpr uint64_t kOtherAnswer = 0x6F74686572;  // makes the seed of an answer that nobody asked for

}  // namespace

std::string formatEvent(uint64_t offset, const nlohmann::json& data) {
  return absl::StrCat("id: ", offset, "\ndata: ", data.dump(), "\n\n");
}

nlohmann::json tokenJson(const RequestId& request, const std::string& text) {
  return {{"id", request.value()}, {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", nullptr}}}}};
}

std::string EventStreamWriter::oneToken(uint64_t offset) {
  const absl::Time now = absl::Now();
  std::string event =
      formatEvent(offset, tokenJson(completion_.request_id, answerToken(completion_.answer_seed, offset)));
  if (faults_.strikes(FaultKind::kGarbledAnswers, now)) {
    return absl::StrCat("id: ", offset, "\ndata: {\"choices\":[{\"ind\n\n");
  }
  if (faults_.strikes(FaultKind::kDuplicateEvents, now)) {
    event += event;
  }
  if (faults_.strikes(FaultKind::kCrossedAnswers, now)) {
    const std::string foreign = answerToken(completion_.answer_seed ^ kOtherAnswer, offset);
    event = formatEvent(offset, tokenJson(RequestId("another-request"), foreign)) + event;
  }
  return event;
}

std::optional<std::string> EventStreamWriter::tokensUntil(uint64_t until) {
  std::string events;
  for (; next_ < until; ++next_) {
    const absl::Time now = absl::Now();
    if (faults_.strikes(FaultKind::kCutStreams, now)) {
      return std::nullopt;
    }
    std::string event = oneToken(next_);
    if (held_back_.empty() && faults_.strikes(FaultKind::kLateEvents, now)) {
      held_back_ = std::move(event);
      continue;
    }
    absl::StrAppend(&events, event, std::exchange(held_back_, ""));
  }
  return events;
}

std::string EventStreamWriter::end(const nlohmann::json& last) {
  return absl::StrCat(std::exchange(held_back_, ""), formatEvent(next_, last), "data: [DONE]\n\n");
}

}  // namespace quincewick::emulator
