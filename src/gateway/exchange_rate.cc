// Acquires and refunds a request's share of the rate limit that a server reported.
#include <algorithm>
#include <utility>

#include "forwarding/server_choice.h"
#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaxRateRequestsPerAttempt = 8;  // servers tried per attempt; each costs a round trip

}  // namespace

void Exchange::requestRate() {
  ++rates_requested_;
  has_rate_decision_ = false;
  const uint32_t turn = ++rate_turn_;
  const uint64_t request_number = core_.server_rates->acquire(*server_, [this](const RateDecision& decision) {
    const auto self = shared_from_this();
    onRateDecision(decision);
  });
  // If this gateway owns the rate limit, the decision comes within the call, and a request for the next
  // server may already be pending.
  const bool is_open = turn == rate_turn_ && !has_rate_decision_;
  if (is_open) {
    pending_rate_ = request_number;
  }
}

void Exchange::onRateDecision(const RateDecision& decision) {
  has_rate_decision_ = true;
  pending_rate_.reset();
  if (decision.is_granted) {
    rate_grant_ = decision.grant;
    sendToChosenServer();
    return;
  }
  server_->back_pressure->noteRateUsedUp(decision.retry_after, reactor::steadyNow());
  releaseServer();
  server_ = nullptr;
  if (rates_requested_ < kMaxRateRequestsPerAttempt) {
    tryNext();
  } else {
    giveUp(false, kNoServer);
  }
}

// At the end of an attempt: cancels a pending acquisition, and refunds a grant that was not used.
void Exchange::releaseRate() {
  if (pending_rate_) {
    core_.server_rates->cancel(*std::exchange(pending_rate_, std::nullopt));
  }
  if (rate_grant_) {
    core_.server_rates->refund(*std::exchange(rate_grant_, std::nullopt));
  }
}

// Time until the first server is free if all servers of the service asked for a limit or a back-off period;
// at least kRetryAfter.
absl::Duration Exchange::retryAfter() const {
  if (retry_after_of_delegate_) {
    return std::max(kRetryAfter, *retry_after_of_delegate_);
  }
  if (isKnownBrittle()) {
    return std::max(kRetryAfter, core_.permits->retryAfter(service_));
  }
  if (!without_permit_.empty()) {
    return std::max(kRetryAfter, core_.permits->spreadRetryAfter(permit_retry_after_));
  }
  const absl::Time now = reactor::steadyNow();
  const absl::Time free_at = forwarding::firstAvailableAt(core_.directory.ofService(service_), now);
  return free_at == absl::InfiniteFuture() ? kRetryAfter : std::max(kRetryAfter, free_at - now);
}

}  // namespace quincewick::gateway
