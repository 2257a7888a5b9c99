#include "node/control_plane.h"

#include <utility>

namespace quincewick::node {

std::string_view moduleName(peer::PeerModule module) {
  switch (module) {
    case peer::PeerModule::kMembership:
      return "membership";
    default:
      return "other";
  }
}

ControlPlane::ControlPlane(const ControlPlaneSettings& settings, const membership::SelfDescription& self,
                           absl::Time now)
    : membership_(settings.membership, self, now) {}

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
    default:
      return absl::InfiniteFuture();
  }
}

void ControlPlane::handleEvent(const ModuleTick& tick) {
  switch (tick.module) {
    case peer::PeerModule::kMembership:
      return toMembership(membership::Tick());
    default:
      return;
  }
}

void ControlPlane::handleEvent(const PeerMessage& message) {
  switch (message.module) {
    case peer::PeerModule::kMembership:
      return toMembership(membership::MessageReceived{message.from, message.bytes});
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
    default:
      return;
  }
}

void ControlPlane::toMembership(const membership::MembershipEvent& event) {
  for (membership::MembershipAction& action : membership_.handle(event, now_, *random_)) {
    std::visit([this](auto& alternative) { takeAction(std::move(alternative)); }, action);
  }
}

void ControlPlane::takeAction(membership::SendToPeer action) {
  actions_.emplace_back(SendToPeer{std::move(action.to), std::move(action.address),
                                   peer::PeerModule::kMembership, std::move(action.bytes)});
}

void ControlPlane::takeAction(const membership::ReadMachineList& /*action*/) {
  call(peer::PeerModule::kMembership, PlatformCallId(), MachineListRead());
}

void ControlPlane::call(peer::PeerModule module, PlatformCallId id, PlatformRequest request) {
  next_call_ = next_call_.next();
  outstanding_calls_.emplace(next_call_, CallOwner{module, id});
  actions_.emplace_back(PlatformCall{next_call_, std::move(request)});
}

}  // namespace quincewick::node
