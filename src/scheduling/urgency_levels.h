// Priority levels at which requests of one service wait for its engines.
//
// Each urgency that the operator's configuration gives the service has two adjacent levels: one for requests
// that can still be in time, then one for those that are predicted to be late. So a late request yields to
// punctual ones of its own and of more urgent classes, but never to a less urgent class. Urgencies beyond the
// levels that engines support share the last two. Does no I/O.
#pragma once

#include <cstdint>
#include <vector>

namespace quincewick::scheduling {

class UrgencyLevels {
 public:
  // Engines support levels 0 (served first) to 9.
  static constexpr uint32_t kLevels = 10;

  UrgencyLevels() = default;
  // `urgencies`: all that requests of the service may have, in any order, duplicates allowed; 0 is the most
  // urgent.
  explicit UrgencyLevels(std::vector<uint32_t> urgencies);

  // An urgency that was not given ranks behind those that are more urgent.
  uint32_t levelOf(uint32_t urgency, bool is_late) const;

 private:
  std::vector<uint32_t> urgencies_;  // ascending, unique
};

}  // namespace quincewick::scheduling
