// Properties of AdmissionController under random offers, first tokens, finishes, cancellations and
// capacities.
#include "admission/admission_controller.h"

#include <absl/random/random.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace quincewick::admission {
namespace {

using absl::Milliseconds;
using absl::Seconds;

constexpr size_t kMaximumWaiting = 24;
constexpr size_t kMaximumWaitingPerTenant = 10;

AdmissionConfiguration smallConfiguration() {
  AdmissionConfiguration configuration;
  configuration.maximum_waiting = kMaximumWaiting;
  configuration.maximum_waiting_per_tenant = kMaximumWaitingPerTenant;
  configuration.window.initial = 6;
  configuration.window.maximum = 12;
  return configuration;
}

RequestOffered offer(std::string id, std::string tenant, Urgency urgency, absl::Time now, double cost = 1) {
  RequestOffered offered;
  offered.request.id = RequestId(std::move(id));
  offered.request.tenant = TenantId(std::move(tenant));
  offered.request.urgency = urgency;
  offered.request.arrival = now;
  offered.cost = cost;
  offered.expected_first_token = Milliseconds(100);
  return offered;
}

// What may have become of a request, kept apart from the controller.
enum class Fate { kWaiting, kStarted, kFinished, kRefused, kCancelled };

// Drives a controller and checks each action against the fate of its request.
struct Oracle {
  AdmissionController controller{smallConfiguration()};
  std::mt19937_64 random{7};
  absl::Time now = absl::UnixEpoch();
  std::map<std::string, Fate> fates;
  std::map<std::string, absl::Time> latest_starts;
  double largest_window = 12;

  void apply(AdmissionEvent event) {
    const std::vector<AdmissionAction> actions = controller.handle(std::move(event), now, random);
    for (const AdmissionAction& action : actions) {
      if (const Start* start = std::get_if<Start>(&action)) {
        settle(start->request.id.value(), Fate::kStarted);
        RC_ASSERT(now <= latest_starts.at(start->request.id.value()));
      } else {
        const Refuse& refuse = std::get<Refuse>(action);
        settle(refuse.id.value(), Fate::kRefused);
        RC_ASSERT(refuse.refusal.execution == Execution::kNotRun);
        RC_ASSERT(refuse.refusal.retry_after > absl::ZeroDuration());
      }
    }
    checkInvariants();
  }

  void settle(const std::string& id, Fate fate) {
    RC_ASSERT(fates.at(id) == Fate::kWaiting);
    fates[id] = fate;
  }

  size_t count(Fate fate) const {
    return std::count_if(fates.begin(), fates.end(), [&](const auto& entry) { return entry.second == fate; });
  }

  void checkInvariants() const {
    RC_ASSERT(controller.waiting() == count(Fate::kWaiting));
    RC_ASSERT(controller.inFlight() == count(Fate::kStarted));
    RC_ASSERT(controller.waiting() <= kMaximumWaiting);
    RC_ASSERT(controller.waiting() == 0 || controller.inFlight() > 0);
    RC_ASSERT(controller.nextWakeup() >= now);
  }

