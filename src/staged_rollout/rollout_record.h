// Rollout record of one service's software versions: a row of the store that outlives its writer.
//
// Requests go to servers of the base version. While a rollout runs, a part of them goes to servers of the
// target version. At the end the target either becomes the base or gets no requests.
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
  kSettled = 0,    // no rollout was ever requested
  kWatching = 1,   // the target gets a small share and is judged
  kMoving = 2,     // the target was found good; its share rises step by step
  kFinishing = 3,  // the base gets no new requests; gateways confirm that none of theirs runs there
  kCompleted = 4,
  kRolledBack = 5,
};

std::string_view nameOf(RolloutStage stage);

struct RolloutRecord {
  ServiceName service;
  SoftwareVersion base;
  SoftwareVersion target;  // of the last rollout; empty if there was none
  RolloutStage stage = RolloutStage::kSettled;
  double share = 0;            // fraction of the requests that the target gets while moving
  uint64_t request_row = 0;    // the store's version of the operator's row that this record implements
  absl::Duration began;        // by the store's clock, like the times below
  absl::Duration deadline;     // of the rollout
  absl::Duration stage_began;  // of the stage or, while moving, of the step
  // From this time on, gateways that receive no updates of the rollout send nothing to the base.
  absl::Duration base_until;
  Epoch fence;                 // fencing token of the lease under which it was written
  uint64_t bad_responses = 0;  // of the target, as known when it was written

  bool isRunning() const {
    return stage == RolloutStage::kWatching || stage == RolloutStage::kMoving ||
           stage == RolloutStage::kFinishing;
  }

  // Whether both records belong to one rollout. A repeated request for the running target has another row,
  // but earlier responses of the target still count.
  bool isSameRollout(const RolloutRecord& other) const {
    return base == other.base && target == other.target && began == other.began;
  }

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

// Encoded by cereal; the format version comes first.
std::string encodeRecord(const RolloutRecord& record);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for an unknown format version.
Result<RolloutRecord> decodeRecord(std::string_view bytes);

}  // namespace quincewick::staged_rollout
