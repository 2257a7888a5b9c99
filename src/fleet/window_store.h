// The leader's window in the table: the engines that may have orders in progress.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "fleet/records.h"
#include "types/platform.h"

namespace quincewick::fleet {

// One tenure of one leader. Every write needs the version left by the last one, so a leader whose window was
// taken over can't write. Pure; the owner serialises the calls. At most one call is in flight.
class WindowStore {
 public:
  WindowStore(WindowRecord stored, uint64_t version) : stored_(std::move(stored)), version_(version) {}

  bool isBusy() const { return in_flight_ || is_stale_; }
  // Begins to write; not while busy. The engines count as stored only once stored() shows them.
  PlatformRequest write(std::vector<BackEndId> engines);
  // After a write whose outcome is unknown: reads the window back.
  std::optional<PlatformRequest> nextCall(absl::Time now);
  void takeResult(const std::optional<PlatformResult>& result, absl::Time now);

  const WindowRecord& stored() const { return stored_; }
  // Another leader has taken the window over.
  bool isLost() const { return is_lost_; }
  absl::Time nextWakeup() const { return is_stale_ && !in_flight_ ? next_call_ : absl::InfiniteFuture(); }

 private:
  void takeItem(const TableItem& item);

  WindowRecord stored_;
  uint64_t version_;
  WindowRecord attempt_;
  uint64_t writes_ = 0;
  bool in_flight_ = false;
  bool is_stale_ = false;
  bool is_lost_ = false;
  absl::Time next_call_ = absl::InfinitePast();
};

}  // namespace quincewick::fleet
