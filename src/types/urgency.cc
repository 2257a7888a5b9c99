#include "types/urgency.h"

namespace quincewick {

std::string_view urgencyName(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kStandard:
      return "standard";
    case Urgency::kDeferrable:
      return "deferrable";
  }
  return "standard";
}

std::optional<Urgency> urgencyFromName(std::string_view name) {
  for (const Urgency urgency : kAllUrgencies) {
    if (urgencyName(urgency) == name) {
      return urgency;
    }
  }
  return std::nullopt;
}

}  // namespace quincewick
