// What gateways tell the keeper of an engine's books. One datagram each, encoded by cereal.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/capability_message.h"
#include "types/error.h"

namespace quincewick::gateway {

enum class OccupancyMessageKind : uint8_t {
  kReserve = 1,     // a place, if no more work than `max_load_seconds` is in hand there
  kReserved = 2,    // it is reserved
  kFull = 3,        // it isn't
  kPromptRead = 4,  // the prompt was read
  kRelease = 5,     // the request ended
};

struct OccupancyMessage {
  OccupancyMessageKind kind = OccupancyMessageKind::kReserve;
  uint64_t number = 0;          // of the asker; the answer bears the same
  uint64_t engine = 0;          // its identity hash
  uint32_t running = 0;         // in an answer: what was in hand before
  uint64_t prefill_tokens = 0;  // in a question: of the request; in an answer: what was in hand before
  double max_load_seconds = 0;
  CapabilityMessage capability;  // in an answer: what the engine can do
  uint32_t pause_ms = 0;         // of a release: the request's longest pause between pieces; 0: it had none

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, number, engine, running, prefill_tokens, max_load_seconds, capability, pause_ms);
  }
};

std::string encodeOccupancyMessage(const OccupancyMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<OccupancyMessage> decodeOccupancyMessage(std::string_view bytes);

}  // namespace quincewick::gateway
