// Compares what callers were told of their actions with what the action servers ran.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "loadgen/outcome.h"
#include "types/error.h"

namespace quincewick::loadgen {

// How often each (kind, key) ran, over all action servers.
struct ActionRuns {
  absl::btree_map<std::pair<std::string, std::string>, uint64_t> counts;
  absl::btree_set<std::string> logs;  // that were added
};

// Adds one server's answer to GET /admin/runs: {"log", "runs": [{"kind", "key", "count"}]}. Servers that
// share a log give the same "log", and count once.
Result<void> addActionRuns(std::string_view body, ActionRuns& runs);

// Sets `violation` on the outcomes of actions that ran twice (on the first outcome of the key only), were
// answered as done but never ran, or were refused as not run in every answer and yet ran.
void auditActions(const Workload& workload, const ActionRuns& runs, std::vector<RequestOutcome>& outcomes);

}  // namespace quincewick::loadgen
