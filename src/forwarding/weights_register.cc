#include "forwarding/weights_register.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// A version is learnt of some time after it was named.
constexpr absl::Duration kLearningMargin = absl::Milliseconds(1200);
constexpr size_t kVersionsKept = 16;

}  // namespace

bool WeightsRegister::note(const NamedWeights& weights, absl::Time now) {
  auto& versions = versions_[weights.model];
  if (!versions.empty() && weights.version <= versions.back().first) {
    return false;
  }
  versions.emplace_back(weights.version, now);
  if (versions.size() > kVersionsKept) {
    versions.erase(versions.begin());
  }
  return true;
}

WeightsVersion WeightsRegister::newest(const ModelName& model) const {
  const auto found = versions_.find(model);
  return found == versions_.end() ? WeightsVersion() : found->second.back().first;
}

WeightsVersion WeightsRegister::required(const ModelName& model, absl::Time now) const {
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
