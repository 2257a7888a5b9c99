// Any bytes either fail to decode or decode to an envelope that encodes to the same bytes; none opens.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "peer/authenticator.h"
#include "peer/envelope.h"

namespace {

using namespace quincewick;        // NOLINT(google-build-using-namespace)
using namespace quincewick::peer;  // NOLINT(google-build-using-namespace)

Authenticator& receiver() {
  static Authenticator authenticator(
      NodeId("self"), Incarnation(1),
      KeyRing::make({{KeyId(1), std::string(kMinimumSecretSize, 'k')}}, KeyId(1)).value());
  return authenticator;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {  // NOLINT
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const Result<Envelope> envelope = decodeEnvelope(bytes);
  if (envelope) {
    const Result<Envelope> again = decodeEnvelope(encodeEnvelope(envelope.value()));
    if (!again || again.value().payload != envelope.value().payload) {
      std::abort();
    }
  }
  if (receiver().open(Channel::kDatagram, bytes)) {
    std::abort();
  }
  return 0;
}
