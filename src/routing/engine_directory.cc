#include "routing/engine_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace quincewick::routing {
namespace {

// Weight of one answer in the moving average of the miss share.
constexpr double kMissShareWeight = 0.02;

uint64_t identityHash(const BackEndId& engine) {
  return XXH3_64bits(engine.value().data(), engine.value().size());
}

size_t position(Urgency urgency) {
  return static_cast<size_t>(urgency);
}

bool sameWeights(const BackEnd& left, const BackEnd& right) {
  const auto lacks_version = [&right](const LoadedModel& loaded) {
    return std::none_of(right.models.begin(), right.models.end(), [&](const LoadedModel& other) {
      return other.model == loaded.model && other.weights_version == loaded.weights_version;
    });
  };
  return std::none_of(left.models.begin(), left.models.end(), lacks_version);
}

void addTo(EnginePool& pool, EngineNumber engine, uint64_t identity_hash) {
  pool.engines.push_back(engine);
  pool.identity_hashes.push_back(identity_hash);
  pool.members.resize(std::max(pool.members.size(), static_cast<size_t>(engine) + 1));
  pool.members[static_cast<size_t>(engine)] = true;
}

}  // namespace

bool EnginePools::empty() const {
  return std::all_of(by_distance.begin(), by_distance.end(),
                     [](const EnginePool& pool) { return pool.engines.empty(); });
}

EngineDirectory::EngineDirectory(EngineDirectorySettings settings)
    : settings_(std::move(settings)),
      prefill_seconds_per_token_(absl::ToDoubleSeconds(settings_.cost.prefill_per_token)),
      distance_seconds_{0.0, absl::ToDoubleSeconds(settings_.zone_distance),
                        absl::ToDoubleSeconds(settings_.region_distance)} {}

EngineNumber EngineDirectory::allocate() {
  if (!free_.empty()) {
    const EngineNumber engine = free_.back();
    free_.pop_back();
    return engine;
  }
  states_.emplace_back();
  return static_cast<EngineNumber>(states_.size() - 1);
}

RegionName EngineDirectory::regionOf(const ZoneName& zone) const {
  const auto region = settings_.regions.find(zone);
  return region == settings_.regions.end() ? RegionName(zone.value()) : region->second;
}

size_t EngineDirectory::distanceClass(const ZoneName& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  return regionOf(zone) == regionOf(settings_.zone) ? 1 : 2;
}

std::optional<EngineDirectory::UpsertOutcome> EngineDirectory::upsert(const BackEnd& engine) {
  const auto known = slots_.find(engine.id);
  const bool is_new = known == slots_.end();
  if (is_new && slots_.size() == kMaximumEngines) {
    return std::nullopt;
  }
  const EngineNumber slot = is_new ? allocate() : known->second;
  State& state = at(slot);
  if (!is_new && engine.incarnation < state.back_end->incarnation) {
    return UpsertOutcome{slot, false};
  }
  const bool restarted = is_new || engine.incarnation != state.back_end->incarnation;
  const bool voided = restarted || !sameWeights(*state.back_end, engine);
  if (restarted) {
    clearWork(state);
  }
  if (is_new) {
    slots_.emplace(engine.id, slot);
    state.identity_hash = identityHash(engine.id);
    state.ejected = false;
  }
  state.distance = distanceClass(engine.zone);
  state.back_end = std::make_shared<const BackEnd>(engine);
  pools_.clear();
  return UpsertOutcome{slot, voided};
}

std::optional<EngineNumber> EngineDirectory::remove(const BackEndId& engine) {
  const auto known = slots_.find(engine);
  if (known == slots_.end()) {
    return std::nullopt;
  }
  const EngineNumber slot = known->second;
  slots_.erase(known);
  clearWork(at(slot));
  at(slot).back_end.reset();
  free_.push_back(slot);
  pools_.clear();
  return slot;
}

void EngineDirectory::clearWork(State& state) {
  for (const PendingPrefill& pending : state.pending) {
    pending_by_urgency_[position(pending.urgency)] -= static_cast<double>(pending.uncached_tokens);
  }
  state.pending.clear();
  state.sums = {};
  state.load = {};
  state.measured = absl::InfinitePast();
  state.own_running = 0;
  state.own_running_reported = 0;
}

