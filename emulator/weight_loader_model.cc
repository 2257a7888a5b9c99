#include "emulator/weight_loader_model.h"

#include <algorithm>
#include <utility>

namespace quincewick::emulator {

double WeightLoaderModel::rate() const {
  const auto running = static_cast<double>(running_.size());
  return std::min(1.0, settings_.full_speed_loads / std::max(running, 1.0));
}

void WeightLoaderModel::advance(absl::Time now) {
  while (nextWakeup() <= now) {
    const absl::Time due = nextWakeup();
    const absl::Duration done = (due - clock_) * rate();
    clock_ = due;
    const auto is_finished = [&](Load& load) {
      load.left -= done;
      // Division by the rate is rounded: a remainder of a microsecond counts as done.
      if (load.left > absl::Microseconds(1)) {
        return false;
      }
      finished_.push_back(load.id);
      return true;
    };
    running_.erase(std::remove_if(running_.begin(), running_.end(), is_finished), running_.end());
  }
  if (now > clock_) {
    for (Load& load : running_) {
      load.left -= (now - clock_) * rate();
    }
    clock_ = now;
  }
}

void WeightLoaderModel::begin(uint64_t load, absl::Time now) {
  advance(now);
  running_.push_back(Load{load, settings_.load_time});
}

void WeightLoaderModel::abandon(uint64_t load, absl::Time now) {
  advance(now);
  running_.erase(
      std::remove_if(running_.begin(), running_.end(), [&](const Load& entry) { return entry.id == load; }),
      running_.end());
}

std::vector<uint64_t> WeightLoaderModel::takeFinished(absl::Time now) {
  advance(now);
  return std::exchange(finished_, {});
}

absl::Time WeightLoaderModel::nextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const Load& load : running_) {
    next = std::min(next, clock_ + std::max(load.left, absl::ZeroDuration()) / rate());
  }
  return next;
}

}  // namespace quincewick::emulator
