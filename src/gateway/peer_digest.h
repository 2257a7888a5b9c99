// The digest that gateways send each other several times a second: their load at servers, placements of
// shared prompt prefixes, and the state of engines that load weights. One datagram, encoded by cereal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/capability_message.h"
#include "types/back_end.h"
#include "types/block_key.h"
#include "types/error.h"

namespace quincewick::gateway {

inline constexpr size_t kMaxDeadStores = 32;
// Fit into a datagram beside the longest names, as an own part or as another zone's.
inline constexpr size_t kLoadsPerDigest = 60;
// Fit into a digest without loads beside the list of unreachable stores and one update of each other kind.
inline constexpr size_t kMaxKeysPerPlacement = 32;

// A server is identified by its identity hash, so that a digest applies to one incarnation only.
struct LoadDigest {
  uint64_t server = 0;
  uint16_t running = 0;
  uint32_t prefill_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, running, prefill_tokens);
  }
};

// Loads of the servers whose hash modulo `parts` is `part`: one datagram's share of a complete load report. A
// server of this share that isn't listed has no load.
struct LoadPart {
  uint16_t part = 0;
  uint16_t parts = 1;
  std::vector<LoadDigest> loads;
};

// The load of all gateways of a zone at servers.
struct ZoneDigest {
  std::string zone;
  LoadPart load;
};

struct PlacementDigest {
  uint64_t server = 0;
  std::vector<BlockKey> keys;
};

struct EngineDigest {
  uint64_t server = 0;
  uint64_t model = 0;      // hash of its name
  uint64_t version = 0;    // of its weights; 0: unknown
  uint32_t closed_ms = 0;  // how long it takes no new requests

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, model, version, closed_ms);
  }
};

struct CapabilityDigest {
  uint64_t server = 0;
  CapabilityMessage capability;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, capability);
  }
};

struct PeerDigest {
  Address address;  // where the sender receives datagrams
  std::string zone;
  double capacity = 0;          // of the sender's machine
  uint32_t gateways_known = 0;  // number known to the sender, including itself and those reported by others
  bool is_zone_reader = false;  // the sender reads the store for its zone
  bool seeks_reader = false;    // the sender neither reads the store nor follows a reader
  bool holds_order_lease = false;  // the sender holds the order lease
  // `dead_stores` is complete; otherwise it is empty and must be ignored. Engine updates alone go without it.
  bool has_updates = false;
  // Unreachable cache stores, by name; from a reader for its zone. At most kMaxDeadStores.
  std::vector<uint64_t> dead_stores;
  std::optional<LoadPart> load;   // of the sender itself
  std::vector<ZoneDigest> zones;  // from a reader: its zone's load for other readers, and theirs for its zone
  std::vector<PlacementDigest> placements;
  std::vector<EngineDigest> engines;
  std::vector<CapabilityDigest> capabilities;  // of engines that the sender owns, or forwarded
};

// Splits a complete load report into parts of at most `max_loads` loads; servers with equal hashes share a
// part regardless. Without loads, the result is one empty part. A server's part depends only on its hash and
// the number of parts.
std::vector<LoadPart> splitIntoParts(const std::vector<LoadDigest>& loads, size_t max_loads);

// Encoded sizes of elements, in bytes.
inline constexpr size_t kEncodedLoadBytes = 14;
inline constexpr size_t kEncodedEngineBytes = 28;
inline constexpr size_t kEncodedCapabilityBytes = 16;
// A digest without loads has room for so many engines beside the longest names.
inline constexpr size_t kMinEnginesPerDigest = 32;
size_t encodedSize(const PlacementDigest& placement);
// The size of an encoded digest.
size_t encodedSize(const PeerDigest& digest);

// The hash that identifies servers, models and cache stores in digests.
uint64_t hashOf(std::string_view name);

std::string encodeDigest(const PeerDigest& digest);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<PeerDigest> decodeDigest(std::string_view bytes);

}  // namespace quincewick::gateway
