// What this node knows of the engines: their state, their lagging load reports, and the work that it has
// itself sent them since.
//
// Loads and the work in flight belong to an engine's incarnation: a new one clears them. Engines are named by
// slots, small numbers that index arrays; a slot is used again after its engine is gone. Not thread-safe.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "prefix/prefix_index.h"
#include "routing/selector.h"
#include "types/back_end.h"
#include "types/identifiers.h"
#include "types/urgency.h"

namespace quincewick::routing {

using prefix::EngineNumber;

// What an engine of the site costs. Used until answers teach better.
struct EngineCost {
  absl::Duration prefill_per_token = absl::Microseconds(25);
  absl::Duration first_token_overhead = absl::Milliseconds(15);  // of a request whose prompt is all cached
};

struct EngineDirectorySettings {
  EngineCost cost;
  ZoneName zone;                                  // this node's
  absl::btree_map<ZoneName, RegionName> regions;  // of each zone; an unlisted zone is a region of its own
  absl::Duration zone_distance = absl::Milliseconds(2);     // round trip to another zone of the region
  absl::Duration region_distance = absl::Milliseconds(50);  // round trip to another region
};

// Which engines may serve a request.
struct EngineRequirement {
  ModelName model;
  AdapterName adapter;
  WeightsVersion weights_version;
  GroupName group;  // empty: all engines

  // clang-tidy takes the 0 inside a defaulted comparison for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const EngineRequirement&, const EngineRequirement&) = default;  // NOLINT
};

// The engines of one distance that meet a requirement, ready for work. Ordered by slot.
struct EnginePool {
  uint64_t generation = 0;  // unique to these contents; 0: none was given
  std::vector<EngineNumber> engines;
  std::vector<uint64_t> identity_hashes;  // of their identifiers, in the same order: for rendezvous hashing
  std::vector<bool> members;              // by slot number

  bool contains(EngineNumber engine) const {
    const auto position = static_cast<size_t>(engine);
    return position < members.size() && members[position];
  }
};

// Pools from near to far: own zone, own region, elsewhere.
struct EnginePools {
  static constexpr size_t kDistances = 3;
  std::array<EnginePool, kDistances> by_distance;
  EnginePool region;  // own zone and own region together

  bool empty() const;
};

// Work sent to an engine that has not given its first token.
struct PendingPrefill {
  RequestId request;
  Urgency urgency = Urgency::kStandard;
  absl::Time sent;
  uint64_t prompt_tokens = 0;
  uint64_t uncached_tokens = 0;  // as estimated when it was sent
};

// The tokens that an engine must compute before a new request's, and how many requests it decodes.
struct EngineBacklog {
  double tokens = 0;
  uint32_t running = 0;
};

class EngineDirectory {
 public:
  explicit EngineDirectory(EngineDirectorySettings settings);

  struct UpsertOutcome {
    EngineNumber engine{};
    bool voided = false;  // new, restarted or with other weights: beliefs about its cache are void
  };
  // Takes what is known of an engine. An older incarnation than the known one changes nothing. Returns
  // nothing, and doesn't take the engine, where kMaximumEngines are known.
  std::optional<UpsertOutcome> upsert(const BackEnd& engine);

  static constexpr size_t kMaximumEngines = 65536;  // as many as slots can name

  // Forgets an engine. Returns its slot if it was known.
  std::optional<EngineNumber> remove(const BackEndId& engine);

  // Takes a load report that shows the state at `measured`. Reports of another incarnation or older than the
  // last one are dropped: returns false.
  bool report(const BackEndId& engine, const EngineLoad& load, absl::Time measured);

  // Takes an engine out of use, or back, by the judgement of outlier ejection.
  void setEjected(const BackEndId& engine, bool ejected);

  // A request was sent to the engine.
  void sent(EngineNumber engine, PendingPrefill pending);
  // It gave its first token, or ended without one.
  void prefillDone(EngineNumber engine, const RequestId& request);
  // It ended.
  void ended(EngineNumber engine);

