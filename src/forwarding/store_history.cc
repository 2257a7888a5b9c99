#include "forwarding/store_history.h"

namespace quincewick::forwarding {

StoreFinding StoreHistory::note(const StoreSign& sign) {
  const bool may_be_earlier = sign.began < unbroken_since_;  // than the moment at which the store went back
  if (sign.era && sign.era != era_) {
    const bool is_first = !era_;
    if (!is_first && may_be_earlier && *sign.era < *era_) {
      return StoreFinding::kOutdated;
    }
    era_ = sign.era;
    beginAnew(sign);
    return is_first ? StoreFinding::kGoesOn : StoreFinding::kWentBack;
  }
  if (may_be_earlier) {
    return StoreFinding::kGoesOn;
  }
  if (!era_ && sign.version < version_ && sign.began >= version_known_) {
    beginAnew(sign);
    return StoreFinding::kWentBack;
  }
  if (sign.version > version_) {
    version_ = sign.version;
    version_known_ = sign.ended;
  }
  return StoreFinding::kGoesOn;
}

void StoreHistory::beginAnew(const StoreSign& sign) {
  version_ = sign.version;
  version_known_ = sign.ended;
  unbroken_since_ = sign.ended;
  ++generation_;
}

}  // namespace quincewick::forwarding
