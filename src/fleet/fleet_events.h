// The inputs and outputs of FleetController.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/back_end_tracker.h"
#include "fleet/order.h"
#include "fleet/ownership.h"
#include "fleet/rollout_command.h"
#include "fleet/rollout_store.h"
#include "types/back_end.h"
#include "types/platform.h"

namespace quincewick::fleet {

// Events.

// Time has passed; due at nextWakeup(), harmless at any time.
struct FleetTick {};

// The nodes that live, this one among them.
struct MembersChanged {
  std::vector<FleetMember> members;
};

// The end of a QueryBackEnd: its answer, or nothing if it failed.
struct BackEndAnswered {
  BackEndId id;
  std::optional<BackEndAnswer> answer;
};

// Another node's PublishStatus.
struct BackEndPublished {
  BackEndStatus status;
};

// The end of a SendOrder.
struct OrderAnswered {
  BackEndId engine;
  Order order;
  OrderOutcome outcome = OrderOutcome::kLost;
};

// How requests on a version went, as one node saw it since its process began. Sums, so that a lost or
// repeated report does no harm.
struct VersionHealth {
  NodeId reporter;
  Incarnation incarnation;  // of the reporter
  ModelName model;
  WeightsVersion version;
  uint64_t requests = 0;
  uint64_t errors = 0;
};

// An operator's command at this node. Answered by a CommandAnswered.
struct OperatorCommand {
  OperationId operation;
  RolloutCommand command;
};

using FleetEvent = std::variant<FleetTick, MachineList, MembersChanged, BackEndAnswered, BackEndPublished,
                                OrderAnswered, VersionHealth, OperatorCommand, PlatformReply>;

// Actions.

// Ask the back end for its state; ends with a BackEndAnswered.
struct QueryBackEnd {
  BackEndId id;
  BackEndKind kind = BackEndKind::kEngine;
  Address address;
};

// Send the order; ends with an OrderAnswered.
struct SendOrder {
  BackEndId engine;
  Address address;
  Order order;
};

// Tell the router of this node: the back end's state, incarnation or models are now these.
struct BackEndChanged {
  BackEnd back_end;
};

// Tell the router of this node: the back end is neither listed nor answering any more.
struct BackEndForgotten {
  BackEndId id;
};

// Send to the other nodes as BackEndPublished.
struct PublishStatus {
  BackEndStatus status;
};

using FleetAction = std::variant<PlatformCall, QueryBackEnd, SendOrder, BackEndChanged, BackEndForgotten,
                                 PublishStatus, CommandAnswered>;

}  // namespace quincewick::fleet
