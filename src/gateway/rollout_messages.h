// What gateways tell each other of a service's rollout. One datagram each, encoded by cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "staged_rollout/answer_account.h"
#include "staged_rollout/traffic_gate.h"
#include "types/error.h"

namespace quincewick::gateway {

// A gateway's counts of some strata, told to the decider.
struct RolloutAccount {
  staged_rollout::ServiceName service;
  uint64_t request_row = 0;    // of the rollout that it is about
  uint64_t incarnation = 0;    // differs with each start of the gateway: counts begin anew
  uint64_t confirmed_row = 0;  // nothing of the gateway's runs at the base, nor will, by that record
  staged_rollout::AnswerAccount counts;
};

// One of the two.
struct RolloutMessage {
  std::optional<staged_rollout::RolloutNotice> notice;  // from the decider
  std::optional<RolloutAccount> account;
};

// Cuts an account into as many as are needed for each to fit into a datagram.
std::vector<RolloutAccount> splitIntoDatagrams(const RolloutAccount& account);

std::string encodeRolloutMessage(const RolloutMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for a later form than the one that is known.
Result<RolloutMessage> decodeRolloutMessage(std::string_view bytes);

}  // namespace quincewick::gateway
