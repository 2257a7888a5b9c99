// The platform's list of machines, which lags behind the truth.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <vector>

#include "types/platform.h"

namespace quincewick::emulator {

// Shows each list `lag` after it was set. Not thread-safe.
class MachineListModel {
 public:
  explicit MachineListModel(absl::Duration lag) : lag_(lag) {}

  // The machines as they are from `now` on. The first list shows at once.
  void setMachines(std::vector<Machine> machines, absl::Time now);

  // The list that shows at `now`; never null.
  std::shared_ptr<const MachineList> read(absl::Time now);

 private:
  struct Dated {
    absl::Time shows_at;
    std::shared_ptr<const MachineList> list;
  };

  absl::Duration lag_;
  std::shared_ptr<const MachineList> shown_ = std::make_shared<MachineList>();
  std::deque<Dated> coming_;
  bool first_ = true;
};

}  // namespace quincewick::emulator
