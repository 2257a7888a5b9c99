#include "fleet/back_end_tracker.h"

#include <algorithm>

namespace quincewick::fleet {
namespace {

std::optional<BackEndKind> backEndKind(MachineKind kind) {
  switch (kind) {
    case MachineKind::kNode:
      return std::nullopt;
    case MachineKind::kEngine:
      return BackEndKind::kEngine;
    case MachineKind::kActionServer:
      return BackEndKind::kActionServer;
    case MachineKind::kCacheStore:
      return BackEndKind::kCacheStore;
  }
  return std::nullopt;
}

// The back end's process answered, as far as the publisher knew.
bool isLive(BackEndState state) {
  return state != BackEndState::kGone && state != BackEndState::kStarting;
}

bool takeMachine(TrackedBackEnd& tracked, const Machine& machine, BackEndKind kind) {
  BackEnd& back_end = tracked.back_end;
  const bool is_same = tracked.listed && back_end.address == machine.address &&
                       back_end.labels == machine.labels && back_end.zone == machine.zone;
  back_end.id = BackEndId(machine.id);
  back_end.kind = kind;
  back_end.zone = machine.zone;
  back_end.address = machine.address;
  back_end.labels = machine.labels;
  tracked.listed = true;
  // The list lags: once leaving, only a new process of this name takes that back.
  tracked.leaving = tracked.leaving || machine.leaving;
  return !is_same;
}

}  // namespace

bool holdsVersion(const BackEnd& back_end, const ModelName& model, WeightsVersion version) {
  return std::any_of(back_end.models.begin(), back_end.models.end(), [&](const LoadedModel& loaded) {
    return loaded.model == model && loaded.weights_version == version;
  });
}

std::vector<BackEndId> BackEndTracker::takeList(const MachineList& list, absl::Time now) {
  absl::btree_set<BackEndId> listed;
  absl::btree_set<BackEndId> changed;
  for (const Machine& machine : list.machines) {
    const std::optional<BackEndKind> kind = backEndKind(machine.kind);
    if (!kind) {
      continue;
    }
    const BackEndId id(machine.id);
    listed.insert(id);
    TrackedBackEnd& tracked = back_ends_[id];
    const bool moved = takeMachine(tracked, machine, *kind);
    if (settle(tracked) || moved) {
      changed.insert(id);
    }
  }
  for (auto& [id, tracked] : back_ends_) {
    if (tracked.listed && !listed.contains(id)) {
      tracked.listed = false;
      tracked.missing_since = now;
      unlisted_.insert(id);
    }
  }
  return {changed.begin(), changed.end()};
}

std::vector<BackEndId> BackEndTracker::takeAnswer(const BackEndId& id, const BackEndAnswer& answer,
                                                  absl::Time now) {
  const auto entry = back_ends_.find(id);
  if (entry == back_ends_.end() || answer.incarnation < entry->second.back_end.incarnation) {
    return {};
  }
  TrackedBackEnd& tracked = entry->second;
  const bool has_news = takeFacts(tracked, answer, now);
  return settle(tracked) || has_news ? std::vector<BackEndId>{id} : std::vector<BackEndId>{};
}

std::vector<BackEndId> BackEndTracker::takeStatus(const BackEndStatus& status, absl::Time now) {
  const auto entry = back_ends_.find(status.id);
  if (entry == back_ends_.end()) {
    return {};  // not listed here yet: its owner publishes again with the next change, and queries answer
  }
  TrackedBackEnd& tracked = entry->second;
  const auto known = std::pair(tracked.back_end.incarnation, tracked.revision);
  const auto told = std::pair(status.answer.incarnation, status.revision);
  if (told < known) {
    return {};
  }
  if (told == known) {
    return takeRepeat(tracked, status, now) ? std::vector<BackEndId>{status.id} : std::vector<BackEndId>{};
  }
  bool has_news = takeFacts(tracked, status.answer, now);
  tracked.revision = status.revision;
  tracked.leaving = tracked.leaving || status.state == BackEndState::kLeaving;
  if (!isLive(status.state)) {
    tracked.has_answered = false;
    has_news = true;
  }
  return settle(tracked) || has_news ? std::vector<BackEndId>{status.id} : std::vector<BackEndId>{};
}

bool BackEndTracker::takeRepeat(TrackedBackEnd& tracked, const BackEndStatus& status, absl::Time now) {
  if (!isLive(status.state)) {
    return false;
  }
  tracked.heard = now;
  tracked.has_answered = true;
  return settle(tracked);
}

bool BackEndTracker::isOutdated(const BackEndStatus& status) const {
  const TrackedBackEnd* tracked = find(status.id);
  return tracked != nullptr && std::pair(status.answer.incarnation, status.revision) <
                                   std::pair(tracked->back_end.incarnation, tracked->revision);
}

std::vector<BackEndId> BackEndTracker::expire(const absl::btree_set<BackEndId>& owned,
                                              absl::Duration others_limit, absl::Time now) {
  std::vector<BackEndId> changed;
  for (auto& [id, tracked] : back_ends_) {
    const absl::Duration limit = owned.contains(id) ? settings_.silence_limit : others_limit;
    if (tracked.has_answered && now - tracked.heard > limit) {
      tracked.has_answered = false;
      settle(tracked);
      changed.push_back(id);
    }
  }
  for (auto entry = unlisted_.begin(); entry != unlisted_.end();) {
    const TrackedBackEnd& tracked = back_ends_.at(*entry);
    const bool answers = tracked.has_answered && !tracked.leaving;
    const bool is_listed = tracked.listed;
    const bool is_forgotten =
        !is_listed && !answers && now - tracked.missing_since > settings_.unlisted_limit;
    if (is_forgotten) {
      changed.push_back(*entry);
      back_ends_.erase(*entry);
    }
    entry = is_forgotten || is_listed ? unlisted_.erase(entry) : std::next(entry);
  }
  std::sort(changed.begin(), changed.end());
  return changed;
}

const TrackedBackEnd* BackEndTracker::find(const BackEndId& id) const {
  const auto entry = back_ends_.find(id);
  return entry == back_ends_.end() ? nullptr : &entry->second;
}

void BackEndTracker::raiseRevision(const BackEndId& id) {
  const auto entry = back_ends_.find(id);
  if (entry != back_ends_.end()) {
    ++entry->second.revision;
  }
}

std::optional<BackEndStatus> BackEndTracker::status(const BackEndId& id) const {
  const auto entry = back_ends_.find(id);
  if (entry == back_ends_.end()) {
    return std::nullopt;
  }
  const TrackedBackEnd& tracked = entry->second;
  const BackEnd& back_end = tracked.back_end;
  return BackEndStatus{
      id, back_end.state, tracked.revision,
      BackEndAnswer{back_end.incarnation, back_end.models, tracked.in_flight, tracked.accepting}};
}

bool BackEndTracker::settle(TrackedBackEnd& tracked) {
  BackEndState state = BackEndState::kReady;
  if (tracked.leaving) {
    state = BackEndState::kLeaving;
  } else if (!tracked.has_answered) {
    const bool was_known = tracked.heard != absl::InfinitePast();
    state = was_known ? BackEndState::kGone : BackEndState::kStarting;
  } else if (!tracked.accepting) {
    state = BackEndState::kDraining;
  }
  const bool changed = tracked.back_end.state != state;
  tracked.back_end.state = state;
  return changed;
}

bool BackEndTracker::takeFacts(TrackedBackEnd& tracked, const BackEndAnswer& answer, absl::Time now) {
  BackEnd& back_end = tracked.back_end;
  const bool is_new_process = back_end.incarnation < answer.incarnation;
  const bool was_known = tracked.heard != absl::InfinitePast();
  if (is_new_process && was_known) {
    tracked.leaving = false;
    tracked.revision = 0;
  }
  const bool has_news = is_new_process || back_end.models != answer.models;
  back_end.incarnation = answer.incarnation;
  back_end.models = answer.models;
  tracked.in_flight = answer.in_flight;
  tracked.accepting = answer.accepting;
  tracked.has_answered = true;
  tracked.heard = now;
  return has_news;
}

}  // namespace quincewick::fleet
