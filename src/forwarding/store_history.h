// Whether the store still has all that it acknowledged, as far as its answers tell.
//
// A store that is restored from an older copy loses what was written since, and gives its versions out again.
// It tells so by an era that rises; a store that tells no era is seen to go back by its newest version, which
// otherwise never falls. Pure; times are the node's steady clock.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace quincewick::forwarding {

// What one answer of the store tells of the store itself.
struct StoreObservation {
  uint64_t version = 0;         // its newest
  std::optional<uint64_t> era;  // nothing: it tells none
  absl::Time began;             // the call, as `ended`
  absl::Time ended;
};

enum class StoreContinuity : uint8_t {
  kContinuous,
  kReverted,  // what was acknowledged before may be lost
  kOutdated,  // the answer is of an era that is over
};

class StoreHistory {
 public:
  // Answers may come in another order than that in which the store gave them.
  StoreContinuity note(const StoreObservation& sign);

  std::optional<uint64_t> era() const { return era_; }
  uint64_t version() const { return version_; }
  // Rises each time that what was acknowledged before may be lost, and with the first era.
  uint64_t generation() const { return generation_; }
  // Nothing that was acknowledged after this moment is known to be lost. With an era: when it was first seen;
  // without one InfinitePast until the store was seen to go back.
  absl::Time continuousSince() const { return continuous_since_; }

 private:
  void reset(const StoreObservation& sign);

  std::optional<uint64_t> era_;
  uint64_t version_ = 0;  // the highest of any answer since `continuous_since_`
  absl::Time version_known_ = absl::InfinitePast();
  absl::Time continuous_since_ = absl::InfinitePast();
  uint64_t generation_ = 0;
};

}  // namespace quincewick::forwarding
