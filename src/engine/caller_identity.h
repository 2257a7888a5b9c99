// Who calls a back end, as its access rules and logs see it.
#pragma once

#include <httplib.h>

#include "types/identifiers.h"

namespace quincewick::engine {

// This node, in headers of every call.
struct CallerIdentity {
  NodeId node;
  ZoneName zone;
};

inline httplib::Headers identityHeaders(const CallerIdentity& identity) {
  return {{"X-Node", identity.node.value()}, {"X-Zone", identity.zone.value()}};
}

}  // namespace quincewick::engine
