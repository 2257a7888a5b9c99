// Meets each of a changing set of nodes once in a round, in an order drawn anew for each round.
#pragma once

#include <absl/random/bit_gen_ref.h>

#include <optional>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::membership {

class RoundRobin {
 public:
  // The next of `candidates`, which are sorted; nothing when there are none. One that is new since the last
  // call gets a place in the round under way.
  std::optional<NodeId> next(const std::vector<NodeId>& candidates, absl::BitGenRef random);

 private:
  void admitNewcomers(const std::vector<NodeId>& candidates, absl::BitGenRef random);

  std::vector<NodeId> round_;  // still to be met in this round, last first
  std::vector<NodeId> known_;  // the candidates of the last call
};

}  // namespace quincewick::membership
