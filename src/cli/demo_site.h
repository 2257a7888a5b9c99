// The deployment that `quincewick demo` runs: emulators and one node, in this process and on loopback.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/action_server.h"
#include "emulator/cache_store_server.h"
#include "emulator/engine_server.h"
#include "emulator/platform_server.h"
#include "node/node.h"
#include "types/error.h"

namespace quincewick::cli {

inline constexpr const char* kDemoKey = "demo-key";
inline constexpr const char* kDemoModel = "demo-model";
inline constexpr const char* kDemoActionKind = "reservation";

// Owns the servers of the site and stops them on destruction.
class DemoSite {
 public:
  DemoSite();
  ~DemoSite();
  DemoSite(const DemoSite&) = delete;
  DemoSite& operator=(const DemoSite&) = delete;

  // Starts all servers on free ports and waits until the node has discovered the engines. Returns the node's
  // port for callers. kDeadlineExceeded if the node is not ready in time.
  Result<uint16_t> start();

  // Returns how many actions the action server has executed, over all idempotency keys.
  uint64_t actionRunCount();

 private:
  Result<void> startEmulators();
  Result<void> startEngine(const std::string& name);
  Result<void> waitUntilReady();

  std::unique_ptr<emulator::PlatformServer> platform_;
  std::unique_ptr<emulator::CacheStoreServer> cache_store_;
  std::unique_ptr<emulator::ActionServer> action_server_;
  std::vector<std::unique_ptr<emulator::EngineServer>> engines_;
  std::vector<Machine> machines_;
  Address platform_address_;
  Address cache_store_address_;
  std::unique_ptr<node::Node> node_;
};

}  // namespace quincewick::cli
