// When which engines take a new version of a model's weights, and how many at a time. A version waits for a
// moment, so that one named right after it needs no loads of its own; then its loads begin, for work on older
// weights is worth less. Pure.
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
  bool is_loading = false;  // an order is under way
  // Since when it is reserved: it is next, and gets no new requests. InfiniteFuture: it is not.
  absl::Time reserved_since = absl::InfiniteFuture();
  bool is_reachable = true;
  uint32_t running = 0;
};

struct RolloutPlan {
  std::vector<std::string> order;                  // give the order now
  std::vector<std::string> reserve;                // send nothing new there
  absl::Time next_start = absl::InfiniteFuture();  // when the next load must begin at the latest
  bool is_due = false;                             // loads have begun, or begin now
};

struct RolloutSettings {
  uint32_t min_concurrent_loads = 2;
  double concurrent_load_share = 0.2;  // of the engines: so many load at no loss of speed
  uint32_t max_concurrent_loads = 4;  // unless the share is more; only where the bound can't be met otherwise
  absl::Duration start_delay = absl::ZeroDuration();  // from a version's naming until its loads begin
  // An engine that is next gets no new requests, so that runs end. It is given its order after so long, or as
  // soon as it is empty: a load holds up what runs. Only as many are emptied as may load at once, for each of
  // them serves nothing meanwhile. Where loads are behind their bound, as after the store was away, there is
  // less time for it or none: an engine that is late may not serve at all.
  absl::Duration max_drain_time = absl::Milliseconds(400);
  // Peers may have sent it something before they learnt that it is reserved. Where the time before the bound
  // leaves each round less, it is emptied for that: the bound is a rule, what a load holds up only late.
  absl::Duration min_drain_time = absl::Milliseconds(200);
  absl::Duration margin = absl::Milliseconds(900);  // before the bound
};

// How long one load takes, from the order to an engine that serves again; learnt.
class LoadTime {
 public:
  absl::Duration expected() const { return expected_; }
  void note(absl::Duration taken);

 private:
  absl::Duration expected_ = absl::Milliseconds(900);
};

// Plans for all engines of one model. `all_within`: the time from a version's naming until it is in force.
RolloutPlan planRollout(const std::vector<RolloutEngine>& engines, const ModelName& model,
                        const WeightsRegister& weights, absl::Duration all_within, absl::Duration load_time,
                        const RolloutSettings& settings, absl::Time now);

}  // namespace quincewick::forwarding
