// Sends a workload's requests to real routers in real time and records what became of each.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "loadgen/action_audit.h"
#include "loadgen/outcome.h"
#include "loadgen/workload.h"
#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::loadgen {

struct DriverOptions {
  std::vector<Address> targets;         // callers' addresses of routers, used in turn
  std::vector<Address> action_servers;  // asked for their runs at the end; may be empty
  absl::Duration length = absl::Seconds(10);
  double rate = 10.0;  // requests a second
  uint64_t seed = 1;
  uint32_t workers = 256;                       // requests that can be in flight at once
  std::string key;                              // overrides the tenants' keys if not empty
  absl::Duration patience = absl::Seconds(60);  // for the next byte of an answer
  bool show_progress = true;                    // one line a second on the standard error output
};

struct RunRecord {
  std::vector<RequestOutcome> outcomes;  // by arrival number
  bool has_action_audit = false;         // the action servers were asked, and all answered
};

// Reads "IP:PORT[,IP:PORT...]"; kInvalidArgument names the wrong part.
Result<std::vector<Address>> parseAddresses(std::string_view text);

// Sends arrivals open loop: at their intended times, however slow the answers are, as long as a worker is
// free; latencies count from the intended time in any case. Returns when all requests ended, each bounded by
// its own patience. A target that can't be connected to is passed over for the next one, as a balancer would.
RunRecord runLoad(const Workload& workload, const DriverOptions& options);

}  // namespace quincewick::loadgen
