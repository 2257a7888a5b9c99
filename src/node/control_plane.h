// One node's share of the site's control: the modules by which nodes act together, behind one door.
//
// Pure composition: it hands each event to the module that it concerns, translates the modules' actions into
// actions of the node, and gives platform calls ids that are unique on the node. It does no I/O and holds no
// thread; the owner carries out the actions. Not thread-safe: the owner serialises the calls.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/shared_limits.h"
#include "configuration/configuration_replica.h"
#include "membership/membership_protocol.h"
#include "peer/envelope.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::node {

// The modules that a control plane is made of.
inline constexpr std::array<peer::PeerModule, 3> kControlModules = {
    peer::PeerModule::kMembership, peer::PeerModule::kConfiguration, peer::PeerModule::kLimits};

// The module's stable, lower-case name, for logs and metrics.
std::string_view moduleName(peer::PeerModule module);

// Events.

// Time has passed for this module; due at nextWakeup(module).
struct ModuleTick {
  peer::PeerModule module = peer::PeerModule::kMembership;
};
// A datagram whose sender the envelope has authenticated.
struct PeerMessage {
  NodeId from;
  peer::PeerModule module = peer::PeerModule::kMembership;
  std::string bytes;
};

using ControlEvent =
    std::variant<ModuleTick, PeerMessage, PlatformReply, membership::PayloadChanged,
                 membership::LeaveRequested, membership::LeaveFinished, configuration::ChangeProposed,
                 admission::LimitRequested, admission::LimitedRequestEnded>;

// The module that handles the event; of a platform's reply, the one that is given by `ControlPlane::ownerOf`.
peer::PeerModule moduleOf(const ControlEvent& event);

// Actions.

// Send to a peer; loss is allowed. More than peer::kMaximumDatagramPayload bytes go over a connection.
struct SendToPeer {
  NodeId to;
  Address address;
  peer::PeerModule module = peer::PeerModule::kMembership;
  std::string bytes;
};

using ControlAction =
    std::variant<SendToPeer, PlatformCall, membership::MemberChanged, membership::ZoneReachabilityChanged,
                 membership::MemberPayloadChanged, configuration::ProposalFinished,
                 configuration::VersionInForce, admission::LimitDecision>;

// `configuration` need not name the node and its zone, which come with the self description.
struct ControlPlaneSettings {
  membership::MembershipSettings membership;
  configuration::ReplicaSettings configuration;
  admission::SharedLimitConfiguration limits;
};

class ControlPlane {
 public:
  ControlPlane(const ControlPlaneSettings& settings, const membership::SelfDescription& self, absl::Time now);

  // Takes one event and returns what is to be done, in order. `now` doesn't go back.
  std::vector<ControlAction> handle(const ControlEvent& event, absl::Time now, absl::BitGenRef random);

  // When the module's next ModuleTick is due; the infinite future if none is.
  absl::Time nextWakeup(peer::PeerModule module) const;

  const membership::MembershipProtocol& membership() const { return membership_; }
  const configuration::ConfigurationReplica& configuration() const { return configuration_; }
  const admission::SharedLimits& limits() const { return limits_; }
  // The module that made a platform call, while its reply is awaited; membership for any other.
  peer::PeerModule ownerOf(PlatformCallId call) const;

 private:
  // Whose platform call it was, and the module's own id of it.
  struct CallOwner {
    peer::PeerModule module = peer::PeerModule::kMembership;
    PlatformCallId id;
  };

  void handleEvent(const ModuleTick& tick);
  void handleEvent(const PeerMessage& message);
  void handleEvent(const PlatformReply& reply);
  void handleEvent(const configuration::ChangeProposed& event) { toConfiguration(event); }
  void handleEvent(const admission::LimitRequested& event) { toLimits(event); }
  void handleEvent(const admission::LimitedRequestEnded& event) { toLimits(event); }
  void handleEvent(const membership::PayloadChanged& event) { toMembership(event); }
  void handleEvent(const membership::LeaveRequested& event) { toMembership(event); }
  void handleEvent(const membership::LeaveFinished& event) { toMembership(event); }

  void toMembership(const membership::MembershipEvent& event);
  void toConfiguration(const configuration::ReplicaEvent& event);
  void toLimits(const admission::SharedLimitEvent& event);
  // Tells the other modules of members that have changed since they were last told.
  void passMembersOn();
  // Hands new limits of tenants to the module that holds requests to them.
  void passLimitsOn();

  void takeAction(membership::SendToPeer action);
  void takeAction(membership::MemberChanged action);
  void takeAction(const configuration::SendToPeer& action);
  void takeAction(PlatformCall action);
  void takeAction(configuration::VersionInForce action);
  void takeAction(const admission::SendToPeer& action);
  void takeAction(const membership::ReadMachineList& action);
  template <class Notification>
  void takeAction(Notification notification) {
    actions_.emplace_back(std::move(notification));
  }

  void call(peer::PeerModule module, PlatformCallId id, PlatformRequest request);

  membership::MembershipProtocol membership_;
  configuration::ConfigurationReplica configuration_;
  admission::SharedLimits limits_;
  absl::Time next_configuration_tick_;
  absl::Time next_limits_tick_;
  bool members_changed_ = true;
  admission::TenantLimits limits_in_force_;
  absl::btree_map<PlatformCallId, CallOwner> outstanding_calls_;
  PlatformCallId next_call_;

  // Valid during handle() only.
  absl::Time now_;
  absl::BitGenRef* random_ = nullptr;
  std::vector<ControlAction> actions_;
};

}  // namespace quincewick::node
