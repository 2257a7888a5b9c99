#include "routing/route_table.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

namespace quincewick::routing {
namespace {

RouteSpecification route(std::string name, int32_t priority, std::string_view selector) {
  RouteSpecification specification;
  specification.name = std::move(name);
  specification.priority = priority;
  specification.selector = Selector::parse(selector).value();
  specification.groups = {GroupName("main")};
  return specification;
}

RouteTableSpecification withRoutes(std::vector<RouteSpecification> routes) {
  return {{{GroupName("main"), Selector()}, {GroupName("old"), Selector::parse("path=old").value()}},
          std::move(routes)};
}

InferenceRequest barrierRequest() {
  InferenceRequest request;
  request.tenant = TenantId("airport");
  request.kind = RequestKind("barrier");
  request.labels = Labels{{"tier", "gold"}, {"tenant", "somebody-else"}};
  request.arrival = absl::UnixEpoch();
  return request;
}

TEST_CASE("the winner is the first by priority, then requirements, then order; the explanation agrees") {
  rc::prop("precedence", [] {
    const std::vector<std::string> selectors = {"", "tier=gold", "tier=gold,kind=barrier", "tier=silver"};
    const auto count = *rc::gen::inRange(0, 8);
    std::vector<RouteSpecification> routes;
    for (int index = 0; index < count; ++index) {
      routes.push_back(
          route(absl::StrCat("r", index), *rc::gen::inRange(0, 3), *rc::gen::elementOf(selectors)));
    }
    const RouteSpecification* best = nullptr;  // the oracle: pairwise comparison in the order of the file
    for (const RouteSpecification& candidate : routes) {
      if (candidate.selector.print() == "tier=silver") {
        continue;
      }
      const bool wins = best == nullptr || candidate.priority > best->priority ||
                        (candidate.priority == best->priority &&
                         candidate.selector.requirements().size() > best->selector.requirements().size());
      best = wins ? &candidate : best;
    }
    const RouteTable table = RouteTable::build(withRoutes(routes)).value();
    const auto decision = table.match(barrierRequest());
    const RouteExplanation explanation = table.explain(barrierRequest());
    RC_ASSERT(explanation.verdicts.size() == routes.size());
    RC_ASSERT(decision.has_value() == (best != nullptr));
    RC_ASSERT(explanation.decision.has_value() == (best != nullptr));
    if (best == nullptr) {
      RC_ASSERT(decision.error().execution == Execution::kNotRun);
      return;
    }
    RC_ASSERT(decision.value().route == best->name);
    RC_ASSERT(explanation.decision->route == best->name);
    for (const RouteVerdict& verdict : explanation.verdicts) {
      RC_ASSERT((verdict.outcome == RouteOutcome::kWon) == (verdict.route == best->name));
      RC_ASSERT((verdict.outcome == RouteOutcome::kNotMatched) == (verdict.unmet == "tier=silver"));
    }
  });
}

TEST_CASE("labels can't pretend to be another tenant or kind") {
  const RouteTable table =
      RouteTable::build(withRoutes({route("theirs", 1, "tenant=somebody-else"), route("own", 0, "")}))
          .value();
  CHECK(table.match(barrierRequest()).value().route == "own");
}

TEST_CASE("a share is sticky, only grows with its percentage and is near it") {
  size_t members = 0;
  constexpr int kKeys = 4000;
  for (int key = 0; key < kKeys; ++key) {
    const std::string name = absl::StrCat("tenant", key);
    CHECK_FALSE(inShare("route", name, 0));
    CHECK(inShare("route", name, 100));
    CHECK((!inShare("route", name, 20) || inShare("route", name, 30)));
    members += inShare("route", name, 30) ? 1 : 0;
  }
  CHECK(members > kKeys * 27 / 100);
  CHECK(members < kKeys * 33 / 100);
}

TEST_CASE("a split sends a tenant's whole traffic one way, and is taken back by one change") {
  RouteSpecification split = route("quotes", 0, "");
  split.mirror = GroupName("old");
  split.urgency = Urgency::kUrgent;
  split.deadline = absl::Seconds(2);
  split.old_path = ShareSplit{GroupName("old"), 100, Stickiness::kSession};
  const auto moved = RouteTable::build(withRoutes({split})).value().match(barrierRequest()).value();
  CHECK(moved.on_old_path);
  CHECK(moved.groups == std::vector{GroupName("old")});
  CHECK(moved.urgency == Urgency::kUrgent);
  CHECK(moved.deadline == absl::UnixEpoch() + absl::Seconds(2));
  CHECK(moved.mirror == GroupName("old"));
  split.old_path->percentage = 0;
  const auto back = RouteTable::build(withRoutes({split})).value().match(barrierRequest()).value();
  CHECK_FALSE(back.on_old_path);
  CHECK(back.groups == std::vector{GroupName("main")});
}

TEST_CASE("a wrong specification is refused") {
  CHECK(RouteTable::build(withRoutes({route("same", 0, ""), route("same", 1, "")})).has_error());
  RouteSpecification unknown = route("lost", 0, "");
  unknown.groups.push_back(GroupName("nowhere"));
  CHECK(RouteTable::build(withRoutes({unknown})).has_error());
  RouteSpecification empty = route("empty", 0, "");
  empty.groups.clear();
  CHECK(RouteTable::build(withRoutes({empty})).has_error());
  RouteSpecification over = route("over", 0, "");
  over.old_path = ShareSplit{GroupName("old"), 101};
  CHECK(RouteTable::build(withRoutes({over})).has_error());
  RouteSpecification late = route("late", 0, "");
  late.deadline = absl::ZeroDuration();
  CHECK(RouteTable::build(withRoutes({late})).has_error());
}

}  // namespace
}  // namespace quincewick::routing
