// Cost of admission decisions and of shared limits, and bytes for each tenant.
#include <benchmark/benchmark.h>

#include <random>
#include <string>

#include "admission/admission_controller.h"
#include "admission/shared_limits.h"

namespace quincewick::admission {
namespace {

RequestOffered offerOf(uint64_t number, uint64_t tenants, absl::Time now) {
  RequestOffered offered;
  offered.request.id = RequestId(std::to_string(number));
  offered.request.tenant = TenantId("tenant-" + std::to_string(number % tenants));
  offered.request.urgency = kAllUrgencies[number % kAllUrgencies.size()];
  offered.request.deadline = now + absl::Minutes(10);
  offered.expected_first_token = absl::Milliseconds(100);
  return offered;
}

// One offer, one finish and the start that follows, with `tenants` tenants that all have requests waiting.
void admissionDecision(benchmark::State& state) {
  const auto tenants = static_cast<uint64_t>(state.range(0));
  AdmissionConfiguration configuration;
  configuration.window.policy = WindowPolicy::kFixed;
  configuration.window.initial = 64;
  configuration.maximum_waiting = 6 * tenants;
  AdmissionController controller(configuration);
  std::mt19937_64 random(1);
  absl::Time now = absl::UnixEpoch();
  uint64_t number = 0;
  std::deque<RequestId> running;
  const auto handle = [&](AdmissionEvent event) {
    for (AdmissionAction& action : controller.handle(std::move(event), now, random)) {
      if (Start* start = std::get_if<Start>(&action)) {
        running.push_back(std::move(start->request.id));
      }
    }
  };
  while (controller.waiting() < 3 * tenants) {
    handle(offerOf(number++, tenants, now));
  }
  for ([[maybe_unused]] auto iteration : state) {
    now += absl::Milliseconds(1);
    handle(offerOf(number++, tenants, now));
    handle(RequestFinished{running.front(), FinishKind::kCompleted});
    running.pop_front();
  }
  state.counters["waiting"] = static_cast<double>(controller.waiting());
}
BENCHMARK(admissionDecision)->Arg(8)->Arg(100)->Arg(1600);

// A request refused because the node is full: the heaviest tenant is looked for.
void admissionWhenFull(benchmark::State& state) {
  const auto tenants = static_cast<uint64_t>(state.range(0));
  AdmissionConfiguration configuration;
  configuration.window.policy = WindowPolicy::kFixed;
  configuration.window.initial = 64;
  configuration.maximum_waiting = 3 * tenants;
  AdmissionController controller(configuration);
  std::mt19937_64 random(1);
  const absl::Time now = absl::UnixEpoch();
  uint64_t number = 0;
  for ([[maybe_unused]] auto iteration : state) {
    benchmark::DoNotOptimize(controller.handle(offerOf(number++, tenants, now), now, random));
  }
}
BENCHMARK(admissionWhenFull)->Arg(8)->Arg(100)->Arg(1600);

// A home's answer to one ask.
void limitHomeAnswer(benchmark::State& state) {
  const NodeId self("node");
  const ZoneName zone("zone");
  SharedLimitConfiguration configuration;
  absl::Time now = absl::UnixEpoch();
  std::mt19937_64 random(1);
  SharedLimits limits(configuration, self, zone, Incarnation(1), now);
  limits.handle(LimitMembersChanged{{LimitMember{self, zone}}}, now, random);
  const auto tenants = static_cast<uint64_t>(state.range(0));
  TenantLimits all;
  for (uint64_t tenant = 0; tenant < tenants; ++tenant) {
    all[TenantId("tenant-" + std::to_string(tenant))] = TenantLimit{1e6, 1e4, kUnlimited};
  }
  limits.handle(TenantLimitsChanged{all}, now, random);
  const auto deliver = [&](const auto& self_deliver, SharedLimitActions actions) -> void {
    for (SharedLimitAction& action : actions) {
      if (SendToPeer* send = std::get_if<SendToPeer>(&action)) {
        self_deliver(self_deliver,
                     limits.handle(LimitMessageReceived{self, std::move(send->message)}, now, random));
      }
    }
  };
  constexpr int kSettleTicks = 100;
  for (int tick = 0; tick < kSettleTicks; ++tick) {
    now += absl::Milliseconds(100);
    deliver(deliver, limits.handle(LimitTick{}, now, random));
  }
  uint64_t sequence = 1;
  for ([[maybe_unused]] auto iteration : state) {
    now += absl::Microseconds(1);
    LimitAskBatch batch;
    batch.sequence = ++sequence;
    batch.asks.push_back(
        LimitAsk{TenantId("tenant-" + std::to_string(sequence % tenants)), 100, 100, 1, 1, 0});
    benchmark::DoNotOptimize(limits.handle(LimitMessageReceived{NodeId("asker"), batch}, now, random));
  }
  state.counters["bytes/account"] = sizeof(LimitAccount) + sizeof(TenantId);
}
BENCHMARK(limitHomeAnswer)->Arg(8)->Arg(1600);

}  // namespace
}  // namespace quincewick::admission
