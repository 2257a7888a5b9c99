#include "scheduling/urgency_levels.h"

#include <algorithm>
#include <utility>

namespace quincewick::scheduling {

UrgencyLevels::UrgencyLevels(std::vector<uint32_t> urgencies) : urgencies_(std::move(urgencies)) {
  std::sort(urgencies_.begin(), urgencies_.end());
  urgencies_.erase(std::unique(urgencies_.begin(), urgencies_.end()), urgencies_.end());
}

uint32_t UrgencyLevels::levelOf(uint32_t urgency, bool is_late) const {
  constexpr uint32_t last_rank = kLevels / 2 - 1;
  const auto place = std::lower_bound(urgencies_.begin(), urgencies_.end(), urgency);
  const auto rank = static_cast<uint32_t>(place - urgencies_.begin());
  return 2 * std::min(rank, last_rank) + (is_late ? 1 : 0);
}

}  // namespace quincewick::scheduling
