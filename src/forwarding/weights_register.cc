#include "forwarding/weights_register.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// A version is learnt of some time after it was named.
constexpr absl::Duration kLearningMargin = absl::Milliseconds(600);
// A request may wait at a full engine before it begins.
constexpr absl::Duration kQueueMargin = absl::Milliseconds(400);
constexpr absl::Duration kPreferenceMargin = absl::Milliseconds(1200);
constexpr size_t kVersionsKept = 16;

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
  if (versions.size() > kVersionsKept) {
    versions.erase(versions.begin());
  }
  return is_newest;
}

WeightsVersion WeightsRegister::newest(const ModelName& model) const {
  const auto found = versions_.find(model);
  return found == versions_.end() ? WeightsVersion() : found->second.back().first;
}

WeightsVersion WeightsRegister::required(const ModelName& model, absl::Time now) const {
  return dueAt(model, now + kQueueMargin);
}

WeightsVersion WeightsRegister::preferred(const ModelName& model, absl::Time now) const {
  return dueAt(model, now + kPreferenceMargin);
}

WeightsVersion WeightsRegister::dueAt(const ModelName& model, absl::Time now) const {
  WeightsVersion required;
  const auto found = versions_.find(model);
  if (found != versions_.end()) {
    for (const auto& [version, learnt] : found->second) {
      if (now >= learnt + in_force_ - kLearningMargin) {
        required = version;
      }
    }
  }
  return required;
}

absl::Time WeightsRegister::deadlineOf(const ModelName& model, WeightsVersion version) const {
  const auto found = versions_.find(model);
  if (found != versions_.end()) {
    for (const auto& [named, learnt] : found->second) {
      if (named > version) {
        return learnt + in_force_ - kLearningMargin;
      }
    }
  }
  return absl::InfiniteFuture();
}

}  // namespace quincewick::forwarding
