// Decides which groups of back ends may serve a request, and with what urgency and deadline.
//
// Precedence among the routes whose selectors match, from first to last:
//   1. the greater priority;
//   2. the selector with more requirements;
//   3. the earlier place in the configuration.
// Selectors see the request's labels and four built-in keys that labels can't override: "tenant", "kind",
// "model" and "adapter" (absent where empty).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "routing/route_specification.h"
#include "routing/selector.h"
#include "types/error.h"
#include "types/inference_request.h"

namespace quincewick::routing {

// Where a request goes.
struct RouteDecision {
  std::string route;  // the name of the route that won
  Urgency urgency = Urgency::kStandard;
  absl::Time deadline = absl::InfiniteFuture();  // for the first token; the earlier of request's and route's
  std::vector<GroupName> groups;                 // in the order in which they are tried
  bool on_old_path = false;                      // the split sent this request to the old path's group
  std::optional<GroupName> mirror;
};

// What became of one route in a match.
enum class RouteOutcome : uint8_t {
  kWon,
  kLostByPriority,
  kLostBySpecificity,  // equal priority, fewer requirements
  kLostByOrder,        // equal priority and requirements, later in the configuration
  kNotMatched,
};

// Returns "won", "lost by priority", "lost by specificity", "lost by order" or "not matched".
std::string_view routeOutcomeName(RouteOutcome outcome);

struct RouteVerdict {
  std::string route;
  int32_t priority = 0;
  std::string selector;
  RouteOutcome outcome = RouteOutcome::kNotMatched;
  std::string unmet;  // for kNotMatched: the first requirement that does not hold
};

// The answer to "which route won and why": one verdict a route, in order of precedence.
struct RouteExplanation {
  std::vector<RouteVerdict> verdicts;
  std::optional<RouteDecision> decision;  // nothing where no route matched
};

// Immutable; safe to read from any number of threads.
class RouteTable {
 public:
  // Checks and orders the routes. Fails with kInvalidArgument, naming the route or group, on an empty or
  // duplicate name, a route without groups, an unknown group, a percentage over 100 or a deadline that is not
  // positive.
  static Result<RouteTable> build(RouteTableSpecification specification);

  // The winning route's decision. Fails with kNotFound (not run) where no route matches.
  Result<RouteDecision> match(const InferenceRequest& request) const;

  // The same decision as `match`, with the verdict on every route.
  RouteExplanation explain(const InferenceRequest& request) const;

  // The selector over back ends' labels of a group, or null for an unknown group. Owned by the table.
  const Selector* groupSelector(const GroupName& group) const;

  // The specification, with the routes in order of precedence.
  const RouteTableSpecification& specification() const { return specification_; }

 private:
  explicit RouteTable(RouteTableSpecification specification);

  RouteTableSpecification specification_;
  absl::btree_map<GroupName, Selector> groups_;
};

// Returns whether the sticky key lies in a share of `percentage` of `salt`'s keys. A greater percentage keeps
// every key that a smaller one had.
bool inShare(std::string_view salt, std::string_view sticky_key, uint32_t percentage);

}  // namespace quincewick::routing