bool EngineDirectory::report(const BackEndId& engine, const EngineLoad& load, absl::Time measured) {
  const auto slot = find(engine);
  if (!slot.has_value()) {
    return false;
  }
  State& state = at(*slot);
  if (load.incarnation != state.back_end->incarnation || measured < state.measured) {
    return false;
  }
  state.load = load;
  state.measured = measured;
  state.own_running_reported = state.own_running;
  state.sums.reported_prompt = 0;
  for (const PendingPrefill& pending : state.pending) {
    if (pending.sent <= measured) {
      state.sums.reported_prompt += static_cast<double>(pending.prompt_tokens);
    }
  }
  return true;
}

void EngineDirectory::setEjected(const BackEndId& engine, bool ejected) {
  const auto slot = find(engine);
  if (slot.has_value() && at(*slot).ejected != ejected) {
    at(*slot).ejected = ejected;
    pools_.clear();
  }
}

void EngineDirectory::sent(EngineNumber engine, PendingPrefill pending) {
  State& state = at(engine);
  const auto uncached = static_cast<double>(pending.uncached_tokens);
  state.sums.uncached[position(pending.urgency)] += uncached;
  pending_by_urgency_[position(pending.urgency)] += uncached;
  ++state.own_running;
  state.pending.push_back(std::move(pending));
}

void EngineDirectory::prefillDone(EngineNumber engine, const RequestId& request) {
  State& state = at(engine);
  const auto pending = std::find_if(state.pending.begin(), state.pending.end(),
                                    [&](const PendingPrefill& known) { return known.request == request; });
  if (pending == state.pending.end()) {
    return;
  }
  const auto uncached = static_cast<double>(pending->uncached_tokens);
  state.sums.uncached[position(pending->urgency)] -= uncached;
  pending_by_urgency_[position(pending->urgency)] -= uncached;
  state.pending.erase(pending);
}

void EngineDirectory::ended(EngineNumber engine) {
  State& state = at(engine);
  state.own_running -= state.own_running > 0 ? 1 : 0;
}

void EngineDirectory::learnMissShare(uint64_t prompt_tokens, uint64_t cached_tokens) {
  if (prompt_tokens == 0) {
    return;
  }
  const auto cached = static_cast<double>(std::min(cached_tokens, prompt_tokens));
  const double missed = 1.0 - cached / static_cast<double>(prompt_tokens);
  miss_share_ += kMissShareWeight * (missed - miss_share_);
}

bool EngineDirectory::meets(const State& state, const EngineRequirement& requirement,
                            const Selector& selector) {
  if (state.back_end == nullptr || state.ejected) {
    return false;
  }
  const BackEnd& engine = *state.back_end;
  if (engine.kind != BackEndKind::kEngine || engine.state != BackEndState::kReady) {
    return false;
  }
  const auto serves = [&requirement](const LoadedModel& loaded) {
    const auto& adapters = loaded.adapters;
    return loaded.model == requirement.model && loaded.weights_version == requirement.weights_version &&
           (requirement.adapter.empty() ||
            std::find(adapters.begin(), adapters.end(), requirement.adapter) != adapters.end());
  };
  return std::any_of(engine.models.begin(), engine.models.end(), serves) && selector.matches(engine.labels);
}

EnginePools EngineDirectory::makePools(const EngineRequirement& requirement, const Selector& selector) {
  EnginePools pools;
  for (EnginePool& pool : pools.by_distance) {
    pool.generation = next_generation_++;
  }
  pools.region.generation = next_generation_++;
  for (size_t number = 0; number < states_.size(); ++number) {
    const State& state = states_[number];
    if (!meets(state, requirement, selector)) {
      continue;
    }
    const auto slot = static_cast<EngineNumber>(number);
    addTo(pools.by_distance[state.distance], slot, state.identity_hash);
    if (state.distance < EnginePools::kDistances - 1) {
      addTo(pools.region, slot, state.identity_hash);
    }
  }
  return pools;
}

