#include "gateway/peer_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

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
void serialize(Archive& archive, LoadPart& load) {
  archive(load.part, load.parts);
  archiveList(archive, load.loads, kMaximumElements);
}

template <class Archive>
void serialize(Archive& archive, ZoneDigest& zone) {
  archiveText(archive, zone.zone, kMaximumName);
  archive(zone.load);
}

template <class Archive>
void serialize(Archive& archive, PeerDigest& digest) {
  archiveText(archive, digest.address.host, kMaximumName);
  archive(digest.address.port);
  archiveText(archive, digest.zone, kMaximumName);
  archive(digest.capacity, digest.gateways_known, digest.reads_well, digest.seeks_reader, digest.gives_orders,
          digest.has_news);
  archiveList(archive, digest.dead_stores, kMaximumElements);
  bool has_load = digest.load.has_value();
  archive(has_load);
  if (has_load) {
    LoadPart load = digest.load.value_or(LoadPart());
    archive(load);
    digest.load = std::move(load);
  }
  archiveList(archive, digest.zones, kMaximumElements);
  archiveList(archive, digest.placements, kMaximumElements);
  archiveList(archive, digest.engines, kMaximumElements);
  archiveList(archive, digest.capabilities, kMaximumElements);
}

std::vector<LoadPart> cutIntoParts(const std::vector<LoadDigest>& loads, size_t most) {
  size_t count = std::max<size_t>((loads.size() + most - 1) / most, 1);
  while (true) {
    std::vector<LoadPart> parts(count);
    for (const LoadDigest& load : loads) {
      parts[load.server % count].loads.push_back(load);
    }
    size_t largest = 0;
    for (size_t index = 0; index < count; ++index) {
      parts[index].part = static_cast<uint16_t>(index);
      parts[index].parts = static_cast<uint16_t>(count);
      largest = std::max(largest, parts[index].loads.size());
    }
    const bool is_cut_apart = count > loads.size();  // hashes that are alike can't be
    if (largest <= most || is_cut_apart) {
      return parts;
    }
    ++count;
  }
}

uint64_t hashOf(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

std::string encodeDigest(const PeerDigest& digest) {
  return encodeArchive(digest);
}

Result<PeerDigest> decodeDigest(std::string_view bytes) {
  Result<PeerDigest> decoded = decodeArchive<PeerDigest>(bytes);
  if (decoded.has_value()) {
    for (const CapabilityDigest& capability : decoded.value().capabilities) {
      BOOST_OUTCOME_TRY(capabilityFrom(capability.capability));
    }
  }
  return decoded;
}

}  // namespace quincewick::gateway
