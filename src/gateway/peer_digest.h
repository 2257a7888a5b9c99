// What gateways tell each other, several times a second: their work at servers, where they placed shared
// parts of prompts, and what the giver of orders knows of engines. One datagram, encoded by cereal.
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

// A server is named by its identity hash, so that a digest about one life says nothing of another.
struct LoadDigest {
  uint64_t server = 0;
  uint16_t running = 0;
  uint32_t prefill_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, running, prefill_tokens);
  }
};

// Loads of the servers whose hash leaves `part` when divided by `parts`: one datagram's share of a whole
// account. A server of that share that isn't named has no work.
struct LoadPart {
  uint16_t part = 0;
  uint16_t parts = 1;
  std::vector<LoadDigest> loads;
};

// The work of all gateways of a zone at servers.
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
  uint64_t model = 0;      // the hash of its name
  uint64_t version = 0;    // of the weights it has; 0: not known
  uint32_t closed_ms = 0;  // it takes no new requests for so long

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
  Address address;  // where the sender takes datagrams
  std::string zone;
  double capacity = 0;                // of the sender's machine
  uint32_t gateways_known = 0;        // to the sender, itself among them, or told by another
  bool is_zone_reader = false;        // the sender reads the store for its zone
  bool seeks_reader = false;          // the sender neither reads the store nor follows one who does
  bool holds_order_lease = false;     // the sender holds the lease for orders to engines
  bool has_updates = false;           // all but loads; without it the lists below are empty and mean nothing
  std::vector<uint64_t> dead_stores;  // of kept cache, by name; from a reader, for its zone
  std::optional<LoadPart> load;       // of the sender itself
  std::vector<ZoneDigest> zones;      // from a reader: its own zone's for other readers, theirs for its zone
  std::vector<PlacementDigest> placements;
  std::vector<EngineDigest> engines;
  std::vector<CapabilityDigest> capabilities;  // of engines whose books the sender keeps, or as it was told
};

// Cuts a whole account into as many parts as needed, of `max_loads` loads each at most; one that is empty
// where there are no loads. Which part a server falls into depends on nothing but its hash and their number.
std::vector<LoadPart> splitIntoParts(const std::vector<LoadDigest>& loads, size_t max_loads);

// The hash by which digests name servers, models and stores.
uint64_t hashOf(std::string_view name);

std::string encodeDigest(const PeerDigest& digest);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<PeerDigest> decodeDigest(std::string_view bytes);

}  // namespace quincewick::gateway
