#include "emulator/machine_list_model.h"

#include <utility>

namespace quincewick::emulator {

void MachineListModel::setMachines(std::vector<Machine> machines, absl::Time now) {
  const absl::Duration lag = first_ ? absl::ZeroDuration() : lag_;
  first_ = false;
  coming_.push_back(Dated{now + lag, std::make_shared<const MachineList>(MachineList{std::move(machines)})});
}

std::shared_ptr<const MachineList> MachineListModel::read(absl::Time now) {
  while (!coming_.empty() && coming_.front().shows_at <= now) {
    shown_ = std::move(coming_.front().list);
    coming_.pop_front();
  }
  return shown_;
}

}  // namespace quincewick::emulator
