// The server-sent events of one completion, with the faults that streams can have.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "emulator/engine_host.h"
#include "emulator/faults.h"

namespace quincewick::emulator {

// One event: `id:` with the offset, `data:` with the JSON.
std::string formatEvent(uint64_t offset, const nlohmann::json& data);

// The JSON of one token.
nlohmann::json tokenJson(const RequestId& request, const std::string& text);

// Writes a completion's events in order, unless a fault says otherwise. Belongs to one thread.
class EventStreamWriter {
 public:
  EventStreamWriter(const Completion& completion, uint64_t from, FaultBoard& faults)
      : completion_(completion), next_(from), faults_(faults) {}

  // The events of all tokens before `until` that were not yet written; nothing when a fault cuts the stream
  // here.
  std::optional<std::string> tokensUntil(uint64_t until);
  // The last event and the end marker.
  std::string end(const nlohmann::json& last);

  uint64_t next() const { return next_; }

 private:
  std::string oneToken(uint64_t offset);

  const Completion& completion_;
  uint64_t next_;
  FaultBoard& faults_;
  std::string held_back_;  // by the fault of late events
};

}  // namespace quincewick::emulator
