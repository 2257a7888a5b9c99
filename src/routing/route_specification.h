// Routes and groups as operators write them: plain data, checked when a RouteTable is built of it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "routing/selector.h"
#include "types/identifiers.h"
#include "types/urgency.h"

namespace quincewick::routing {

// A group of back ends: all whose labels the selector matches.
struct GroupSpecification {
  GroupName name;
  Selector back_ends;

  friend bool operator==(const GroupSpecification&, const GroupSpecification&) = default;
};

// What keeps a caller on one side of a split.
enum class Stickiness : uint8_t {
  kTenant,   // all requests of a tenant take one side
  kSession,  // all requests with one value of the label "session" do; without the label, as kTenant
};

// Sends a share of a route's traffic to another group, such as the path that this system replaces.
struct ShareSplit {
  GroupName group;
  uint32_t percentage = 0;  // 0 to 100
  Stickiness stickiness = Stickiness::kTenant;

  friend bool operator==(const ShareSplit&, const ShareSplit&) = default;
};

// One rule: requests that the selector matches go to the groups, with the urgency.
struct RouteSpecification {
  std::string name;                        // unique
  int32_t priority = 0;                    // a greater one wins
  Selector selector;                       // over the request's labels and tenant, kind, model, adapter
  std::optional<Urgency> urgency;          // nothing: as the request has it
  std::vector<GroupName> groups;           // at least one; a later one is taken when the earlier can't serve
  std::optional<ShareSplit> old_path;      // a share that goes elsewhere
  std::optional<GroupName> mirror;         // gets a copy of repeatable requests; never answers
  std::optional<absl::Duration> deadline;  // for the first token, from the request's arrival

  friend bool operator==(const RouteSpecification&, const RouteSpecification&) = default;
};

struct RouteTableSpecification {
  std::vector<GroupSpecification> groups;
  std::vector<RouteSpecification> routes;

  friend bool operator==(const RouteTableSpecification&, const RouteTableSpecification&) = default;
};

}  // namespace quincewick::routing
