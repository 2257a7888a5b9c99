// How urgently a request must be served.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace quincewick {

// Ordered: a smaller value is served first.
enum class Urgency : uint8_t {
  kUrgent = 0,      // a user is waiting for the first token
  kStandard = 1,    // interactive; some wait is tolerable
  kDeferrable = 2,  // may wait minutes
};

inline constexpr std::array<Urgency, 3> kAllUrgencies = {Urgency::kUrgent, Urgency::kStandard,
                                                         Urgency::kDeferrable};

// Returns "urgent", "standard" or "deferrable", as configuration files spell it.
std::string_view urgencyName(Urgency urgency);

// The inverse of urgencyName; returns nothing for an unknown name.
std::optional<Urgency> urgencyFromName(std::string_view name);

}  // namespace quincewick
