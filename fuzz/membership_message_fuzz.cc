// Any bytes either fail to decode or decode to a message that encodes and decodes again; a node that is
// handed them goes on.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "membership/membership_protocol.h"
#include "membership/messages.h"

namespace {

using namespace quincewick;              // NOLINT(google-build-using-namespace)
using namespace quincewick::membership;  // NOLINT(google-build-using-namespace)

void feedNode(const Message& message, const std::string& bytes) {
  const SelfDescription self{NodeId("self"), ZoneName("zone"), RegionName("region"),
                             Address{"10.0.0.1", 7400}, Incarnation(1)};
  const absl::Time now = absl::UnixEpoch();
  std::mt19937_64 random(1);
  MembershipProtocol node(MembershipSettings{}, self, now);
  node.handle(MessageReceived{message.sender.id, bytes}, now, random);
  for (const MembershipAction& action : node.handle(Tick{}, now + absl::Seconds(1), random)) {
    const auto* sent = std::get_if<SendToPeer>(&action);
    if (sent != nullptr && !decodeMessage(sent->bytes)) {
      std::abort();
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {  // NOLINT
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const Result<Message> message = decodeMessage(bytes);
  if (message) {
    if (!decodeMessage(encodeMessage(message.value()))) {
      std::abort();
    }
    feedNode(message.value(), bytes);
  }
  return 0;
}
