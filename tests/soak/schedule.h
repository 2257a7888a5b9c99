// The faults of one run: drawn from a seed, or read back from the text that an earlier run printed. Pure.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "types/error.h"

namespace quincewick::soak {

enum class FaultKind : uint8_t {
  kStop,                 // a gateway is told to stop in good order, and started again
  kKill,                 // a gateway's process is killed, and started again
  kFreeze,               // a gateway's process stands still
  kReload,               // a gateway is told that its settings changed
  kKillMany,             // about half of the gateways at once
  kStoreRefuses,         // the store turns a gateway away with 503
  kStoreSilent,          // the store gives a gateway no answers
  kStoreDown,            // nobody gets answers
  kStoreSlow,            // answers take half a second longer
  kStoreDropsResponses,  // writes are done and not answered
  kStoreDropsHistory,    // changes up to now can't be told any more
  kBackEndLeaves,        // it says so, serves on for a while, and another one comes
  kBackEndVanishes,      // its entry goes without a word; it serves on for a while
  kBackEndCrashes,      // connections are reset; it comes back under another id, at another service's address
  kBackEndRefuses,      // half of the requests, not run
  kBackEndFails,        // half of the requests end with a failure
  kResponsesLost,       // requests run, and the connection is reset in place of the answer
  kResponsesTruncated,  // requests run, and the connection ends in the middle of the answer
  kConnectionsReset,    // those of a gateway to all back ends
  kConnectionsSilent,   // the same: nothing comes over them any more, without a reset
  kRouteChanges,        // the configuration gets a route, or loses it
  kKeyRemoved,          // a key is taken away
  kBackEndRestarts,     // connections are reset; it starts again under its id and address
  kRowUnreadable,       // another writer spoils its entry, until it writes it anew
  kRowOutdated,         // an entry of its earlier start is told once more
  kBackEndAdvertisesRate,    // its answers name a rate that it takes from all gateways together
  kBackEndBacksOff,          // it turns everything away and asks each gateway for a rest
  kBackEndAnnouncesLeaving,  // it says in its answers that it leaves, its entry doesn't; another one comes
  kBackEndSendsMalformed,    // its answers hold what can't be read as any of these
  kVersionPublished,         // the operator names the next version of the engines' weights
  kStoreRestored,            // it is silent, then a copy of TARGET modulo 10 seconds ago; 0: of the beginning
  kHolderKilled,             // as of a gateway, of the one that gave the last order
  kHolderFrozen,
  kHolderRefused,
};

struct Fault {
  absl::Duration at;
  FaultKind kind = FaultKind::kStop;
  uint32_t target = 0;  // a gateway or a back end, counted modulo how many there are
  absl::Duration duration;

  friend bool operator==(const Fault&, const Fault&) = default;
};

using Schedule = std::vector<Fault>;

// Faults overlap and come in series. The last one ends before `length`. `draws_restores`: also draws the
// kinds from kVersionPublished on, and leaves the others as they were.
Schedule drawSchedule(uint64_t seed, absl::Duration length, bool draws_restores = false);

// A line a fault: "AT_MS KIND TARGET LASTS_MS".
std::string printSchedule(const Schedule& schedule);
// Errors: kInvalidArgument, with the line.
Result<Schedule> parseSchedule(const std::string& text);

}  // namespace quincewick::soak
