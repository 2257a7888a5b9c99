#include "forwarding/weights_register.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// What a gateway does about a request takes effect at the engine within this time.
constexpr absl::Duration kMessageTime = absl::Milliseconds(250);
constexpr absl::Duration kPreferenceMargin = absl::Milliseconds(1550);
// From a certain time after a version was named, work on older versions is worth less. This is that time
// minus the time that a request takes to reach an engine.
constexpr absl::Duration kFullValueTime = absl::Milliseconds(1300);
constexpr size_t kMaxVersions = 16;

}  // namespace

bool WeightsRegister::note(const NamedWeights& weights, absl::Time named) {
  auto& versions = versions_[weights.model];
  const auto place = std::find_if(versions.begin(), versions.end(),
                                  [&weights](const auto& known) { return known.first >= weights.version; });
  if (place != versions.end() && place->first == weights.version) {
    place->second = std::min(place->second, named);
    return false;
  }
  const bool is_newest = place == versions.end();
  versions.emplace(place, weights.version, named);
  if (versions.size() > kMaxVersions) {
    versions.erase(versions.begin());
  }
  return is_newest;
}

WeightsVersion WeightsRegister::newest(const ModelName& model) const {
  const auto found = versions_.find(model);
  return found == versions_.end() ? WeightsVersion() : found->second.back().first;
}

WeightsVersion WeightsRegister::required(const ModelName& model, absl::Time begins) const {
  return namedBefore(model, begins + kMessageTime - in_force_);
}

WeightsVersion WeightsRegister::preferred(const ModelName& model, absl::Time now) const {
  return required(model, now + kPreferenceMargin);
}

WeightsVersion WeightsRegister::wanted(const ModelName& model, absl::Time now) const {
  return namedBefore(model, now - kFullValueTime);
}

// The newest version that was named at or before `time`.
WeightsVersion WeightsRegister::namedBefore(const ModelName& model, absl::Time time) const {
  WeightsVersion newest;
  const auto found = versions_.find(model);
  if (found != versions_.end()) {
    for (const auto& [version, named] : found->second) {
      if (named <= time) {
        newest = version;
      }
    }
  }
  return newest;
}

absl::Time WeightsRegister::namedAt(const ModelName& model, WeightsVersion version) const {
  const auto found = versions_.find(model);
  if (found != versions_.end()) {
    for (const auto& [known, named] : found->second) {
      if (known == version) {
        return named;
      }
    }
  }
  return absl::InfiniteFuture();
}

absl::Time WeightsRegister::deadlineOf(const ModelName& model, WeightsVersion version) const {
  const auto found = versions_.find(model);
  if (found != versions_.end()) {
    for (const auto& [known, named] : found->second) {
      if (known > version) {
        return named + in_force_ - kMessageTime;
      }
    }
  }
  return absl::InfiniteFuture();
}

absl::Time WeightsRegister::provenDeadlineOf(const ModelName& model, WeightsVersion version,
                                             absl::Time confirmed) const {
  return std::min(deadlineOf(model, version), confirmed + in_force_ - kMessageTime);
}

}  // namespace quincewick::forwarding
