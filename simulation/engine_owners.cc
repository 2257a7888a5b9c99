#include "simulation/engine_owners.h"

#include <absl/random/distributions.h>

#include <algorithm>

#include "routing/rendezvous.h"

namespace quincewick::simulation {
namespace {

// A digest holds a check of the list of engines that it is about, then two bytes for each of them.
constexpr size_t kCheckBytes = 2;
constexpr size_t kBytesForEngine = 2;
constexpr uint64_t kTokensPerUnit = 2048;  // of queued prefill
constexpr uint64_t kLargestByte = 255;
constexpr uint32_t kByteBits = 8;

uint16_t checkOf(const std::vector<EngineIndex>& engines) {
  uint64_t check = 0;
  for (const EngineIndex engine : engines) {
    check = check * 31 + engine;
  }
  return static_cast<uint16_t>(check);
}

char toByte(uint64_t value) {
  return static_cast<char>(static_cast<uint8_t>(std::min(value, kLargestByte)));
}

uint64_t fromByte(char byte) {
  return static_cast<uint8_t>(byte);
}

}  // namespace

EngineOwners::EngineOwners(EventQueue& queue, const Topology& topology, EngineFleet& engines,
                           ControlSite& control, RequestPath& path, const OwnerSettings& settings)
    : queue_(queue),
      topology_(topology),
      engines_(engines),
      control_(control),
      path_(path),
      settings_(settings),
      nodes_(topology.nodes.size()),
      loss_random_(componentRandom(0, "cache event loss")) {
  for (const BackEndId& engine : topology.engines) {
    engine_hashes_.push_back(componentRandom(0, engine.value())());
  }
  for (const NodeId& node : topology.nodes) {
    node_hashes_.push_back(componentRandom(0, node.value())());
  }
}

void EngineOwners::nodeStarted(NodeIndex node) {
  nodes_[node].stale = true;
  const uint64_t life = control_.life(node);
  // Polls of different nodes are spread over the period.
  const double phase = static_cast<double>(node) / static_cast<double>(nodes_.size());
  queue_.scheduleAfter(settings_.poll_period * (1 + phase), [this, node, life] { poll(node, life); });
}

void EngineOwners::poll(NodeIndex node, uint64_t life) {
  if (control_.life(node) != life) {
    return;
  }
  queue_.scheduleAfter(settings_.poll_period, [this, node, life] { poll(node, life); });
  if (control_.isPaused(node)) {
    return;
  }
  const double before = threadCpuSeconds();
  if (nodes_[node].stale) {
    refresh(node);
  }
  const std::vector<EngineIndex>& owned = nodes_[node].owned_by[node];
  for (const EngineIndex engine : owned) {
    readEngine(node, engine);
  }
  membership::PayloadChanged digest{makeDigest(node, owned)};
  costs_.poll_cpu_seconds += threadCpuSeconds() - before;
  control_.handle(node, std::move(digest));
}

void EngineOwners::refresh(NodeIndex node) {
  NodeState& state = nodes_[node];
  state.stale = false;
  state.owned_by.assign(nodes_.size(), {});
  const Zone& zone = topology_.zones[topology_.zoneOfNode(node)];
  const membership::MembershipProtocol& membership = control_.plane(node)->membership();
  std::vector<NodeIndex> usable;
  for (const NodeIndex peer : zone.nodes) {
    if (peer == node || membership.isUsable(topology_.nodes[peer])) {
      usable.push_back(peer);
    }
  }
  for (const EngineIndex engine : zone.engines) {
    const auto weight = [&](NodeIndex peer) {
      return routing::rendezvousWeight(engine_hashes_[engine], node_hashes_[peer]);
    };
    const auto owner = std::max_element(usable.begin(), usable.end(), [&](NodeIndex left, NodeIndex right) {
      return weight(left) < weight(right);
    });
    state.owned_by[*owner].push_back(engine);
  }
}

void EngineOwners::readEngine(NodeIndex node, EngineIndex engine) {
  emulator::EngineModel& model = engines_.engine(engine);
  ++costs_.polls;
  if (!model.up()) {
    return;
  }
  const BackEndId& id = topology_.engines[engine];
  path_.tellRouter(node, routing::LoadReported{id, model.reportedLoad(queue_.now()), queue_.now()});
  const routing::Router* router = path_.router(node);
  if (router == nullptr) {
    return;
  }
  routing::CacheEventsRead read{id, model.incarnation(), {}};
  const Sequence after = router->resumeCacheEventsAfter(id);
  for (const emulator::CacheEvent& event :
       model.cacheEvents(after, settings_.events_per_poll, queue_.now())) {
    if (event_loss_ > 0 && absl::Bernoulli(loss_random_, event_loss_)) {
      continue;
    }
    const auto kind = event.kind == emulator::CacheEventKind::kStored ? prefix::CacheEventKind::kStored
                                                                      : prefix::CacheEventKind::kEvicted;
    read.events.push_back({event.sequence, kind, event.block});
  }
  costs_.cache_events += read.events.size();
  path_.tellRouter(node, read);
}

std::string EngineOwners::makeDigest(NodeIndex node, const std::vector<EngineIndex>& owned) const {
  const routing::EngineDirectory& directory = path_.router(node)->directory();
  const uint16_t check = checkOf(owned);
  std::string digest = {static_cast<char>(check & kLargestByte), static_cast<char>(check >> kByteBits)};
  for (const EngineIndex engine : owned) {
    if (digest.size() + kBytesForEngine > membership::kMaximumPayloadSize) {
      break;
    }
    const auto slot = directory.find(topology_.engines[engine]);
    const EngineLoad load = slot ? directory.lastLoad(*slot) : EngineLoad();
    digest.push_back(toByte(load.running));
    digest.push_back(toByte(load.queued_prefill / kTokensPerUnit));
  }
  return digest;
}

void EngineOwners::digestReceived(NodeIndex node, const NodeId& from, const std::string& digest) {
  if (path_.router(node) == nullptr) {
    return;
  }
  const double before = threadCpuSeconds();
  if (nodes_[node].stale) {
    refresh(node);
  }
  const routing::EngineDirectory& directory = path_.router(node)->directory();
  const std::vector<EngineIndex>& owned = nodes_[node].owned_by[control_.indexOf(from)];
  const uint16_t check = checkOf(owned);
  const bool known = digest.size() >= kCheckBytes && fromByte(digest[0]) == (check & kLargestByte) &&
                     fromByte(digest[1]) == check >> kByteBits;
  for (size_t place = 0; known && place < owned.size(); ++place) {
    const size_t position = kCheckBytes + place * kBytesForEngine;
    if (position + kBytesForEngine > digest.size()) {
      break;
    }
    const auto slot = directory.find(topology_.engines[owned[place]]);
    if (!slot) {
      continue;
    }
    EngineLoad load;
    load.incarnation = directory.engine(*slot).incarnation;
    load.running = static_cast<uint32_t>(fromByte(digest[position]));
    load.queued_prefill = fromByte(digest[position + 1]) * kTokensPerUnit;
    path_.tellRouter(node, routing::LoadReported{topology_.engines[owned[place]], load, queue_.now()});
  }
  ++costs_.digests_received;
  costs_.digest_cpu_seconds += threadCpuSeconds() - before;
}

}  // namespace quincewick::simulation
