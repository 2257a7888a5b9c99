// Counts how often each action was run, over all action servers of a site.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace quincewick::emulator {

// What names an action: the same key of another tenant is another action.
struct ActionName {
  std::string kind;
  std::string tenant;
  std::string key;

  friend bool operator<(const ActionName& left, const ActionName& right) {
    return std::tie(left.kind, left.tenant, left.key) < std::tie(right.kind, right.tenant, right.key);
  }
};

struct ActionTotals {
  uint64_t runs = 0;
  uint64_t actions = 0;  // distinct ones
  uint64_t doubled = 0;  // actions that ran more than once
};

// Thread-safe. Outlives crashes of the servers, as the records of a booking system do.
class ActionRunLog {
 public:
  // Counts one run; returns how often the action has run by now.
  uint64_t record(const ActionName& action);
  uint64_t runsOf(const ActionName& action);
  ActionTotals totals();
  std::vector<std::pair<ActionName, uint64_t>> all();

 private:
  absl::Mutex mutex_;
  absl::btree_map<ActionName, uint64_t> runs_ ABSL_GUARDED_BY(mutex_);
  ActionTotals totals_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::emulator
