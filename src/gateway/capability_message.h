// An engine's measured capability, as gateways report it to each other.
#pragma once

#include <cstdint>

#include "forwarding/engine_capability.h"
#include "types/error.h"

namespace quincewick::gateway {

struct CapabilityMessage {
  uint32_t read_ns_per_token = 0;
  uint16_t pause_ms = 0;
  uint16_t pause_deviation_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(read_ns_per_token, pause_ms, pause_deviation_ms);
  }
  friend bool operator==(const CapabilityMessage&, const CapabilityMessage&) = default;
};

CapabilityMessage messageOf(const forwarding::EngineCapability& capability);
// Errors: kInvalidArgument for a prefill speed out of range.
Result<forwarding::EngineCapability> capabilityFrom(const CapabilityMessage& message);

}  // namespace quincewick::gateway
