#include "node/control_plane.h"

#include <algorithm>
#include <utility>

namespace quincewick::node {

namespace {

constexpr absl::Duration kConfigurationTickPeriod = absl::Milliseconds(100);

configuration::ReplicaSettings replicaSettings(configuration::ReplicaSettings settings,
                                               const membership::SelfDescription& self) {
  settings.node = self.id;
  settings.zone = self.zone;
  return settings;
}

double limitOf(double configured) {
  if (configured == 0) {
    return admission::kUnlimited;
  }
  return configured;
}

admission::TenantLimits tenantLimits(const configuration::Policy& policy) {
  admission::TenantLimits limits;
  for (const auto& [id, tenant] : policy.tenants) {
    const admission::TenantLimit limit{limitOf(tenant.limits.tokens_per_second),
                                       limitOf(tenant.limits.requests_per_second),
                                       limitOf(tenant.limits.concurrent_requests)};
    if (!limit.unlimited()) {
      limits.emplace(id, limit);
    }
  }
  return limits;
}

struct EventModule {
  peer::PeerModule operator()(const ModuleTick& tick) const { return tick.module; }
  peer::PeerModule operator()(const PeerMessage& message) const { return message.module; }
  peer::PeerModule operator()(const configuration::ChangeProposed& /*event*/) const {
    return peer::PeerModule::kConfiguration;
  }
  peer::PeerModule operator()(const admission::LimitRequested& /*event*/) const {
    return peer::PeerModule::kLimits;
  }
  peer::PeerModule operator()(const admission::LimitedRequestEnded& /*event*/) const {
    return peer::PeerModule::kLimits;
  }
  template <class Other>
  peer::PeerModule operator()(const Other& /*event*/) const {
    return peer::PeerModule::kMembership;
  }
};

}  // namespace

std::string_view moduleName(peer::PeerModule module) {
  switch (module) {
    case peer::PeerModule::kMembership:
      return "membership";
    case peer::PeerModule::kConfiguration:
      return "configuration";
    case peer::PeerModule::kLimits:
      return "limits";
    default:
      return "other";
  }
}

peer::PeerModule moduleOf(const ControlEvent& event) {
  return std::visit(EventModule(), event);
}

ControlPlane::ControlPlane(const ControlPlaneSettings& settings, const membership::SelfDescription& self,
                           absl::Time now)
    : membership_(settings.membership, self, now),
      configuration_(replicaSettings(settings.configuration, self), now),
      limits_(settings.limits, self.id, self.zone, self.incarnation, now),
      next_configuration_tick_(now),
      next_limits_tick_(now) {}

peer::PeerModule ControlPlane::ownerOf(PlatformCallId call) const {
  const auto entry = outstanding_calls_.find(call);
  return entry == outstanding_calls_.end() ? peer::PeerModule::kMembership : entry->second.module;
}

std::vector<ControlAction> ControlPlane::handle(const ControlEvent& event, absl::Time now,
                                                absl::BitGenRef random) {
  now_ = now;
  random_ = &random;
  actions_.clear();
  std::visit([this](const auto& alternative) { handleEvent(alternative); }, event);
  random_ = nullptr;
  return std::exchange(actions_, {});
}

absl::Time ControlPlane::nextWakeup(peer::PeerModule module) const {
  switch (module) {
    case peer::PeerModule::kMembership:
      return membership_.nextWakeup();
    case peer::PeerModule::kConfiguration:
      return next_configuration_tick_;
    case peer::PeerModule::kLimits:
      return next_limits_tick_;
    default:
      return absl::InfiniteFuture();
  }
}

void ControlPlane::handleEvent(const ModuleTick& tick) {
  switch (tick.module) {
    case peer::PeerModule::kMembership:
      return toMembership(membership::Tick());
    case peer::PeerModule::kConfiguration:
      next_configuration_tick_ = now_ + kConfigurationTickPeriod;
      passMembersOn();
      return toConfiguration(configuration::Tick());
    case peer::PeerModule::kLimits:
      next_limits_tick_ = absl::InfiniteFuture();
      return toLimits(admission::LimitTick());
    default:
      return;
  }
}

void ControlPlane::handleEvent(const PeerMessage& message) {
  switch (message.module) {
    case peer::PeerModule::kMembership:
      return toMembership(membership::MessageReceived{message.from, message.bytes});
    case peer::PeerModule::kConfiguration: {
      Result<configuration::PeerMessage> decoded = configuration::decodePeerMessage(message.bytes);
      if (decoded.has_value()) {
        toConfiguration(configuration::PeerMessageReceived{message.from, std::move(decoded).value()});
      }
      return;
    }
    case peer::PeerModule::kLimits: {
      Result<admission::LimitMessage> decoded = admission::decodeLimitMessage(message.bytes);
      if (decoded.has_value()) {
        toLimits(admission::LimitMessageReceived{message.from, std::move(decoded).value()});
      }
      return;
    }
    default:
      return;  // of a module that this version does not know
  }
}

void ControlPlane::handleEvent(const PlatformReply& reply) {
  const auto entry = outstanding_calls_.find(reply.id);
  if (entry == outstanding_calls_.end()) {
    return;  // a second reply, or one to a call of an earlier life
  }
  const CallOwner owner = entry->second;
  outstanding_calls_.erase(entry);
  switch (owner.module) {
    case peer::PeerModule::kMembership:
      if (const auto* list = std::get_if<MachineList>(&reply.result)) {
        toMembership(membership::MachineListReceived{*list});
      }
      return;
    case peer::PeerModule::kConfiguration:
      return toConfiguration(PlatformReply{owner.id, reply.result});
    default:
      return;
  }
}

void ControlPlane::toMembership(const membership::MembershipEvent& event) {
  for (membership::MembershipAction& action : membership_.handle(event, now_, *random_)) {
    std::visit([this](auto& alternative) { takeAction(std::move(alternative)); }, action);
  }
}

void ControlPlane::toConfiguration(const configuration::ReplicaEvent& event) {
  for (configuration::ReplicaAction& action : configuration_.handle(event, now_, *random_)) {
    std::visit([this](auto& alternative) { takeAction(std::move(alternative)); }, action);
  }
}

void ControlPlane::toLimits(const admission::SharedLimitEvent& event) {
  for (admission::SharedLimitAction& action : limits_.handle(event, now_, *random_)) {
    std::visit([this](auto& alternative) { takeAction(std::move(alternative)); }, action);
  }
  next_limits_tick_ = std::min(next_limits_tick_, limits_.nextWakeup(now_));
}

void ControlPlane::passMembersOn() {
  if (!std::exchange(members_changed_, false)) {
    return;
  }
  configuration::PeersChanged peers;
  admission::LimitMembersChanged limit_members;
  for (const auto& [id, member] : membership_.members()) {
    if (id == membership_.self().id) {
      limit_members.members.push_back({id, member.record.zone});
    } else if (member.isLive()) {
      limit_members.members.push_back({id, member.record.zone});
      peers.peers.push_back({id, member.record.zone});
    }
  }
  toConfiguration(peers);
  toLimits(limit_members);
}

void ControlPlane::passLimitsOn() {
  admission::TenantLimits limits = tenantLimits(configuration_.policy());
  if (limits != limits_in_force_) {
    limits_in_force_ = limits;
    toLimits(admission::TenantLimitsChanged{std::move(limits)});
  }
}

void ControlPlane::takeAction(membership::SendToPeer action) {
  actions_.emplace_back(SendToPeer{std::move(action.to), std::move(action.address),
                                   peer::PeerModule::kMembership, std::move(action.bytes)});
}

void ControlPlane::takeAction(const membership::ReadMachineList& /*action*/) {
  call(peer::PeerModule::kMembership, PlatformCallId(), MachineListRead());
}

void ControlPlane::takeAction(membership::MemberChanged action) {
  members_changed_ = true;
  actions_.emplace_back(std::move(action));
}

void ControlPlane::takeAction(const configuration::SendToPeer& action) {
  if (const membership::Member* member = membership_.find(action.to)) {
    actions_.emplace_back(SendToPeer{action.to, member->record.address, peer::PeerModule::kConfiguration,
                                     configuration::encodePeerMessage(action.message)});
  }
}

void ControlPlane::takeAction(PlatformCall action) {
  call(peer::PeerModule::kConfiguration, action.id, std::move(action.request));
}

void ControlPlane::takeAction(configuration::VersionInForce action) {
  passLimitsOn();
  actions_.emplace_back(action);
}

void ControlPlane::takeAction(const admission::SendToPeer& action) {
  if (const membership::Member* member = membership_.find(action.to)) {
    actions_.emplace_back(SendToPeer{action.to, member->record.address, peer::PeerModule::kLimits,
                                     admission::encodeLimitMessage(action.message)});
  }
}

void ControlPlane::call(peer::PeerModule module, PlatformCallId id, PlatformRequest request) {
  next_call_ = next_call_.next();
  outstanding_calls_.emplace(next_call_, CallOwner{module, id});
  actions_.emplace_back(PlatformCall{next_call_, std::move(request)});
}

}  // namespace quincewick::node
