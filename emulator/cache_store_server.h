// The store of kept KV cache over HTTP, in this process.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <string>

#include "emulator/stand_in.h"

namespace quincewick::emulator {

struct CacheStoreSettings {
  uint64_t capacity_blocks = 16'384;  // the oldest entries go first
  absl::Duration latency = absl::Milliseconds(2);
  uint64_t seed = 1;

  friend bool operator==(const CacheStoreSettings&, const CacheStoreSettings&) = default;
};

// Keeps what engines export: POST /entries gives a handle, GET /entries/HANDLE the entry again. Empty after a
// crash. Entries carry what they were computed under; the importing engine checks it.
class CacheStoreServer : public StandIn {
 public:
  explicit CacheStoreServer(CacheStoreSettings settings);
  ~CacheStoreServer() override;

  uint64_t heldBlocks();

 private:
  absl::Time tick(absl::Time /*now*/) override { return absl::InfiniteFuture(); }
  void onCrash(bool crashed, bool keep_cache) override;

  // Stores the entry under a handle that follows from its content.
  std::string put(const nlohmann::json& entry);
  void makeRoom() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  struct Entry {
    std::string json;
    uint64_t blocks = 0;
  };

  const CacheStoreSettings settings_;
  absl::Mutex mutex_;
  absl::btree_map<std::string, Entry> entries_ ABSL_GUARDED_BY(mutex_);
  std::deque<std::string> by_age_ ABSL_GUARDED_BY(mutex_);
  uint64_t held_blocks_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::emulator
