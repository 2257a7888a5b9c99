// Which software version began a stream, over all gateways: a caller may take its stream up again at any of
// them, and it may go on at this version alone. Each gateway runs one instance, which records the streams
// that begin through it, asks for those that are taken up, and holds records of others. Pure: events and the
// time in, messages and results out; `now` never goes back.
//
// A record is held by the gateway that made it and by kHolders others, the first by rendezvous hashing that
// aren't silent. What a lookup finds is right whoever is dead, cut off or late, as a record is never made
// from anything but a forwarded event; what it doesn't find may exist elsewhere. A record that too few
// gateways acknowledge, or that is made while a quarter is silent, is also to be kept in the store.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "forwarding/stream_origin_messages.h"
#include "routing/keeper_ranks.h"

namespace quincewick::forwarding {

// The result of a lookup.
struct StreamLookup {
  uint64_t number = 0;  // as returned by `find`
  // Nothing: no gateway that answered has a record of the stream.
  std::optional<StreamOrigin> origin;
  // The stream's records name different versions: it may go on nowhere.
  bool is_contradictory = false;
};

struct StreamOriginActions {
  struct Outgoing {
    NodeId to;
    StreamOriginMessage message;
  };
  std::vector<Outgoing> messages;
  std::vector<StreamLookup> lookups;   // that ended
  std::vector<StreamRecord> to_store;  // records that the store is to keep too
};

class StreamOrigins {
 public:
  // Other gateways that hold a record.
  static constexpr size_t kHolders = 3;
  // Longest time for which a record is held.
  static constexpr absl::Duration kMaxLifetime = absl::Seconds(60);
  // Attempt ids longer than this, in bytes, are neither recorded nor found.
  static constexpr size_t kMaxAttemptIdBytes = 128;

  // `first_number`: different at each start.
  StreamOrigins(NodeId self, uint64_t first_number) : self_(std::move(self)), last_number_(first_number) {}

  // All gateways of the site, including this one and those that are down. Before the first call records go to
  // the store, and lookups wait for a moment.
  void setMembers(const std::vector<routing::KeeperMember>& members);

  // An event of the stream was forwarded. `lifetime`: how long a caller may take it up.
  void record(const StreamRecord& record, absl::Duration lifetime, absl::Time now,
              StreamOriginActions& actions);
  // Has the store keep the records that were made here of the service's streams.
  void keepOwnInStore(const ServiceName& service, absl::Time now, StreamOriginActions& actions) const;
  // Looks up the origin of a stream. Exactly one result follows, at once or soon, unless it is cancelled.
  uint64_t find(const StreamKey& key, absl::Time now, StreamOriginActions& actions);
  void cancel(uint64_t number) { questions_.erase(number); }

  void onMessage(const NodeId& from, const StreamOriginMessage& message, absl::Time now,
                 StreamOriginActions& actions);
  // Handles gateways that don't respond and records that expire.
  void onTick(absl::Time now, StreamOriginActions& actions);
  // When the next onTick is due.
  absl::Time nextWakeup() const;

  size_t recordCount() const { return records_.size(); }

 private:
  struct HeldRecord {
    StreamOrigin origin;
    bool is_contradictory = false;
    absl::Time expires;
    bool is_own = false;  // made here
  };
  // A record that is being given to holders.
  struct Delivery {
    StreamRecord record;
    absl::Time expires;
    std::vector<NodeId> candidates;  // in order, the first of them are the holders so far
    size_t asked = 0;                // candidates that were sent the record
    std::vector<NodeId> unacknowledged;
    uint32_t tries = 0;
    absl::Time due;
    bool is_in_store = false;
  };
  struct Question {
    StreamKey key;
    std::vector<NodeId> unanswered;
    uint32_t tries = 0;
    absl::Time due;
  };

  void hold(const StreamRecord& record, bool is_own, absl::Time expires);
  const HeldRecord* heldRecord(const StreamKey& key, absl::Time now) const;
  // The gateways for the stream's records in order, without this one.
  std::vector<NodeId> candidatesFor(const StreamKey& key);
  bool isSilent(const NodeId& id, absl::Time now) const;
  bool mayBePartitioned() const;
  void askHolders(uint64_t number, Question& question, absl::Time now, StreamOriginActions& actions);
  void deliverTo(uint64_t number, Delivery& delivery, const NodeId& holder, absl::Time now,
                 StreamOriginActions& actions);
  void addHolders(uint64_t number, Delivery& delivery, size_t count, absl::Time now,
                  StreamOriginActions& actions);
  void keepInStore(Delivery& delivery, StreamOriginActions& actions);
  // Sends a due record again, or passes over the holders that don't acknowledge it. Returns false if it is
  // done.
  bool retryDelivery(uint64_t number, Delivery& delivery, absl::Time now, StreamOriginActions& actions);
  bool retryQuestion(uint64_t number, Question& question, absl::Time now, StreamOriginActions& actions);
  void handleAnswer(const NodeId& from, const StreamOriginMessage& message, StreamOriginActions& actions);
  StreamOriginMessage answerTo(const StreamOriginMessage& question, absl::Time now) const;
  void dropExpired(absl::Time now);

  NodeId self_;
  uint64_t last_number_;
  routing::KeeperRanks ranks_;
  bool knows_members_ = false;
  absl::flat_hash_map<StreamKey, HeldRecord> records_;
  absl::btree_multimap<absl::Time, StreamKey> expiries_;  // of the records
  absl::btree_map<uint64_t, Delivery> deliveries_;        // by number
  absl::btree_map<uint64_t, Question> questions_;         // by number
  absl::btree_map<NodeId, absl::Time> silent_;  // gateways that don't respond, and when to try again
};

}  // namespace quincewick::forwarding
