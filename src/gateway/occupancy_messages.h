// Messages between gateways and the owner of an engine's occupancy. One datagram each, encoded by cereal.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/capability_message.h"
#include "types/error.h"

namespace quincewick::gateway {

enum class OccupancyMessageKind : uint8_t {
  kReserve = 1,     // a slot, if at most `max_load_seconds` of work is in progress
  kReserved = 2,    // granted
  kFull = 3,        // denied
  kPromptRead = 4,  // prefill is done
  kRelease = 5,     // the request ended
};

struct OccupancyMessage {
  OccupancyMessageKind kind = OccupancyMessageKind::kReserve;
  uint64_t number = 0;          // chosen by the sender of the request; the response repeats it
  uint64_t engine = 0;          // the engine's identity hash
  uint32_t running = 0;         // in a response: running requests before this one
  uint64_t prefill_tokens = 0;  // in a request: its own; in a response: queued before this one
  double max_load_seconds = 0;
  CapabilityMessage capability;  // in a response: the engine's measured capability
  uint32_t pause_ms = 0;         // in a release: longest gap between the request's pieces; 0: unknown

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, number, engine, running, prefill_tokens, max_load_seconds, capability, pause_ms);
  }
};

std::string encodeOccupancyMessage(const OccupancyMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<OccupancyMessage> decodeOccupancyMessage(std::string_view bytes);

}  // namespace quincewick::gateway
