// Serves actions: at most one run for each tenant and idempotency key, repeatable kinds apart.
#pragma once

#include <string>
#include <vector>

#include "engine/action_channel.h"
#include "http/caller_backend.h"
#include "node/back_end_monitor.h"
#include "node/ledger_host.h"
#include "node/node_metrics.h"
#include "node/policy_holder.h"

namespace quincewick::node {

struct ActionResources {
  const PolicyHolder& policies;
  RouterHost& router;
  LedgerHost& ledger;
  engine::ActionChannel& channel;
  BackEndMonitor& back_ends;
  NodeMetrics& metrics;
};

// Thread-safe. Non-repeatable kinds go through the ledger, which lets each key run at most once.
class ActionService {
 public:
  explicit ActionService(ActionResources resources) : resources_(resources) {}

  Result<http::ActionAnswer> run(const http::ActionCall& call);

 private:
  Result<http::ActionAnswer> runOnce(const http::ActionCall& call);
  Result<http::ActionAnswer> runRepeatable(const http::ActionCall& call);
  // What the ledger runs, at most once for a claim.
  DispatchOutcome dispatchOnce(const http::ActionCall& call);
  // The ready servers that the call's route names, in an order that spreads the calls.
  Result<std::vector<BackEnd>> serversFor(const http::ActionCall& call);
  // Sends to one server after another until one takes the connection: none of the others has been sent a
  // byte.
  Result<engine::ActionReply> dispatch(const http::ActionCall& call);

  const ActionResources resources_;
};

}  // namespace quincewick::node
