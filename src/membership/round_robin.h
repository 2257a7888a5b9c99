// Meets each of a changing set of nodes once in a round, in an order drawn anew for each round.
#pragma once

#include <absl/random/bit_gen_ref.h>

#include <optional>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::membership {

class RoundRobin {
 public:
  // The next of `candidates`; nothing when there are none.
  std::optional<NodeId> next(const std::vector<NodeId>& candidates, absl::BitGenRef random);

 private:
  std::vector<NodeId> round_;  // still to be met in this round, last first
};

}  // namespace quincewick::membership
