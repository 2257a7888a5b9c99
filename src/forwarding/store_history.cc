#include "forwarding/store_history.h"

namespace quincewick::forwarding {

StoreContinuity StoreHistory::note(const StoreObservation& observation) {
  const bool may_be_earlier = observation.began < continuous_since_;  // than the reversion of the store
  if (observation.era && observation.era != era_) {
    const bool is_first = !era_;
    if (!is_first && may_be_earlier && *observation.era < *era_) {
      return StoreContinuity::kOutdated;
    }
    era_ = observation.era;
    reset(observation);
    restores_ += is_first ? 0 : 1;
    return is_first ? StoreContinuity::kContinuous : StoreContinuity::kReverted;
  }
  if (may_be_earlier) {
    return StoreContinuity::kContinuous;
  }
  if (!era_ && observation.version < version_ && observation.began >= version_known_) {
    reset(observation);
    ++restores_;
    return StoreContinuity::kReverted;
  }
  if (observation.version > version_) {
    version_ = observation.version;
    version_known_ = observation.ended;
  }
  return StoreContinuity::kContinuous;
}

void StoreHistory::noteContradiction(absl::Time now) {
  continuous_since_ = now;
  ++generation_;
  ++restores_;
}

void StoreHistory::reset(const StoreObservation& observation) {
  version_ = observation.version;
  version_known_ = observation.ended;
  continuous_since_ = observation.ended;
  ++generation_;
}

}  // namespace quincewick::forwarding
