#include "membership/zone_contacts.h"

#include <algorithm>

namespace quincewick::membership {

void ZoneContacts::note(const ZoneBeat& beat, absl::Time now) {
  if (beat.zone == own_zone_) {
    own_beat_ = std::max(own_beat_, beat.beat);
    return;
  }
  Contact& contact = contacts_[beat.zone];
  if (beat.beat > contact.beat) {
    contact.beat = beat.beat;
    contact.heard_at = now;
  }
}

void ZoneContacts::raiseOwn() {
  ++own_beat_;
}

std::vector<ZoneBeat> ZoneContacts::all() const {
  std::vector<ZoneBeat> beats;
  beats.reserve(contacts_.size() + 1);
  beats.push_back({own_zone_, own_beat_});
  for (const auto& [zone, contact] : contacts_) {
    beats.push_back({zone, contact.beat});
  }
  return beats;
}

uint32_t ZoneContacts::beat(const ZoneName& zone) const {
  if (zone == own_zone_) {
    return own_beat_;
  }
  const auto contact = contacts_.find(zone);
  return contact == contacts_.end() ? 0 : contact->second.beat;
}

std::vector<ZoneContacts::Change> ZoneContacts::update(absl::Time now, absl::Duration timeout) {
  std::vector<Change> changes;
  for (auto& [zone, contact] : contacts_) {
    const bool reachable = now - contact.heard_at < timeout;
    if (reachable != contact.reachable) {
      contact.reachable = reachable;
      changes.push_back({zone, reachable});
    }
  }
  return changes;
}

bool ZoneContacts::isReachable(const ZoneName& zone) const {
  if (zone == own_zone_) {
    return true;
  }
  const auto contact = contacts_.find(zone);
  return contact != contacts_.end() && contact->second.reachable;
}

absl::Time ZoneContacts::heardAt(const ZoneName& zone) const {
  const auto contact = contacts_.find(zone);
  return contact == contacts_.end() ? absl::InfinitePast() : contact->second.heard_at;
}

void ZoneContacts::forgive(absl::Duration pause) {
  for (auto& [zone, contact] : contacts_) {
    contact.heard_at += pause;
  }
}

}  // namespace quincewick::membership
