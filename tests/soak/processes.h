// Starts the gateways of a run as real processes and sends them signals. The destructor kills them by process
// id.
#pragma once

#include <absl/time/time.h>
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "history.h"
#include "types/back_end.h"

namespace quincewick::soak {

struct GatewayEndpoints {
  std::string id;
  std::string zone;
  Address callers;
  Address readiness;
  Address peers;
  Address metrics;
  Address delegation;
  Address store;
};

class Processes {
 public:
  // `program`: the built quincewick; `folder`: for settings and logs.
  Processes(std::string program, std::string folder, std::vector<GatewayEndpoints> all_endpoints,
            History& history, const Bounds& bounds);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  size_t count() const { return endpoints_.size(); }
  const GatewayEndpoints& endpoints(size_t gateway) const { return endpoints_[gateway]; }
  // Starts the gateway's process; `is_new`: the whole site starts for the first time.
  void start(size_t gateway, bool is_new);
  // Increases with each start.
  uint64_t incarnation(size_t gateway) const { return children_[gateway].incarnation; }
  // Time since its last start.
  absl::Duration age(size_t gateway) const;
  // Does nothing if no process runs.
  void signal(size_t gateway, int number);
  // Reaps ended processes and records unexpected exits in the history. Returns the gateways without a
  // process.
  std::vector<size_t> reap();
  void recordSizes();

 private:
  struct Child {
    pid_t pid = 0;  // 0: none runs
    bool is_exit_expected = false;
    uint64_t incarnation = 0;
    absl::Time started = absl::InfinitePast();
  };

  std::string settingsFile(size_t gateway) const;
  void writeSettings(size_t gateway, bool is_new) const;

  std::string program_;
  std::string folder_;
  std::vector<GatewayEndpoints> endpoints_;
  std::vector<Child> children_;
  History& history_;
  Bounds bounds_;
};

}  // namespace quincewick::soak
