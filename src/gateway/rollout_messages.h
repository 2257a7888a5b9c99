// Messages between gateways about a service's rollout: one datagram each, encoded by cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "staged_rollout/response_stats.h"
#include "staged_rollout/traffic_splitter.h"
#include "types/error.h"

namespace quincewick::gateway {

// A gateway's response counts, sent to the decider. One message may hold only some of the strata, each of
// which is a route under similar load (staged_rollout::Stratum).
struct RolloutAccount {
  staged_rollout::ServiceName service;
  uint64_t request_row = 0;  // row of the operator's request for the rollout
  uint64_t incarnation = 0;  // changes with each start of the gateway, which resets the counts
  // Row of the rollout record in the finishing stage under which the gateway has no requests at the baseline
  // in progress and starts none.
  uint64_t confirmed_row = 0;
  staged_rollout::ResponseStats counts;
};

// Exactly one of the two is set.
struct RolloutMessage {
  std::optional<staged_rollout::RolloutNotice> notice;  // from the decider
  std::optional<RolloutAccount> account;
};

// Splits an account into parts that each fit into a datagram.
std::vector<RolloutAccount> splitIntoDatagrams(const RolloutAccount& account);

std::string encodeRolloutMessage(const RolloutMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for an unknown format version.
Result<RolloutMessage> decodeRolloutMessage(std::string_view bytes);

}  // namespace quincewick::gateway