  // Learns how much of the prompts that all nodes send has to be computed.
  void learnMissShare(uint64_t prompt_tokens, uint64_t cached_tokens);

  // The engines that meet the requirement, or empty pools. `selector` is the group's. Valid until the next
  // change.
  const EnginePools& pools(const EngineRequirement& requirement, const Selector& selector);

  // The groups' selectors have changed.
  void forgetPools() { pools_.clear(); }

  // What the engine must compute before a request of the urgency: own work by its estimates, others' by the
  // report less what was done since.
  EngineBacklog backlog(EngineNumber engine, Urgency urgency, absl::Time now) const;

  // The expected time to first token of a request that needs `uncached_tokens` computed, at this engine.
  absl::Duration expectedFirstToken(EngineNumber engine, Urgency urgency, double uncached_tokens,
                                    absl::Time now) const;

  // The same in seconds, for comparing many.
  double expectedFirstTokenSeconds(EngineNumber engine, Urgency urgency, double uncached_tokens,
                                   absl::Time now) const;

  double prefillSecondsPerToken() const { return prefill_seconds_per_token_; }

  // Round trip from this node.
  absl::Duration distance(EngineNumber engine) const;

  // Whether the slot stands for an engine.
  bool known(EngineNumber engine) const { return at(engine).back_end != nullptr; }
  const BackEnd& engine(EngineNumber engine) const { return *at(engine).back_end; }
  std::optional<EngineNumber> find(const BackEndId& engine) const;
  bool ready(EngineNumber engine) const;
  const EngineLoad& lastLoad(EngineNumber engine) const { return at(engine).load; }
  // Whether any engine, in whatever state, has the model.
  bool knowsModel(const ModelName& model) const;
  // How many ready engines have each version of the model, from the newest.
  std::vector<std::pair<WeightsVersion, size_t>> readyVersions(const ModelName& model) const;

  size_t size() const { return slots_.size(); }
  const EngineDirectorySettings& settings() const { return settings_; }

 private:
  // Before any answer: of prompts with long shared beginnings little is computed.
  static constexpr double kInitialMissShare = 0.1;

  // Sums over pending work, kept up as it changes.
  struct PendingSums {
    std::array<double, kAllUrgencies.size()> uncached{};  // own work without a first token, by urgency
    double reported_prompt = 0;  // prompt tokens of own work that the last report shows, since done or not
  };

  struct State {
    std::shared_ptr<const BackEnd> back_end;  // null: the slot is free
    uint64_t identity_hash = 0;
    size_t distance = 0;
    bool ejected = false;
    EngineLoad load;
    absl::Time measured = absl::InfinitePast();
    std::vector<PendingPrefill> pending;
    PendingSums sums;
    uint32_t own_running = 0;
    uint32_t own_running_reported = 0;  // own_running when the last report was taken
  };

  const State& at(EngineNumber engine) const { return states_[static_cast<size_t>(engine)]; }
  State& at(EngineNumber engine) { return states_[static_cast<size_t>(engine)]; }
  EngineNumber allocate();
  void clearWork(State& state);
  size_t distanceClass(const ZoneName& zone) const;
  RegionName regionOf(const ZoneName& zone) const;
  EnginePools makePools(const EngineRequirement& requirement, const Selector& selector);
  static bool meets(const State& state, const EngineRequirement& requirement, const Selector& selector);

  EngineDirectorySettings settings_;
  double prefill_seconds_per_token_ = 0;
  std::array<double, EnginePools::kDistances> distance_seconds_{};
  uint64_t next_generation_ = 1;
  std::vector<State> states_;
  std::vector<EngineNumber> free_;
  absl::btree_map<BackEndId, EngineNumber> slots_;
  absl::btree_map<EngineRequirement, EnginePools> pools_;  // cleared by each change of membership or state
  std::array<double, kAllUrgencies.size()> pending_by_urgency_{};  // of all engines
  double miss_share_ = kInitialMissShare;
};

}  // namespace quincewick::routing
