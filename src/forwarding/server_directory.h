// What this node knows of the servers: their entries in the store's list, corrected by their responses and
// failures, and the load that this node and its peers have in progress at each.
//
// A server's incarnation is identified by its id and its start time, if it reports one. State of an earlier
// incarnation is never used for a later one, and an earlier incarnation never replaces a later one. Slots are
// small numbers for the cache index; a slot is reused after its server was removed. Performs no I/O; `now`
// never decreases.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/back_pressure.h"
#include "forwarding/engine_capability.h"
#include "forwarding/server_entry.h"
#include "prefix/prefix_index.h"

namespace quincewick::forwarding {

using prefix::EngineNumber;

// Work in progress at a server.
struct ServerLoad {
  uint32_t running = 0;         // requests sent and not finished
  uint64_t prefill_tokens = 0;  // prompt tokens of these requests that are still to be processed
};

// Whether the software version in a server's entry is that of its incarnation.
enum class SoftwareProof : uint8_t {
  kListed,         // an entry of this incarnation states it
  kCarriedOver,    // from the entry of an earlier incarnation, until this one's is read
  kContradictory,  // entries of this incarnation stated different versions
};

struct Server {
  ServerEntry entry;
  EngineNumber slot{};
  uint64_t identity_hash = 0;  // identifies this incarnation in messages between nodes
  // Of the id alone: after a restart the server remains the home of the same prefix chains.
  uint64_t home_hash = 0;
  // Another gateway that takes requests in place of servers that can't be reached; not in the directory.
  bool is_gateway = false;
  // False after the incarnation was removed; requests in progress still refer to it.
  bool is_listed = true;
  // False while its entry exists but cannot be parsed: it may announce that the server leaves.
  bool is_readable = true;
  SoftwareProof software_proof = SoftwareProof::kListed;
  ServerLoad own;
  ServerLoad peers;  // sum of what this node's peers reported: of its zone, or on a small site all of them
  ServerLoad other_zones;
  // A penalty that grows with each failure and decays exponentially.
  double failure_score = 0;
  absl::Time failure_scored_at = absl::InfinitePast();
  absl::Time ejected_until = absl::InfinitePast();
  uint32_t connect_failures = 0;  // consecutive
  // Until then the server is reserved for loading weights and receives no new requests.
  absl::Time loading_until = absl::InfinitePast();
  double latency_seconds = 0;  // from an attempt's start to the end of its response, smoothed; 0 if unknown

  ReportedCapability capability;  // reported by the owner of its occupancy
  // Of this incarnation; retained while its entry is removed and added again.
  std::shared_ptr<BackPressure> back_pressure = std::make_shared<BackPressure>();

  // The load reported by the owner of its occupancy, and this node's own load at that time.
  struct OwnerLoad {
    ServerLoad total;
    ServerLoad own;
    absl::Time received = absl::InfinitePast();
  };
  OwnerLoad owner_load;

  // The total load: from a recent report of the occupancy's owner, otherwise from the reports of peers.
  ServerLoad load(absl::Time now) const;
  void noteOwnerLoad(const ServerLoad& total, absl::Time now) { owner_load = {total, own, now}; }
  uint32_t running() const { return own.running + peers.running + other_zones.running; }
  uint64_t prefillTokens() const {
    return own.prefill_tokens + peers.prefill_tokens + other_zones.prefill_tokens;
  }
  double failureScore(absl::Time now) const;
  // The version of the server's software, or nullopt if it isn't proven.
  std::optional<SoftwareVersion> provenSoftware() const;
  // The version of the model's weights that the server has, or nullopt if unknown.
  std::optional<WeightsVersion> versionOf(const ModelName& model) const;
  // Whether the server is leaving or has left, so that no new request may reach it.
  bool isLeaving() const;
  // Whether a request that was assigned to this server may still be sent to it.
  bool mayReceive(absl::Time now) const;
  // Whether new requests may be assigned to this server.
  bool isEligible(absl::Time now) const;
};

// The effect of a list entry on the directory.
enum class EntryEffect : uint8_t {
  kNew,        // added a server with a new id
  kRestarted,  // replaced the known incarnation by a later one
  kKnown,      // updated the known incarnation
  kOutdated,   // ignored: of an earlier incarnation
};

// A peer's report of its own load at a server.
struct PeerLoad {
  uint64_t server = 0;  // its identity hash
  ServerLoad load;
};

// The subset of servers whose identity hash modulo `parts` equals `part`.
struct LoadShare {
  uint32_t part = 0;
  uint32_t parts = 1;

