// What membership costs a node, and how fast it is, at growing numbers of nodes over 12 zones in 4 regions.
// Nodes run the real protocol on virtual time; bytes include the envelope and the headers of IP and UDP.
#include <absl/time/clock.h>
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peer/authenticator.h"
#include "tests/membership/virtual_site.h"

namespace quincewick::membership::testing {
namespace {

using quincewick::testing::NetworkFaults;
using quincewick::testing::TrafficCount;

constexpr uint32_t kZones = 12;
constexpr uint64_t kIpAndUdpHeaders = 28;
constexpr absl::Duration kSettleLimit = absl::Minutes(2);
constexpr absl::Duration kSteadyTime = absl::Minutes(2);
constexpr absl::Duration kLossTime = absl::Minutes(10);
constexpr int kTrials = 40;
constexpr double kNanosecondsPerMicrosecond = 1000;

const NetworkFaults kGoodNetwork{0, 0, absl::Microseconds(200), absl::Milliseconds(2)};
const NetworkFaults kLossyNetwork{0.05, 0, absl::Microseconds(200), absl::Milliseconds(2)};

std::unique_ptr<VirtualSite> emptySite(uint32_t nodes, uint32_t zones = kZones) {
  auto site = std::make_unique<VirtualSite>(zones, nodes / zones, nodes);
  for (uint32_t extra = 0; extra < nodes % zones; ++extra) {
    site->addPlace(extra);
  }
  site->listAll();
  site->network().setFaults(kGoodNetwork);
  return site;
}

std::unique_ptr<VirtualSite> settledSite(uint32_t nodes, uint32_t zones = kZones) {
  auto site = emptySite(nodes, zones);
  site->startAll();
  site->settle(kSettleLimit);
  site->network().runFor(absl::Seconds(30));
  return site;
}

// The bytes around each message on the wire.
uint64_t overheadPerDatagram() {
  peer::KeyRing keys = peer::KeyRing::make({{peer::KeyId(1), std::string(32, 'k')}}, peer::KeyId(1)).value();
  peer::Authenticator authenticator(NodeId("node-100"), Incarnation(1), std::move(keys));
  const auto sealed =
      authenticator.seal(peer::Channel::kDatagram, NodeId("node-200"), peer::PeerModule::kMembership, "");
  return sealed.bytes.size() + kIpAndUdpHeaders;
}

double percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return -1;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

// Traffic of all nodes over the steady time: the mean and the busiest node's, in bytes a second.
void reportTraffic(benchmark::State& state, VirtualSite& site, absl::Duration time) {
  const double seconds = absl::ToDoubleSeconds(time);
  const auto overhead = static_cast<double>(overheadPerDatagram());
  const std::vector<NodeId> ids = site.ids();
  double out = 0;
  double in = 0;
  double datagrams = 0;
  double busiest = 0;
  for (const NodeId& id : ids) {
    const TrafficCount count = site.network().traffic(id);
    const double node_out =
        (static_cast<double>(count.bytes_out) + overhead * static_cast<double>(count.datagrams_out)) /
        seconds;
    const double node_in =
        (static_cast<double>(count.bytes_in) + overhead * static_cast<double>(count.datagrams_in)) / seconds;
    out += node_out;
    in += node_in;
    datagrams += static_cast<double>(count.datagrams_out + count.datagrams_in) / seconds;
    busiest = std::max(busiest, node_out + node_in);
  }
  const auto nodes = static_cast<double>(ids.size());
  state.counters["B/s_out"] = out / nodes;
  state.counters["B/s_in"] = in / nodes;
  state.counters["B/s_busiest"] = busiest;
  state.counters["dgrams/s"] = datagrams / nodes;
}

void runSteady(benchmark::State& state, size_t payload_size, uint32_t zones) {
  const auto nodes = static_cast<uint32_t>(state.range(0));
  const size_t bytes_before = mallinfo2().uordblks;
  auto site = settledSite(nodes, zones);
  state.counters["KB/node"] =
      static_cast<double>(mallinfo2().uordblks - bytes_before) / 1024.0 / static_cast<double>(nodes);
  for (auto unused : state) {
    site->network().resetTraffic();
    const absl::Duration handling_before = site->handlingTime();
    const absl::Time end = site->network().now() + kSteadyTime;
    for (char round = 0; site->network().now() < end; ++round) {
      for (const NodeId& id : site->ids()) {
        if (payload_size > 0) {
          site->handle(id, PayloadChanged{std::string(payload_size, round)});
        }
      }
      site->network().runFor(absl::Seconds(2));
    }
    const absl::Duration handling = site->handlingTime() - handling_before;
    state.counters["us/node_s"] =
        absl::ToDoubleMicroseconds(handling) / absl::ToDoubleSeconds(kSteadyTime) / nodes;
  }
  reportTraffic(state, *site, kSteadyTime);
}

// A quiet site.
void steady(benchmark::State& state) {
  runSteady(state, 0, kZones);
}
BENCHMARK(steady)->Arg(12)->Arg(50)->Arg(130)->Arg(410)->Iterations(1)->Unit(benchmark::kMillisecond);

// Each node's payload of 64 bytes changes every 2 s.
void steadyWithPayload(benchmark::State& state) {
  runSteady(state, kMaximumPayloadSize, kZones);
}
BENCHMARK(steadyWithPayload)
    ->Arg(12)
    ->Arg(50)
    ->Arg(130)
    ->Arg(410)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Zones of 34 nodes, more and more of them: what a node pays for the size of the site beyond its zone.
void steadyByZones(benchmark::State& state) {
  runSteady(state, kMaximumPayloadSize, static_cast<uint32_t>(state.range(0) / 34));
}
BENCHMARK(steadyByZones)->Arg(34)->Arg(102)->Arg(204)->Arg(408)->Iterations(1)->Unit(benchmark::kMillisecond);

// From a crash to the moment when each other node no longer sends it work.
void detection(benchmark::State& state) {
  auto site = settledSite(static_cast<uint32_t>(state.range(0)));
  const std::vector<NodeId> ids = site->ids();
  std::vector<double> own_zone;
  std::vector<double> all_zones;
  for (auto unused : state) {
    for (int trial = 0; trial < kTrials; ++trial) {
      const NodeId& victim = ids[absl::Uniform<size_t>(site->network().random(), 0, ids.size())];
      const ZoneName zone = site->protocol(victim).self().zone;
      site->network().runFor(absl::Milliseconds(absl::Uniform(site->network().random(), 0, 3000)));
      site->crash(victim);
      const absl::Time crashed = site->network().now();
      std::set<NodeId> unaware(ids.begin(), ids.end());
      unaware.erase(victim);
      while (!unaware.empty() && site->network().now() - crashed < kSettleLimit) {
        site->network().runFor(absl::Milliseconds(50));
        const double seconds = absl::ToDoubleSeconds(site->network().now() - crashed);
        std::erase_if(unaware, [&](const NodeId& id) {
          if (site->protocol(id).isUsable(victim)) {
            return false;
          }
          all_zones.push_back(seconds);
          if (site->protocol(id).self().zone == zone) {
            own_zone.push_back(seconds);
          }
          return true;
        });
      }
      site->start(victim);
      site->settle(kSettleLimit);
    }
  }
  state.counters["zone_p50"] = percentile(own_zone, 0.5);
  state.counters["zone_p99"] = percentile(own_zone, 0.99);
  state.counters["zone_max"] = percentile(own_zone, 1);
  state.counters["all_p50"] = percentile(all_zones, 0.5);
  state.counters["all_p99"] = percentile(all_zones, 0.99);
  state.counters["all_max"] = percentile(all_zones, 1);
}
BENCHMARK(detection)->Arg(12)->Arg(50)->Arg(130)->Arg(410)->Iterations(1)->Unit(benchmark::kMillisecond);

// A healthy site at 5 % loss: members declared failed and suspected though they run.
void falsePositives(benchmark::State& state) {
  const auto nodes = static_cast<uint32_t>(state.range(0));
  auto site = settledSite(nodes);
  site->network().setFaults(kLossyNetwork);
  std::set<std::pair<NodeId, Incarnation>> failed;
  std::set<std::pair<NodeId, Incarnation>> suspected;
  int lost_zones = 0;
  site->setObserver([&](const NodeId& /*node*/, const MembershipAction& action) {
    if (const auto* change = std::get_if<MemberChanged>(&action)) {
      if (change->record.state == MemberState::kFailed) {
        failed.emplace(change->record.id, change->record.incarnation);
      } else if (change->record.state == MemberState::kSuspect) {
        suspected.emplace(change->record.id, change->record.incarnation);
      }
    }
    if (const auto* change = std::get_if<ZoneReachabilityChanged>(&action)) {
      lost_zones += change->reachable ? 0 : 1;
    }
  });
  for (auto unused : state) {
    site->network().resetTraffic();
    site->network().runFor(kLossTime);
  }
  state.counters["node_hours"] = absl::ToDoubleHours(kLossTime) * nodes;
  state.counters["failed"] = static_cast<double>(failed.size());
  state.counters["suspected"] = static_cast<double>(suspected.size());
  state.counters["lost_zones"] = lost_zones;
  reportTraffic(state, *site, kLossTime);
}
BENCHMARK(falsePositives)->Arg(12)->Arg(50)->Arg(130)->Arg(410)->Iterations(1)->Unit(benchmark::kMillisecond);

// All nodes start at once; then, one after the other, nodes leave as planned.
void herdAndLeaves(benchmark::State& state) {
  std::vector<double> leaves;
  for (auto unused : state) {
    auto site = emptySite(static_cast<uint32_t>(state.range(0)));
    const absl::Time started = site->network().now();
    site->startAll();
    site->settle(kSettleLimit);
    state.counters["herd_s"] = absl::ToDoubleSeconds(site->network().now() - started);
    site->network().setFaults(kLossyNetwork);
    const std::vector<NodeId> ids = site->ids();
    for (int trial = 0; trial < kTrials; ++trial) {
      const NodeId& leaver = ids[absl::Uniform<size_t>(site->network().random(), 0, ids.size())];
      site->handle(leaver, LeaveRequested{});
      const absl::Time asked = site->network().now();
      const auto knows = [&](const NodeId& id) {
        return id == leaver || !site->protocol(id).isUsable(leaver);
      };
      while (!std::all_of(ids.begin(), ids.end(), knows) && site->network().now() - asked < kSettleLimit) {
        site->network().runFor(absl::Milliseconds(50));
      }
      leaves.push_back(absl::ToDoubleSeconds(site->network().now() - asked));
      site->crash(leaver);
      site->start(leaver);
      site->settle(kSettleLimit);
    }
  }
  state.counters["leave_p50"] = percentile(leaves, 0.5);
  state.counters["leave_max"] = percentile(leaves, 1);
}
BENCHMARK(herdAndLeaves)->Arg(12)->Arg(50)->Arg(130)->Arg(410)->Iterations(1)->Unit(benchmark::kMillisecond);

// Sealing and opening one datagram of a common size.
void sealAndOpen(benchmark::State& state) {
  const auto keys = [] {
    return peer::KeyRing::make({{peer::KeyId(1), std::string(32, 'k')}}, peer::KeyId(1)).value();
  };
  peer::Authenticator left(NodeId("node-100"), Incarnation(1), keys());
  peer::Authenticator right(NodeId("node-200"), Incarnation(1), keys());
  const std::string payload(static_cast<size_t>(state.range(0)), 'x');
  for (auto unused : state) {
    const auto sealed =
        left.seal(peer::Channel::kDatagram, NodeId("node-200"), peer::PeerModule::kMembership, payload);
    benchmark::DoNotOptimize(right.open(peer::Channel::kDatagram, sealed.bytes).has_value());
  }
}
BENCHMARK(sealAndOpen)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace quincewick::membership::testing
