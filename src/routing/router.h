// The node's router: takes what is learnt of engines as events, and chooses an engine for each request.
//
// It decides from its inputs alone: no I/O, no clock, no thread. Not thread-safe: the node serialises calls.
// What it promises: a chosen engine is ready by the last event, isn't ejected or excluded, has the model, the
// adapter and exactly the weights version that the request's root names, and belongs to the group that the
// route decision names.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "prefix/prefix_index.h"
#include "routing/engine_directory.h"
#include "routing/placement_policy.h"
#include "routing/prefix_affinity.h"
#include "routing/route_table.h"
#include "routing/router_events.h"
#include "types/error.h"
#include "types/inference_request.h"

namespace quincewick::routing {

enum class PolicyKind : uint8_t { kPrefixAffinity, kRoundRobin, kLeastLoaded, kPureHash };

struct RouterSettings {
  PolicyKind policy = PolicyKind::kPrefixAffinity;
  EngineDirectorySettings directory;
  prefix::PrefixIndexSettings index;
  PrefixAffinitySettings affinity;
  uint32_t pure_hash_blocks = 1;
  // Up to this many engines in the region, zones are not told apart: a trip between zones costs far less than
  // a block.
  size_t whole_region_limit = 64;
};

struct ChooseOptions {
  std::vector<BackEndId> excluded;  // engines that this request must not go to, as after a failed attempt
};

// An engine that was weighed.
struct WeighedEngine {
  BackEndId engine;
  absl::Duration expected_first_token;
  uint64_t expected_cached_tokens = 0;
};

// Blocks to move to the chosen engine before the request is sent.
struct ImportSource {
  BackEndId engine;
  Address address;
  Incarnation incarnation;
  std::vector<BlockKey> blocks;
};

// The engine a request goes to. The engine refuses the request if it has another incarnation or version.
struct Placement {
  BackEndId engine;
  Address address;
  Incarnation incarnation;
  WeightsVersion weights_version;
  GroupName group;
  absl::Duration expected_first_token;
  uint64_t expected_cached_tokens = 0;
  std::vector<WeighedEngine> alternatives;  // the best first
  std::optional<ImportSource> import;
};

// One line of plain English for operators: which engine, of which group, at what expected cost, before which
// others.
std::string explainPlacement(const Placement& placement);

class Router {
 public:
  // Makes a policy over the router's own directory and index, which outlive it.
  using PolicyFactory =
      std::function<std::unique_ptr<PlacementPolicy>(const EngineDirectory&, prefix::PrefixIndex&)>;

  explicit Router(const RouterSettings& settings);
  // With a policy of the caller's instead of `settings.policy`.
  Router(const RouterSettings& settings, const PolicyFactory& make_policy);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes one event. Returns what the node should do, in order.
  std::vector<RouterAction> handle(const RouterEvent& event, absl::Time now);

  // Which groups may serve the request, and how urgently. Without a table: every engine, as the request says.
  Result<RouteDecision> route(const InferenceRequest& request) const;

  // The verdict on each route.
  RouteExplanation explain(const InferenceRequest& request) const;

  // Chooses an engine of the first of the decision's groups that has one. The node reports the dispatch by
  // RequestSent. Errors, all with Execution::kNotRun: kNotFound (no engine has the model), kUnavailable (none
  // that is ready, has the adapter and version, is in a group, and is neither ejected nor excluded).
  Result<Placement> choose(const InferenceRequest& request, const RouteDecision& decision,
                           const ChooseOptions& options, absl::Time now, absl::BitGenRef random);

  // How many ready engines have each version of the model, from the newest: what roots may name.
  std::vector<std::pair<WeightsVersion, size_t>> readyVersions(const ModelName& model) const {
    return directory_.readyVersions(model);
  }

  // Where to read an engine's cache events on from.
  Sequence resumeCacheEventsAfter(const BackEndId& engine) const;

  const EngineDirectory& directory() const { return directory_; }
  const prefix::PrefixIndex& index() const { return index_; }
  size_t inFlight() const { return in_flight_.size(); }

 private:
  // A request sent and not ended.
  struct InFlight {
    EngineNumber engine{};
    Incarnation incarnation;
    PrefixChain prompt;
    size_t expected_cached_blocks = 0;
    bool first_token_seen = false;
  };

  void on(const EngineUpserted& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const EngineRemoved& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const EngineEjectionChanged& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const LoadReported& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const CacheEventsRead& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const RequestSent& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const FirstTokenSeen& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const RequestEnded& event, absl::Time now, std::vector<RouterAction>& actions);
  void on(const RoutesChanged& event, absl::Time now, std::vector<RouterAction>& actions);

  // Notes an incarnation that the engine itself has told. Returns whether it is the current one afterwards.
  bool noteIncarnation(const BackEndId& engine, Incarnation incarnation);
  bool stillThere(const InFlight& request) const;
  const Selector* selectorOf(const GroupName& group) const;
  Placement placementOf(const InferenceRequest& request, const GroupName& group,
                        const EngineChoice& choice) const;
  WeighedEngine weighedEngine(const InferenceRequest& request, const ScoredEngine& scored) const;
  Error noEngine(const InferenceRequest& request) const;

  RouterSettings settings_;
  EngineDirectory directory_;
  prefix::PrefixIndex index_;
  std::unique_ptr<PlacementPolicy> policy_;
  std::shared_ptr<const RouteTable> routes_;
  absl::flat_hash_map<RequestId, InFlight> in_flight_;
};

}  // namespace quincewick::routing
