// News about members that still has to be sent on, each piece a bounded number of times.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace quincewick::membership {

class UpdateQueue {
 public:
  // Queues the record, in place of an older one about the same member.
  void add(const MemberRecord& record);
  // Drops all news.
  void clear() { entries_.clear(); }
  bool empty() const { return entries_.empty(); }

  // Returns records of at most `byte_budget` encoded bytes, those sent least often first, counts them as sent
  // and forgets those that were sent `limit` times.
  std::vector<MemberRecord> take(size_t byte_budget, uint32_t limit);

 private:
  struct Entry {
    MemberRecord record;
    uint32_t transmissions = 0;
  };
  absl::btree_map<NodeId, Entry> entries_;
};

}  // namespace quincewick::membership
