#include "routing/router.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "routing/rendezvous.h"

namespace quincewick::routing {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);
constexpr uint32_t kBlockSize = 4096;

PrefixChain chainOf(uint64_t first, uint32_t count) {
  PrefixChain chain;
  chain.block_size = kBlockSize;
  chain.tail_size = 100;
  for (uint32_t index = 0; index < count; ++index) {
    const uint64_t number = first + index;
    chain.blocks.push_back({number * 0x9E3779B97F4A7C15U, number * 0xD6E8FEB86659FD93U + 1});
  }
  return chain;
}

InferenceRequest requestFor(std::string id, uint64_t version, PrefixChain prompt) {
  InferenceRequest request;
  request.id = RequestId(std::move(id));
  request.tenant = TenantId("airport");
  request.model = ModelName("base");
  request.root = {TenantId("airport"), ModelName("base"), AdapterName(), WeightsVersion(version)};
  request.prompt = std::move(prompt);
  request.arrival = kStart;
  return request;
}

BackEnd engineNumber(int number, uint64_t incarnation = 1) {
  BackEnd engine;
  engine.id = BackEndId(absl::StrCat("engine-", number));
  engine.state = BackEndState::kReady;
  engine.zone = ZoneName("hall-a");
  engine.incarnation = Incarnation(incarnation);
  engine.models = {LoadedModel{ModelName("base"), WeightsVersion(1), {}}};
  return engine;
}

std::shared_ptr<const RouteTable> tableWithGroups() {
  RouteTableSpecification specification;
  specification.groups = {{GroupName("gold"), Selector::parse("tier=gold").value()},
                          {GroupName("all"), Selector()}};
  RouteSpecification route;
  route.name = "all";
  route.groups = {GroupName("gold"), GroupName("all")};
  specification.routes = {route};
  return std::make_shared<const RouteTable>(RouteTable::build(specification).value());
}

// Whether the engine may serve the request; written from the promise, not from the code.
bool mayServe(const BackEnd& engine, bool ejected, const InferenceRequest& request) {
  if (engine.kind != BackEndKind::kEngine || engine.state != BackEndState::kReady || ejected) {
    return false;
  }
  for (const LoadedModel& loaded : engine.models) {
    const std::set<AdapterName> adapters(loaded.adapters.begin(), loaded.adapters.end());
    if (loaded.model == request.model && loaded.weights_version == request.root.weights_version &&
        (request.adapter.empty() || adapters.count(request.adapter) == 1)) {
      return true;
    }
  }
  return false;
}

BackEnd anyEngine() {
  BackEnd engine = engineNumber(*rc::gen::inRange(0, 5), *rc::gen::inRange<uint64_t>(1, 4));
  engine.kind =
      *rc::gen::weightedElement<BackEndKind>({{9, BackEndKind::kEngine}, {1, BackEndKind::kActionServer}});
  engine.state = *rc::gen::weightedElement<BackEndState>({{6, BackEndState::kReady},
                                                          {1, BackEndState::kStarting},
                                                          {1, BackEndState::kDraining},
                                                          {1, BackEndState::kLeaving},
                                                          {1, BackEndState::kGone}});
  engine.zone = ZoneName(*rc::gen::element<std::string>("hall-a", "hall-b", "far"));
  engine.labels.set("tier", *rc::gen::element<std::string>("gold", "silver"));
  engine.models.front().weights_version = WeightsVersion(*rc::gen::inRange<uint64_t>(1, 3));
  if (*rc::gen::arbitrary<bool>()) {
    engine.models.front().adapters = {AdapterName("quotes")};
  }
  return engine;
}

