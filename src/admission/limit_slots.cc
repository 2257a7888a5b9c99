#include "admission/limit_slots.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace quincewick::admission {
namespace {

uint64_t hashOf(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Seeds below kLimitSlots belong to the slots.
constexpr uint64_t kCollectorSeed = kLimitSlots;

// The node with the highest score; ties go to the smaller id.
NodeId winnerOf(const std::vector<NodeId>& nodes, uint64_t seed) {
  NodeId winner;
  uint64_t best_score = 0;
  for (const NodeId& node : nodes) {
    const uint64_t score = hashOf(node.value(), seed);
    if (winner.empty() || score > best_score || (score == best_score && node < winner)) {
      winner = node;
      best_score = score;
    }
  }
  return winner;
}

}  // namespace

uint32_t limitSlotOf(const TenantId& tenant) {
  return static_cast<uint32_t>(hashOf(tenant.value(), 0) % kLimitSlots);
}

LimitDirectory::LimitDirectory(const std::vector<LimitMember>& members) {
  std::vector<NodeId> all;
  all.reserve(members.size());
  for (const LimitMember& member : members) {
    all.push_back(member.id);
    ids_.insert(member.id);
    members_[member.zone].push_back(member.id);
  }
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    homes_[slot] = winnerOf(all, slot);
  }
  for (auto& [zone, nodes] : members_) {
    std::sort(nodes.begin(), nodes.end());
    collectors_[zone] = winnerOf(nodes, kCollectorSeed);
  }
}

SlotSet LimitDirectory::slotsOf(const NodeId& node) const {
  SlotSet slots;
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (homes_[slot] == node) {
      slots.insert(slot);
    }
  }
  return slots;
}

NodeId LimitDirectory::collectorOf(const ZoneName& zone) const {
  const auto found = collectors_.find(zone);
  return found == collectors_.end() ? NodeId() : found->second;
}

std::vector<NodeId> LimitDirectory::membersOf(const ZoneName& zone) const {
  const auto found = members_.find(zone);
  return found == members_.end() ? std::vector<NodeId>() : found->second;
}

}  // namespace quincewick::admission
