// Detects from the store's responses whether it has lost acknowledged writes.
//
// A store that is restored from an older copy loses what was written since and assigns the same versions
// again. It reports this by a higher era. For a store that reports no era, a decrease of its newest version,
// which otherwise never falls, shows it. Performs no I/O; times are the node's steady clock.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace quincewick::forwarding {

// What one response of the store reports about the store itself.
struct StoreObservation {
  uint64_t version = 0;         // the store's newest version
  std::optional<uint64_t> era;  // nullopt if it reports none
  absl::Time began;             // of the call
  absl::Time ended;             // of the call
};

enum class StoreContinuity : uint8_t {
  kContinuous,
  kReverted,  // acknowledged writes may be lost
  kOutdated,  // the response is of a past era
};

class StoreHistory {
 public:
  // Responses may arrive in another order than the store sent them.
  StoreContinuity note(const StoreObservation& observation);

  // Something else showed that the store lost acknowledged writes: a later read contradicts an earlier one,
  // or a peer noticed it.
  void noteContradiction(absl::Time now);

  std::optional<uint64_t> era() const { return era_; }
  uint64_t version() const { return version_; }
  // Rises each time acknowledged writes may have been lost, and when the store first reports an era.
  uint64_t generation() const { return generation_; }
  // How often acknowledged writes may have been lost. A response to a request that was sent before the last
  // time may be of the store before that.
  uint64_t restores() const { return restores_; }
  // As far as is known, no write that was acknowledged after this time has been lost. If the store reports an
  // era, when that era was first seen; otherwise when the store was last seen to be reverted, InfinitePast if
  // never.
  absl::Time continuousSince() const { return continuous_since_; }

 private:
  void reset(const StoreObservation& observation);

  std::optional<uint64_t> era_;
  uint64_t version_ = 0;  // the highest of any response since `continuous_since_`
  absl::Time version_known_ = absl::InfinitePast();
  absl::Time continuous_since_ = absl::InfinitePast();
  uint64_t generation_ = 0;
  uint64_t restores_ = 0;
};

}  // namespace quincewick::forwarding