TEST_CASE("a request never goes to an engine that may not serve it, and is refused only where none may") {
  rc::prop("placement against the promise, for every policy", [] {
    RouterSettings settings;
    settings.policy = *rc::gen::element(PolicyKind::kPrefixAffinity, PolicyKind::kRoundRobin,
                                        PolicyKind::kLeastLoaded, PolicyKind::kPureHash);
    settings.directory.zone = ZoneName("hall-a");
    settings.directory.regions = {{ZoneName("hall-a"), RegionName("r")},
                                  {ZoneName("hall-b"), RegionName("r")}};
    settings.affinity.random_candidates = *rc::gen::element(0U, 4U);
    settings.affinity.maximum_holders = *rc::gen::element(0U, 8U);
    settings.whole_region_limit = *rc::gen::element<size_t>(0, 64);
    settings.affinity.spill_threshold = *rc::gen::element(absl::ZeroDuration(), absl::Seconds(1));
    Router router(settings);
    router.handle(RoutesChanged{tableWithGroups()}, kStart);
    std::mt19937 random(7);
    std::map<BackEndId, BackEnd> engines;
    std::set<BackEndId> ejected;
    std::map<BackEndId, std::set<uint64_t>> trunks_sent;  // to the current incarnation
    int next_request = 0;
    std::vector<RequestSent> sent;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const BackEndId id(absl::StrCat("engine-", *rc::gen::inRange(0, 5)));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1: {
          const BackEnd engine = anyEngine();
          router.handle(EngineUpserted{engine}, kStart);
          const auto known = engines.find(engine.id);
          if (known == engines.end()) {
            ejected.erase(engine.id);
          }
          if (known == engines.end() || engine.incarnation >= known->second.incarnation) {
            if (known == engines.end() || engine.incarnation > known->second.incarnation ||
                engine.models.front().weights_version != known->second.models.front().weights_version) {
              trunks_sent[engine.id].clear();
            }
            engines[engine.id] = engine;
          }
          break;
        }
        case 2:
          router.handle(EngineRemoved{id}, kStart);
          engines.erase(id);
          break;
        case 3: {
          const bool out = *rc::gen::arbitrary<bool>();
          router.handle(EngineEjectionChanged{id, out}, kStart);
          if (engines.count(id) == 1 && out) {
            ejected.insert(id);
          } else if (engines.count(id) == 1) {
            ejected.erase(id);
          }
          break;
        }
        case 4: {
          EngineLoad load;
          load.incarnation = Incarnation(*rc::gen::inRange<uint64_t>(1, 4));
          load.queued_prefill = *rc::gen::inRange<uint64_t>(0, 1'000'000);
          router.handle(LoadReported{id, load, kStart}, kStart);
          if (engines.count(id) == 1 && load.incarnation > engines[id].incarnation) {
            engines[id].incarnation = load.incarnation;
            trunks_sent[id].clear();
          }
          break;
        }
        case 5:
          if (!sent.empty()) {
            const RequestSent& ended = *rc::gen::elementOf(sent);
            router.handle(RequestEnded{ended.request.id, ended.engine, Incarnation(), Usage{10, 5, 1}},
                          kStart);
          }
          break;
        default: {
          const auto trunk = *rc::gen::inRange<uint64_t>(0, 3);
          InferenceRequest request = requestFor(absl::StrCat("r", next_request++),
                                                *rc::gen::inRange<uint64_t>(1, 3), chainOf(trunk * 100, 4));
          request.adapter = *rc::gen::element(AdapterName(), AdapterName("quotes"));
          ChooseOptions options;
          options.excluded = *rc::gen::element(std::vector<BackEndId>{}, std::vector<BackEndId>{id});
          const auto eligible = [&](const BackEnd& engine) {
            return mayServe(engine, ejected.count(engine.id) == 1, request) &&
                   std::count(options.excluded.begin(), options.excluded.end(), engine.id) == 0;
          };
          const bool any = std::any_of(engines.begin(), engines.end(),
                                       [&](const auto& entry) { return eligible(entry.second); });
          const bool any_gold = std::any_of(engines.begin(), engines.end(), [&](const auto& entry) {
            return eligible(entry.second) && entry.second.labels.get("tier") == "gold";
          });
          const RouteDecision decision = router.route(request).value();
          const auto placed = router.choose(request, decision, options, kStart, random);
          RC_ASSERT(placed.has_value() == any);
          if (!any) {
            RC_ASSERT(placed.error().execution == Execution::kNotRun);
            const bool knows_model = !engines.empty();
            RC_ASSERT(placed.error().code == (knows_model ? ErrorCode::kUnavailable : ErrorCode::kNotFound));
            break;
          }
          const Placement& placement = placed.value();
          RC_ASSERT(engines.count(placement.engine) == 1);
          const BackEnd& engine = engines[placement.engine];
          RC_ASSERT(eligible(engine));
          RC_ASSERT(placement.incarnation == engine.incarnation);
          RC_ASSERT((placement.group == GroupName("gold")) == any_gold);
          RC_ASSERT((engine.labels.get("tier") == "gold") || !any_gold);
          const bool believed = trunks_sent[placement.engine].count(trunk) == 1;
          RC_ASSERT(placement.expected_cached_tokens == 0 || believed);
          const RequestSent event{request, placement.engine, placement.expected_cached_tokens};
          router.handle(event, kStart);
          sent.push_back(event);
          trunks_sent[placement.engine].insert(trunk);
        }
      }
    }
  });
}

