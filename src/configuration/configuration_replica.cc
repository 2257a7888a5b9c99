#include "configuration/configuration_replica.h"

#include <absl/random/distributions.h>

#include <utility>

namespace quincewick::configuration {
namespace {

// The places in a zone that poll the store; those behind them rely on their peers alone.
constexpr size_t kPollingRanks = 3;

}  // namespace

ConfigurationReplica::ConfigurationReplica(ReplicaSettings settings, absl::Time now)
    : settings_(std::move(settings)),
      started_at_(now),
      directory_(settings_.node, settings_.zone),
      exchange_(settings_, state_, directory_, now),
      follower_(state_, calls_),
      proposer_(state_, follower_, calls_),
      compactor_(settings_, state_, follower_, calls_),
      next_poll_(now + settings_.startup_window),
      next_ask_(now) {}

const Policy& ConfigurationReplica::policy() const {
  if (state_.version() == ConfigurationVersion() && settings_.initial_policy) {
    return *settings_.initial_policy;
  }
  return state_.document().policy();
}

ConfigurationVersion ConfigurationReplica::greatestHeardOf() const {
  return std::max(exchange_.greatestHeardOf(), state_.version());
}

ReplicaActions ConfigurationReplica::handle(const ReplicaEvent& event, absl::Time now,
                                            absl::BitGenRef random) {
  ReplicaActions actions;
  const ConfigurationVersion version_before = state_.version();
  const bool ready_before = ready_;
  bool accepted_here = false;
  if (std::holds_alternative<Tick>(event)) {
    onTick(now, random, actions);
  } else if (const auto* peers = std::get_if<PeersChanged>(&event)) {
    directory_.setPeers(peers->peers);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    exchange_.onMessage(*message, now, actions);
  } else if (const auto* reply = std::get_if<PlatformReply>(&event)) {
    onPlatformReply(*reply, now, random, actions);
    accepted_here = std::holds_alternative<TableCommitted>(reply->result);
  } else if (const auto* proposal = std::get_if<ChangeProposed>(&event)) {
    proposer_.propose(*proposal, now, actions);
  } else if (std::holds_alternative<SurveyRequested>(event)) {
    exchange_.survey(now, actions);
  }
  const bool advanced = state_.version() > version_before;
  if (advanced) {
    exchange_.announce(accepted_here || directory_.rank() == 0, now, random, actions);
  }
  if (advanced && accepted_here) {
    compactor_.onAccepted(state_.version(), now, actions);
  }
  updateReadiness(now);
  if (advanced || ready_ != ready_before) {
    actions.emplace_back(VersionInForce{state_.version()});
  }
  return actions;
}

void ConfigurationReplica::onTick(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  if (!state_.isConfirmed() && now >= next_ask_ && !directory_.empty()) {
    next_ask_ = now + settings_.startup_window;
    exchange_.askPeers(now, random, actions);
  }
  exchange_.onTick(now, random, actions);
  const StoreFollower::Progress progress = follower_.onTick(now, settings_.store_call_timeout);
  if (progress != StoreFollower::Progress::kNone) {
    onPollEnded(progress, now, random, actions);
  }
  proposer_.onTick(now, settings_.store_call_timeout, random, actions);
  compactor_.onTick(now);
  pollWhenDue(now, random, actions);
}

void ConfigurationReplica::pollWhenDue(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  const size_t rank = directory_.rank();
  if (rank >= kPollingRanks || now < next_poll_ || follower_.isPolling() || !startupWindowIsOver(now)) {
    return;
  }
  // A standby polls only when it has not heard for a while that its relay does.
  const absl::Duration patience =
      rank == 0 ? absl::ZeroDuration() : settings_.poll_interval + settings_.takeover_delay * rank;
  const absl::Time quiet_since = std::max(state_.confirmedAt(), started_at_);
  if (now < quiet_since + patience) {
    return;
  }
  next_poll_ = now + settings_.poll_interval * absl::Uniform(random, 0.9, 1.1);
  follower_.poll(now, actions);
}

bool ConfigurationReplica::startupWindowIsOver(absl::Time now) const {
  const bool all_answered = exchange_.asked() > 0 && exchange_.answers() >= exchange_.asked();
  return all_answered || now >= started_at_ + settings_.startup_window;
}

void ConfigurationReplica::onPlatformReply(const PlatformReply& reply, absl::Time now, absl::BitGenRef random,
                                           ReplicaActions& actions) {
  if (proposer_.onReply(reply, now, random, actions)) {
    return;
  }
  const StoreFollower::Progress progress = follower_.onReply(reply, now, actions);
  if (progress != StoreFollower::Progress::kNone) {
    onPollEnded(progress, now, random, actions);
  }
  compactor_.onReply(reply, now, actions);
}

void ConfigurationReplica::onPollEnded(StoreFollower::Progress progress, absl::Time now,
                                       absl::BitGenRef random, ReplicaActions& actions) {
  if (progress == StoreFollower::Progress::kUpToDate) {
    state_.confirm(follower_.pollStarted());
    exchange_.announceToStandbys(now, actions);
    if (directory_.rank() == 0) {
      compactor_.onPolled(now, random, actions);
    }
  }
  proposer_.onPollEnded(progress, now, random, actions);
}

void ConfigurationReplica::updateReadiness(absl::Time now) {
  if (ready_) {
    return;
  }
  const bool may_run_on_initial =
      settings_.initial_policy.has_value() && now >= started_at_ + settings_.initial_policy_delay;
  // The newest version that a peer has spoken of is waited for, but not for ever.
  const bool holds_newest =
      state_.version() >= exchange_.greatestHeardOf() || now >= started_at_ + settings_.startup_window * 4;
  ready_ = (state_.isConfirmed() && startupWindowIsOver(now) && holds_newest) || may_run_on_initial;
}

}  // namespace quincewick::configuration
