// Stores the recent answers of a node for callers that reconnect.
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
  std::optional<EndEvent> end;  // absent: the answer was abandoned and can be continued
};

struct StreamStoreOptions {
  absl::Duration maximum_age = absl::Seconds(60);
  uint64_t maximum_bytes = 8 * uint64_t{1024} * 1024;
};

// Bounded by age and by bytes; the oldest answer is evicted first. An answer is taken out when its caller
// reconnects and put in again when the caller disconnects. Not thread-safe.
class StreamStore {
 public:
  explicit StreamStore(const StreamStoreOptions& options) : options_(options) {}

  // Keeps the answer, replacing an older one of this request. One larger than the store is not kept.
  void put(const RequestId& request, RecentAnswer answer, absl::Time now);

  // Removes and returns the answer. kNotFound when it expired, was evicted, was never stored or belongs to
  // another tenant; the caller can't tell these cases apart.
  Result<RecentAnswer> take(const RequestId& request, const TenantId& tenant, absl::Time now);

  // Evicts expired answers. Call about once a second.
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
    uint64_t order = 0;  // distinguishes an entry from an older one of the same request
  };

  void erase(absl::btree_map<RequestId, Entry>::iterator entry);
  void dropOldest();

  StreamStoreOptions options_;
  absl::btree_map<RequestId, Entry> answers_;
  std::deque<Age> ages_;  // oldest first; may refer to entries that were removed
  uint64_t next_order_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace quincewick::streams
