#include "gateway/capability_message.h"

#include <algorithm>

namespace quincewick::gateway {
namespace {

// Prefill time per token: 1 us to 10 ms, a factor of 25 and of 400 from current engines.
constexpr uint32_t kMinReadNsPerToken = 1'000;
constexpr uint32_t kMaxReadNsPerToken = 10'000'000;

uint16_t millisecondsOf(absl::Duration duration) {
  return static_cast<uint16_t>(std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT16_MAX));
}

}  // namespace

CapabilityMessage messageOf(const forwarding::EngineCapability& capability) {
  CapabilityMessage message;
  message.read_ns_per_token = static_cast<uint32_t>(std::clamp<int64_t>(
      absl::ToInt64Nanoseconds(capability.prefill_time_per_token), kMinReadNsPerToken, kMaxReadNsPerToken));
  message.pause_ms = millisecondsOf(capability.pause);
  message.pause_deviation_ms = millisecondsOf(capability.pause_deviation);
  return message;
}

Result<forwarding::EngineCapability> capabilityFrom(const CapabilityMessage& message) {
  if (message.read_ns_per_token < kMinReadNsPerToken || message.read_ns_per_token > kMaxReadNsPerToken) {
    return fail(ErrorCode::kInvalidArgument, "prefill time per token is out of range");
  }
  forwarding::EngineCapability capability;
  capability.prefill_time_per_token = absl::Nanoseconds(message.read_ns_per_token);
  capability.pause = absl::Milliseconds(message.pause_ms);
  capability.pause_deviation = absl::Milliseconds(message.pause_deviation_ms);
  return capability;
}

}  // namespace quincewick::gateway
