#include "gateway/peer_digest.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaximumElements = 512;
constexpr uint32_t kMaximumHost = 64;

// Lengths are checked before memory is taken.
template <class Archive, class Element>
void archiveList(Archive& archive, std::vector<Element>& list) {
  auto size = static_cast<uint16_t>(list.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaximumElements) {
      throw cereal::Exception("list is too long");
    }
    list.resize(size);
  }
  for (Element& element : list) {
    archive(element);
  }
}

template <class Archive>
void archiveAddress(Archive& archive, Address& address) {
  auto size = static_cast<uint8_t>(address.host.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaximumHost) {
      throw cereal::Exception("host is too long");
    }
    address.host.resize(size);
  }
  archive(cereal::binary_data(address.host.data(), size), address.port);
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, PlacementDigest& placement) {
  archive(placement.server);
  archiveList(archive, placement.keys);
}

template <class Archive>
void serialize(Archive& archive, PeerDigest& digest) {
  archiveAddress(archive, digest.address);
  archiveList(archive, digest.loads);
  archiveList(archive, digest.placements);
  archiveList(archive, digest.engines);
}

std::string encodeDigest(const PeerDigest& digest) {
  std::ostringstream out;
  PeerDigest copy = digest;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    serialize(archive, copy);
  }
  return out.str();
}

Result<PeerDigest> decodeDigest(std::string_view bytes) {
  std::istringstream in{std::string(bytes)};
  PeerDigest digest;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    serialize(archive, digest);
  } catch (const std::exception&) {
    return fail(ErrorCode::kInvalidArgument, "a malformed digest");
  }
  return digest;
}

}  // namespace quincewick::gateway
