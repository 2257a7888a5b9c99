// What the configuration replica takes in and asks for.
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/document.h"
#include "configuration/messages.h"
#include "types/error.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::configuration {

struct ReplicaSettings {
  NodeId node;
  ZoneName zone;
  // The policy to run on while nothing newer can be had; nothing: stay unready.
  std::optional<Policy> initial_policy;

  absl::Duration poll_interval = absl::Seconds(1);           // of the zone's relay
  absl::Duration takeover_delay = absl::Milliseconds(1500);  // for each place behind the relay
  absl::Duration exchange_interval = absl::Seconds(1);       // between announcements to random peers
  absl::Duration pull_timeout = absl::Milliseconds(300);
  absl::Duration startup_window = absl::Milliseconds(300);  // in which peers are heard before the store
  absl::Duration initial_policy_delay = absl::Seconds(2);
  absl::Duration store_call_timeout = absl::Seconds(30);  // after which a reply is no longer awaited
  uint32_t fanout = 3;                                    // peers told at once of a new version
  uint64_t snapshot_interval = 256;                       // versions between snapshots
};

// Another node that takes part.
struct PeerNode {
  NodeId id;
  ZoneName zone;

  friend bool operator==(const PeerNode&, const PeerNode&) = default;
};

// What a peer last said of its version.
struct PeerVersion {
  NodeId node;
  ZoneName zone;
  ConfigurationVersion version;
  absl::Time heard_at = absl::InfinitePast();  // the infinite past: never
};

// Names a proposal between the replica and its owner.
using ProposalId = StrongNumber<struct ProposalIdTag>;

// Events.

// Time has passed; sent every 100 ms or so.
struct Tick {};
// The other nodes that are thought to live, in any order.
struct PeersChanged {
  std::vector<PeerNode> peers;
};
struct PeerMessageReceived {
  NodeId from;
  PeerMessage message;
};
// An operator wants the changes, having seen the configuration at `base`.
struct ChangeProposed {
  ProposalId id;
  OperationId operation;
  std::string author;
  std::string comment;
  ConfigurationVersion base;
  std::vector<ObjectChange> changes;
  absl::Time deadline;
};

// An operator wants to know the versions of all nodes: every peer is asked.
struct SurveyRequested {};

using ReplicaEvent =
    std::variant<Tick, PeersChanged, PeerMessageReceived, PlatformReply, ChangeProposed, SurveyRequested>;

// Actions.

// Send to a peer; loss is allowed. A message over kMaximumDatagram bytes goes over the channel for bulk.
struct SendToPeer {
  NodeId to;
  PeerMessage message;
};
// A version was accepted for this operation, now or by an earlier send of it.
struct ProposalAccepted {
  ConfigurationVersion version;
  bool changed = true;  // false: everything was so already, and no version was made
};
// The changes, read together with the rest of the policy, have faults.
struct ProposalInvalid {
  std::vector<Diagnostic> diagnostics;
};
// The answer to a ChangeProposed. An Error says with `execution` whether the changes may yet be accepted.
struct ProposalFinished {
  ProposalId id;
  std::variant<ProposalAccepted, ChangeConflict, ProposalInvalid, Error> outcome;
};
// The version that is in force here has risen, or the node has become ready.
struct VersionInForce {
  ConfigurationVersion version;
};

using ReplicaAction = std::variant<SendToPeer, PlatformCall, ProposalFinished, VersionInForce>;
using ReplicaActions = std::vector<ReplicaAction>;

}  // namespace quincewick::configuration
