// Choice of a software version of the service for a request, and its outcome for the rollout.
#include <absl/random/distributions.h>

#include <utility>
#include <vector>

#include "gateway/exchange.h"
#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

constexpr double kHashRange = 18446744073709551616.0;  // 2 to the power of 64

}  // namespace

// In [0, 1]: requests with the same prompt get the same version, so that the shared prefix is prefilled once
// per variant. The first block may be common to all prompts; the last shared one distinguishes them.
double Exchange::promptFraction() const {
  constexpr size_t own_and_shared = 2;
  if (facts_.prompt.size() < own_and_shared) {
    return absl::Uniform(core_.random, 0.0, 1.0);
  }
  const std::string& part = facts_.prompt[facts_.prompt.size() - own_and_shared].id;
  return static_cast<double>(hashOf(part)) / kHashRange;
}

bool Exchange::chooseSoftware() {
  software_ = core_.rollouts->choose({service_, route_->name, promptFraction(), ledger_.isNextRetry()});
  return software_.has_value();
}

bool Exchange::chooseServerByVersion(absl::Time now) {
  if (!software_ && !chooseSoftware()) {
    return false;
  }
  servers_of_software_ = core_.rollouts->serversOf(service_, *software_);
  if (chooseServerAmong(servers_of_software_, now)) {
    return true;
  }
  // The target version may have no server that accepts requests yet.
  software_ = core_.rollouts->choose({service_, route_->name, 1.0, true});
  if (!software_) {
    return false;
  }
  servers_of_software_ = core_.rollouts->serversOf(service_, *software_);
  return chooseServerAmong(servers_of_software_, now);
}

// The servers of the version that began the stream: what two versions write doesn't fit together.
bool Exchange::chooseServerOfStream(const SoftwareVersion& software, absl::Time now) {
  servers_of_software_ = core_.directory.ofService(service_);
  std::erase_if(servers_of_software_, [this, &software](const auto& server) {
    const bool is_allowed = core_.rollouts == nullptr || core_.rollouts->mayUse(*server);
    return !is_allowed || server->provenSoftware() != software;
  });
  return chooseServerAmong(servers_of_software_, now);
}

// The rollout may have advanced while the owner of the engine's occupancy was queried.
bool Exchange::mayStillUseServer() const {
  return core_.rollouts == nullptr || core_.rollouts->mayUse(*server_);
}

void Exchange::noteRolloutSent() {
  if (core_.rollouts != nullptr) {
    was_busy_ = 2 * server_->running() > server_->entry.slots;
    rollout_end_ = RolloutExchange::AttemptOutcome::kUncounted;
    core_.rollouts->noteSent(*server_);
  }
}

void Exchange::noteRolloutEnd(RolloutExchange::AttemptOutcome end) {
  if (rollout_end_) {
    rollout_end_ = end;
  }
}

void Exchange::settleRollout() {
  if (rollout_end_) {
    core_.rollouts->noteOver(*server_, route_->name, was_busy_, *std::exchange(rollout_end_, std::nullopt),
                             reactor::steadyNow() - attempt_began_);
  }
}

}  // namespace quincewick::gateway
