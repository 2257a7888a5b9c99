// The site's weight store: loads slow down when too many run at once.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace quincewick::emulator {

struct WeightLoaderSettings {
  absl::Duration load_time = absl::Milliseconds(600);  // of one load, undisturbed
  uint32_t full_speed_loads = 2;                       // more at once share the bandwidth of this many

  friend bool operator==(const WeightLoaderSettings&, const WeightLoaderSettings&) = default;
};

// Shared by all engines of a site. Loads in progress all run at one rate. Not thread-safe.
class WeightLoaderModel {
 public:
  explicit WeightLoaderModel(WeightLoaderSettings settings) : settings_(settings) {}

  // Begins a load, named by the caller.
  void begin(uint64_t load, absl::Time now);
  // Drops a load, as when its engine dies.
  void abandon(uint64_t load, absl::Time now);
  // The loads that are done by `now`, in order of completion; each is told once.
  std::vector<uint64_t> takeFinished(absl::Time now);
  // When the next load will be done if none begins; infinite if none runs.
  absl::Time nextWakeup() const;

 private:
  struct Load {
    uint64_t id = 0;
    absl::Duration left;
  };

  double rate() const;
  void advance(absl::Time now);

  WeightLoaderSettings settings_;
  absl::Time clock_ = absl::UnixEpoch();
  std::vector<Load> running_;
  std::vector<uint64_t> finished_;
};

}  // namespace quincewick::emulator
