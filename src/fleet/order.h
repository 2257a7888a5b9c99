// Orders to engines. An engine takes an order only if its (epoch, sequence) is greater than the last one's.
#pragma once

#include <cstdint>
#include <string>

#include "types/identifiers.h"

namespace quincewick::fleet {

enum class OrderKind : uint8_t { kLoadWeights, kLoadAdapter, kSetRole, kDrain, kResume };

struct Order {
  Epoch epoch;        // of the leader's lease
  Sequence sequence;  // rises within the epoch
  OrderKind kind = OrderKind::kResume;
  ModelName model;
  WeightsVersion weights_version;
  AdapterName adapter;
  std::string role;
};

// What became of an order. The engine answers the same (epoch, sequence) with the stored outcome, so an order
// without an answer is sent again unchanged.
enum class OrderOutcome : uint8_t {
  kTaken,    // carried out, or a load that has begun
  kFenced,   // the engine has taken a later order
  kInvalid,  // the engine can't carry it out
  kLost,     // no answer: it may or may not have been taken
};

}  // namespace quincewick::fleet
