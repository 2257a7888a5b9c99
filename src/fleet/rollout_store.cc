#include "fleet/rollout_store.h"

#include <algorithm>
#include <string>
#include <utility>

namespace quincewick::fleet {
namespace {

constexpr size_t kMaximumWaiting = 16;
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);

}  // namespace

Result<void> RolloutStore::enqueue(const OperationId& operation, RolloutCommand command) {
  if (queue_.size() >= kMaximumWaiting) {
    return fail(ErrorCode::kResourceExhausted, "too many rollout commands wait at this node");
  }
  queue_.push_back(Waiting{operation, std::move(command), std::nullopt});
  is_stale_ = true;  // judged by the record as it is now
  next_call_ = absl::InfinitePast();
  return outcome::success();
}

std::optional<PlatformRequest> RolloutStore::nextCall(bool should_poll, absl::Time now) {
  if (in_flight_ || now < next_call_ || (queue_.empty() && !should_poll)) {
    return std::nullopt;
  }
  in_flight_ = true;
  if (is_stale_ || queue_.empty()) {
    return TableRead{{std::string(kRolloutKey)}};
  }
  Waiting& first = queue_.front();
  return TableTransaction{{{std::string(kRolloutKey), version_}},
                          {{std::string(kRolloutKey), encodeRollout(*first.attempt)}}};
}

std::vector<CommandAnswered> RolloutStore::takeResult(const std::optional<PlatformResult>& result,
                                                      absl::Time now) {
  in_flight_ = false;
  next_call_ = queue_.empty() ? now + poll_interval_ : now;
  std::vector<CommandAnswered> answered;
  if (result && std::holds_alternative<TableCommitted>(*result)) {
    Waiting& first = queue_.front();
    record_ = *first.attempt;
    version_ = std::get<TableCommitted>(*result).versions.front();
    read_at_ = now;
    answered.push_back(CommandAnswered{first.operation, record_});
    queue_.pop_front();
    is_stale_ = !queue_.empty();
    return answered;
  }
  const std::vector<TableItem>* items = nullptr;
  if (result && std::holds_alternative<TableItems>(*result)) {
    items = &std::get<TableItems>(*result).items;
  } else if (result && std::holds_alternative<TableConflict>(*result)) {
    items = &std::get<TableConflict>(*result).items;
  }
  if (items == nullptr || items->empty()) {
    is_stale_ = true;
    next_call_ = now + kRetryPause;
    return answered;
  }
  takeItem(items->front(), now);
  settleFirst(answered);
  return answered;
}

void RolloutStore::takeItem(const TableItem& item, absl::Time now) {
  const Result<RolloutRecord> decoded = decodeRollout(item.value);
  record_ = decoded.has_value() ? decoded.value() : RolloutRecord();
  version_ = item.version;
  read_at_ = now;
  is_stale_ = false;
}

// Judges the first command by the record that was just read.
void RolloutStore::settleFirst(std::vector<CommandAnswered>& answered) {
  while (!queue_.empty()) {
    Waiting& first = queue_.front();
    if (first.attempt && record_.hasOperation(first.operation)) {
      answered.push_back(CommandAnswered{first.operation, record_});  // an own write whose answer was lost
    } else {
      Result<RolloutRecord> next = applyCommand(record_, first.command, first.operation);
      if (next.has_value()) {
        first.attempt = std::move(next).value();
        return;
      }
      answered.push_back(CommandAnswered{first.operation, std::move(next)});
    }
    queue_.pop_front();
  }
}

absl::Time RolloutStore::nextWakeup(bool should_poll) const {
  return in_flight_ || (queue_.empty() && !should_poll) ? absl::InfiniteFuture() : next_call_;
}

}  // namespace quincewick::fleet
