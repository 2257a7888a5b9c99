// Takes a permit before a request is sent to a server that may crash under the requests that it rejects.
#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/permit_exchange.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaxPermitRequests = 4;  // servers asked for in a row
constexpr absl::Duration kPermitCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kMaxPermitWait = absl::Milliseconds(100);
constexpr double kPermitWaitShare = 0.25;  // of the latency target
// While the first requests find out whether the service's servers are brittle.
constexpr absl::Duration kMaxFirstContactWait = absl::Milliseconds(500);
constexpr double kShareOfLessUrgent = 0.6;
constexpr uint32_t kLevelsOfMostUrgent = 2;  // in time, and late
constexpr std::string_view kNoPermit = "no_permit";

}  // namespace

// Requests of the service's most urgent class may use all permits, others leave some to them.
double Exchange::permitShare() const {
  const uint32_t urgency = tenant_ != nullptr && tenant_->urgency ? *tenant_->urgency : route_->urgency;
  const uint32_t level = configuration_->levelsOf(service_).levelOf(urgency, false);
  return level < kLevelsOfMostUrgent ? 1 : kShareOfLessUrgent;
}

bool Exchange::needsPermit() const {
  return !has_permit_ && !skips_permit_ && core_.permits->isNeeded(*server_);
}

void Exchange::requestPermit() {
  ++permits_requested_;
  has_permit_result_ = false;
  const uint32_t turn = ++permit_turn_;
  const uint64_t number = core_.permits->acquire(*server_, permitShare(), [this](const PermitResult& result) {
    const auto self = shared_from_this();
    onPermitResult(result);
  });
  // The result may come within the call, and a request for the next server may already be pending.
  const bool is_open = turn == permit_turn_ && !has_permit_result_;
  if (is_open) {
    pending_permit_ = number;
  }
}

void Exchange::onPermitResult(const PermitResult& result) {
  has_permit_result_ = true;
  pending_permit_.reset();
  if (result.is_granted) {
    has_permit_ = true;
    permit_ = result.permit;
    sendToChosenServer();
    return;
  }
  is_permit_unavailable_ = result.is_unavailable;
  permit_retry_after_ = result.retry_after;
  is_told_brittle_ = is_told_brittle_ || result.is_brittle;
  without_permit_.push_back(server_->identity_hash);
  releaseServer();
  server_ = nullptr;
  if (permits_requested_ < kMaxPermitRequests) {
    tryNext();
  } else {
    awaitPermit();
  }
}

bool Exchange::isKnownBrittle() const {
  return is_told_brittle_ || core_.permits->isBrittle(service_);
}

// Tries again shortly, for a fraction of the time in which the response is due; then the request is rejected.
void Exchange::awaitPermit() {
  const absl::Time now = reactor::steadyNow();
  const bool is_brittle = isKnownBrittle();
  const absl::Duration target = route_->target_latency.value_or(kMaxPermitWait);
  const absl::Duration longest =
      is_brittle ? std::min(kMaxPermitWait, target * kPermitWaitShare) : kMaxFirstContactWait;
  permit_wait_ends_ = std::min(permit_wait_ends_, now + longest);
  if (now >= permit_wait_ends_) {
    // Nobody has heard the servers for a while, and they weren't brittle then; or nobody can tell.
    skips_permit_ = !is_brittle && (core_.permits->isHeard(service_) || is_permit_unavailable_);
    if (!skips_permit_) {
      if (is_brittle) {
        core_.permits->noteDemand(service_, false);
      }
      giveUp(false, kNoPermit);
      return;
    }
  }
  permit_timer_ = core_.timers.schedule(now + kPermitCheckInterval, [this] {
    const auto self = shared_from_this();
    permit_timer_ = reactor::TimerQueue::Key();
    without_permit_.clear();
    permits_requested_ = 0;
    tryNext();
  });
}

// The attempt starts: until the server accepts it, it may be rejected.
void Exchange::noteUnaccepted() {
  if (permit_) {
    core_.permits->noteDemand(service_, true);
  }
  has_permit_ = false;
  unaccepted_ = core_.permits->noteSent(server_, std::exchange(permit_, std::nullopt), [this] {
    const auto self = shared_from_this();
    onPermitLost();
  });
}

void Exchange::endUnaccepted(quota::PermitEnd how) {
  if (unaccepted_) {
    core_.permits->noteEnd(*std::exchange(unaccepted_, std::nullopt), how);
  }
}

void Exchange::releasePermit() {
  if (pending_permit_) {
    core_.permits->cancel(*std::exchange(pending_permit_, std::nullopt));
  }
  if (permit_) {
    core_.permits->giveBack(*std::exchange(permit_, std::nullopt));
  }
  has_permit_ = false;
  // Without a response: it may have been a rejection, if the server is brittle.
  const bool is_brittle = core_.permits->isBrittle(service_);
  endUnaccepted(is_brittle ? quota::PermitEnd::kMaybeRejected : quota::PermitEnd::kNeverSent);
}

// The request waits at a server that may have to reject it, beyond what that server stands.
void Exchange::onPermitLost() {
  unaccepted_.reset();
  noteRolloutEnd(RolloutExchange::AttemptOutcome::kUncounted);
  attempt_.reset();
  releaseServer();
  ledger_.noteOutcome(forwarding::AttemptOutcome::kUnknown);
  if (sink_ == nullptr) {
    complete("caller_left");
  } else {
    giveUp(true, "not_accepted");
  }
}

std::vector<uint64_t> Exchange::excludedServers() const {
  std::vector<uint64_t> excluded = tried_;
  excluded.insert(excluded.end(), without_permit_.begin(), without_permit_.end());
  return excluded;
}

}  // namespace quincewick::gateway
