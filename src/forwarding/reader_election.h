// Which gateways of a zone read the store themselves, and whom the others follow: one reader a zone, with no
// lease, for two readers do no harm and cost only calls.
//
// A gateway reads when no peer of its zone is heard to read well; peers step in one after the other, the
// better machines first. A reader that hears a better one gives way; one that the store does not answer
// follows any that it does. Whose reader's rows are too old looks for another, and goes by them until it
// finds one: old rows are better than none. Pure; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::forwarding {

// A live peer of the own zone.
struct ReaderCandidate {
  NodeId id;
  double capacity = 0;  // of its machine; the greater reads first
  bool reads_well = false;
};

struct ReaderRole {
  bool reads = false;
  std::optional<NodeId> follows;  // nothing while it reads, or waits for its turn to

  friend bool operator==(const ReaderRole&, const ReaderRole&) = default;
};

class ReaderElection {
 public:
  ReaderElection(NodeId self, double capacity) : self_(std::move(self)), capacity_(capacity) {}

  // How old a table's rows may be before those who go by them look for another reader. Rows of leaving
  // servers must be known within a bound: half of it is for the reading itself, half for finding another
  // reader, its first reading, and a request's way to its server.
  static absl::Duration maxServerListAge(absl::Duration drain_bound) { return drain_bound / 2; }

  // The same of the operator's rows. `bound`: within which a configuration has to be in force.
  static absl::Duration maxConfigurationAge(absl::Duration bound);

  // `live`: peers of the zone. `store_answers`: the own calls of the store succeed, as far as known.
  const ReaderRole& decide(const std::vector<ReaderCandidate>& live, bool store_answers, absl::Time now);
  // Whether the reader that is followed has no fresh rows: they are as of too long ago, and it has been
  // followed for long enough to have answered.
  bool followsStaleReader(absl::Time as_of, absl::Duration oldest, absl::Time now) const;
  // The reader that was followed has rows that are too old: another one is better.
  void noteStaleReader(const NodeId& reader, absl::Time now);
  // The reader that was followed does not answer: it is left.
  void noteFailed(const NodeId& reader, absl::Time now);
  const ReaderRole& role() const { return role_; }
  // Whether a peer was heard to read well, as of the last decision.
  bool hearsReader() const { return hears_reader_; }

 private:
  void follow(const NodeId& reader, absl::Time now);
  bool hasPriorityOver(const ReaderCandidate& left, const ReaderCandidate& right) const;
  bool isTrusted(const NodeId& reader, absl::Time now) const;

  NodeId self_;
  double capacity_;
  ReaderRole role_;
  bool hears_reader_ = false;
  absl::Time follows_since_ = absl::InfinitePast();
  absl::Time better_since_ = absl::InfiniteFuture();      // a better reader is heard since then
  absl::Time leaderless_since_ = absl::InfiniteFuture();  // nobody is heard to read well
  absl::flat_hash_map<NodeId, absl::Time> failed_;        // not trusted until then
};

}  // namespace quincewick::forwarding
