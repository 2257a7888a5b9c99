#include "gateway/peer_digest.h"

#include "types/bounded_archive.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaximumElements = 512;
constexpr uint32_t kMaximumName = 64;

}  // namespace

template <class Archive>
void serialize(Archive& archive, PlacementDigest& placement) {
  archive(placement.server);
  archiveList(archive, placement.keys, kMaximumElements);
}

template <class Archive>
void serialize(Archive& archive, ZoneDigest& zone) {
  archiveText(archive, zone.zone, kMaximumName);
  archiveList(archive, zone.loads, kMaximumElements);
}

template <class Archive>
void serialize(Archive& archive, PeerDigest& digest) {
  archiveText(archive, digest.address.host, kMaximumName);
  archive(digest.address.port);
  archiveText(archive, digest.zone, kMaximumName);
  archive(digest.capacity, digest.reads_well, digest.seeks_reader, digest.gives_orders);
  archiveList(archive, digest.dead_stores, kMaximumElements);
  archiveList(archive, digest.loads, kMaximumElements);
  archiveList(archive, digest.zones, kMaximumElements);
  archiveList(archive, digest.placements, kMaximumElements);
  archiveList(archive, digest.engines, kMaximumElements);
}

std::string encodeDigest(const PeerDigest& digest) {
  return encodeArchive(digest);
}

Result<PeerDigest> decodeDigest(std::string_view bytes) {
  return decodeArchive<PeerDigest>(bytes);
}

}  // namespace quincewick::gateway
