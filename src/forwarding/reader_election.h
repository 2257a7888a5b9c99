// Election of the zone reader: which gateways of a zone read the store themselves, and which reader the
// others follow. A zone needs one reader; no lease enforces this, since a second reader does no harm and only
// costs calls.
//
// A gateway becomes a reader if no peer of its zone reports that it reads successfully; candidates step in
// one after the other, machines of greater capacity first. A reader yields to a better one that it receives
// reports of; a reader that gets no responses from the store follows any peer that does. A follower whose
// reader's rows are stale looks for another reader and uses the stale rows until it finds one: old rows are
// better than none. Performs no I/O; `now` never decreases.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::forwarding {

// A live peer of this node's zone.
struct ReaderCandidate {
  NodeId id;
  double capacity = 0;          // of its machine; the greater one has priority
  bool is_zone_reader = false;  // it reads the store, and its rows are recent
};

struct ReaderRole {
  bool reads = false;
  std::optional<NodeId> follows;  // nullopt while it reads, or waits for its turn to read

  friend bool operator==(const ReaderRole&, const ReaderRole&) = default;
};

class ReaderElection {
 public:
  ReaderElection(NodeId self, double capacity) : self_(std::move(self)), capacity_(capacity) {}

  // The age of the server list at which followers look for another reader. Leaving servers must be known
  // within `drain_bound`: half of it is for the read itself, the other half for finding another reader, its
  // first read, and the time that a request takes to reach its server.
  static absl::Duration maxServerListAge(absl::Duration drain_bound) { return drain_bound / 2; }

  // The same for the operator's rows. `bound`: the time within which a configuration must be in force.
  static absl::Duration maxConfigurationAge(absl::Duration bound);

  // `live`: the live peers of the zone. `store_answers`: whether this node's calls to the store succeed, as
  // far as known.
  const ReaderRole& decide(const std::vector<ReaderCandidate>& live, bool store_answers, absl::Time now);
  // Whether the rows of the followed reader, which are as of `as_of`, are older than `oldest` although it has
  // been followed for long enough to have responded.
  bool followsStaleReader(absl::Time as_of, absl::Duration oldest, absl::Time now) const;
  // The followed reader has stale rows: other readers are preferred for a moment.
  void noteStaleReader(const NodeId& reader, absl::Time now);
  // The followed reader does not respond: stops following it, and doesn't follow it again for a while, unless
  // it has been started again.
  void noteFailed(const NodeId& reader, absl::Time now);
  const ReaderRole& role() const { return role_; }
  // Whether, at the last decision, a peer reported that it reads successfully.
  bool hasZoneReader() const { return has_zone_reader_; }

 private:
  void follow(const NodeId& reader, absl::Time now);
  void noteIdle(const std::vector<ReaderCandidate>& live, absl::Time now);
  bool hasPriorityOver(const ReaderCandidate& left, const ReaderCandidate& right) const;
  bool isTrusted(const NodeId& reader, absl::Time now) const;

  NodeId self_;
  double capacity_;
  ReaderRole role_;
  bool has_zone_reader_ = false;
  absl::Time follows_since_ = absl::InfinitePast();
  absl::Time better_since_ = absl::InfiniteFuture();      // since when a better reader has been known
  absl::Time leaderless_since_ = absl::InfiniteFuture();  // since when no peer has read successfully
  absl::flat_hash_map<NodeId, absl::Time> failed_;        // until when each is not trusted
  absl::flat_hash_map<NodeId, absl::Time> last_idle_;     // when each live peer last didn't read
};

}  // namespace quincewick::forwarding
