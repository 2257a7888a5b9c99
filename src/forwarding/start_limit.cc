#include "forwarding/start_limit.h"

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kLeastExpectedWait = absl::Milliseconds(400);
constexpr double kExpectedDeviations = 1;
// The request may wait so long for a new connection after its deadline was written.
constexpr absl::Duration kConnectTime = absl::Milliseconds(250);
constexpr absl::Duration kRefusalTime = absl::Milliseconds(100);
constexpr absl::Duration kMinCheckInterval = absl::Milliseconds(100);

}  // namespace

absl::Duration EngineWaits::expected(bool yields, absl::Duration in_force) const {
  const absl::Duration wait = std::max(of(yields).upper(kExpectedDeviations), kLeastExpectedWait);
  return std::min(wait, in_force / 2);
}

absl::Time deadlineAtEngine(const StartTerms& terms, const EngineWaits& waits) {
  const absl::Time ends = terms.begin_by - kConnectTime;
  const bool ends_with_bound = !terms.shows_begin || waits.outlastRuns(terms.yields);
  return ends_with_bound ? std::min(terms.deadline, ends) : terms.deadline;
}

bool isStartOverdue(absl::Time now, absl::Time weights_end) {
  return now >= weights_end + kRefusalTime;
}

absl::Time nextStartCheck(absl::Time now, absl::Time begin_by) {
  return std::max(begin_by + kRefusalTime, now + kMinCheckInterval);
}

}  // namespace quincewick::forwarding
