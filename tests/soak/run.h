// One run: a small site of real gateway processes on loopback, callers, and the faults of a schedule.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

#include "history.h"
#include "schedule.h"

namespace quincewick::soak {

struct RunSettings {
  std::string program;  // the built quincewick
  std::string folder;   // for settings and logs; it is there
  uint64_t seed = 1;
  uint32_t gateways = 6;  // in three zones
  uint32_t callers = 36;
  absl::Duration length = absl::Seconds(20);
  // How long the site may take, after the last fault, until it serves all again; then the run ends anyhow.
  absl::Duration recovery_timeout = absl::Seconds(60);
  // Signals to reload also come to processes that started less than a second ago. Until its first line runs,
  // no program can take a signal, and this one ends it: which of both comes first is chance.
  bool reloads_during_startup = false;
  bool store_sends_era = true;
  Bounds bounds;
};

History runSite(const RunSettings& settings, const Schedule& schedule);

}  // namespace quincewick::soak
