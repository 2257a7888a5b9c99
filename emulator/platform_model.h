// The platform's services behind one door: rate limits, latency, outages and lost answers.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "emulator/token_bucket.h"
#include "types/platform.h"

namespace quincewick::emulator {

struct PlatformSettings {
  double table_operations_per_second = 1000;  // transactions, reads and scans together
  double object_operations_per_second = 200;
  double list_operations_per_second = 200;
  double burst_seconds = 1;  // a limit lets this many seconds' worth through at once
  absl::Duration table_latency = absl::Milliseconds(5);
  absl::Duration object_latency = absl::Milliseconds(20);
  absl::Duration list_latency = absl::Milliseconds(5);
  double latency_spread = 0.5;  // a latency lies up to this share above its base
  absl::Duration machine_list_lag = absl::Seconds(5);
  TableLimits table_limits;
  uint64_t seed = 1;  // decides latencies and losses

  friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
};

// What is wrong at the moment. Every field may be changed while the model runs.
struct PlatformFaults {
  bool down = false;               // every call fails, not run
  double slowdown = 1;             // every latency is multiplied
  double lost_answers = 0;         // share of calls that take effect but whose answer is lost
  uint32_t lose_next_answers = 0;  // that many calls from now on, in addition
};

// What becomes of one call. The effect is immediate; the answer arrives later or not at all.
struct PlatformAnswer {
  PlatformResult result;  // kOutcomeUnknown when the answer is lost
  absl::Time ready_at;
  bool lost = false;
};

struct PlatformCounters {
  uint64_t calls = 0;
  uint64_t rate_limited = 0;
  uint64_t unavailable = 0;
  uint64_t lost = 0;
};

// Not thread-safe; the same calls at the same times give the same answers.
class PlatformModel {
 public:
  explicit PlatformModel(PlatformSettings settings);

  PlatformAnswer call(const PlatformRequest& request, absl::Time now);

  void setMachines(std::vector<Machine> machines, absl::Time now) {
    machines_.setMachines(std::move(machines), now);
  }

  PlatformFaults& faults() { return faults_; }
  const PlatformCounters& counters() const { return counters_; }

 private:
  PlatformResult carryOut(const PlatformRequest& request, absl::Time now);
  TokenBucket& bucketOf(const PlatformRequest& request);
  absl::Duration latencyOf(const PlatformRequest& request) const;
  bool losesAnswer();

  PlatformSettings settings_;
  PlatformFaults faults_;
  PlatformCounters counters_;
  TokenBucket table_bucket_;
  TokenBucket object_bucket_;
  TokenBucket list_bucket_;
  TableModel table_;
  ObjectStoreModel objects_;
  MachineListModel machines_;
};

}  // namespace quincewick::emulator
