// The settings file of a whole emulated site, and the file of faults that come while it runs.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/diagnostics.h"
#include "emulator/cache_store_server.h"
#include "emulator/engine_settings.h"
#include "emulator/faults.h"
#include "emulator/platform_model.h"
#include "emulator/weight_loader_model.h"
#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::emulator {

// A model that every engine has loaded when it starts.
struct ModelSettings {
  ModelName model;
  WeightsVersion weights_version{1};
  std::vector<AdapterName> adapters;

  friend bool operator==(const ModelSettings&, const ModelSettings&) = default;
};

// Engines or action servers alike. Their ids are KIND-ZONE-1, KIND-ZONE-2 and so on, counted by zone.
struct StandInGroup {
  ZoneName zone;
  uint32_t count = 1;
  uint16_t first_port = 0;  // of consecutive ones; 0: any free ports
  Labels labels;

  friend bool operator==(const StandInGroup&, const StandInGroup&) = default;
};

struct PlatformSection {
  uint16_t port = 0;
  PlatformSettings service;

  friend bool operator==(const PlatformSection&, const PlatformSection&) = default;
};

struct CacheStoreSection {
  ZoneName zone;
  uint16_t port = 0;
  CacheStoreSettings service;

  friend bool operator==(const CacheStoreSection&, const CacheStoreSection&) = default;
};

struct ActionTimes {
  absl::Duration action_time = absl::Milliseconds(20);
  absl::Duration lookup_time = absl::Milliseconds(5);

  friend bool operator==(const ActionTimes&, const ActionTimes&) = default;
};

// A router that the machine list shows from the start.
struct ListedNode {
  std::string id;
  ZoneName zone;
  Address address;  // of its peer port
  Labels labels;

  friend bool operator==(const ListedNode&, const ListedNode&) = default;
};

struct SiteSettings {
  std::string site;
  RegionName region;
  std::string host = "127.0.0.1";
  uint64_t seed = 1;
  uint16_t control_port = 0;
  PlatformSection platform;
  WeightLoaderSettings weights;
  std::optional<CacheStoreSection> cache_store;
  EngineSettings engine;
  std::vector<ModelSettings> models;
  std::vector<StandInGroup> engines;
  ActionTimes actions;
  std::vector<StandInGroup> action_servers;
  std::vector<ListedNode> nodes;
};

// A fault that begins a while after the start of the site.
struct ScheduledFault : Fault {
  absl::Duration at;
  std::string target;  // as EmulatedSite::inject takes it

  friend bool operator==(const ScheduledFault&, const ScheduledFault&) = default;
};

struct FaultSchedule {
  std::vector<ScheduledFault> faults;
};

// Read a file's text; all faults of the text are listed with line and column.
configuration::Parsed<SiteSettings> parseSiteSettings(const std::string& text);
configuration::Parsed<FaultSchedule> parseFaultSchedule(const std::string& text);

}  // namespace quincewick::emulator