TEST_CASE("the loss of an engine moves only its own keys, and the rank of the rest stays") {
  rc::prop("minimal disruption", [] {
    EnginePool all;
    EnginePool rest;
    const auto count = *rc::gen::inRange<uint16_t>(2, 40);
    const auto lost = static_cast<EngineNumber>(*rc::gen::inRange<uint16_t>(0, count));
    for (uint16_t number = 0; number < count; ++number) {
      const auto engine = static_cast<EngineNumber>(number);
      const uint64_t hash = (number + 1) * 0xBF58476D1CE4E5B9U;
      all.engines.push_back(engine);
      all.identity_hashes.push_back(hash);
      if (engine != lost) {
        rest.engines.push_back(engine);
        rest.identity_hashes.push_back(hash);
      }
    }
    const auto key = *rc::gen::arbitrary<uint64_t>();
    std::vector<EngineNumber> before = rendezvousRank(key, all, count);
    before.erase(std::remove(before.begin(), before.end(), lost), before.end());
    RC_ASSERT(rendezvousRank(key, rest, count) == before);
    RC_ASSERT(rendezvousRank(key, rest, 2) ==
              std::vector<EngineNumber>(before.begin(), before.begin() + std::min<size_t>(2, before.size())));
  });
}

TEST_CASE("rendezvous hashing spreads keys evenly") {
  EnginePool pool;
  for (uint16_t number = 0; number < 10; ++number) {
    pool.engines.push_back(static_cast<EngineNumber>(number));
    pool.identity_hashes.push_back((number + 1) * 0xBF58476D1CE4E5B9U);
  }
  std::vector<int> counts(10);
  for (uint64_t key = 0; key < 10'000; ++key) {
    ++counts[static_cast<size_t>(rendezvousRank(key * 0x2545F4914F6CDD1DU, pool, 1).front())];
  }
  CHECK(*std::min_element(counts.begin(), counts.end()) > 850);
  CHECK(*std::max_element(counts.begin(), counts.end()) < 1150);
}

