// The members by id and by zone, with each zone's digest and delegates kept up to date.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace quincewick::membership {

// Always holds the node itself. Pointers into it are valid until the next change. Not thread-safe.
class MemberTable {
 public:
  MemberTable(const MemberRecord& self, uint32_t maximum_members, absl::Time now);

  const absl::btree_map<NodeId, Member>& members() const { return members_; }
  const Member* find(const NodeId& id) const;
  const Member& self() const { return members_.at(self_id_); }

  // Takes in a record about another node if it is news; returns whether it was.
  bool merge(const MemberRecord& record, absl::Time now);
  // Notes that the platform's list names the node. Doesn't touch what is known better.
  void noteListed(const MemberRecord& record, absl::Time now);
  // Replaces the claim about this node itself.
  void replaceSelf(const MemberRecord& record, absl::Time now);
  void erase(const NodeId& id);

  // Marks a member as missing its probes, or puts the end of that suspicion off.
  void markSuspected(const NodeId& id, absl::Time now);
  // Takes a payload that is newer than the one held; returns whether it did.
  bool mergePayload(const NodeId& id, const MemberPayload& payload);

  // All zones with a member, in order of their names.
  std::vector<ZoneName> zones() const;
  // The ids of all members of the zone, in order.
  const std::vector<NodeId>& idsInZone(const ZoneName& zone) const;
  // Live members of the zone, the likeliest delegate first. The same on all nodes with the same view.
  const std::vector<NodeId>& liveByRank(const ZoneName& zone) const;
  // True when the member is one of the first `count` of its zone.
  bool isDelegate(const NodeId& id, uint32_t count) const;
  // A number that differs, but for hash collisions, when two views of the zone differ in running members,
  // their incarnations, or whether they are leaving. 0 for a zone without running members.
  uint64_t digest(const ZoneName& zone) const;
  // The digest of all zones together.
  uint64_t viewDigest() const { return view_digest_; }

 private:
  struct ZoneView {
    std::vector<NodeId> ids;
    std::vector<NodeId> live_by_rank;
    uint64_t digest = 0;
  };

  Member& insert(const MemberRecord& record, absl::Time now);
  void assign(Member& member, const MemberRecord& record, absl::Time now);
  void addToZone(const Member& member);
  void removeFromZone(const Member& member);

  NodeId self_id_;
  uint32_t maximum_members_;
  absl::btree_map<NodeId, Member> members_;
  absl::btree_map<ZoneName, ZoneView> zones_;
  uint64_t view_digest_ = 0;
};

}  // namespace quincewick::membership
