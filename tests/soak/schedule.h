// The faults of one run, drawn from a seed or parsed from the text that an earlier run printed. No I/O.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "types/error.h"

namespace quincewick::soak {

enum class FaultKind : uint8_t {
  kStop,                 // a gateway is stopped gracefully and restarted
  kKill,                 // a gateway's process is killed and restarted
  kFreeze,               // a gateway's process is suspended
  kReload,               // a gateway gets the signal to reload its settings
  kKillMany,             // about half of the gateways are killed at once
  kStoreRefuses,         // the store responds to a gateway with 503
  kStoreSilent,          // the store doesn't respond to a gateway
  kStoreDown,            // the store responds to no gateway
  kStoreSlow,            // responses are delayed by half a second
  kStoreDropsResponses,  // writes are executed without a response
  kStoreDropsHistory,    // the store drops its change history
  kBackEndLeaves,        // its row says draining; it serves for a while, and a replacement starts
  kBackEndVanishes,      // its row is removed without notice; it serves for a while
  kBackEndCrashes,  // connections are reset; its replacement has a new id, and its address goes to another
                    // service
  kBackEndRefuses,  // refuses half of the requests without running them
  kBackEndFails,    // half of the requests fail
  kResponsesLost,   // requests run, but the connection is reset instead of a response
  kResponsesTruncated,       // requests run, but the connection ends in the middle of the response
  kConnectionsReset,         // connections of a gateway to all back ends are reset
  kConnectionsSilent,        // these connections carry no more data, without a reset
  kRouteChanges,             // a route is added to the configuration, or removed
  kKeyRemoved,               // a key is revoked
  kBackEndRestarts,          // connections are reset; it restarts under the same id and address
  kRowUnreadable,            // its row is corrupt until it writes it again
  kRowOutdated,              // a row of its previous incarnation is written again
  kBackEndAdvertisesRate,    // its responses advertise a request rate for all gateways together
  kBackEndBacksOff,          // it refuses all requests and asks each gateway to back off
  kBackEndAnnouncesLeaving,  // its responses say that it is leaving, its row doesn't; a replacement starts
  kBackEndSendsMalformed,    // its responses hold unparsable values for these fields
  kVersionPublished,         // the operator publishes the next version of the engines' weights
  kStoreRestored,            // an outage, then the copy from TARGET modulo 10 seconds ago; 0: the empty store
  kHolderKilled,             // like kKill, for the gateway that gave the last order
  kHolderFrozen,
  kHolderRefused,
  kPathReset,          // a gateway's connections to all back ends are reset, and new ones are refused
  kPathRefused,        // new ones are refused, while open ones live on
  kPathSilent,         // they carry no data, nor do new ones
  kBackEndBrittle,     // a service's back ends say that they are brittle, and later let fewer requests wait
  kRouteStorm,         // a route is added and removed by turns, several times a second
  kStoreRestoredLate,  // like kStoreRestored after half of the duration; the rest of it passes until what was
                       // lost is written again
  kKillAll,            // all gateways are killed at once
};

struct Fault {
  absl::Duration at;
  FaultKind kind = FaultKind::kStop;
  uint32_t target = 0;  // index of a gateway or a back end, modulo their number
  absl::Duration duration;

  friend bool operator==(const Fault&, const Fault&) = default;
};

using Schedule = std::vector<Fault>;

// Faults overlap and repeat. The last one ends before `length`. `draws_restores`: also draws the kinds from
// kVersionPublished to kHolderRefused and from kRouteStorm on, without changing the others.
Schedule drawSchedule(uint64_t seed, absl::Duration length, bool draws_restores = false);

// Adds series of new weights, close together, at drawn times.
void addWeightsSeries(uint64_t seed, absl::Duration length, Schedule& schedule);

// Adds a fault without a target and a duration at this interval; none if it is zero.
void addAtIntervals(FaultKind kind, absl::Duration interval, absl::Duration length, Schedule& schedule);

// One line per fault: "AT_MS KIND TARGET DURATION_MS".
std::string printSchedule(const Schedule& schedule);
// Errors: kInvalidArgument, with the offending line.
Result<Schedule> parseSchedule(const std::string& text);

}  // namespace quincewick::soak
