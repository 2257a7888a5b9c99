#include "admission/limit_rights.h"

#include <algorithm>

namespace quincewick::admission {
namespace {

// Sequences of a later incarnation are above all of an earlier one.
constexpr uint32_t kIncarnationShift = 32;

}  // namespace

LimitRights::LimitRights(SharedLimitConfiguration configuration, NodeId self, ZoneName zone,
                         Incarnation incarnation, absl::Time now)
    : configuration_(configuration),
      self_(std::move(self)),
      zone_(std::move(zone)),
      own_right_from_(now + configuration.lessorTime(configuration.node_lease)),
      collected_rights_from_(now + configuration.lessorTime(configuration.zone_lease)),
      poll_sequence_(incarnation.value() << kIncarnationShift) {}

void LimitRights::setDirectory(std::shared_ptr<const LimitDirectory> directory) {
  directory_ = std::move(directory);
  absl::erase_if(newest_request_, [&](const auto& entry) { return !directory_->contains(entry.first); });
}

void LimitRights::onRequest(const NodeId& from, const RightsRequest& request, absl::Time now,
                            SharedLimitActions& actions) {
  if (request.level == RightsLevel::kZone) {
    lendZone(from, request, now, actions);
    return;
  }
  if (lendOwnRight(from, request.renewal, now)) {
    actions.push_back(SendToPeer{from, RightsLease{RightsLevel::kNode, request.sequence, SlotSet(), 1}});
  }
}

void LimitRights::onLease(const NodeId& from, const RightsLease& lease, absl::Time now) {
  if (lease.level != RightsLevel::kNode || lease.sequence != poll_sequence_ || lease.rights == 0) {
    return;
  }
  const absl::Time end = poll_sent_ + configuration_.lesseeTime(configuration_.node_lease);
  if (end > now) {
    collected_[from] = end;
  }
}

void LimitRights::onRelease(const NodeId& from, const RightsRelease& release, absl::Time now) {
  uint64_t& newest = newest_request_[from];
  newest = std::max(newest, release.sequence);
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    Loan& loan = slot_loans_[slot];
    if (release.slots.contains(slot) && loan.lessee == from && loan.sequence < release.sequence) {
      loan.end = std::min(loan.end, now);
    }
  }
}

void LimitRights::onTick(absl::Time now, SharedLimitActions& actions) {
  if (!isCollector() || now - poll_sent_ < configuration_.renewal_interval) {
    return;
  }
  absl::erase_if(collected_, [&](const auto& entry) { return entry.second <= now; });
  ++poll_sequence_;
  poll_sent_ = now;
  for (const NodeId& node : directory_->membersOf(zone_)) {
    const auto held = collected_.find(node);
    const bool renewal = held != collected_.end() && held->second > now;
    actions.push_back(
        SendToPeer{node, RightsRequest{RightsLevel::kNode, renewal, poll_sequence_, SlotSet()}});
  }
}

bool LimitRights::freeFor(const Loan& loan, const NodeId& lessee, absl::Time now) const {
  return loan.lessee == lessee || loan.end <= now;
}

// What a predecessor of this process lent to the collector that still holds it is no other's.
bool LimitRights::lendOwnRight(const NodeId& lessee, bool renewal, absl::Time now) {
  if (renewal) {
    own_right_from_ = std::min(own_right_from_, now);
  }
  const bool mine_to_lend = now >= own_right_from_ && directory_->collectorOf(zone_) == lessee;
  if (!mine_to_lend || !freeFor(own_loan_, lessee, now)) {
    return false;
  }
  own_loan_.lessee = lessee;
  own_loan_.end = now + configuration_.lessorTime(configuration_.node_lease);
  return true;
}

void LimitRights::lendZone(const NodeId& lessee, const RightsRequest& request, absl::Time now,
                           SharedLimitActions& actions) {
  uint64_t& newest = newest_request_[lessee];
  if (request.sequence <= newest || now < collected_rights_from_) {
    return;
  }
  newest = request.sequence;
  RightsLease lease{RightsLevel::kZone, request.sequence, SlotSet(), collectedRights(now)};
  if (lease.rights == 0) {
    return;
  }
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (!request.slots.contains(slot) || !freeFor(slot_loans_[slot], lessee, now)) {
      continue;
    }
    slot_loans_[slot] =
        Loan{lessee, request.sequence, now + configuration_.lessorTime(configuration_.zone_lease)};
    lease.slots.insert(slot);
  }
  if (!lease.slots.empty()) {
    actions.push_back(SendToPeer{lessee, lease});
  }
}

// Only rights that outlast a loan to a home count.
uint16_t LimitRights::collectedRights(absl::Time now) const {
  const absl::Time needed = now + configuration_.lessorTime(configuration_.zone_lease);
  return static_cast<uint16_t>(std::count_if(collected_.begin(), collected_.end(),
                                             [&](const auto& entry) { return entry.second >= needed; }));
}

}  // namespace quincewick::admission
