#include "peer/envelope.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

namespace quincewick::peer {
namespace {

// The header's greatest size: byte order, module, id with its length, three numbers.
constexpr size_t kMaximumHeaderSize = 1 + 1 + 1 + kMaximumNodeIdSize + 3 * sizeof(uint64_t);

// The envelope without its payload.
struct Header {
  uint8_t module = 0;
  std::string sender;
  uint64_t sender_incarnation = 0;
  uint64_t key = 0;
  uint64_t sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    auto size = static_cast<uint8_t>(sender.size());
    archive(module, size);
    sender.resize(size);
    archive(cereal::binary_data(sender.data(), size), sender_incarnation, key, sequence);
  }
};

bool isKnownModule(uint8_t module) {
  return module >= static_cast<uint8_t>(PeerModule::kMembership) &&
         module <= static_cast<uint8_t>(PeerModule::kCrashingParts);
}

}  // namespace

std::string encodeEnvelope(const Envelope& envelope) {
  Header header{static_cast<uint8_t>(envelope.module), envelope.sender.value(),
                envelope.sender_incarnation.value(), envelope.key.value(), envelope.sequence.value()};
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(header);
  }
  return std::move(stream).str() + envelope.payload;
}

Result<Envelope> decodeEnvelope(std::string_view bytes) {
  std::istringstream stream{std::string(bytes.substr(0, std::min(bytes.size(), kMaximumHeaderSize)))};
  Header header;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(header);
  } catch (const cereal::Exception&) {
    return fail(ErrorCode::kInvalidArgument, "peer message has a malformed header");
  }
  const bool id_fits = !header.sender.empty() && header.sender.size() <= kMaximumNodeIdSize;
  if (!id_fits || !isKnownModule(header.module)) {
    return fail(ErrorCode::kInvalidArgument, "peer message names an unknown module or no sender");
  }
  const auto header_size = static_cast<size_t>(stream.tellg());
  return Envelope{static_cast<PeerModule>(header.module),
                  NodeId(std::move(header.sender)),
                  Incarnation(header.sender_incarnation),
                  KeyId(header.key),
                  Sequence(header.sequence),
                  std::string(bytes.substr(header_size))};
}

}  // namespace quincewick::peer
