#include "streams/stream_store.h"

namespace quincewick::streams {
namespace {

// Memory of an entry besides its texts: map nodes and the headers of strings and vectors.
constexpr uint64_t kEntryOverheadBytes = 400;

uint64_t memoryOf(const RequestId& request, const RecentAnswer& answer) {
  return kEntryOverheadBytes + 2 * request.value().size() + answer.tenant.value().size() +
         answer.request.size() + answer.transcript.memoryBytes();
}

}  // namespace

void StreamStore::put(const RequestId& request, RecentAnswer answer, absl::Time now) {
  expire(now);
  if (const auto old = answers_.find(request); old != answers_.end()) {
    erase(old);
  }
  const uint64_t bytes = memoryOf(request, answer);
  if (bytes > options_.maximum_bytes) {
    return;
  }
  while (bytes_ + bytes > options_.maximum_bytes) {
    dropOldest();
  }
  ages_.push_back(Age{now, request, next_order_});
  answers_.emplace(request, Entry{std::move(answer), next_order_, bytes});
  ++next_order_;
  bytes_ += bytes;
}

Result<RecentAnswer> StreamStore::take(const RequestId& request, const TenantId& tenant, absl::Time now) {
  expire(now);
  const auto found = answers_.find(request);
  if (found == answers_.end() || found->second.answer.tenant != tenant) {
    return fail(ErrorCode::kNotFound, "no such recent answer", Execution::kUnknown);
  }
  RecentAnswer answer = std::move(found->second.answer);
  erase(found);
  return answer;
}

void StreamStore::expire(absl::Time now) {
  while (!ages_.empty() && ages_.front().since + options_.maximum_age <= now) {
    dropOldest();
  }
  // Removes the ages of entries that were taken, so that they don't accumulate.
  while (!ages_.empty()) {
    const auto entry = answers_.find(ages_.front().request);
    if (entry != answers_.end() && entry->second.order == ages_.front().order) {
      break;
    }
    ages_.pop_front();
  }
}

void StreamStore::erase(absl::btree_map<RequestId, Entry>::iterator entry) {
  bytes_ -= entry->second.bytes;
  answers_.erase(entry);
}

void StreamStore::dropOldest() {
  const Age oldest = std::move(ages_.front());
  ages_.pop_front();
  const auto entry = answers_.find(oldest.request);
  if (entry != answers_.end() && entry->second.order == oldest.order) {
    erase(entry);
  }
}

}  // namespace quincewick::streams
