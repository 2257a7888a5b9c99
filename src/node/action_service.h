// Serves actions: at most one run for each tenant and idempotency key, repeatable kinds apart.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "engine/action_channel.h"
#include "http/caller_backend.h"
#include "node/action_claim.h"
#include "node/back_end_monitor.h"
#include "node/node_metrics.h"
#include "node/policy_holder.h"
#include "platform/platform.h"

namespace quincewick::node {

struct ActionResources {
  const PolicyHolder& policies;
  RouterHost& router;
  platform::Platform& platform;
  engine::ActionChannel& channel;
  BackEndMonitor& back_ends;
  NodeMetrics& metrics;
};

// Thread-safe. The claim on a key is one table transaction before the action is sent; nobody else ever takes
// it over, so that a claim without an outcome is answered as unknown and never run again.
class ActionService {
 public:
  explicit ActionService(ActionResources resources) : resources_(resources) {}

  Result<http::ActionAnswer> run(const http::ActionCall& call);

 private:
  // The claim's version in the table, and the claim itself if another request holds it.
  struct ClaimOutcome {
    uint64_t version = kAbsentItemVersion;
    std::optional<ActionClaim> held_by_other;
  };

  // Claims the key durably. A lost answer is read back. An error: not claimed, and nothing was sent.
  Result<ClaimOutcome> claim(const std::string& key, const ActionClaim& claim);
  static Result<ClaimOutcome> claimOutcome(const std::vector<TableItem>& items, const ActionClaim& wanted);
  Result<http::ActionAnswer> runOnce(const http::ActionCall& call);
  Result<http::ActionAnswer> runRepeatable(const http::ActionCall& call);
  // The ready servers that the call's route names, in an order that spreads the calls.
  Result<std::vector<BackEnd>> serversFor(const http::ActionCall& call);
  // Sends to one server after another until one takes the connection: none of the others has been sent a
  // byte.
  Result<engine::ActionReply> dispatch(const http::ActionCall& call);

  const ActionResources resources_;
};

}  // namespace quincewick::node
