#include "routing/router.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "routing/basic_policies.h"

namespace quincewick::routing {
namespace {

std::unique_ptr<PlacementPolicy> makePolicy(const RouterSettings& settings, const EngineDirectory& directory,
                                            prefix::PrefixIndex& index) {
  switch (settings.policy) {
    case PolicyKind::kRoundRobin:
      return std::make_unique<RoundRobin>(directory);
    case PolicyKind::kLeastLoaded:
      return std::make_unique<LeastLoaded>(directory);
    case PolicyKind::kPureHash:
      return std::make_unique<PureHash>(directory, settings.pure_hash_blocks);
    case PolicyKind::kPrefixAffinity:
      break;
  }
  return std::make_unique<PrefixAffinity>(directory, index, settings.affinity);
}

EnginePool without(const EnginePool& pool, const std::vector<EngineNumber>& excluded) {
  EnginePool rest;
  rest.members.resize(pool.members.size());
  for (size_t place = 0; place < pool.engines.size(); ++place) {
    const EngineNumber engine = pool.engines[place];
    if (std::find(excluded.begin(), excluded.end(), engine) == excluded.end()) {
      rest.engines.push_back(engine);
      rest.identity_hashes.push_back(pool.identity_hashes[place]);
      rest.members[static_cast<size_t>(engine)] = true;
    }
  }
  return rest;
}

EnginePools withoutEngines(const EnginePools& pools, const std::vector<EngineNumber>& excluded) {
  EnginePools rest;
  for (size_t distance = 0; distance < EnginePools::kDistances; ++distance) {
    rest.by_distance[distance] = without(pools.by_distance[distance], excluded);
  }
  rest.region = without(pools.region, excluded);
  return rest;
}

// The engines to choose from: near ones, and farther ones to spill over to.
struct Reach {
  const EnginePool* near = nullptr;
  const EnginePool* farther = nullptr;
};

Reach reachOf(const EnginePools& pools, size_t whole_region_limit) {
  const auto& [zone, rest_of_region, elsewhere] = pools.by_distance;
  if (pools.region.engines.empty()) {
    return {elsewhere.engines.empty() ? nullptr : &elsewhere, nullptr};
  }
  if (zone.engines.empty() || pools.region.engines.size() <= whole_region_limit) {
    return {&pools.region, nullptr};
  }
  return {&zone, rest_of_region.engines.empty() ? nullptr : &rest_of_region};
}

}  // namespace

std::string explainPlacement(const Placement& placement) {
  const auto describe = [](std::string* out, const WeighedEngine& weighed) {
    absl::StrAppend(out, weighed.engine.value(), " (first token in ",
                    absl::FormatDuration(weighed.expected_first_token), ", ", weighed.expected_cached_tokens,
                    " tokens cached)");
  };
  std::string text;
  describe(&text, {placement.engine, placement.expected_first_token, placement.expected_cached_tokens});
  absl::StrAppend(&text, " of group '", placement.group.value(), "'");
  if (placement.import.has_value()) {
    absl::StrAppend(&text, " after moving ", placement.import->blocks.size(), " blocks from ",
                    placement.import->engine.value());
  }
  if (!placement.alternatives.empty()) {
    absl::StrAppend(&text, ", before ", absl::StrJoin(placement.alternatives, ", ", describe));
  }
  return text;
}

Router::Router(const RouterSettings& settings)
    : Router(settings, [&settings](const EngineDirectory& directory, prefix::PrefixIndex& index) {
        return makePolicy(settings, directory, index);
      }) {}

Router::Router(const RouterSettings& settings, const PolicyFactory& make_policy)
    : settings_(settings),
      directory_(settings.directory),
      index_(settings.index),
      policy_(make_policy(directory_, index_)) {}

std::vector<RouterAction> Router::handle(const RouterEvent& event, absl::Time now) {
  std::vector<RouterAction> actions;
  std::visit([&](const auto& one) { on(one, now, actions); }, event);
  return actions;
}

void Router::on(const EngineUpserted& event, absl::Time /*now*/, std::vector<RouterAction>& /*actions*/) {
  const auto outcome = directory_.upsert(event.engine);
  if (outcome.has_value() && outcome->voided) {
    index_.reset(outcome->engine);
  }
}

void Router::on(const EngineRemoved& event, absl::Time /*now*/, std::vector<RouterAction>& /*actions*/) {
  if (const auto engine = directory_.remove(event.engine)) {
    index_.reset(*engine);
  }
}

void Router::on(const EngineEjectionChanged& event, absl::Time /*now*/,
                std::vector<RouterAction>& /*actions*/) {
  directory_.setEjected(event.engine, event.ejected);
}

bool Router::noteIncarnation(const BackEndId& engine, Incarnation incarnation) {
  const auto slot = directory_.find(engine);
  if (!slot.has_value() || incarnation < directory_.engine(*slot).incarnation) {
    return false;
  }
  if (incarnation > directory_.engine(*slot).incarnation) {
    BackEnd restarted = directory_.engine(*slot);
    restarted.incarnation = incarnation;
    directory_.upsert(restarted);
    index_.reset(*slot);
  }
  return true;
}

void Router::on(const LoadReported& event, absl::Time /*now*/, std::vector<RouterAction>& /*actions*/) {
  if (noteIncarnation(event.engine, event.load.incarnation)) {
    directory_.report(event.engine, event.load, event.measured);
  }
}

void Router::on(const CacheEventsRead& event, absl::Time now, std::vector<RouterAction>& actions) {
  if (!noteIncarnation(event.engine, event.incarnation)) {
    return;
  }
  const EngineNumber engine = *directory_.find(event.engine);
  if (index_.apply(engine, event.events, now)) {
    actions.push_back(ReadCacheEvents{event.engine, index_.resumeAfter(engine)});
  }
}

void Router::on(const RequestSent& event, absl::Time now, std::vector<RouterAction>& /*actions*/) {
  const auto engine = directory_.find(event.engine);
  if (!engine.has_value()) {
    return;
  }
  const InferenceRequest& request = event.request;
  const uint64_t prompt_tokens = request.prompt.size();
  const uint64_t uncached_tokens = prompt_tokens - std::min(prompt_tokens, event.expected_cached_tokens);
  directory_.sent(*engine, PendingPrefill{request.id, request.urgency, now, prompt_tokens, uncached_tokens});
  // The engine will soon hold the prompt: the next request of the trunk should know.
  index_.recordHeld(*engine, request.prompt, now);
  const size_t cached_blocks = event.expected_cached_tokens / std::max(request.prompt.block_size, 1U);
  in_flight_.insert_or_assign(request.id, InFlight{*engine, directory_.engine(*engine).incarnation,
                                                   request.prompt, cached_blocks, false});
}

bool Router::stillThere(const InFlight& request) const {
  return directory_.known(request.engine) &&
         directory_.engine(request.engine).incarnation == request.incarnation;
}

void Router::on(const FirstTokenSeen& event, absl::Time now, std::vector<RouterAction>& /*actions*/) {
  const bool current = noteIncarnation(event.engine, event.incarnation);
  const auto request = in_flight_.find(event.request);
  if (request == in_flight_.end() || request->second.first_token_seen) {
    return;
  }
  request->second.first_token_seen = true;
  const auto engine = directory_.find(event.engine);
  if (!current || engine != request->second.engine) {
    return;
  }
  directory_.prefillDone(*engine, event.request);
  index_.recordHeld(*engine, request->second.prompt, now);
}

void Router::on(const RequestEnded& event, absl::Time /*now*/, std::vector<RouterAction>& /*actions*/) {
  if (event.incarnation != Incarnation()) {
    noteIncarnation(event.engine, event.incarnation);
  }
  const auto found = in_flight_.find(event.request);
  if (found == in_flight_.end()) {
    return;
  }
  const InFlight request = std::move(found->second);
  in_flight_.erase(found);
  if (stillThere(request)) {
    directory_.prefillDone(request.engine, event.request);
    directory_.ended(request.engine);
    if (!request.first_token_seen) {
      // It may never have been computed: what it was to add is not believed.
      index_.recordLost(request.engine, request.prompt, request.expected_cached_blocks);
    }
  }
  if (event.usage.has_value()) {
    directory_.learnMissShare(event.usage->prompt_tokens, event.usage->cached_tokens);
  }
}

void Router::on(const RoutesChanged& event, absl::Time /*now*/, std::vector<RouterAction>& /*actions*/) {
  routes_ = event.routes;
  directory_.forgetPools();
}

Result<RouteDecision> Router::route(const InferenceRequest& request) const {
  if (routes_ != nullptr) {
    return routes_->match(request);
  }
  RouteDecision decision;
  decision.urgency = request.urgency;
  decision.deadline = request.deadline;
  decision.groups = {GroupName()};
  return decision;
}

RouteExplanation Router::explain(const InferenceRequest& request) const {
  if (routes_ != nullptr) {
    return routes_->explain(request);
  }
  RouteExplanation explanation;
  explanation.decision = route(request).value();
  return explanation;
}

const Selector* Router::selectorOf(const GroupName& group) const {
  static const Selector everything;
  if (group.empty()) {
    return &everything;
  }
  return routes_ == nullptr ? nullptr : routes_->groupSelector(group);
}

Result<Placement> Router::choose(const InferenceRequest& request, const RouteDecision& decision,
                                 const ChooseOptions& options, absl::Time now, absl::BitGenRef random) {
  std::vector<EngineNumber> excluded;
  for (const BackEndId& engine : options.excluded) {
    if (const auto slot = directory_.find(engine)) {
      excluded.push_back(*slot);
    }
  }
  for (const GroupName& group : decision.groups) {
    const Selector* selector = selectorOf(group);
    if (selector == nullptr) {
      continue;
    }
    const EngineRequirement requirement{request.model, request.adapter, request.root.weights_version, group};
    EnginePools rest;
    const EnginePools* pools = &directory_.pools(requirement, *selector);
    if (!excluded.empty()) {
      rest = withoutEngines(*pools, excluded);
      pools = &rest;
    }
    const Reach reach = reachOf(*pools, settings_.whole_region_limit);
    if (reach.near != nullptr) {
      const PlacementQuery query{request, decision.urgency, *reach.near, reach.farther};
      return placementOf(request, group, policy_->choose(query, now, random));
    }
  }
  return noEngine(request);
}

Error Router::noEngine(const InferenceRequest& request) const {
  if (!directory_.knowsModel(request.model)) {
    return Error{ErrorCode::kNotFound, absl::StrCat("no engine has the model '", request.model.value(), "'"),
                 Execution::kNotRun};
  }
  return Error{ErrorCode::kUnavailable,
               absl::StrCat("no engine is ready for the model '", request.model.value(), "', adapter '",
                            request.adapter.value(), "', weights version ",
                            request.root.weights_version.value(), " in the route's groups"),
               Execution::kNotRun};
}

WeighedEngine Router::weighedEngine(const InferenceRequest& request, const ScoredEngine& scored) const {
  return {directory_.engine(scored.engine).id, scored.expected_first_token,
          uint64_t{scored.expected_cached_blocks} * request.prompt.block_size};
}

Placement Router::placementOf(const InferenceRequest& request, const GroupName& group,
                              const EngineChoice& choice) const {
  const BackEnd& engine = directory_.engine(choice.chosen.engine);
  const WeighedEngine chosen = weighedEngine(request, choice.chosen);
  Placement placement;
  placement.engine = engine.id;
  placement.address = engine.address;
  placement.incarnation = engine.incarnation;
  placement.weights_version = request.root.weights_version;
  placement.group = group;
  placement.expected_first_token = chosen.expected_first_token;
  placement.expected_cached_tokens = chosen.expected_cached_tokens;
  placement.alternatives.reserve(choice.alternatives.size());
  for (const ScoredEngine& scored : choice.alternatives) {
    placement.alternatives.push_back(weighedEngine(request, scored));
  }
  if (choice.import.has_value()) {
    const BackEnd& source = directory_.engine(choice.import->source);
    const auto first = request.prompt.blocks.begin() + choice.import->first_block;
    placement.import = ImportSource{source.id, source.address, source.incarnation,
                                    std::vector<BlockKey>(first, first + choice.import->block_count)};
  }
  return placement;
}

Sequence Router::resumeCacheEventsAfter(const BackEndId& engine) const {
  const auto slot = directory_.find(engine);
  return slot.has_value() ? index_.resumeAfter(*slot) : Sequence();
}

}  // namespace quincewick::routing
