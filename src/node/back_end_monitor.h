// Keeps the router's and the action service's knowledge of back ends up to date.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "engine/engine_channel.h"
#include "node/back_end_health.h"
#include "node/router_host.h"
#include "platform/platform.h"

namespace quincewick::node {

struct BackEndMonitorOptions {
  absl::Duration machine_list_interval = absl::Seconds(1);
  absl::Duration engine_poll_interval = absl::Milliseconds(500);
  uint32_t failures_until_gone = 2;  // polls in a row
  uint32_t cache_events_per_poll = 2000;
  size_t poll_threads = 4;
};

// Reads the platform's machine list and polls each engine for its load, models and cache events. An engine
// that does not answer is taken from the router, and given back when it answers again. Owns its threads.
class BackEndMonitor {
 public:
  BackEndMonitor(const BackEndMonitorOptions& options, platform::Platform& platform,
                 engine::EngineChannel& engines, RouterHost& router, BackEndHealth& health,
                 std::function<absl::Time()> clock);
  ~BackEndMonitor();
  BackEndMonitor(const BackEndMonitor&) = delete;
  BackEndMonitor& operator=(const BackEndMonitor&) = delete;

  void start();

  // Action servers that may get work, in the order of their identifiers.
  std::vector<BackEnd> actionServers();

  // All that are known: action servers, and engines with what they last reported.
  std::vector<BackEnd> backEnds();

  // Engines that answered their last poll.
  size_t answeringEngines();

 private:
  struct Watched {
    BackEnd back_end;
    uint32_t failures = 0;
    bool answering = false;
    bool polling = false;  // a thread is at it
    absl::Time due;
  };

  void readMachineListUntilStopped();
  void takeMachineList(const MachineList& list);
  void pollUntilStopped();
  // Claims the engine whose poll is due; nothing when none is.
  bool claimDueEngine(BackEnd& engine) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void poll(const BackEnd& engine);
  void readCacheEvents(const BackEnd& engine);
  void takeReport(const BackEnd& engine, const engine::EngineReport& report, absl::Time measured);
  void takeFailure(const BackEnd& engine);
  // Tells the router of engines that were taken out of use, or given back.
  void passOnHealth();
  bool pauseFor(absl::Duration duration);

  const BackEndMonitorOptions options_;
  platform::Platform& platform_;
  engine::EngineChannel& engines_;
  RouterHost& router_;
  BackEndHealth& health_;
  const std::function<absl::Time()> clock_;

  absl::Mutex mutex_;
  absl::btree_map<BackEndId, Watched> watched_ ABSL_GUARDED_BY(mutex_);  // engines
  absl::btree_map<BackEndId, BackEnd> action_servers_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::thread> threads_;
};

}  // namespace quincewick::node