  std::string pick(Fate fate) const {
    std::vector<std::string> ids;
    for (const auto& [id, its_fate] : fates) {
      if (its_fate == fate) {
        ids.push_back(id);
      }
    }
    return ids.empty() ? "unknown" : *rc::gen::elementOf(ids);
  }
};

void offerAny(Oracle& oracle) {
  const std::string id = std::to_string(oracle.fates.size());
  const std::string tenant = *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
  const Urgency urgency =
      *rc::gen::elementOf(std::vector<Urgency>(kAllUrgencies.begin(), kAllUrgencies.end()));
  RequestOffered offered = offer(id, tenant, urgency, oracle.now, *rc::gen::inRange(1, 9));
  if (*rc::gen::arbitrary<bool>()) {
    offered.request.deadline = oracle.now + Milliseconds(*rc::gen::inRange(0, 3000));
  }
  oracle.fates[id] = Fate::kWaiting;
  oracle.latest_starts[id] = offered.request.deadline - offered.expected_first_token;
  oracle.apply(std::move(offered));
  RC_ASSERT(oracle.controller.waiting(urgency) <= 3 * kMaximumWaitingPerTenant);
}

void finishAny(Oracle& oracle) {
  const std::string id = oracle.pick(Fate::kStarted);
  if (oracle.fates.contains(id)) {
    oracle.fates[id] = Fate::kFinished;
  }
  const FinishKind kind =
      *rc::gen::element(FinishKind::kCompleted, FinishKind::kFailed, FinishKind::kOverloaded);
  oracle.apply(RequestFinished{RequestId(id), kind});
}

void cancelAny(Oracle& oracle) {
  const Fate from = *rc::gen::element(Fate::kWaiting, Fate::kStarted);
  const std::string id = oracle.pick(from);
  if (oracle.fates.contains(id)) {
    oracle.fates[id] = from == Fate::kWaiting ? Fate::kCancelled : Fate::kFinished;
  }
  oracle.apply(RequestCancelled{RequestId(id)});
}

TEST_CASE("each request gets exactly one answer, whatever happens") {
  rc::prop("conservation, bounds and deadlines", [] {
    Oracle oracle;
    const int steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
      oracle.now += Milliseconds(*rc::gen::inRange(0, 200));
      switch (*rc::gen::weightedElement<int>({{5, 0}, {3, 1}, {1, 2}, {2, 3}, {1, 4}, {1, 5}})) {
        case 0:
          offerAny(oracle);
          break;
        case 1:
          finishAny(oracle);
          break;
        case 2:
          cancelAny(oracle);
          break;
        case 3:
          oracle.apply(FirstTokenArrived{RequestId(oracle.pick(Fate::kStarted))});
          break;
        case 4:
          oracle.apply(CapacityChanged{static_cast<double>(*rc::gen::inRange(0, 20))});
          break;
        default:
          oracle.apply(Tick{});
      }
    }
    // With time and every started request finished, nothing is left without an answer.
    for (int round = 0; round < 1000 && oracle.controller.waiting() > 0; ++round) {
      oracle.now += Seconds(1);
      oracle.apply(Tick{});
      if (oracle.count(Fate::kStarted) > 0) {
        const std::string id = oracle.pick(Fate::kStarted);
        oracle.fates[id] = Fate::kFinished;
        oracle.apply(RequestFinished{RequestId(id), FinishKind::kCompleted});
      }
    }
    RC_ASSERT(oracle.count(Fate::kWaiting) == 0U);
  });
}

// Starts by class and tenant while one request finishes and a backlog is kept up in every queue.
struct Backlogged {
  explicit Backlogged(AdmissionConfiguration configuration) : controller(std::move(configuration)) {}

  void fill(const std::vector<std::string>& tenants, const std::vector<Urgency>& urgencies, double cost) {
    for (const std::string& tenant : tenants) {
      for (const Urgency urgency : urgencies) {
        handle(offer(std::to_string(next_id++), tenant, urgency, now, cost));
      }
    }
  }

  void finishOne() {
    REQUIRE_FALSE(running.empty());
    const RequestId id = running.front();
    running.pop_front();
    now += Milliseconds(10);
    handle(RequestFinished{id, FinishKind::kCompleted});
  }

  void handle(AdmissionEvent event) {
    for (AdmissionAction& action : controller.handle(std::move(event), now, random)) {
      if (Start* start = std::get_if<Start>(&action)) {
        running.push_back(start->request.id);
        work_by_tenant[start->request.tenant.value()] += 1;
        work_by_class[start->request.urgency] += 1;
      }
    }
  }

  AdmissionController controller;
  std::mt19937_64 random{7};
  absl::Time now = absl::UnixEpoch();
  int next_id = 0;
  std::deque<RequestId> running;
  std::map<std::string, double> work_by_tenant;
  std::map<Urgency, double> work_by_class;
};

