// What gateways tell each other of requests that end servers. One datagram, encoded by cereal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/crash_register.h"
#include "types/error.h"

namespace quincewick::gateway {

// Lists that have nothing to tell are empty.
struct CrashMessage {
  std::vector<forwarding::ServerEnd> crashes;
  std::vector<forwarding::RequestIdentity> cleared;    // served whole at the sender, though charged
  std::vector<forwarding::BlamedRequest> quarantined;  // to be rejected

  bool isEmpty() const { return crashes.empty() && cleared.empty() && quarantined.empty(); }
};

// Requests that one datagram holds beside the message's frame, at 17 bytes each; an end counts as two.
inline constexpr size_t kCrashMessageCapacity = 56;

std::string encodeCrashMessage(const CrashMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for another version than the one that is known.
Result<CrashMessage> decodeCrashMessage(std::string_view bytes);

}  // namespace quincewick::gateway