TEST_CASE(
    "a trunk's requests stay together until the wait outweighs the recomputation, and load is bounded") {
  constexpr int kEngines = 6;
  constexpr uint32_t kBlocks = 10;
  RouterSettings settings;
  Router router(settings);
  for (int number = 0; number < kEngines; ++number) {
    router.handle(EngineUpserted{engineNumber(number)}, kStart);
  }
  std::mt19937 random(7);
  std::set<BackEndId> used;
  // Answered requests of one trunk all find it at one engine.
  for (int count = 0; count < 20; ++count) {
    const InferenceRequest request = requestFor(absl::StrCat("calm", count), 1, chainOf(0, kBlocks));
    const auto placement = router.choose(request, router.route(request).value(), {}, kStart, random).value();
    used.insert(placement.engine);
    CHECK((placement.expected_cached_tokens == kBlocks * kBlockSize) == (count > 0));
    router.handle(RequestSent{request, placement.engine, placement.expected_cached_tokens}, kStart);
    router.handle(FirstTokenSeen{request.id, placement.engine, Incarnation(1)}, kStart);
    router.handle(RequestEnded{request.id, placement.engine, Incarnation(1), std::nullopt}, kStart);
  }
  CHECK(used.size() == 1);
  CHECK(router.inFlight() == 0);
  // A flood of prompts with long tails, unanswered: no engine's queue outgrows the least by more than a
  // request's own cost.
  constexpr uint32_t kTail = 3000;
  for (int count = 0; count < 1500; ++count) {
    InferenceRequest request = requestFor(absl::StrCat("flood", count), 1, chainOf(0, kBlocks));
    request.prompt.tail_size = kTail;
    const auto placement = router.choose(request, router.route(request).value(), {}, kStart, random).value();
    router.handle(RequestSent{request, placement.engine, placement.expected_cached_tokens}, kStart);
  }
  double most = 0;
  double least = std::numeric_limits<double>::infinity();
  for (int number = 0; number < kEngines; ++number) {
    const auto slot = router.directory().find(engineNumber(number).id).value();
    const double tokens = router.directory().backlog(slot, Urgency::kDeferrable, kStart).tokens;
    most = std::max(most, tokens);
    least = std::min(least, tokens);
  }
  const double weight = settings.affinity.recompute_weight[static_cast<size_t>(Urgency::kStandard)];
  const double own_cost = weight * (kBlocks * kBlockSize + kTail) + kTail;
  CHECK(least > 0);
  CHECK(most - least <= own_cost);
}

TEST_CASE("late news of an engine's former life changes nothing") {
  Router router{RouterSettings{}};
  router.handle(EngineUpserted{engineNumber(0, 5)}, kStart);
  const auto slot = router.directory().find(engineNumber(0).id).value();
  EngineLoad old_load;
  old_load.incarnation = Incarnation(4);
  old_load.queued_prefill = 1'000'000;
  router.handle(LoadReported{engineNumber(0).id, old_load, kStart}, kStart);
  CHECK(router.directory().backlog(slot, Urgency::kUrgent, kStart).tokens == 0);
  const BlockKey block = chainOf(0, 1).blocks.front();
  router.handle(
      CacheEventsRead{
          engineNumber(0).id, Incarnation(4), {{Sequence(1), prefix::CacheEventKind::kStored, block}}},
      kStart);
  CHECK(router.index().view(chainOf(0, 1), kStart).holders.empty());
  CHECK(router.resumeCacheEventsAfter(engineNumber(0).id) == Sequence(0));
  // An answer that tells of a new life voids beliefs and work in flight at once.
  const InferenceRequest request = requestFor("r", 1, chainOf(0, 4));
  router.handle(RequestSent{request, engineNumber(0).id, 0}, kStart);
  CHECK(router.directory().backlog(slot, Urgency::kDeferrable, kStart).tokens > 0);
  router.handle(FirstTokenSeen{RequestId("other"), engineNumber(0).id, Incarnation(6)}, kStart);
  CHECK(router.directory().backlog(slot, Urgency::kDeferrable, kStart).tokens == 0);
  CHECK(router.index().view(chainOf(0, 4), kStart).holders.empty());
  router.handle(FirstTokenSeen{request.id, engineNumber(0).id, Incarnation(5)}, kStart);
  CHECK(router.index().view(chainOf(0, 4), kStart).holders.empty());
}

// Answers of which nothing was cached: all that others queue must then be taken to be computed.
void teachThatNothingIsCached(Router& router, const BackEndId& engine) {
  constexpr int kAnswers = 1000;
  for (int count = 0; count < kAnswers; ++count) {
    const InferenceRequest request = requestFor("lesson", 1, chainOf(0, 1));
    router.handle(RequestSent{request, engine, 0}, kStart);
    router.handle(RequestEnded{request.id, engine, Incarnation(1), Usage{request.prompt.size(), 0, 1}},
                  kStart);
  }
}

