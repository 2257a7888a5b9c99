#include "membership/update_queue.h"

#include <algorithm>

#include "membership/messages.h"

namespace quincewick::membership {

void UpdateQueue::add(const MemberRecord& record) {
  entries_.insert_or_assign(record.id, Entry{record, 0});
}

std::vector<MemberRecord> UpdateQueue::take(size_t byte_budget, uint32_t limit) {
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  for (auto& [id, entry] : entries_) {
    order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(), [](const Entry* left, const Entry* right) {
    return left->transmissions < right->transmissions;
  });
  std::vector<MemberRecord> taken;
  for (Entry* entry : order) {
    const size_t size = encodedSize(entry->record);
    if (size > byte_budget || taken.size() >= kMaximumUpdates) {
      break;
    }
    byte_budget -= size;
    taken.push_back(entry->record);
    ++entry->transmissions;
  }
  for (const MemberRecord& record : taken) {
    if (entries_.at(record.id).transmissions >= limit) {
      entries_.erase(record.id);
    }
  }
  return taken;
}

}  // namespace quincewick::membership
