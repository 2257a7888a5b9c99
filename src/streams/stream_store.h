// Keeps the recent answers of a node for callers who come back.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "streams/transcript.h"
#include "types/error.h"
#include "types/identifiers.h"
#include "types/token_event.h"

namespace quincewick::streams {

// An answer that no caller is connected to.
struct RecentAnswer {
  TenantId tenant;      // only this tenant may read it
  std::string request;  // what is needed to continue it at an engine; opaque here
  Transcript transcript;
  std::optional<EndEvent> end;  // absent: it was abandoned and can be continued
};

struct StreamStoreOptions {
  absl::Duration maximum_age = absl::Seconds(60);
  uint64_t maximum_bytes = 8 * uint64_t{1024} * 1024;
};

// Bounded by age and by bytes; the oldest go first. An answer is taken out when its caller comes back and put
// in again when the caller leaves again. Not thread-safe.
class StreamStore {
 public:
  explicit StreamStore(const StreamStoreOptions& options) : options_(options) {}

  // Keeps the answer, replacing an older one of this request. One larger than the store is not kept.
  void put(const RequestId& request, RecentAnswer answer, absl::Time now);

  // Removes and returns the answer. kNotFound when it is too old, was pushed out, never was here or belongs
  // to another tenant: those cases look the same to the asker.
  Result<RecentAnswer> take(const RequestId& request, const TenantId& tenant, absl::Time now);

  // Drops what is too old. Call about once a second.
  void expire(absl::Time now);

  uint64_t memoryBytes() const { return bytes_; }
  size_t answerCount() const { return answers_.size(); }

 private:
  struct Entry {
    RecentAnswer answer;
    uint64_t order = 0;
    uint64_t bytes = 0;
  };
  struct Age {
    absl::Time since;
    RequestId request;
    uint64_t order = 0;  // tells an entry from an older one of the same request
  };

  void erase(absl::btree_map<RequestId, Entry>::iterator entry);
  void dropOldest();

  StreamStoreOptions options_;
  absl::btree_map<RequestId, Entry> answers_;
  std::deque<Age> ages_;  // oldest first; may name entries that are gone
  uint64_t next_order_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace quincewick::streams
