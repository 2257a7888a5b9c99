// The control planes of all nodes of a simulated site, joined by the modelled network and platform.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "node/control_plane.h"
#include "simulation/component_random.h"
#include "simulation/control_meter.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/platform_host.h"
#include "simulation/topology.h"

namespace quincewick::simulation {

class ControlSite {
 public:
  // Gets the actions that are neither datagrams nor platform calls.
  using NotificationHandler = absl::AnyInvocable<void(NodeIndex, const node::ControlAction&)>;

  // The references must outlive the site. No node runs at first.
  ControlSite(EventQueue& queue, const NetworkModel& network, PlatformHost& platform,
              const Topology& topology, const node::ControlPlaneSettings& settings, uint64_t seed);

  void setNotificationHandler(NotificationHandler handler) { notify_ = std::move(handler); }

  // Starts the node's process, knowing nothing.
  void start(NodeIndex node);
  // Ends the process at once.
  void crash(NodeIndex node);
  // The process stands still for this long; what arrives meanwhile is handled afterwards, in order.
  void pause(NodeIndex node, absl::Duration duration);

  // Hands an event to the node's control plane, if it runs.
  void handle(NodeIndex node, const node::ControlEvent& event);

  bool isRunning(NodeIndex node) const { return nodes_[node].plane != nullptr; }
  bool isPaused(NodeIndex node) const { return queue_.now() < nodes_[node].paused_until; }
  absl::Time pausedUntil(NodeIndex node) const { return nodes_[node].paused_until; }
  // Changes with each start; tells an earlier process from the present one.
  uint64_t life(NodeIndex node) const { return nodes_[node].life; }
  // The node's control plane; null when it doesn't run.
  const node::ControlPlane* plane(NodeIndex node) const { return nodes_[node].plane.get(); }
  // The node of that id, which must exist.
  NodeIndex indexOf(const NodeId& id) const { return indices_.at(id); }

  ControlMeter& meter() { return meter_; }
  uint64_t deliveredMessages() const { return delivered_messages_; }

  // Ends all nodes one after another and returns the heap bytes that each gave back.
  std::vector<uint64_t> measureMemoryAndStop();

 private:
  struct NodeState {
    std::unique_ptr<node::ControlPlane> plane;
    Random random;
    uint64_t life = 0;
    absl::Time paused_until = absl::InfinitePast();
    std::array<absl::Time, kModuleSlots> wakeups;
  };

  membership::SelfDescription describe(NodeIndex node) const;
  // Delivers to the process of that life only, and after its pause.
  void deliver(NodeIndex node, uint64_t life, node::ControlEvent event);
  void carryOut(NodeIndex node, node::ControlAction& action);
  void send(NodeIndex node, node::SendToPeer message);
  void scheduleWakeups(NodeIndex node);
  void wake(NodeIndex node, uint64_t life, peer::PeerModule module, absl::Time due);

  EventQueue& queue_;
  const NetworkModel& network_;
  PlatformHost& platform_;
  const Topology& topology_;
  node::ControlPlaneSettings settings_;
  Random network_random_;
  NotificationHandler notify_;
  std::vector<NodeState> nodes_;
  absl::flat_hash_map<NodeId, NodeIndex> indices_;  // looked up only, never iterated
  ControlMeter meter_;
  uint64_t datagram_overhead_ = 0;
  uint64_t delivered_messages_ = 0;
};

// The address of a node's peer port in the modelled network.
Address nodeAddress(NodeIndex node);

}  // namespace quincewick::simulation