TEST_CASE("backlogged tenants are served by weight") {
  rc::prop("shares within a class", [] {
    AdmissionConfiguration configuration = smallConfiguration();
    configuration.maximum_waiting = 1000;
    const std::vector<std::string> tenants = {"a", "b", "c"};
    double total_weight = 0;
    for (const std::string& tenant : tenants) {
      const double weight = *rc::gen::inRange(1, 6);
      configuration.tenant_weights[TenantId(tenant)] = weight;
      total_weight += weight;
    }
    Backlogged site(configuration);
    constexpr int kRounds = 300;
    for (int round = 0; round < kRounds; ++round) {
      site.fill(tenants, {Urgency::kStandard}, 1);
      site.fill(tenants, {Urgency::kStandard}, 1);
      site.finishOne();
    }
    for (const std::string& tenant : tenants) {
      const double fair = kRounds * configuration.tenant_weights[TenantId(tenant)] / total_weight;
      RC_ASSERT(site.work_by_tenant[tenant] >= fair * 0.9);
    }
  });
}

TEST_CASE("less urgent classes get their minimum share and no more while urgent work waits") {
  AdmissionConfiguration configuration = smallConfiguration();
  configuration.maximum_waiting = 1000;
  Backlogged site(configuration);
  constexpr int kRounds = 2000;
  for (int round = 0; round < kRounds; ++round) {
    site.fill({"a", "b"}, {kAllUrgencies.begin(), kAllUrgencies.end()}, 1);
    site.finishOne();
  }
  CHECK(site.work_by_class[Urgency::kStandard] >= 0.09 * kRounds);
  CHECK(site.work_by_class[Urgency::kDeferrable] >= 0.045 * kRounds);
  CHECK(site.work_by_class[Urgency::kUrgent] >= 0.8 * kRounds);
}

TEST_CASE("a request that can't meet its deadline is refused on arrival, with the wait to expect") {
  AdmissionConfiguration configuration = smallConfiguration();
  configuration.window.policy = WindowPolicy::kFixed;
  configuration.window.initial = 1;
  configuration.maximum_waiting = 1000;
  Backlogged site(configuration);
  // One slot, one second a request: the drain rate is learnt, then ten requests wait.
  site.handle(offer("first", "a", Urgency::kStandard, site.now));
  site.now += Seconds(1);
  site.handle(RequestFinished{RequestId("first"), FinishKind::kCompleted});
  for (int index = 0; index < 10; ++index) {
    site.handle(offer(std::to_string(index), "a", Urgency::kStandard, site.now));
  }
  RequestOffered late = offer("late", "a", Urgency::kStandard, site.now);
  late.request.deadline = site.now + Seconds(5);
  const auto actions = site.controller.handle(late, site.now, site.random);
  REQUIRE(actions.size() == 1);
  const Refuse& refuse = std::get<Refuse>(actions.front());
  CHECK(refuse.refusal.reason == RefusalReason::kDeadlineUnreachable);
  CHECK(refuse.refusal.retry_after >= Seconds(4));
  CHECK(refuse.refusal.retry_after <= Seconds(10));
  RequestOffered in_time = offer("in time", "a", Urgency::kStandard, site.now);
  in_time.request.deadline = site.now + Seconds(12);
  CHECK(site.controller.handle(in_time, site.now, site.random).empty());
}

TEST_CASE("an urgent request takes the place of the heaviest deferrable tenant when the node is full") {
  AdmissionConfiguration configuration = smallConfiguration();
  configuration.maximum_waiting = 4;
  configuration.window.policy = WindowPolicy::kFixed;
  configuration.window.initial = 1;
  Backlogged site(configuration);
  site.handle(offer("running", "a", Urgency::kUrgent, site.now));
  for (const char* id : {"b1", "b2", "b3"}) {
    site.handle(offer(id, "b", Urgency::kDeferrable, site.now));
  }
  site.handle(offer("c1", "c", Urgency::kDeferrable, site.now));
  const auto actions =
      site.controller.handle(offer("urgent", "a", Urgency::kUrgent, site.now), site.now, site.random);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Refuse>(actions.front()).id == RequestId("b3"));
  CHECK(std::get<Refuse>(actions.front()).refusal.reason == RefusalReason::kDisplaced);
  const auto more =
      site.controller.handle(offer("b4", "b", Urgency::kDeferrable, site.now), site.now, site.random);
  REQUIRE(more.size() == 1);
  CHECK(std::get<Refuse>(more.front()).id == RequestId("b4"));
}

}  // namespace
}  // namespace quincewick::admission
