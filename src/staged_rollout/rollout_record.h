// What a site keeps of the software versions of one service: a row of the store that outlives its writer.
//
// Requests go to servers of the base version. While a rollout runs, a part of them goes to servers of the
// target version; in the end the target is the base, or gets nothing.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "forwarding/site_configuration.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::staged_rollout {

using forwarding::ServiceName;

enum class RolloutStage : uint8_t {
  kSettled = 0,    // no rollout was ever asked for
  kWatching = 1,   // the target gets a small share, and is judged
  kMoving = 2,     // it was found good: its share rises step by step
  kFinishing = 3,  // the base gets nothing more; gateways confirm that nothing of theirs runs there
  kCompleted = 4,
  kRolledBack = 5,
};

std::string_view nameOf(RolloutStage stage);

struct RolloutRecord {
  ServiceName service;
  SoftwareVersion base;
  SoftwareVersion target;  // of the last rollout; empty: there was none
  RolloutStage stage = RolloutStage::kSettled;
  double share = 0;            // of the requests, for the target, while it moves
  uint64_t request_row = 0;    // the store's version of the operator's row that this answers
  absl::Duration began;        // by the store's clock, as the times below
  absl::Duration deadline;     // of the rollout
  absl::Duration stage_began;  // and, while it moves, the step
  // From then on the base gets nothing from a gateway that knows nothing new of the rollout.
  absl::Duration base_until;
  Epoch fence;                 // of the lease under which it was written
  uint64_t bad_responses = 0;  // of the target, that were known when it was written

  bool isRunning() const {
    return stage == RolloutStage::kWatching || stage == RolloutStage::kMoving ||
           stage == RolloutStage::kFinishing;
  }

  // Whether both are of one rollout. A request that comes again for the running target has another row, and
  // what was seen of the target before still counts.
  bool isSameRollout(const RolloutRecord& other) const {
    return base == other.base && target == other.target && began == other.began;
  }

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

// Encoded by cereal, with the form's number first.
std::string encodeRecord(const RolloutRecord& record);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for a later form than the one that is known.
Result<RolloutRecord> decodeRecord(std::string_view bytes);

}  // namespace quincewick::staged_rollout
