#include "emulator/action_run_log.h"

namespace quincewick::emulator {

uint64_t ActionRunLog::record(const ActionName& action) {
  constexpr uint64_t kSecondRun = 2;
  const absl::MutexLock lock(&mutex_);
  const uint64_t runs = ++runs_[action];
  ++totals_.runs;
  totals_.actions += runs == 1 ? 1 : 0;
  totals_.doubled += runs == kSecondRun ? 1 : 0;
  return runs;
}

uint64_t ActionRunLog::runsOf(const ActionName& action) {
  const absl::MutexLock lock(&mutex_);
  const auto found = runs_.find(action);
  return found == runs_.end() ? 0 : found->second;
}

ActionTotals ActionRunLog::totals() {
  const absl::MutexLock lock(&mutex_);
  return totals_;
}

std::vector<std::pair<ActionName, uint64_t>> ActionRunLog::all() {
  const absl::MutexLock lock(&mutex_);
  return {runs_.begin(), runs_.end()};
}

}  // namespace quincewick::emulator
