// Which versions of models' weights the operator has named, and since when engines must have them. Pure.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <vector>

#include "forwarding/server_entry.h"

namespace quincewick::forwarding {

class WeightsRegister {
 public:
  // `in_force`: from a version's naming until requests begin on no older one.
  explicit WeightsRegister(absl::Duration in_force) : in_force_(in_force) {}

  void setInForce(absl::Duration in_force) { in_force_ = in_force; }
  // The version was named at that time, or before; the earliest time counts. Returns whether it is the newest
  // and news.
  bool note(const NamedWeights& weights, absl::Time named);
  // The newest version that was named; zero: none.
  WeightsVersion newest(const ModelName& model) const;
  // The least version on which a request may be sent now: it may still wait at the engine.
  WeightsVersion required(const ModelName& model, absl::Time now) const;
  // The least version that requests should be sent to where there is a choice.
  WeightsVersion preferred(const ModelName& model, absl::Time now) const;
  // The least version on which a request earns its whole worth.
  WeightsVersion wanted(const ModelName& model, absl::Time now) const;
  // When the version was named, as far as known; InfiniteFuture: it was not.
  absl::Time namedAt(const ModelName& model, WeightsVersion version) const;
  // By when an engine with that version must have a newer one; InfiniteFuture: it has the newest.
  absl::Time deadlineOf(const ModelName& model, WeightsVersion version) const;
  const absl::flat_hash_map<ModelName, std::vector<std::pair<WeightsVersion, absl::Time>>>& all() const {
    return versions_;
  }

 private:
  WeightsVersion namedBefore(const ModelName& model, absl::Time time) const;

  absl::Duration in_force_;
  // Rising versions, each with the time when it was named, as far as known.
  absl::flat_hash_map<ModelName, std::vector<std::pair<WeightsVersion, absl::Time>>> versions_;
};

}  // namespace quincewick::forwarding
