// What control costs: messages, bytes and processor time by node and module.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <vector>

#include "node/control_plane.h"
#include "simulation/topology.h"

namespace quincewick::simulation {

// Bytes that IPv4, UDP and the envelope with its MAC add to a datagram of a sender with an id of this length.
uint64_t datagramOverhead(const NodeId& sender);

struct ModuleCost {
  uint64_t messages = 0;   // datagrams sent
  uint64_t bytes = 0;      // of those, with the overhead
  uint64_t events = 0;     // events handled
  double cpu_seconds = 0;  // of handling them; a measured value, differs from run to run
};

// Modules are numbered from 1 to below this.
inline constexpr size_t kModuleSlots = 8;

using NodeCosts = std::array<ModuleCost, kModuleSlots>;

// Not thread-safe.
class ControlMeter {
 public:
  explicit ControlMeter(size_t nodes) : costs_(nodes) {}

  ModuleCost& cost(NodeIndex node, peer::PeerModule module) {
    return costs_[node][static_cast<size_t>(module)];
  }
  const NodeCosts& costs(NodeIndex node) const { return costs_[node]; }
  size_t nodes() const { return costs_.size(); }
  // Forgets everything: the start of the measured part of a run.
  void reset() { costs_.assign(costs_.size(), NodeCosts()); }

 private:
  std::vector<NodeCosts> costs_;
};

// Processor seconds that this thread has used.
double threadCpuSeconds();

}  // namespace quincewick::simulation
