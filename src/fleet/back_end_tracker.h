// The life cycle of every back end, from the platform's lagging list, the back ends' own answers and what
// other nodes publish of those that they own.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "types/back_end.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::fleet {

struct TrackerSettings {
  absl::Duration silence_limit = absl::Seconds(3);    // without an answer: gone, until it answers again
  absl::Duration unlisted_limit = absl::Seconds(10);  // neither listed nor answering: forgotten
};

// A back end's own answer to a query.
struct BackEndAnswer {
  Incarnation incarnation;
  std::vector<LoadedModel> models;
  uint32_t in_flight = 0;  // requests running and waiting there
  bool accepting = true;   // false: it drains
};

// What an owner publishes of a back end to the other nodes. The greater (incarnation, revision) wins.
struct BackEndStatus {
  BackEndId id;
  BackEndState state = BackEndState::kStarting;
  uint64_t revision = 0;
  BackEndAnswer answer;
};

// What this node knows of one back end.
struct TrackedBackEnd {
  BackEnd back_end;
  uint32_t in_flight = 0;
  uint64_t revision = 0;
  bool listed = false;
  bool leaving = false;
  bool accepting = true;
  bool has_answered = false;                        // this incarnation, to anybody
  absl::Time heard = absl::InfinitePast();          // last answer or publication of a live state
  absl::Time missing_since = absl::InfinitePast();  // no longer listed
};

// Pure; the owner serialises the calls. Each take...() returns the back ends whose state, incarnation or
// models changed, in the order of their identifiers.
class BackEndTracker {
 public:
  explicit BackEndTracker(TrackerSettings settings) : settings_(settings) {}

  // The platform's list, whole. One that stops being listed is kept while it answers.
  std::vector<BackEndId> takeList(const MachineList& list, absl::Time now);
  // A back end answered this node. Answers of an older incarnation are dropped.
  std::vector<BackEndId> takeAnswer(const BackEndId& id, const BackEndAnswer& answer, absl::Time now);
  // Another node published what it knows.
  std::vector<BackEndId> takeStatus(const BackEndStatus& status, absl::Time now);
  // True if this node knows later news of the same back end than the status.
  bool isOutdated(const BackEndStatus& status) const;
  // Those of `owned` that were silent too long, others whose owner was silent about them for `others_limit`,
  // and any that are neither listed nor answer.
  std::vector<BackEndId> expire(const absl::btree_set<BackEndId>& owned, absl::Duration others_limit,
                                absl::Time now);

  const TrackedBackEnd* find(const BackEndId& id) const;
  const absl::btree_map<BackEndId, TrackedBackEnd>& all() const { return back_ends_; }
  // Before a change is published.
  void raiseRevision(const BackEndId& id);
  // What to publish of a back end; nothing if it is unknown.
  std::optional<BackEndStatus> status(const BackEndId& id) const;

 private:
  // Sets the state that follows from the facts. True if it changed.
  static bool settle(TrackedBackEnd& tracked);
  // The same publication again: its owner still speaks for the back end.
  static bool takeRepeat(TrackedBackEnd& tracked, const BackEndStatus& status, absl::Time now);
  static bool takeFacts(TrackedBackEnd& tracked, const BackEndAnswer& answer, absl::Time now);

  TrackerSettings settings_;
  absl::btree_map<BackEndId, TrackedBackEnd> back_ends_;
  absl::btree_set<BackEndId> unlisted_;  // may hold some that are listed again
};

// True if the back end holds the model in this version.
bool holdsVersion(const BackEnd& back_end, const ModelName& model, WeightsVersion version);

}  // namespace quincewick::fleet
