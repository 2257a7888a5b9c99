// Which engines a rollout is about, how many of them are ready, and which are still to be changed.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <utility>

#include "fleet/back_end_tracker.h"
#include "fleet/records.h"

namespace quincewick::fleet {

// Kept up with each change of a back end, so that a decision costs no walk over the whole site. Pure.
class RolloutTargets {
 public:
  // A change of what is wanted counts all back ends anew.
  void setRecord(const RolloutRecord& record, const BackEndTracker& tracker);
  // A back end has changed or is forgotten.
  void note(const BackEndId& id, const BackEndTracker& tracker);
  // The engine's role is set: no answer of an engine shows it.
  void noteRoleSet(const BackEnd& back_end, const BackEndTracker& tracker);

  bool isAtTarget(const BackEnd& back_end) const;
  bool isReady(const BackEndId& id) const;

  uint32_t capacity() const { return capacity_; }  // engines of the model that are not leaving
  uint32_t ready() const { return ready_; }
  uint32_t remaining() const { return remaining_; }  // they answer and are not yet as wanted
  uint32_t readyFloor() const;                       // the least that must stay ready
  const absl::btree_map<ZoneName, absl::btree_set<BackEndId>>& remainingByZone() const {
    return remaining_by_zone_;
  }

 private:
  // What one engine counts for.
  struct Share {
    ZoneName zone;
    bool capacity = false;
    bool ready = false;
    bool remaining = false;
  };

  Share shareOf(const TrackedBackEnd& tracked) const;
  void setShare(const BackEndId& id, const Share& share);
  void dropShare(const BackEndId& id);

  RolloutRecord record_;
  absl::btree_map<BackEndId, Share> shares_;
  absl::btree_map<ZoneName, absl::btree_set<BackEndId>> remaining_by_zone_;
  absl::btree_set<std::pair<BackEndId, Incarnation>> roles_set_;
  uint32_t capacity_ = 0;
  uint32_t ready_ = 0;
  uint32_t remaining_ = 0;
};

}  // namespace quincewick::fleet
