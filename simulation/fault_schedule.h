// The faults of a simulated run, read from a checked YAML file.
//
//   faults:
//     - kind: engine_crash     # the names of faultKindName
//       at: 10s                # after the start of the run
//       for: 5s                # until it is mended; every kind has a default
//       count: 3               # machines hit; picked by the run's seed (default 1)
//       zone: zone-01          # hits only this zone (default: any)
//       factor: 10             # store_slow: how much slower; cache_event_loss, store_lost_answers: share
//       lost
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::simulation {

enum class FaultKind : uint8_t {
  kEngineCrash,       // engines stop and come back empty after `for`
  kNodeCrash,         // nodes stop; they start again after `for`, knowing nothing
  kNodeHerd,          // as kNodeCrash, for all nodes of the zone, or of the site
  kNodePause,         // nodes stand still for `for`, then go on with what they knew
  kZoneCut,           // a zone is cut off from the others
  kRegionCut,         // the region of `zone` is cut off from the others
  kStoreOutage,       // the platform's store answers nothing
  kStoreSlow,         // the platform's store takes `factor` times as long
  kStoreLostAnswers,  // a share of the store's answers is lost after the write took effect
  kCacheEventLoss,    // a share of the engines' cache events is lost
  kRacingOperators,   // `count` + 1 operators submit conflicting changes at once
  kPlannedStop,       // nodes are told to stop, drain and leave; they return after `for`
  kRollout,           // a new weights version is ordered for one model
};

// The kind's stable name in files and reports.
std::string_view faultKindName(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kEngineCrash;
  absl::Duration at;
  absl::Duration duration;
  uint32_t count = 1;
  std::optional<ZoneName> zone;
  double factor = 0;
};

// Parses a fault schedule. Unknown keys and kinds, wrong types and values out of range are errors that name
// line, column and what was expected.
Result<std::vector<Fault>> parseFaultSchedule(std::string_view yaml);

}  // namespace quincewick::simulation
