// A request and the rates that servers named.
#include <algorithm>
#include <utility>

#include "forwarding/server_choice.h"
#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRatesAskedAtMost = 8;  // servers for one attempt: each takes a round trip

}  // namespace

void Exchange::askForRate() {
  ++rates_asked_;
  is_rate_answered_ = false;
  const uint32_t turn = ++rate_turn_;
  const uint64_t question = core_.server_rates->ask(*server_, [this](const RateAnswer& answer) {
    const auto self = shared_from_this();
    takeRate(answer);
  });
  // A keeper in this process answers at once, and the next server may have been asked meanwhile.
  const bool is_open = turn == rate_turn_ && !is_rate_answered_;
  if (is_open) {
    rate_question_ = question;
  }
}

void Exchange::takeRate(const RateAnswer& answer) {
  is_rate_answered_ = true;
  rate_question_.reset();
  if (answer.is_granted) {
    rate_grant_ = answer.grant;
    sendChosen();
    return;
  }
  server_->back_pressure->noteRateUsedUp(answer.retry_after, reactor::steadyNow());
  releaseServer();
  server_ = nullptr;
  if (rates_asked_ < kRatesAskedAtMost) {
    tryNext();
  } else {
    giveUp(false, kNoServer);
  }
}

// At the end of an attempt: an open question is dropped, and what was granted for nothing is given back.
void Exchange::settleRate() {
  if (rate_question_) {
    core_.server_rates->forget(*std::exchange(rate_question_, std::nullopt));
  }
  if (rate_grant_) {
    core_.server_rates->giveBack(*std::exchange(rate_grant_, std::nullopt));
  }
}

// Where every server of the service is held back by its own word, the time until the first one is free.
absl::Duration Exchange::retryAfter() const {
  const absl::Time now = reactor::steadyNow();
  const absl::Time free_at = forwarding::firstAvailableAt(core_.directory.ofService(service_), now);
  return free_at == absl::InfiniteFuture() ? kRetryAfter : std::max(kRetryAfter, free_at - now);
}

}  // namespace quincewick::gateway
