// What a route decision costs with many engines known, and what the router's events cost.
#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <random>

#include "routing/rendezvous.h"
#include "routing/router.h"

namespace quincewick::routing {
namespace {

constexpr uint32_t kBlocks = 24;
constexpr uint32_t kTrunks = 200;

PrefixChain chainOf(uint64_t trunk) {
  std::mt19937_64 random(trunk);
  PrefixChain chain;
  chain.block_size = 4096;
  chain.tail_size = 700;
  for (uint32_t block = 0; block < kBlocks; ++block) {
    chain.blocks.push_back({random(), random()});
  }
  return chain;
}

InferenceRequest requestOf(uint64_t trunk) {
  InferenceRequest request;
  request.id = RequestId(absl::StrCat("request-", trunk));
  request.model = ModelName("base");
  request.root = {TenantId("tenant"), ModelName("base"), AdapterName(), WeightsVersion(1)};
  request.prompt = chainOf(trunk);
  return request;
}

// A node with `engines` ready engines in its zone, that has answered a request of each trunk.
std::unique_ptr<Router> makeRouter(int64_t engines, PolicyKind policy) {
  RouterSettings settings;
  settings.policy = policy;
  settings.directory.zone = ZoneName("zone");
  auto router = std::make_unique<Router>(settings);
  for (int64_t number = 0; number < engines; ++number) {
    BackEnd engine;
    engine.id = BackEndId(absl::StrCat("engine-", number));
    engine.state = BackEndState::kReady;
    engine.zone = ZoneName("zone");
    engine.incarnation = Incarnation(1);
    engine.models = {LoadedModel{ModelName("base"), WeightsVersion(1), {}}};
    router->handle(EngineUpserted{engine}, absl::UnixEpoch());
  }
  return router;
}

std::vector<InferenceRequest> makeRequests() {
  std::vector<InferenceRequest> requests;
  for (uint64_t trunk = 0; trunk < kTrunks; ++trunk) {
    requests.push_back(requestOf(trunk));
  }
  return requests;
}

void serveOnce(Router& router, const InferenceRequest& request, absl::Time now, std::mt19937& random) {
  const RouteDecision decision = router.route(request).value();
  const auto placement = router.choose(request, decision, {}, now, random).value();
  router.handle(RequestSent{request, placement.engine, placement.expected_cached_tokens}, now);
  router.handle(FirstTokenSeen{request.id, placement.engine, Incarnation(1)}, now);
  router.handle(RequestEnded{request.id, placement.engine, Incarnation(1), std::nullopt}, now);
}

void runDecisions(benchmark::State& state, PolicyKind policy) {
  const auto router = makeRouter(state.range(0), policy);
  const std::vector<InferenceRequest> requests = makeRequests();
  std::mt19937 random(1);
  const absl::Time now = absl::UnixEpoch();
  for (const InferenceRequest& request : requests) {
    serveOnce(*router, request, now, random);
  }
  const RouteDecision decision = router->route(requests.front()).value();
  size_t next = 0;
  for (auto unused : state) {
    const InferenceRequest& request = requests[next++ % requests.size()];
    benchmark::DoNotOptimize(router->choose(request, decision, {}, now, random));
  }
}

void decideByPrefixAffinity(benchmark::State& state) {
  runDecisions(state, PolicyKind::kPrefixAffinity);
}
BENCHMARK(decideByPrefixAffinity)->Arg(12)->Arg(100)->Arg(1000);

void decideByPureHash(benchmark::State& state) {
  runDecisions(state, PolicyKind::kPureHash);
}
BENCHMARK(decideByPureHash)->Arg(12)->Arg(1000);

void decideByLeastLoaded(benchmark::State& state) {
  runDecisions(state, PolicyKind::kLeastLoaded);
}
BENCHMARK(decideByLeastLoaded)->Arg(12)->Arg(1000);

// A decision with its three events: what the router costs a request in all.
void decideAndFollow(benchmark::State& state) {
  const auto router = makeRouter(state.range(0), PolicyKind::kPrefixAffinity);
  const std::vector<InferenceRequest> requests = makeRequests();
  std::mt19937 random(1);
  size_t next = 0;
  for (auto unused : state) {
    serveOnce(*router, requests[next++ % requests.size()], absl::UnixEpoch(), random);
  }
}
BENCHMARK(decideAndFollow)->Arg(12)->Arg(1000);

void matchRoute(benchmark::State& state) {
  RouteTableSpecification specification;
  specification.groups = {{GroupName("all"), Selector()}};
  for (int64_t number = 0; number < state.range(0); ++number) {
    RouteSpecification route;
    route.name = absl::StrCat("route-", number);
    route.selector =
        Selector::parse(absl::StrCat("tier=gold,kind in (quote,barrier),tenant=t", number)).value();
    route.groups = {GroupName("all")};
    specification.routes.push_back(std::move(route));
  }
  const RouteTable table = RouteTable::build(specification).value();
  InferenceRequest request = requestOf(0);
  request.tenant = TenantId(absl::StrCat("t", state.range(0) - 1));
  request.kind = RequestKind("quote");
  request.labels.set("tier", "gold");
  for (auto unused : state) {
    benchmark::DoNotOptimize(table.match(request));
  }
}
BENCHMARK(matchRoute)->Arg(10)->Arg(100);

}  // namespace
}  // namespace quincewick::routing