  bool holds(uint64_t server) const { return server % std::max<uint32_t>(parts, 1) == part; }
};

class ServerDirectory {
 public:
  using ServerPointer = std::shared_ptr<Server>;

  EntryEffect upsert(ServerEntry entry);
  // The server itself reported a later start time than the list has: adds a new incarnation with these models
  // and otherwise the properties of the earlier entry.
  void noteRestart(const Server& earlier, absl::Time started, std::vector<LoadedModel> models);
  // Records whether the entry can be parsed. Unknown ids are ignored.
  void setReadable(const std::string& id, bool is_readable);
  // The entry was deleted: the server receives no new requests.
  void remove(const std::string& id);
  // Ids of the known servers that are not in `ids`, the ids of a snapshot of the list.
  std::vector<std::string> missingFrom(const std::vector<std::string>& ids) const;

  ServerPointer find(const std::string& id) const;
  const std::vector<ServerPointer>& ofService(const ServiceName& service) const;
  const absl::btree_map<std::string, ServerPointer>& all() const { return servers_; }
  // Returns null if no server has this identity hash.
  ServerPointer findByHash(uint64_t identity_hash) const;
  // Returns null if the slot is free.
  ServerPointer bySlot(EngineNumber slot) const;

  // Records the version of a model that the server itself reported; within one incarnation versions only
  // rise. Returns whether the version is new.
  static bool noteVersion(Server& server, const ModelName& model, WeightsVersion version);
  static void noteConnectFailure(Server& server, absl::Time now);
  static void noteFailure(Server& server, double weight, absl::Time now);
  static void noteSuccess(Server& server, absl::Duration latency);
  // The address now belongs to another incarnation.
  static void noteAddressReassigned(Server& server, absl::Time now);

  // Replaces the last report of a peer for a share of the servers.
  void setPeerLoad(const NodeId& peer, const LoadShare& share, const std::vector<PeerLoad>& loads);
  void forgetPeerLoad(const NodeId& peer);
  // The same for the report of another zone.
  void setZoneLoad(const ZoneName& zone, const LoadShare& share, const std::vector<PeerLoad>& loads);
  void forgetZoneLoad(const ZoneName& zone);

  // Returns the slots freed since the last call: what is recorded for them is invalid.
  std::vector<EngineNumber> takeFreedSlots();

 private:
  static void noteListedSoftware(Server& server, const ServerEntry& entry);
  EngineNumber takeSlot();
  void add(ServerEntry entry);
  bool isOutdated(const ServerEntry& entry) const;
  void rememberStart(const ServerEntry& entry);
  void keepBackPressure(const Server& server);
  void restoreBackPressure(Server& server);
  void replaceLoad(std::vector<PeerLoad>& last, const LoadShare& share, const std::vector<PeerLoad>& loads,
                   ServerLoad Server::*sum);
  void addLoad(const std::vector<PeerLoad>& loads, bool add, ServerLoad Server::*sum);

  absl::btree_map<std::string, ServerPointer> servers_;
  // The latest start time of each id, also of removed servers. Holds at most kMaxRememberedStarts; the oldest
  // entries are evicted first.
  absl::flat_hash_map<std::string, absl::Time> last_starts_;
  std::deque<std::string> last_starts_order_;
  // Back pressure of removed servers by identity hash, since an entry may lapse during a store outage and
  // reappear. Bounded and evicted in the same way.
  absl::flat_hash_map<uint64_t, std::shared_ptr<BackPressure>> retained_back_pressure_;
  std::deque<uint64_t> retained_back_pressure_order_;
  absl::flat_hash_map<ServiceName, std::vector<ServerPointer>> by_service_;
  absl::flat_hash_map<uint64_t, ServerPointer> by_hash_;
  std::vector<ServerPointer> by_slot_;
  std::vector<EngineNumber> freed_;
  absl::flat_hash_map<NodeId, std::vector<PeerLoad>> peer_loads_;
  absl::flat_hash_map<ZoneName, std::vector<PeerLoad>> zone_loads_;
};

}  // namespace quincewick::forwarding
