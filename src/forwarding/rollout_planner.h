// Plans which engines load a new version of a model's weights, when, and how many at a time. The loads of a
// version may be delayed so that a version named shortly after it needs no loads of its own, but not for
// long, since work on older weights is worth less. Performs no I/O.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "forwarding/server_entry.h"
#include "forwarding/weights_register.h"

namespace quincewick::forwarding {

// An engine that has the model.
struct RolloutEngine {
  std::string id;
  WeightsVersion version;
  bool is_loading = false;  // a weight-loading order is in progress
  // Since when it has been reserved for the next load and received no new requests; InfiniteFuture if it is
  // not reserved.
  absl::Time reserved_since = absl::InfiniteFuture();
  bool is_reachable = true;
  uint32_t running = 0;
};

struct RolloutPlan {
  std::vector<std::string> order;                  // engines to which an order is sent now
  std::vector<std::string> reserve;                // engines that receive no new requests, to drain them
  absl::Time next_start = absl::InfiniteFuture();  // when the next load must begin at the latest
  bool is_due = false;                             // whether next_start has been reached
};

struct RolloutSettings {
  uint32_t min_concurrent_loads = 2;
  double concurrent_load_share = 0.2;  // of the engines: this share loads at full speed
  // If the bound can't be met with that many, more engines load at once, up to this number. It does not limit
  // the share.
  uint32_t max_concurrent_loads = 4;
  absl::Duration start_delay = absl::ZeroDuration();  // from a version's naming until its loads begin
  // A reserved engine gets no new requests, so that it drains: a load blocks the requests that run. Its order
  // is sent after this time, or as soon as it is idle. No more engines drain than may load at once, since a
  // draining engine serves no new requests. If loads are behind their bound, as after a store outage, there
  // is less time for draining or none: an engine that misses the bound may not serve at all.
  absl::Duration max_drain_time = absl::Milliseconds(400);
  // Peers may have sent requests before they learnt that the engine is reserved, so an idle engine drains for
  // at least this time. If the time before the bound leaves less for each round, it drains only for that: the
  // bound must be met, whereas requests that a load blocks are only late.
  absl::Duration min_drain_time = absl::Milliseconds(200);
  absl::Duration margin = absl::Milliseconds(900);  // loads must be done this long before the bound
};

// A running estimate of the duration of a load, from the order until the engine serves again.
class LoadTime {
 public:
  absl::Duration expected() const { return expected_; }
  void note(absl::Duration taken);

 private:
  absl::Duration expected_ = absl::Milliseconds(900);
};

// Plans for all engines of one model. `all_within`: the time from a version's naming until it is in force;
// `load_time`: the expected duration of one load.
RolloutPlan planRollout(const std::vector<RolloutEngine>& engines, const ModelName& model,
                        const WeightsRegister& weights, absl::Duration all_within, absl::Duration load_time,
                        const RolloutSettings& settings, absl::Time now);

}  // namespace quincewick::forwarding
