// A request and the software versions of its service.
#include <absl/random/distributions.h>

#include <utility>

#include "gateway/exchange.h"
#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

constexpr double kHashes = 18446744073709551616.0;  // 2 to the power of 64

}  // namespace

// Requests of one prompt go to the same version, so that its shared parts are read once on either side. The
// first part may be common to all; the last shared one tells prompts apart.
double Exchange::placeAmongPrompts() const {
  constexpr size_t own_and_shared = 2;
  if (facts_.prompt.size() < own_and_shared) {
    return absl::Uniform(core_.random, 0.0, 1.0);
  }
  const std::string& part = facts_.prompt[facts_.prompt.size() - own_and_shared].id;
  return static_cast<double>(hashOf(part)) / kHashes;
}

bool Exchange::chooseSoftware() {
  software_ = core_.rollouts->choose({service_, route_->name, placeAmongPrompts(), ledger_.wouldRepeat()});
  return software_.has_value();
}

bool Exchange::chooseAmongVersions(absl::Time now) {
  if (!software_ && !chooseSoftware()) {
    return false;
  }
  servers_of_software_ = core_.rollouts->serversOf(service_, *software_);
  if (chooseAmong(servers_of_software_, now)) {
    return true;
  }
  // The target may have no server that takes work yet.
  software_ = core_.rollouts->choose({service_, route_->name, 1.0, true});
  if (!software_) {
    return false;
  }
  servers_of_software_ = core_.rollouts->serversOf(service_, *software_);
  return chooseAmong(servers_of_software_, now);
}

// The rollout may have gone on while the keeper of the engine's books was asked.
bool Exchange::mayStillUseServer() const {
  return core_.rollouts == nullptr || core_.rollouts->mayUse(*server_);
}

void Exchange::noteRolloutSent() {
  if (core_.rollouts != nullptr) {
    was_crowded_ = 2 * server_->running() > server_->entry.slots;
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
    core_.rollouts->noteOver(*server_, route_->name, was_crowded_, *std::exchange(rollout_end_, std::nullopt),
                             reactor::steadyNow() - attempt_began_);
  }
}

}  // namespace quincewick::gateway
