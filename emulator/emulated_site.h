// All stand-ins of one settings file, in this process.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/action_server.h"
#include "emulator/cache_store_server.h"
#include "emulator/control_server.h"
#include "emulator/engine_server.h"
#include "emulator/platform_server.h"
#include "emulator/site_settings.h"
#include "types/error.h"

namespace quincewick::emulator {

// Owns the stand-ins; stops them when destroyed. `start` and `stop` belong to one thread, the rest to any.
class EmulatedSite : public SiteControl {
 public:
  // A listening stand-in.
  struct Listening {
    std::string kind;
    std::string id;
    ZoneName zone;  // empty: of the platform, which belongs to no zone
    Address address;
  };

  explicit EmulatedSite(SiteSettings settings);
  ~EmulatedSite() override;
  EmulatedSite(const EmulatedSite&) = delete;
  EmulatedSite& operator=(const EmulatedSite&) = delete;

  // Starts everything, and fills the machine list. On an error, what was started is stopped.
  Result<void> start();
  void stop();

  // In the order of the settings, the platform first. Constant after start.
  const std::vector<Listening>& listening() const { return listening_; }

  // Switches a fault on at a target: an id, "engines", "action_servers", "platform", "cache_store", "all", or
  // "zone/NAME". A cut of a zone without zones and nodes of its own cuts that zone off from all others.
  // kNotFound if no stand-in is meant.
  Result<void> inject(const std::string& target, const Fault& fault) override;
  void clearFaults() override;

  // Sums over all stand-ins: uses of foreign blocks, runs of actions, requests.
  nlohmann::json report() override;

  // Sets or removes a machine of the list that the platform shows after its lag.
  void setMachine(const Machine& machine) override;
  void removeMachine(const std::string& id) override;
  std::optional<Machine> machine(const std::string& id) override;

 private:
  struct Placed {
    Listening listening;
    StandIn* stand_in = nullptr;
  };

  Result<void> startAll();
  Result<void> startPlatform();
  Result<void> startCacheStore();
  Result<void> startEngines();
  Result<void> startActionServers();
  Result<Address> place(const std::string& kind, const std::string& id, const ZoneName& zone, uint16_t port,
                        StandIn& stand_in);
  void list(MachineKind kind, const Listening& listening, const Labels& labels);
  void publishMachines();
  bool isMeant(const std::string& target, const Listening& listening) const;
  void cutZone(const std::string& zone, const Fault& fault);
  EngineServerSettings engineSettings(uint64_t number);

  const SiteSettings settings_;
  std::shared_ptr<WeightStore> weights_;
  std::shared_ptr<ActionRunLog> runs_ = std::make_shared<ActionRunLog>();
  std::unique_ptr<PlatformServer> platform_;
  std::unique_ptr<CacheStoreServer> cache_store_;
  std::optional<Address> cache_store_address_;
  std::vector<std::unique_ptr<EngineServer>> engines_;
  std::vector<std::unique_ptr<ActionServer>> action_servers_;
  std::unique_ptr<ControlServer> control_;
  std::vector<Placed> placed_;
  std::vector<Listening> listening_;
  absl::Mutex machines_mutex_;
  absl::btree_map<std::string, Machine> machines_ ABSL_GUARDED_BY(machines_mutex_);
};

}  // namespace quincewick::emulator
