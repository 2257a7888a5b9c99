#include "fleet/rollout_targets.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>

namespace quincewick::fleet {
namespace {

bool hasModel(const BackEnd& back_end, const ModelName& model) {
  return std::any_of(back_end.models.begin(), back_end.models.end(),
                     [&](const LoadedModel& loaded) { return loaded.model == model; });
}

bool holdsAdapter(const BackEnd& back_end, const ModelName& model, const AdapterName& adapter) {
  return std::any_of(back_end.models.begin(), back_end.models.end(), [&](const LoadedModel& loaded) {
    return loaded.model == model &&
           std::find(loaded.adapters.begin(), loaded.adapters.end(), adapter) != loaded.adapters.end();
  });
}

}  // namespace

void RolloutTargets::setRecord(const RolloutRecord& record, const BackEndTracker& tracker) {
  const bool is_new_target = record.kind != record_.kind || record.model != record_.model ||
                             record.target != record_.target || record.adapter != record_.adapter ||
                             record.role != record_.role;
  record_ = record;
  if (!is_new_target) {
    return;
  }
  roles_set_.clear();
  while (!shares_.empty()) {
    dropShare(BackEndId(shares_.begin()->first));
  }
  for (const auto& [id, tracked] : tracker.all()) {
    setShare(id, shareOf(tracked));
  }
}

void RolloutTargets::note(const BackEndId& id, const BackEndTracker& tracker) {
  const TrackedBackEnd* tracked = tracker.find(id);
  if (tracked == nullptr) {
    dropShare(id);
    return;
  }
  setShare(id, shareOf(*tracked));
}

void RolloutTargets::noteRoleSet(const BackEnd& back_end, const BackEndTracker& tracker) {
  roles_set_.insert({back_end.id, back_end.incarnation});
  note(back_end.id, tracker);
}

RolloutTargets::Share RolloutTargets::shareOf(const TrackedBackEnd& tracked) const {
  const BackEnd& back_end = tracked.back_end;
  Share share;
  share.zone = back_end.zone;
  const std::optional<std::string_view> label = back_end.labels.get("model");
  // One that this node has heard nothing of may serve the model: it counts, so that a leader that has just
  // started does not take the floor for lower than it is.
  const bool is_unknown = !label && tracked.heard == absl::InfinitePast();
  const bool serves =
      is_unknown || hasModel(back_end, record_.model) || (label && *label == record_.model.value());
  if (back_end.kind != BackEndKind::kEngine || record_.model.empty() || !serves || tracked.leaving) {
    return share;
  }
  share.capacity = tracked.listed || tracked.has_answered;
  share.ready = back_end.state == BackEndState::kReady;
  const bool answers = share.ready || back_end.state == BackEndState::kDraining;
  share.remaining = answers && !isAtTarget(back_end);
  return share;
}

void RolloutTargets::setShare(const BackEndId& id, const Share& share) {
  dropShare(id);
  if (!share.capacity) {
    return;
  }
  ++capacity_;
  ready_ += share.ready ? 1 : 0;
  if (share.remaining) {
    ++remaining_;
    remaining_by_zone_[share.zone].insert(id);
  }
  shares_[id] = share;
}

void RolloutTargets::dropShare(const BackEndId& id) {
  const auto entry = shares_.find(id);
  if (entry == shares_.end()) {
    return;
  }
  const Share& share = entry->second;
  --capacity_;
  ready_ -= share.ready ? 1 : 0;
  if (share.remaining) {
    --remaining_;
    remaining_by_zone_[share.zone].erase(id);
  }
  shares_.erase(entry);
}

bool RolloutTargets::isAtTarget(const BackEnd& back_end) const {
  switch (record_.kind) {
    case RolloutKind::kWeights:
      return holdsVersion(back_end, record_.model, record_.target);
    case RolloutKind::kAdapter:
      return holdsAdapter(back_end, record_.model, record_.adapter);
    case RolloutKind::kRole:
      return roles_set_.contains({back_end.id, back_end.incarnation});
  }
  return true;
}

bool RolloutTargets::isReady(const BackEndId& id) const {
  const auto entry = shares_.find(id);
  return entry != shares_.end() && entry->second.ready;
}

uint32_t RolloutTargets::readyFloor() const {
  return static_cast<uint32_t>(std::ceil(record_.minimum_ready_share * capacity_));
}

}  // namespace quincewick::fleet
