#include "gateway/peer_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "types/bounded_archive.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaxElements = 512;
constexpr uint32_t kMaxNameBytes = 64;
// Encoded sizes, in bytes.
constexpr size_t kCountBytes = 4;  // of a list or a text, before its elements
constexpr size_t kByteOrderBytes = 1;
constexpr size_t kPortBytes = 2;
constexpr size_t kCapacityBytes = 8;
constexpr size_t kGatewaysBytes = 4;
constexpr size_t kFlagBytes = 1;
constexpr size_t kFlags = 5;  // including the one that says whether there is a load
constexpr size_t kPartNumberBytes = 2;
constexpr size_t kHashBytes = 8;

size_t encodedSize(std::string_view text) {
  return kCountBytes + text.size();
}

size_t encodedSize(const LoadPart& load) {
  return 2 * kPartNumberBytes + kCountBytes + kEncodedLoadBytes * load.loads.size();
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, PlacementDigest& placement) {
  archive(placement.server);
  archiveList(archive, placement.keys, kMaxElements);
}

template <class Archive>
void serialize(Archive& archive, LoadPart& load) {
  archive(load.part, load.parts);
  archiveList(archive, load.loads, kMaxElements);
}

template <class Archive>
void serialize(Archive& archive, ZoneDigest& zone) {
  archiveText(archive, zone.zone, kMaxNameBytes);
  archive(zone.load);
}

template <class Archive>
void serialize(Archive& archive, PeerDigest& digest) {
  archiveText(archive, digest.address.host, kMaxNameBytes);
  archive(digest.address.port);
  archiveText(archive, digest.zone, kMaxNameBytes);
  archive(digest.capacity, digest.gateways_known, digest.is_zone_reader, digest.seeks_reader,
          digest.holds_order_lease, digest.has_updates);
  archiveList(archive, digest.dead_stores, kMaxElements);
  bool has_load = digest.load.has_value();
  archive(has_load);
  if (has_load) {
    LoadPart load = digest.load.value_or(LoadPart());
    archive(load);
    digest.load = std::move(load);
  }
  archiveList(archive, digest.zones, kMaxElements);
  archiveList(archive, digest.placements, kMaxElements);
  archiveList(archive, digest.engines, kMaxElements);
  archiveList(archive, digest.capabilities, kMaxElements);
}

std::vector<LoadPart> splitIntoParts(const std::vector<LoadDigest>& loads, size_t max_loads) {
  size_t count = std::max<size_t>((loads.size() + max_loads - 1) / max_loads, 1);
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
    const bool is_unsplittable = count > loads.size();  // loads with equal hashes can't be split
    if (largest <= max_loads || is_unsplittable) {
      return parts;
    }
    ++count;
  }
}

size_t encodedSize(const PlacementDigest& placement) {
  return kHashBytes + kCountBytes + sizeof(BlockKey) * placement.keys.size();
}

size_t encodedSize(const PeerDigest& digest) {
  size_t size = kByteOrderBytes + encodedSize(digest.address.host) + kPortBytes + encodedSize(digest.zone) +
                kCapacityBytes + kGatewaysBytes + kFlags * kFlagBytes;
  size += kCountBytes + kHashBytes * digest.dead_stores.size();
  size += digest.load ? encodedSize(*digest.load) : 0;
  size += kCountBytes;
  for (const ZoneDigest& zone : digest.zones) {
    size += encodedSize(zone.zone) + encodedSize(zone.load);
  }
  size += kCountBytes;
  for (const PlacementDigest& placement : digest.placements) {
    size += encodedSize(placement);
  }
  size += kCountBytes + kEncodedEngineBytes * digest.engines.size();
  size += kCountBytes + kEncodedCapabilityBytes * digest.capabilities.size();
  return size;
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
