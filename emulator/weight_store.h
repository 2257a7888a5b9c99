// The weight store that the engines of a site share, on real time.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>

#include "emulator/weight_loader_model.h"

namespace quincewick::emulator {

// Thread-safe front of WeightLoaderModel.
class WeightStore {
 public:
  explicit WeightStore(WeightLoaderSettings settings) : model_(settings) {}

  // Begins a load and returns its number.
  uint64_t begin(absl::Time now);
  // Whether the load is done by `now`; true once, then its number is forgotten.
  bool takeFinished(uint64_t load, absl::Time now);
  void abandon(uint64_t load, absl::Time now);

 private:
  absl::Mutex mutex_;
  WeightLoaderModel model_ ABSL_GUARDED_BY(mutex_);
  absl::btree_set<uint64_t> finished_ ABSL_GUARDED_BY(mutex_);
  uint64_t last_load_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::emulator
