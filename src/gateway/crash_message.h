// Message between gateways about requests that crash servers. One datagram, encoded by cereal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/crash_register.h"
#include "types/error.h"

namespace quincewick::gateway {

// Any of the lists may be empty.
struct CrashMessage {
  std::vector<forwarding::ServerCrash> crashes;
  std::vector<forwarding::RequestIdentity> cleared;         // suspects that the sender served completely
  std::vector<forwarding::QuarantinedRequest> quarantined;  // to be rejected

  bool isEmpty() const { return crashes.empty() && cleared.empty() && quarantined.empty(); }
};

// Requests that fit into one datagram beside the message's frame, at 17 bytes each; a crash counts as two.
inline constexpr size_t kCrashMessageCapacity = 56;

std::string encodeCrashMessage(const CrashMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for an unknown version.
Result<CrashMessage> decodeCrashMessage(std::string_view bytes);

}  // namespace quincewick::gateway
