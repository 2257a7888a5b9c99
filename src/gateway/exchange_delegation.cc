// Requests that another gateway sends to a server in this gateway's place, and those that this gateway sends
// for others.
#include <algorithm>
#include <utility>

#include "gateway/delegations.h"
#include "gateway/exchange.h"
#include "gateway/path_prober.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptOutcome;

// Attempts that reach no server before another gateway is asked, though the service isn't known to be cut
// off.
constexpr uint32_t kMinNeverSent = 2;
constexpr absl::Duration kMaxOfferWait = absl::Milliseconds(100);
constexpr absl::Duration kOfferCheckInterval = absl::Milliseconds(5);
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

bool Exchange::prefersDelegate() const {
  return core_.paths->isCutOff(service_) || ledger_.neverSent() >= kMinNeverSent;
}

// Whether a server of the service can't be chosen only because it could not be reached.
bool Exchange::isHeldBackByPath() const {
  const absl::Time now = reactor::steadyNow();
  const Servers& servers = core_.directory.ofService(service_);
  return std::any_of(servers.begin(), servers.end(), [now](const auto& server) {
    return !server->isLeaving() && server->is_readable && server->connect_failures > 0 &&
           now < server->ejected_until;
  });
}

// Whether another gateway may take the request although no attempt of it reached a server.
bool Exchange::mayStillDelegate() const {
  return !terms_ && declined_by_.empty() && ledger_.execution() == Execution::kNotRun &&
         !core_.delegations->isHopeless(service_);
}

bool Exchange::delegate() {
  if (terms_ || core_.delegations == nullptr) {
    return false;
  }
  const std::optional<Delegate> chosen = core_.delegations->choose(service_, declined_by_);
  if (!chosen) {
    return awaitOffer();
  }
  if (ledger_.isNextRetry() && !mayRepeat(reactor::steadyNow())) {
    giveUp(false, "retry_budget");
    return true;
  }
  return sendToDelegate(*chosen);
}

bool Exchange::awaitOffer() {
  const absl::Time now = reactor::steadyNow();
  offer_wait_ends_ = std::min(offer_wait_ends_, now + kMaxOfferWait);
  if (now >= offer_wait_ends_ || core_.delegations->isHopeless(service_)) {
    return false;
  }
  offer_timer_ = core_.timers.schedule(now + kOfferCheckInterval, [this] {
    const auto self = shared_from_this();
    offer_timer_ = reactor::TimerQueue::Key();
    tryNext();
  });
  return true;
}

bool Exchange::sendToDelegate(const Delegate& chosen) {
  const absl::Time now = reactor::steadyNow();
  DelegatedRequest request;
  request.method = head_.method;
  request.target = head_.target;
  const std::string* const connection = findField(head_.fields, "Connection");
  for (const HeaderField& field : head_.fields) {
    if (!isHopByHop(field.name, connection == nullptr ? "" : *connection)) {
      request.fields.push_back(field);
    }
  }
  request.body = std::string(body_.bytes);
  request.service = service_;
  request.elapsed = now - began_;
  request.time_left = deadline_ - now;
  request.last_event_id = last_event_ ? absl::StrCat(*last_event_) : "";
  request.asks_for_software = mayGoOnElsewhere();
  // A delegate doesn't change the store's record.
  request.software = begun_software_ ? begun_software_ : recorded_software_;
  std::optional<AttemptRequest> sealed = core_.delegations->seal(chosen, request, delegated_sequence_);
  if (!sealed) {
    return false;
  }
  sealed_charge_.resize(sealed->bytes.size());
  resetAttempt();
  engine_.reset();
  yields_ = false;
  delegate_ = chosen.id;
  server_ = chosen.server;
  counted_ = forwarding::ServerLoad{1, 0};
  server_->own.running += counted_.running;
  core_.delegations->noteStarted(chosen.id);
  if (ledger_.isNextRetry()) {
    core_.metrics.countRetry();
  }
  sealed->attempt_id = facts_.attempt_id;
  sealed->is_head_method = head_.method == "HEAD";
  sealed->wants_fresh_connection = !route_->mayRunAgain();
  tried_.push_back(server_->identity_hash);
  core_.log.event("delegated", now)
      .with("request", facts_.attempt_id)
      .with("service", service_.value())
      .with("to", chosen.id.value());
  attempt_ = pool_.start(server_, *std::move(sealed), this);
  return true;
}

