#include "forwarding/store_history.h"

namespace quincewick::forwarding {

StoreContinuity StoreHistory::note(const StoreObservation& sign) {
  const bool may_be_earlier = sign.began < continuous_since_;  // than the reversion of the store
  if (sign.era && sign.era != era_) {
    const bool is_first = !era_;
    if (!is_first && may_be_earlier && *sign.era < *era_) {
      return StoreContinuity::kOutdated;
    }
    era_ = sign.era;
    reset(sign);
    return is_first ? StoreContinuity::kContinuous : StoreContinuity::kReverted;
  }
  if (may_be_earlier) {
    return StoreContinuity::kContinuous;
  }
  if (!era_ && sign.version < version_ && sign.began >= version_known_) {
    reset(sign);
    return StoreContinuity::kReverted;
  }
  if (sign.version > version_) {
    version_ = sign.version;
    version_known_ = sign.ended;
  }
  return StoreContinuity::kContinuous;
}

void StoreHistory::reset(const StoreObservation& sign) {
  version_ = sign.version;
  version_known_ = sign.ended;
  continuous_since_ = sign.ended;
  ++generation_;
}

}  // namespace quincewick::forwarding
