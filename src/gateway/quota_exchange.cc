#include "gateway/quota_exchange.h"

#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

// Bounds how late a new gateway counts among the holders, and how late this gateway notices that it receives
// nothing from any peer.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(250);

}  // namespace

QuotaExchange::QuotaExchange(Core& core, PeerDirectory& directory, PeerExchange& peers,
                             peer::PeerModule module, const quota::LimitTolerance& tolerance,
                             quota::SharedQuotas::LimitOf limit_of)
    : core_(core),
      directory_(directory),
      peers_(peers),
      module_(module),
      quotas_(core.settings.gateway_id, tolerance, std::move(limit_of)) {}

void QuotaExchange::start() {
  peers_.setMessageHandler(
      module_, [this](const NodeId& from, std::string_view payload) { return receive(from, payload); });
  heartbeat();
}

void QuotaExchange::heartbeat() {
  const absl::Time now = reactor::steadyNow();
  updateMembers();
  quotas_.onHeartbeat(!directory_.peers().empty() && peers_.areNearPeersSilent(now), now);
  core_.timers.schedule(now + kHeartbeatInterval, [this] { heartbeat(); });
}

// A gateway that knows no other yet would hold all parts of every limit.
void QuotaExchange::updateMembers() {
  if (directory_.isComplete()) {
    has_members_ = true;
    quotas_.setMembers(directory_.ownerCandidates());
  }
}

uint64_t QuotaExchange::acquire(const quota::LimitName& name, double cost, DecisionCallback on_decision) {
  if (!has_members_) {
    updateMembers();
  }
  quota::QuotaActions actions;
  const uint64_t number = quotas_.requestGrant(name, cost, reactor::steadyNow(), actions);
  waiting_[number] = std::move(on_decision);
  execute(actions);
  return number;
}

void QuotaExchange::cancel(uint64_t number) {
  quotas_.cancel(number);
  waiting_.erase(number);
}

void QuotaExchange::refund(const quota::LimitName& name, double cost, const NodeId& owner) {
  quota::QuotaActions actions;
  quotas_.refund(name, cost, owner, actions);
  execute(actions);
}

Result<void> QuotaExchange::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, quota::decodeQuotaMessage(payload));
  quota::QuotaActions actions;
  quotas_.onMessage(from, message, reactor::steadyNow(), actions);
  execute(actions);
  return outcome::success();
}

void QuotaExchange::execute(const quota::QuotaActions& actions) {
  for (const quota::QuotaActions::Outgoing& outgoing : actions.messages) {
    peers_.sendTo(outgoing.to, module_, encodeQuotaMessage(outgoing.message));
  }
  scheduleTick();
  for (const quota::QuotaDecision& decision : actions.decisions) {
    const auto waiting = waiting_.find(decision.number);
    if (waiting == waiting_.end()) {
      continue;
    }
    const DecisionCallback on_decision = std::move(waiting->second);
    waiting_.erase(waiting);
    on_decision(decision);
  }
}

void QuotaExchange::scheduleTick() {
  const absl::Time next = quotas_.nextWakeup();
  if (next >= timer_at_) {
    return;  // the earlier timer reschedules
  }
  core_.timers.cancel(timer_);
  timer_at_ = next;
  timer_ = core_.timers.schedule(next, [this] {
    timer_at_ = absl::InfiniteFuture();
    quota::QuotaActions actions;
    quotas_.onTick(reactor::steadyNow(), actions);
    execute(actions);
  });
}

}  // namespace quincewick::gateway