Exchange::Verdict Exchange::judgeDelegated(const HttpHead& head, const forwarding::ResponseFacts& facts) {
  const auto report = core_.delegations->reportOf(head, *delegate_, delegated_sequence_);
  if (!report) {
    return Verdict::kBroken;
  }
  core_.metrics.countDelegated(report->outcome);
  attempt_software_ = report->software;
  switch (report->outcome) {
    case DelegationOutcome::kServed: {
      const Verdict verdict = judge(head, facts);
      return verdict == Verdict::kRefused ? Verdict::kBroken : verdict;
    }
    case DelegationOutcome::kDeclined:
      has_declined_ = true;
      return Verdict::kRefused;
    case DelegationOutcome::kNotRun:
      retry_after_of_delegate_ = facts.back_off.value_or(kRetryAfter);
      return Verdict::kRefused;
    case DelegationOutcome::kUnknown:
      break;
  }
  return Verdict::kBroken;
}

// One that declined is passed over; one whose servers rejected the request speaks for the others too.
void Exchange::endDelegatedRefusal() {
  if (std::exchange(has_declined_, false)) {
    noteDelegateFailed();
    endAttempt(AttemptOutcome::kDeclined);
    return;
  }
  releaseServer();
  attempt_.reset();
  ledger_.noteOutcome(AttemptOutcome::kRefused);
  giveUp(false, "rejected_elsewhere");
}

void Exchange::noteDelegateFailed() {
  declined_by_.push_back(*delegate_);
  core_.delegations->noteDeclined(service_, *delegate_);
}

void Exchange::releaseDelegate() {
  sealed_charge_.resize(0);
  if (delegate_) {
    core_.delegations->noteEnded(*std::exchange(delegate_, std::nullopt));
  }
}

// Starts a request of another gateway, which has counted it under the limit and the retry budget. Whether it
// is sent to a second server after it may have run is the origin's decision.
void Exchange::beginDelegated() {
  began_ -= terms_->elapsed;
  begun_software_ = terms_->software;
  const auto has_service = [this](const forwarding::ServiceShare& share) {
    return share.service == terms_->service;
  };
  service_ = terms_->service;
  if (!core_.delegations->mayTake(service_) || !admit()) {
    if (!is_done_) {
      reject(kUnavailable, "not_taken", kRetryAfter);
    }
    return;
  }
  if (std::none_of(route_->shares.begin(), route_->shares.end(), has_service)) {
    reject(kUnavailable, "other_configuration", kRetryAfter);
    return;
  }
  identify();
  ledger_ = forwarding::AttemptLedger(route_->mayRunAgain(), 1);
  facts_.deadline = std::nullopt;
  if (terms_->time_left != absl::InfiniteDuration()) {
    facts_.deadline = terms_->elapsed + terms_->time_left;
  }
  setDeadline();
  tryNext();
}

// The outcome that goes with a rejection of this gateway's own.
DelegationOutcome Exchange::outcomeOfRejection(int status) const {
  const bool is_refused_here = status == kUnauthorized || status == kNotFound;
  if (!is_refused_here && !forwarding::promisesNotRun(status)) {
    return DelegationOutcome::kUnknown;
  }
  // Permits are the site's: another gateway finds none either.
  const bool was_refused = ledger_.isNextRetry() || !without_permit_.empty();
  return was_refused ? DelegationOutcome::kNotRun : DelegationOutcome::kDeclined;
}

}  // namespace quincewick::gateway
