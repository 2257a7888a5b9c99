// How long requests wait at engines before they begin, and until when a request may wait there
// (docs/design/weights_in_force.md). Performs no I/O.
#pragma once

#include <absl/time/time.h>

#include "forwarding/duration_estimate.h"

namespace quincewick::forwarding {

// What this node saw of the requests that it sent to engines.
class EngineWaits {
 public:
  // `yields`: the request waits behind all others.
  void noteBegun(absl::Duration waited, bool yields) { of(yields).note(waited); }
  void noteRun(absl::Duration ran) { runs_.note(ran); }

  // The time from a request's sending until it begins, rarely exceeded; at most half of `in_force`, the bound
  // of weights.
  absl::Duration expected(bool yields, absl::Duration in_force) const;
  // Whether requests spend more time waiting at engines than running there.
  bool outlastRuns(bool yields) const { return of(yields).mean() > runs_.mean(); }

 private:
  DurationEstimate& of(bool yields) { return yields ? yielding_ : urgent_; }
  const DurationEstimate& of(bool yields) const { return yields ? yielding_ : urgent_; }

  DurationEstimate urgent_{absl::Milliseconds(100)};
  DurationEstimate yielding_{absl::Milliseconds(500)};
  DurationEstimate runs_{absl::Milliseconds(500)};
};

// A request that is about to be sent to an engine.
struct StartTerms {
  absl::Time now;
  absl::Time deadline;  // of the request; InfiniteFuture: none
  absl::Time begin_by;  // when the engine's weights are past their bound; InfiniteFuture if never
  bool yields = false;
  bool shows_begin = true;  // false: its response shows only its end, so that nothing else bounds its begin
};

// The deadline that the engine gets: the engine doesn't begin a request afterwards, but also ends it if it
// runs.
absl::Time deadlineAtEngine(const StartTerms& terms, const EngineWaits& waits);

// Whether a request that has not begun is withdrawn from its engine. `weights_end`: the deadline of the
// engine's weights, as far as newer ones are known. The engine's refusal at the deadline that it got arrives
// earlier.
bool isStartOverdue(absl::Time now, absl::Time weights_end);

// When to check that. `begin_by`: the deadline of the engine's weights, also if newer ones may not be known
// yet.
absl::Time nextStartCheck(absl::Time now, absl::Time begin_by);

}  // namespace quincewick::forwarding
