// The versions of models' weights that the operator has named, and the deadlines by which engines must have
// them. Performs no I/O.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <vector>

#include "forwarding/server_entry.h"

namespace quincewick::forwarding {

class WeightsRegister {
 public:
  // `in_force`: the time from a version's naming until no request may start on an older one.
  explicit WeightsRegister(absl::Duration in_force) : in_force_(in_force) {}

  void setInForce(absl::Duration in_force) { in_force_ = in_force; }
  // Records that the version was named at or before `named`; the earliest time counts. Returns whether the
  // version is new and the newest.
  bool note(const NamedWeights& weights, absl::Time named);
  // The newest named version, or zero if none was named.
  WeightsVersion newest(const ModelName& model) const;
  // The lowest version that an engine must have for a request to be sent to it now; allows for the time that
  // the request may wait at the engine.
  WeightsVersion required(const ModelName& model, absl::Time now) const;
  // The lowest version that an engine should have if there is a choice.
  WeightsVersion preferred(const ModelName& model, absl::Time now) const;
  // The lowest version on which a request has its full value.
  WeightsVersion wanted(const ModelName& model, absl::Time now) const;
  // When the version was named, as far as known; InfiniteFuture if it was not.
  absl::Time namedAt(const ModelName& model, WeightsVersion version) const;
  // When an engine with that version must have a newer one; InfiniteFuture if it has the newest.
  absl::Time deadlineOf(const ModelName& model, WeightsVersion version) const;
  const absl::flat_hash_map<ModelName, std::vector<std::pair<WeightsVersion, absl::Time>>>& all() const {
    return versions_;
  }

 private:
  WeightsVersion namedBefore(const ModelName& model, absl::Time time) const;

  absl::Duration in_force_;
  // In ascending order of versions, each with the time when it was named, as far as known.
  absl::flat_hash_map<ModelName, std::vector<std::pair<WeightsVersion, absl::Time>>> versions_;
};

}  // namespace quincewick::forwarding
