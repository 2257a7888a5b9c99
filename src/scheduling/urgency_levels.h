// Levels at which requests of one service wait for its engines: who goes first where there is too little
// room.
//
// Each urgency that the operator's configuration gives the service has two levels, one after the other: for
// what can still be in time, and for what is foretold to be late. So a late request gives way to the punctual
// ones of its own and of more urgent classes, and never to a less urgent class. Urgencies beyond the levels
// that engines know share the last two. Pure.
#pragma once

#include <cstdint>
#include <vector>

namespace quincewick::scheduling {

class UrgencyLevels {
 public:
  // Engines know levels 0 (first) to 9.
  static constexpr uint32_t kLevels = 10;

  UrgencyLevels() = default;
  // Of all urgencies that requests of the service may have, in any order, with repeats; 0 is the most urgent.
  explicit UrgencyLevels(std::vector<uint32_t> urgencies);

  // An urgency that isn't among them ranks behind those that are more urgent.
  uint32_t levelOf(uint32_t urgency, bool is_late) const;

 private:
  std::vector<uint32_t> urgencies_;  // rising, each once
};

}  // namespace quincewick::scheduling
