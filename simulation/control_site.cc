#include "simulation/control_site.h"

#include <absl/strings/str_format.h>

#include <utility>

#include "simulation/heap_usage.h"

namespace quincewick::simulation {
namespace {

constexpr uint16_t kPeerPort = 7946;

}  // namespace

Address nodeAddress(NodeIndex node) {
  constexpr uint32_t kHostsPerSubnet = 250;
  return {absl::StrFormat("10.0.%d.%d", node / kHostsPerSubnet, node % kHostsPerSubnet + 1), kPeerPort};
}

ControlSite::ControlSite(EventQueue& queue, const NetworkModel& network, PlatformHost& platform,
                         const Topology& topology, const node::ControlPlaneSettings& settings, uint64_t seed)
    : queue_(queue),
      network_(network),
      platform_(platform),
      topology_(topology),
      settings_(settings),
      network_random_(componentRandom(seed, "datagrams")),
      nodes_(topology.nodes.size()),
      meter_(topology.nodes.size()),
      datagram_overhead_(datagramOverhead(topology.nodes.front())) {
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    nodes_[node].random = componentRandom(seed, topology.nodes[node].value());
    indices_.emplace(topology.nodes[node], node);
  }
}

membership::SelfDescription ControlSite::describe(NodeIndex node) const {
  const Zone& zone = topology_.zones[topology_.zoneOfNode(node)];
  const auto milliseconds = static_cast<uint64_t>(absl::ToUnixMillis(queue_.now()));
  return {topology_.nodes[node], zone.name, topology_.regions[zone.region], nodeAddress(node),
          Incarnation(milliseconds)};
}

void ControlSite::start(NodeIndex node) {
  NodeState& state = nodes_[node];
  ++state.life;
  state.paused_until = absl::InfinitePast();
  state.wakeups.fill(absl::InfiniteFuture());
  state.plane = std::make_unique<node::ControlPlane>(settings_, describe(node), queue_.now());
  scheduleWakeups(node);
}

void ControlSite::crash(NodeIndex node) {
  ++nodes_[node].life;
  nodes_[node].plane = nullptr;
}

void ControlSite::pause(NodeIndex node, absl::Duration duration) {
  nodes_[node].paused_until = queue_.now() + duration;
}

void ControlSite::handle(NodeIndex node, const node::ControlEvent& event) {
  deliver(node, nodes_[node].life, event);
}

void ControlSite::deliver(NodeIndex node, uint64_t life, node::ControlEvent event) {
  NodeState& state = nodes_[node];
  if (state.life != life || state.plane == nullptr) {
    return;
  }
  if (isPaused(node)) {
    queue_.scheduleAt(state.paused_until, [this, node, life, event = std::move(event)]() mutable {
      deliver(node, life, std::move(event));
    });
    return;
  }
  const auto* reply = std::get_if<PlatformReply>(&event);
  const peer::PeerModule module = reply == nullptr ? node::moduleOf(event) : state.plane->ownerOf(reply->id);
  ModuleCost& cost = meter_.cost(node, module);
  const double before = threadCpuSeconds();
  std::vector<node::ControlAction> actions = state.plane->handle(event, queue_.now(), state.random);
  cost.cpu_seconds += threadCpuSeconds() - before;
  ++cost.events;
  for (node::ControlAction& action : actions) {
    carryOut(node, action);
  }
  scheduleWakeups(node);
}

void ControlSite::carryOut(NodeIndex node, node::ControlAction& action) {
  if (auto* message = std::get_if<node::SendToPeer>(&action)) {
    send(node, std::move(*message));
    return;
  }
  if (auto* call = std::get_if<PlatformCall>(&action)) {
    const uint64_t life = nodes_[node].life;
    platform_.call(topology_.zoneOfNode(node), std::move(*call), [this, node, life](PlatformReply reply) {
      deliver(node, life, node::ControlEvent(std::move(reply)));
    });
    return;
  }
  if (notify_) {
    notify_(node, action);
  }
}

void ControlSite::send(NodeIndex node, node::SendToPeer message) {
  ModuleCost& cost = meter_.cost(node, message.module);
  ++cost.messages;
  cost.bytes += message.bytes.size() + datagram_overhead_;
  const NodeIndex receiver = indexOf(message.to);
  const uint64_t life = nodes_[receiver].life;
  const ZoneIndex from = topology_.zoneOfNode(node);
  const ZoneIndex to = topology_.zoneOfNode(receiver);
  absl::InlinedVector<absl::Duration, 2> delays;
  if (message.bytes.size() <= peer::kMaximumDatagramPayload) {
    delays = network_.datagramDelays(from, to, network_random_);
  } else if (network_.reachable(from, to)) {
    delays.push_back(network_.connectionDelay(from, to, network_random_));
  }
  const node::PeerMessage original{topology_.nodes[node], message.module, std::move(message.bytes)};
  for (const absl::Duration delay : delays) {
    node::PeerMessage received = original;
    queue_.scheduleAfter(delay, [this, receiver, life, received = std::move(received)]() mutable {
      ++delivered_messages_;
      deliver(receiver, life, node::ControlEvent(std::move(received)));
    });
  }
}

void ControlSite::scheduleWakeups(NodeIndex node) {
  NodeState& state = nodes_[node];
  for (const peer::PeerModule module : node::kControlModules) {
    const absl::Time due = state.plane->nextWakeup(module);
    absl::Time& scheduled = state.wakeups[static_cast<size_t>(module)];
    if (due >= scheduled) {
      continue;
    }
    scheduled = due;
    queue_.scheduleAt(due, [this, node, life = state.life, module, due] { wake(node, life, module, due); });
  }
}

void ControlSite::wake(NodeIndex node, uint64_t life, peer::PeerModule module, absl::Time due) {
  NodeState& state = nodes_[node];
  absl::Time& scheduled = state.wakeups[static_cast<size_t>(module)];
  if (state.life != life || scheduled != due) {
    return;  // of an earlier process, or replaced by an earlier wakeup
  }
  scheduled = absl::InfiniteFuture();
  deliver(node, life, node::ControlEvent(node::ModuleTick{module}));
}

std::vector<uint64_t> ControlSite::measureMemoryAndStop() {
  std::vector<uint64_t> bytes;
  for (NodeState& state : nodes_) {
    if (state.plane == nullptr) {
      continue;
    }
    const uint64_t before = heapBytesInUse();
    state.plane = nullptr;
    bytes.push_back(before - heapBytesInUse());
  }
  return bytes;
}

}  // namespace quincewick::simulation
