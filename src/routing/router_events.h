// The inputs and outputs of Router.
#pragma once

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "prefix/prefix_index.h"
#include "routing/route_table.h"
#include "types/back_end.h"
#include "types/identifiers.h"
#include "types/inference_request.h"
#include "types/token_event.h"

namespace quincewick::routing {

// The engine is as given here. A new incarnation or other weights void what is believed of its cache.
struct EngineUpserted {
  BackEnd engine;
};

struct EngineRemoved {
  BackEndId engine;
};

// Outlier ejection or a circuit breaker has taken the engine out of use, or back.
struct EngineEjectionChanged {
  BackEndId engine;
  bool ejected = false;
};

// A load report that shows the engine's state at `measured`. From the engine, its owner node, or an answer.
struct LoadReported {
  BackEndId engine;
  EngineLoad load;
  absl::Time measured;
};

// Cache events in the order of their sequences; late, repeated and missing ones are allowed.
struct CacheEventsRead {
  BackEndId engine;
  Incarnation incarnation;
  std::vector<prefix::CacheEvent> events;
};

// The request, with the urgency of its route decision, was sent to the engine. Exactly one RequestEnded
// follows for each, of the same id.
struct RequestSent {
  InferenceRequest request;
  BackEndId engine;
  uint64_t expected_cached_tokens = 0;
};

// The engine's first token of the answer has come.
struct FirstTokenSeen {
  RequestId request;
  BackEndId engine;
  Incarnation incarnation;  // as the answer says
};

// The request has left the engine: answered, failed or cancelled.
struct RequestEnded {
  RequestId request;
  BackEndId engine;
  Incarnation incarnation;     // as the answer says; zero if it said nothing
  std::optional<Usage> usage;  // nothing without a complete answer
};

// Replaces the route table.
struct RoutesChanged {
  std::shared_ptr<const RouteTable> routes;
};

using RouterEvent = std::variant<EngineUpserted, EngineRemoved, EngineEjectionChanged, LoadReported,
                                 CacheEventsRead, RequestSent, FirstTokenSeen, RequestEnded, RoutesChanged>;

// Read the engine's cache events again: some are missing.
struct ReadCacheEvents {
  BackEndId engine;
  Sequence after;
};

using RouterAction = std::variant<ReadCacheEvents>;

}  // namespace quincewick::routing
