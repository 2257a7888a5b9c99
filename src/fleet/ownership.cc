#include "fleet/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace quincewick::fleet {
namespace {

uint64_t hashText(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// (weight, node) pairs: a tie of weights is decided by the identifier.
using Weighted = std::pair<uint64_t, const FleetMember*>;

bool ranksBefore(const Weighted& left, const Weighted& right) {
  if (left.first != right.first) {
    return left.first > right.first;
  }
  return left.second->id < right.second->id;
}

const FleetMember* best(const std::vector<FleetMember>& members, uint64_t key_hash, const ZoneName* zone) {
  Weighted winner = {0, nullptr};
  for (const FleetMember& member : members) {
    if (zone != nullptr && member.zone != *zone) {
      continue;
    }
    const Weighted candidate = {hashText(member.id.value(), key_hash), &member};
    if (winner.second == nullptr || ranksBefore(candidate, winner)) {
      winner = candidate;
    }
  }
  return winner.second;
}

}  // namespace

std::vector<NodeId> rankMembers(const std::vector<FleetMember>& members, const std::string& key,
                                size_t count) {
  const uint64_t key_hash = hashText(key, 0);
  std::vector<Weighted> weighted;
  weighted.reserve(members.size());
  for (const FleetMember& member : members) {
    weighted.emplace_back(hashText(member.id.value(), key_hash), &member);
  }
  std::sort(weighted.begin(), weighted.end(), ranksBefore);
  std::vector<NodeId> ranked;
  for (size_t rank = 0; rank < std::min(count, weighted.size()); ++rank) {
    ranked.push_back(weighted[rank].second->id);
  }
  return ranked;
}

NodeId ownerOf(const std::vector<FleetMember>& members, const BackEndId& back_end, const ZoneName& zone) {
  const uint64_t key_hash = hashText(back_end.value(), 0);
  const FleetMember* owner = best(members, key_hash, &zone);
  if (owner == nullptr) {
    owner = best(members, key_hash, nullptr);
  }
  return owner == nullptr ? NodeId() : owner->id;
}

}  // namespace quincewick::fleet
