#include "forwarding/weights_register.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Gateways learn of a version some time after it was named.
constexpr absl::Duration kPropagationMargin = absl::Milliseconds(600);
// A request may wait at a full engine before it begins.
constexpr absl::Duration kQueueMargin = absl::Milliseconds(400);
constexpr absl::Duration kPreferenceMargin = absl::Milliseconds(1200);
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

WeightsVersion WeightsRegister::required(const ModelName& model, absl::Time now) const {
  return namedBefore(model, now + kQueueMargin + kPropagationMargin - in_force_);
}

WeightsVersion WeightsRegister::preferred(const ModelName& model, absl::Time now) const {
  return namedBefore(model, now + kPreferenceMargin + kPropagationMargin - in_force_);
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
        return named + in_force_ - kPropagationMargin;
      }
    }
  }
  return absl::InfiniteFuture();
}

}  // namespace quincewick::forwarding
