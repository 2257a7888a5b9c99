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
  // Records a version that was named at `named` or later; the earliest time counts. Returns whether the
  // version is new and the newest.
  bool note(const NamedWeights& weights, absl::Time named);
  // The newest named version, or zero if none was named.
  WeightsVersion newest(const ModelName& model) const;
  // The lowest version that an engine must have for a request to begin there at `begins`.
  WeightsVersion required(const ModelName& model, absl::Time begins) const;
  // The lowest version that an engine should have if there is a choice.
  WeightsVersion preferred(const ModelName& model, absl::Time now) const;
  // The lowest version on which a request has its full value.
  WeightsVersion wanted(const ModelName& model, absl::Time now) const;
  // The earliest time at which the version may have been named; InfiniteFuture if it was not.
  absl::Time namedAt(const ModelName& model, WeightsVersion version) const;
  // Until when requests may begin at an engine with that version, less the time that a message to it takes;
  // InfiniteFuture if it has the newest.
  absl::Time deadlineOf(const ModelName& model, WeightsVersion version) const;
  // The same if a version that was named after `confirmed` may not be known yet.
  absl::Time provenDeadlineOf(const ModelName& model, WeightsVersion version, absl::Time confirmed) const;
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
