#include "emulator/weight_store.h"

namespace quincewick::emulator {

uint64_t WeightStore::begin(absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  model_.begin(++last_load_, now);
  return last_load_;
}

bool WeightStore::takeFinished(uint64_t load, absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  for (const uint64_t finished : model_.takeFinished(now)) {
    finished_.insert(finished);
  }
  return finished_.erase(load) > 0;
}

void WeightStore::abandon(uint64_t load, absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  model_.abandon(load, now);
  finished_.erase(load);
}

}  // namespace quincewick::emulator
