#include "routing/route_table.h"

#include <absl/container/btree_set.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace quincewick::routing {
namespace {

constexpr uint32_t kWholeShare = 100;
constexpr std::string_view kSessionLabel = "session";

std::optional<std::string_view> presentOrNothing(const std::string& value) {
  if (value.empty()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string_view> requestLabel(const InferenceRequest& request, std::string_view key) {
  if (key == "tenant") {
    return presentOrNothing(request.tenant.value());
  }
  if (key == "kind") {
    return presentOrNothing(request.kind.value());
  }
  if (key == "model") {
    return presentOrNothing(request.model.value());
  }
  if (key == "adapter") {
    return presentOrNothing(request.adapter.value());
  }
  return request.labels.get(key);
}

const SelectorRequirement* firstUnmet(const RouteSpecification& route, const InferenceRequest& request) {
  return route.selector.firstUnmet([&request](std::string_view key) { return requestLabel(request, key); });
}

std::string_view stickyKey(const ShareSplit& split, const InferenceRequest& request) {
  if (split.stickiness == Stickiness::kSession) {
    if (const auto session = request.labels.get(kSessionLabel)) {
      return *session;
    }
  }
  return request.tenant.value();
}

RouteDecision decide(const RouteSpecification& route, const InferenceRequest& request) {
  RouteDecision decision;
  decision.route = route.name;
  decision.urgency = route.urgency.value_or(request.urgency);
  decision.deadline = request.deadline;
  if (route.deadline.has_value()) {
    decision.deadline = std::min(decision.deadline, request.arrival + *route.deadline);
  }
  decision.mirror = route.mirror;
  decision.on_old_path = route.old_path.has_value() &&
                         inShare(route.name, stickyKey(*route.old_path, request), route.old_path->percentage);
  if (decision.on_old_path) {
    decision.groups = {route.old_path->group};
  } else {
    decision.groups = route.groups;
  }
  return decision;
}

bool precedes(const RouteSpecification& left, const RouteSpecification& right) {
  if (left.priority != right.priority) {
    return left.priority > right.priority;
  }
  return left.selector.requirements().size() > right.selector.requirements().size();
}

RouteOutcome lostBy(const RouteSpecification& winner, const RouteSpecification& loser) {
  if (winner.priority != loser.priority) {
    return RouteOutcome::kLostByPriority;
  }
  if (winner.selector.requirements().size() != loser.selector.requirements().size()) {
    return RouteOutcome::kLostBySpecificity;
  }
  return RouteOutcome::kLostByOrder;
}

outcome::failure_type<Error> invalid(const std::string& message) {
  return fail(ErrorCode::kInvalidArgument, message);
}

Result<void> checkRoute(const RouteSpecification& route, const absl::btree_set<GroupName>& groups) {
  const auto wrong = [&route](const std::string& what) {
    return invalid(absl::StrCat("route '", route.name, "': ", what));
  };
  if (route.groups.empty()) {
    return wrong("names no group");
  }
  std::vector<GroupName> named = route.groups;
  if (route.old_path.has_value()) {
    named.push_back(route.old_path->group);
  }
  if (route.mirror.has_value()) {
    named.push_back(*route.mirror);
  }
  for (const GroupName& group : named) {
    if (!groups.contains(group)) {
      return wrong(absl::StrCat("unknown group '", group.value(), "'"));
    }
  }
  if (route.old_path.has_value() && route.old_path->percentage > kWholeShare) {
    return wrong("a percentage is over 100");
  }
  if (route.deadline.has_value() && *route.deadline <= absl::ZeroDuration()) {
    return wrong("the deadline is not positive");
  }
  return outcome::success();
}

Result<void> checkSpecification(const RouteTableSpecification& specification) {
  absl::btree_set<GroupName> groups;
  for (const GroupSpecification& group : specification.groups) {
    if (group.name.empty()) {
      return invalid("a group has no name");
    }
    if (!groups.insert(group.name).second) {
      return invalid(absl::StrCat("group '", group.name.value(), "' is defined twice"));
    }
  }
  absl::btree_set<std::string> routes;
  for (const RouteSpecification& route : specification.routes) {
    if (route.name.empty()) {
      return invalid("a route has no name");
    }
    if (!routes.insert(route.name).second) {
      return invalid(absl::StrCat("route '", route.name, "' is defined twice"));
    }
    BOOST_OUTCOME_TRY(checkRoute(route, groups));
  }
  return outcome::success();
}

}  // namespace

bool inShare(std::string_view salt, std::string_view sticky_key, uint32_t percentage) {
  const uint64_t seed = XXH3_64bits(salt.data(), salt.size());
  const uint64_t hash = XXH3_64bits_withSeed(sticky_key.data(), sticky_key.size(), seed);
  return hash % kWholeShare < percentage;
}

std::string_view routeOutcomeName(RouteOutcome outcome) {
  switch (outcome) {
    case RouteOutcome::kWon:
      return "won";
    case RouteOutcome::kLostByPriority:
      return "lost by priority";
    case RouteOutcome::kLostBySpecificity:
      return "lost by specificity";
    case RouteOutcome::kLostByOrder:
      return "lost by order";
    case RouteOutcome::kNotMatched:
      return "not matched";
  }
  return "";
}

RouteTable::RouteTable(RouteTableSpecification specification) : specification_(std::move(specification)) {
  std::stable_sort(specification_.routes.begin(), specification_.routes.end(), precedes);
  for (const GroupSpecification& group : specification_.groups) {
    groups_.emplace(group.name, group.back_ends);
  }
}

Result<RouteTable> RouteTable::build(RouteTableSpecification specification) {
  BOOST_OUTCOME_TRY(checkSpecification(specification));
  return RouteTable(std::move(specification));
}

Result<RouteDecision> RouteTable::match(const InferenceRequest& request) const {
  for (const RouteSpecification& route : specification_.routes) {
    if (firstUnmet(route, request) == nullptr) {
      return decide(route, request);
    }
  }
  return fail(ErrorCode::kNotFound,
              absl::StrCat("no route matches the request of tenant '", request.tenant.value(), "', kind '",
                           request.kind.value(), "'"));
}

RouteExplanation RouteTable::explain(const InferenceRequest& request) const {
  RouteExplanation explanation;
  const RouteSpecification* winner = nullptr;
  for (const RouteSpecification& route : specification_.routes) {
    RouteVerdict verdict{route.name, route.priority, route.selector.print(), RouteOutcome::kNotMatched, ""};
    if (const SelectorRequirement* unmet = firstUnmet(route, request)) {
      verdict.unmet = printRequirement(*unmet);
    } else if (winner == nullptr) {
      winner = &route;
      verdict.outcome = RouteOutcome::kWon;
      explanation.decision = decide(route, request);
    } else {
      verdict.outcome = lostBy(*winner, route);
    }
    explanation.verdicts.push_back(std::move(verdict));
  }
  return explanation;
}

const Selector* RouteTable::groupSelector(const GroupName& group) const {
  const auto entry = groups_.find(group);
  return entry == groups_.end() ? nullptr : &entry->second;
}

}  // namespace quincewick::routing
