#include "forwarding/attempt_ledger.h"

namespace quincewick::forwarding {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;

}  // namespace

bool promisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

void AttemptLedger::noteOutcome(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNeverSent:
      ++never_sent_;
      break;
    case AttemptOutcome::kDeclined:
      --sent_;
      ++never_sent_;
      break;
    case AttemptOutcome::kRefused:
      ++refused_;
      break;
    case AttemptOutcome::kUnknown:
      ++unknown_;
      break;
    case AttemptOutcome::kFailed:
      ++failed_;
      break;
  }
}

bool AttemptLedger::mayRetry() const {
  if (refused_ >= kMaximumRefusals || never_sent_ >= kMaximumNeverSent) {
    return false;
  }
  const uint32_t runs = unknown_ + failed_;
  return runs == 0 || (is_repeatable_ && runs < max_attempts_);
}

bool AttemptLedger::mayRetryAfter(AttemptOutcome outcome) const {
  AttemptLedger after = *this;
  after.noteOutcome(outcome);
  return after.mayRetry();
}

Execution AttemptLedger::execution() const {
  if (failed_ > 0) {
    return Execution::kRan;
  }
  const bool are_all_refused = refused_ == sent_;
  return are_all_refused ? Execution::kNotRun : Execution::kUnknown;
}

int AttemptLedger::finalStatus(bool out_of_time) const {
  if (execution() == Execution::kNotRun) {
    return kUnavailable;
  }
  return out_of_time ? kGatewayTimeout : kBadGateway;
}

}  // namespace quincewick::forwarding
