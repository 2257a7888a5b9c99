// What this node knows of the servers: as listed, as their answers and failures correct it, and how much work
// this node and its peers have under way at each.
//
// A server's life is named by its id and its start, where it tells one: what was learnt of an earlier life is
// never used for a later one, and an earlier one never comes back. Slots are small numbers for the cache
// index; one is used again after its server went. Pure; `now` never goes back.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/back_pressure.h"
#include "forwarding/engine_capability.h"
#include "forwarding/server_entry.h"
#include "prefix/prefix_index.h"

namespace quincewick::forwarding {

using prefix::EngineNumber;

// Work under way at a server.
struct ServerLoad {
  uint32_t running = 0;         // requests sent and not ended
  uint64_t prefill_tokens = 0;  // of their prompts, still to be read
};

struct Server {
  ServerEntry entry;
  EngineNumber slot{};
  uint64_t identity_hash = 0;  // of this life, in all that nodes tell each other
  uint64_t home_hash = 0;      // of the id alone: a server that starts again is the home of the same chains
  bool is_listed = true;       // false: this life is over, only work under way keeps it here
  bool is_readable = true;     // false: its entry is there and can't be read, perhaps it tells of its leaving
  ServerLoad own;
  ServerLoad peers;  // of this node's zone, or all on a small site
  ServerLoad far;    // of other zones
  // A penalty that halves with time: grows with each failure.
  double failure_score = 0;
  absl::Time failure_scored_at = absl::InfinitePast();
  absl::Time ejected_until = absl::InfinitePast();
  uint32_t connect_failures = 0;                    // in a row
  absl::Time loading_until = absl::InfinitePast();  // it is to take new weights: nothing new is sent there
  double latency_seconds = 0;                       // of plain requests, smoothed; 0: not known

  ToldCapability capability;  // by the keeper of its books
  // Of this life, also while its entry comes and goes.
  std::shared_ptr<BackPressure> back_pressure = std::make_shared<BackPressure>();

  // What its books told is in hand there, and how much of it was this node's then.
  struct BookedLoad {
    ServerLoad in_hand;
    ServerLoad own;
    absl::Time told = absl::InfinitePast();
  };
  BookedLoad booked;

  // What is in hand: as the books told a moment ago, else as peers told.
  ServerLoad load(absl::Time now) const;
  void noteBooked(const ServerLoad& in_hand, absl::Time now) { booked = {in_hand, own, now}; }
  uint32_t running() const { return own.running + peers.running + far.running; }
  uint64_t prefillTokens() const { return own.prefill_tokens + peers.prefill_tokens + far.prefill_tokens; }
  double failureScore(absl::Time now) const;
  // The version of the model's weights that it has, as far as known.
  std::optional<WeightsVersion> versionOf(const ModelName& model) const;
  // It leaves or has left: nothing new may reach it.
  bool isLeaving() const;
  // Whether a request that was chosen for it may still be sent there.
  bool mayReceive(absl::Time now) const;
  bool takesWork(absl::Time now) const;
};

// What an entry of the list did to the directory.
enum class EntryEffect : uint8_t {
  kNew,        // of an id that was not there
  kRestarted,  // the server had started again: a new life in the old one's place
  kKnown,      // of the life that is known
  kOutdated,   // of an earlier life: passed over
};

// A peer's account of its own work at a server.
struct PeerLoad {
  uint64_t server = 0;  // its identity hash
  ServerLoad load;
};

// Of the servers, those whose hash leaves `part` when divided by `parts`.
struct LoadShare {
  uint32_t part = 0;
  uint32_t parts = 1;

  bool holds(uint64_t server) const { return server % std::max<uint32_t>(parts, 1) == part; }
};

class ServerDirectory {
 public:
  using ServerPointer = std::shared_ptr<Server>;

  EntryEffect upsert(ServerEntry entry);
  // The server itself told of a later start than the list: a new life, which holds these models and is else
  // as the list had it.
  void noteRestart(const Server& earlier, absl::Time started, std::vector<LoadedModel> models);
  // The entry can't be read, or can be again. Unknown ids are passed over.
  void setReadable(const std::string& id, bool is_readable);
  // The entry is gone: nothing new is sent there.
  void remove(const std::string& id);
  // Ids of all that are not in the list, as after a whole reading of it.
  std::vector<std::string> missingFrom(const std::vector<std::string>& ids) const;

  ServerPointer find(const std::string& id) const;
  const std::vector<ServerPointer>& ofService(const ServiceName& service) const;
  const absl::btree_map<std::string, ServerPointer>& all() const { return servers_; }
  // By its identity hash; null: there is none.
  ServerPointer findByHash(uint64_t identity_hash) const;
  // Of a slot in use; null: it is free.
  ServerPointer bySlot(EngineNumber slot) const;

  // The version of a model that the server told itself; versions of one start only rise. Returns whether it
  // is news.
  static bool noteVersion(Server& server, const ModelName& model, WeightsVersion version);
  static void noteConnectFailure(Server& server, absl::Time now);
  static void noteFailure(Server& server, double weight, absl::Time now);
  static void noteSuccess(Server& server, absl::Duration latency);
  // The address belongs to another start of a server now.
  static void noteReplaced(Server& server, absl::Time now);

  // Takes one peer's account of a share of the servers in place of its last one.
  void setPeerLoad(const NodeId& peer, const LoadShare& share, const std::vector<PeerLoad>& loads);
  void forgetPeerLoad(const NodeId& peer);
  // Takes another zone's account in the same way.
  void setFarLoad(const ZoneName& zone, const LoadShare& share, const std::vector<PeerLoad>& loads);
  void forgetFarLoad(const ZoneName& zone);

  // Slots whose servers went since the last call: what is believed of them is void.
  std::vector<EngineNumber> takeFreedSlots();

 private:
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
  // The latest start of each id, also of those that went; of so many ids at most, the first ones given up.
  absl::flat_hash_map<std::string, absl::Time> last_starts_;
  std::deque<std::string> last_starts_order_;
  // What servers that went had asked, by their identity hashes: an entry may lapse and come back with the
  // store. Of so many at most, the first ones given up.
  absl::flat_hash_map<uint64_t, std::shared_ptr<BackPressure>> kept_pressure_;
  std::deque<uint64_t> kept_pressure_order_;
  absl::flat_hash_map<ServiceName, std::vector<ServerPointer>> by_service_;
  absl::flat_hash_map<uint64_t, ServerPointer> by_hash_;
  std::vector<ServerPointer> by_slot_;
  std::vector<EngineNumber> freed_;
  absl::flat_hash_map<NodeId, std::vector<PeerLoad>> peer_loads_;
  absl::flat_hash_map<ZoneName, std::vector<PeerLoad>> far_loads_;
};

}  // namespace quincewick::forwarding