const EnginePools& EngineDirectory::pools(const EngineRequirement& requirement, const Selector& selector) {
  const auto known = pools_.find(requirement);
  if (known != pools_.end()) {
    return known->second;
  }
  return pools_.emplace(requirement, makePools(requirement, selector)).first->second;
}

EngineBacklog EngineDirectory::backlog(EngineNumber engine, Urgency urgency, absl::Time now) const {
  const State& state = at(engine);
  double own = 0;
  double own_of_urgency = 0;
  for (const Urgency other : kAllUrgencies) {
    own += state.sums.uncached[position(other)];
    if (other <= urgency) {
      own_of_urgency += state.sums.uncached[position(other)];
    }
  }
  double ahead = 0;
  double all = 0;
  for (const Urgency other : kAllUrgencies) {
    all += pending_by_urgency_[position(other)];
    ahead += other <= urgency ? pending_by_urgency_[position(other)] : 0.0;
  }
  // Others' queue: what the report shows beyond this node's own, less what was computed since. Reports count
  // whole prompts, of which only a share is computed; the mix of urgencies is taken to be as in own work.
  const double share_ahead = all > 0 ? std::clamp(ahead / all, 0.0, 1.0) : 1.0;
  const double others_prompt =
      std::max(0.0, static_cast<double>(state.load.queued_prefill) - state.sums.reported_prompt);
  const double elapsed = state.measured == absl::InfinitePast()
                             ? 0.0
                             : absl::ToDoubleSeconds(now - state.measured) / prefill_seconds_per_token_;
  const double others = std::max(0.0, others_prompt * miss_share_ - std::max(0.0, elapsed - own));
  EngineBacklog result;
  result.tokens = own_of_urgency + others * share_ahead;
  const uint32_t own_since = state.own_running - std::min(state.own_running, state.own_running_reported);
  result.running = state.load.running + state.load.waiting + own_since;
  return result;
}

absl::Duration EngineDirectory::expectedFirstToken(EngineNumber engine, Urgency urgency,
                                                   double uncached_tokens, absl::Time now) const {
  return absl::Seconds(expectedFirstTokenSeconds(engine, urgency, uncached_tokens, now));
}

double EngineDirectory::expectedFirstTokenSeconds(EngineNumber engine, Urgency urgency,
                                                  double uncached_tokens, absl::Time now) const {
  const EngineBacklog ahead = backlog(engine, urgency, now);
  return absl::ToDoubleSeconds(settings_.cost.first_token_overhead) +
         prefill_seconds_per_token_ * (ahead.tokens + uncached_tokens) +
         distance_seconds_[at(engine).distance];
}

absl::Duration EngineDirectory::distance(EngineNumber engine) const {
  return absl::Seconds(distance_seconds_[at(engine).distance]);
}

std::optional<EngineNumber> EngineDirectory::find(const BackEndId& engine) const {
  const auto known = slots_.find(engine);
  if (known == slots_.end()) {
    return std::nullopt;
  }
  return known->second;
}

bool EngineDirectory::ready(EngineNumber engine) const {
  const State& state = at(engine);
  return state.back_end != nullptr && !state.ejected && state.back_end->state == BackEndState::kReady;
}

bool EngineDirectory::knowsModel(const ModelName& model) const {
  return std::any_of(slots_.begin(), slots_.end(), [&](const auto& entry) {
    const auto& models = at(entry.second).back_end->models;
    return std::any_of(models.begin(), models.end(),
                       [&](const LoadedModel& loaded) { return loaded.model == model; });
  });
}

std::vector<std::pair<WeightsVersion, size_t>> EngineDirectory::readyVersions(const ModelName& model) const {
  absl::btree_map<WeightsVersion, size_t> counts;
  for (const auto& [id, slot] : slots_) {
    if (!ready(slot)) {
      continue;
    }
    for (const LoadedModel& loaded : at(slot).back_end->models) {
      counts[loaded.weights_version] += loaded.model == model ? 1 : 0;
    }
  }
  std::vector<std::pair<WeightsVersion, size_t>> result;
  for (auto count = counts.rbegin(); count != counts.rend(); ++count) {
    if (count->second > 0) {
      result.emplace_back(*count);
    }
  }
  return result;
}

}  // namespace quincewick::routing