TEST_CASE("a load report is corrected by own work and by what was computed since") {
  Router router{RouterSettings{}};
  const BackEndId engine = engineNumber(0).id;
  router.handle(EngineUpserted{engineNumber(0)}, kStart);
  const auto slot = router.directory().find(engine).value();
  teachThatNothingIsCached(router, engine);
  EngineLoad load;
  load.incarnation = Incarnation(1);
  load.queued_prefill = 100'000;
  router.handle(LoadReported{engine, load, kStart}, kStart);
  const auto tokens = [&](absl::Time now) {
    return router.directory().backlog(slot, Urgency::kDeferrable, now).tokens;
  };
  CHECK(tokens(kStart) == Approx(100'000));
  const absl::Duration per_token = EngineCost{}.prefill_per_token;
  CHECK(tokens(kStart + 40'000 * per_token) == Approx(60'000));
  CHECK(tokens(kStart + 400'000 * per_token) == 0);
  // Own work counts by its own estimate, and not a second time when a report shows it.
  const InferenceRequest request = requestFor("r", 1, chainOf(0, 2));
  const auto own = static_cast<double>(request.prompt.size());
  const absl::Time later = kStart + absl::Seconds(1);
  router.handle(RequestSent{request, engine, 0}, later);
  CHECK(tokens(kStart) == Approx(100'000 + own));
  load.queued_prefill = request.prompt.size() + 50'000;
  router.handle(LoadReported{engine, load, later}, later);
  CHECK(tokens(later) == Approx(50'000 + own));
  // An older report, come late, changes nothing.
  router.handle(LoadReported{engine, EngineLoad{Incarnation(1)}, kStart}, later);
  CHECK(tokens(later) == Approx(50'000 + own));
  router.handle(FirstTokenSeen{request.id, engine, Incarnation(1)}, later);
  CHECK(tokens(later) == Approx(50'000));
  router.handle(RequestEnded{request.id, engine, Incarnation(1), std::nullopt}, later);
  CHECK(router.inFlight() == 0);
}

TEST_CASE("a request that ends without a first token leaves no belief behind that it alone had made") {
  Router router{RouterSettings{}};
  const BackEndId engine = engineNumber(0).id;
  router.handle(EngineUpserted{engineNumber(0)}, kStart);
  const auto believed = [&] {
    const auto holders = router.index().view(chainOf(0, 6), kStart).holders;
    return holders.empty() ? 0U : holders.front().certain_blocks;
  };
  const InferenceRequest served = requestFor("served", 1, chainOf(0, 2));
  router.handle(RequestSent{served, engine, 0}, kStart);
  router.handle(FirstTokenSeen{served.id, engine, Incarnation(1)}, kStart);
  router.handle(RequestEnded{served.id, engine, Incarnation(1), std::nullopt}, kStart);
  CHECK(believed() == 2);
  const InferenceRequest failed = requestFor("failed", 1, chainOf(0, 6));
  router.handle(RequestSent{failed, engine, 2 * kBlockSize}, kStart);
  CHECK(believed() == 6);
  router.handle(RequestEnded{failed.id, engine, Incarnation(), std::nullopt}, kStart);
  CHECK(believed() == 2);
}

TEST_CASE("a gap in cache events asks for them again") {
  Router router{RouterSettings{}};
  router.handle(EngineUpserted{engineNumber(0)}, kStart);
  const prefix::CacheEvent late{Sequence(9), prefix::CacheEventKind::kStored, chainOf(0, 1).blocks.front()};
  const auto actions = router.handle(CacheEventsRead{engineNumber(0).id, Incarnation(1), {late}}, kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<ReadCacheEvents>(actions.front()).after == Sequence(0));
  CHECK(router.handle(CacheEventsRead{engineNumber(0).id, Incarnation(1), {late}}, kStart).empty());
}

}  // namespace
}  // namespace quincewick::routing
