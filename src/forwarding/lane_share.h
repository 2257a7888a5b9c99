// How large a share of the engines short prompts need, from the work that this node has lately seen done.
//
// A short prompt's stream holds one of its engine's slots until its end; a long one holds up the whole engine
// while it is read. Both lanes are to have their engines at the same share of what they can bear. Pure; `now`
// never goes back.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quincewick::forwarding {

struct LaneShareSettings {
  absl::Duration half_life = absl::Seconds(10);  // of what was seen
  double slots_in_use = 0.9;                     // of a lane's slots, at most
  double time_reading = 0.35;                    // of a lane's time, at most
  double least = 0.1;
  double most = 0.6;
  double share_at_start = 0.35;
};

class LaneShare {
 public:
  explicit LaneShare(const LaneShareSettings& settings = LaneShareSettings()) : settings_(settings) {}

  // A short prompt's request held one of so many slots for so long.
  void noteShort(absl::Duration held, uint32_t slots, absl::Time now);
  // A long prompt took so long to be read.
  void noteLong(absl::Duration reading, absl::Time now);
  double share(absl::Time now) const;

 private:
  double decay(absl::Time now) const;
  void age(absl::Time now);

  LaneShareSettings settings_;
  double short_seconds_ = 0;  // of whole engines
  double long_seconds_ = 0;
  absl::Time aged_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
