// Which other zones can be reached: each zone's delegates raise its beat, and nodes watch the beats rise.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "membership/messages.h"
#include "types/identifiers.h"

namespace quincewick::membership {

class ZoneContacts {
 public:
  explicit ZoneContacts(ZoneName own_zone) : own_zone_(std::move(own_zone)) {}

  // Takes a beat in; one that isn't greater than the last is ignored.
  void note(const ZoneBeat& beat, absl::Time now);
  // Raises the own zone's beat, as its delegates do.
  void raiseOwn();
  // The beats of all zones.
  std::vector<ZoneBeat> all() const;
  // The zone's last beat, 0 if none was heard.
  uint32_t beat(const ZoneName& zone) const;

  struct Change {
    ZoneName zone;
    bool reachable = false;
  };
  // Zones that have become reachable, or unreachable by a silence of `timeout`, since the last call.
  std::vector<Change> update(absl::Time now, absl::Duration timeout);

  // As of the last update().
  bool isReachable(const ZoneName& zone) const;
  // When the zone was last heard of; the infinite past if never.
  absl::Time heardAt(const ZoneName& zone) const;
  // Forgives a time in which this process itself was paused.
  void forgive(absl::Duration pause);

 private:
  struct Contact {
    uint32_t beat = 0;
    absl::Time heard_at = absl::InfinitePast();
    bool reachable = false;
  };
  ZoneName own_zone_;
  uint32_t own_beat_ = 0;
  absl::btree_map<ZoneName, Contact> contacts_;
};

}  // namespace quincewick::membership
