#include "gateway/quota_exchange.h"

#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

// How soon a gateway that came counts among the keepers, and how soon this one notices that it hears none.
constexpr absl::Duration kBeatInterval = absl::Milliseconds(250);

}  // namespace

QuotaExchange::QuotaExchange(Core& core, PeerDirectory& directory, PeerExchange& peers,
                             peer::PeerModule module, const quota::LimitTolerance& tolerance,
                             quota::SharedQuotas::LimitOf limit_of, quota::Unanswered unanswered)
    : core_(core),
      directory_(directory),
      peers_(peers),
      module_(module),
      quotas_(core.settings.gateway_id, tolerance, std::move(limit_of), unanswered) {}

void QuotaExchange::start() {
  peers_.setMessageHandler(
      module_, [this](const NodeId& from, std::string_view payload) { return take(from, payload); });
  beat();
}

void QuotaExchange::beat() {
  const absl::Time now = reactor::steadyNow();
  quotas_.setMembers(directory_.ownerCandidates());
  quotas_.noteBeat(!directory_.peers().empty() && peers_.areNearPeersSilent(now), now);
  core_.timers.schedule(now + kBeatInterval, [this] { beat(); });
}

uint64_t QuotaExchange::ask(const quota::LimitName& name, double cost, Decided decided) {
  quota::QuotaActions actions;
  const uint64_t number = quotas_.ask(name, cost, reactor::steadyNow(), actions);
  waiting_[number] = std::move(decided);
  carryOut(actions);
  return number;
}

void QuotaExchange::forget(uint64_t number) {
  quotas_.forget(number);
  waiting_.erase(number);
}

void QuotaExchange::giveBack(const quota::LimitName& name, double cost, const NodeId& keeper) {
  quota::QuotaActions actions;
  quotas_.giveBack(name, cost, keeper, actions);
  carryOut(actions);
}

Result<void> QuotaExchange::take(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, quota::decodeQuotaMessage(payload));
  quota::QuotaActions actions;
  quotas_.onMessage(from, message, reactor::steadyNow(), actions);
  carryOut(actions);
  return outcome::success();
}

void QuotaExchange::carryOut(const quota::QuotaActions& actions) {
  for (const quota::QuotaActions::Outgoing& outgoing : actions.messages) {
    peers_.sendTo(outgoing.to, module_, encodeQuotaMessage(outgoing.message));
  }
  scheduleTick();
  for (const quota::QuotaDecision& decision : actions.decisions) {
    const auto waiting = waiting_.find(decision.number);
    if (waiting == waiting_.end()) {
      continue;
    }
    const Decided decided = std::move(waiting->second);
    waiting_.erase(waiting);
    decided(decision);
  }
}

void QuotaExchange::scheduleTick() {
  const absl::Time next = quotas_.nextWakeup();
  if (next >= timer_at_) {
    return;  // the timer that is set comes first, and looks again
  }
  core_.timers.cancel(timer_);
  timer_at_ = next;
  timer_ = core_.timers.schedule(next, [this] {
    timer_at_ = absl::InfiniteFuture();
    quota::QuotaActions actions;
    quotas_.onTick(reactor::steadyNow(), actions);
    carryOut(actions);
  });
}

}  // namespace quincewick::gateway
