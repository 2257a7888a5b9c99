// Tenants' limits are spread over slots, and each slot over the members by rendezvous hashing.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::admission {

// More slots spread the load over more homes; each home polls every zone, so fewer cost fewer messages.
inline constexpr uint32_t kLimitSlots = 128;

// A set of slots; 16 bytes on the wire.
class SlotSet {
 public:
  void insert(uint32_t slot) { words_[slot / kWordBits] |= bit(slot); }
  bool contains(uint32_t slot) const { return (words_[slot / kWordBits] & bit(slot)) != 0; }
  bool empty() const { return words_ == std::array<uint64_t, kWords>{}; }

  friend bool operator==(const SlotSet&, const SlotSet&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    for (uint64_t& word : words_) {
      archive(word);
    }
  }

 private:
  static constexpr uint32_t kWordBits = 64;
  static constexpr uint32_t kWords = kLimitSlots / kWordBits;
  static uint64_t bit(uint32_t slot) { return uint64_t{1} << (slot % kWordBits); }

  std::array<uint64_t, kWords> words_ = {};
};

// The slot of a tenant: the same on every node, at all times.
uint32_t limitSlotOf(const TenantId& tenant);

struct LimitMember {
  NodeId id;
  ZoneName zone;
};

// Who is who for one set of members, as one node sees it. Nodes may see different sets: no promise rests on
// them being equal. Immutable.
class LimitDirectory {
 public:
  LimitDirectory() = default;
  explicit LimitDirectory(const std::vector<LimitMember>& members);

  // The home of the slot; the empty id when there are no members.
  const NodeId& homeOf(uint32_t slot) const { return homes_[slot]; }
  // The slots whose home is the node.
  SlotSet slotsOf(const NodeId& node) const;
  // The node that collects the rights of a zone; the empty id when the zone has no members.
  NodeId collectorOf(const ZoneName& zone) const;
  // The collector of each zone.
  const absl::btree_map<ZoneName, NodeId>& collectors() const { return collectors_; }
  bool contains(const NodeId& node) const { return ids_.contains(node); }
  // The members of a zone, by id.
  std::vector<NodeId> membersOf(const ZoneName& zone) const;

 private:
  std::array<NodeId, kLimitSlots> homes_;
  absl::btree_set<NodeId> ids_;
  absl::btree_map<ZoneName, NodeId> collectors_;
  absl::btree_map<ZoneName, std::vector<NodeId>> members_;
};

}  // namespace quincewick::admission
