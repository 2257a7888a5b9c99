// Chooses an engine for a request by the declared parts of its prompt: the engine with the lowest expected
// cost, given where the parts are cached or can be fetched from.
//
// A part is identified by a chain key over the cache salt, all parts before it and the part itself. The salt
// separates weights versions and isolated tenants, so nothing cached under one of them is looked up by
// another. Beliefs about an engine hold for one incarnation of it. Does no I/O; `now` never goes back.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/request_facts.h"
#include "forwarding/server_directory.h"
#include "prefix/prefix_index.h"

namespace quincewick::forwarding {

// Features of placement that can be switched one at a time to measure their effect (tools/ablate).
struct PlacementSwitches {
  // A chain prefers its first engines in a ranking that is the same on every node.
  bool home_rank = true;
  // This preference grows with the chain's length: elsewhere it displaces other chains from the cache.
  bool home_by_size = true;
  // An engine that caches a chain is the source where no cache store can be reached.
  bool fetch_from_engines = true;
  // Cache stores are used as source and target.
  bool cache_stores = true;
  // A cache store is a target only for chains that no engine is believed to cache completely.
  bool store_only_uncached = true;
  // Only a few engines are evaluated for a request; off: all.
  bool limit_candidates = true;
  // A slot is reserved with the owner of an engine's occupancy before a request is sent there.
  bool reserve_slots = true;
  // A request that is predicted to be late waits behind those that can still be in time.
  bool late_yields = true;
  // A request that yields still waits before all less urgent classes of its service; off: behind all
  // requests.
  bool late_within_class = false;
  // Engines are compared by their measured capability, as reported by the owners of their occupancy.
  bool learned_speed = false;

  friend bool operator==(const PlacementSwitches&, const PlacementSwitches&) = default;
};

struct EnginePlacementSettings {
  ZoneName zone;  // this node's
  PlacementSwitches switches;
  absl::Duration prefill_per_token = kDefaultPrefillTimePerToken;
  absl::Duration transfer_per_token = absl::Microseconds(16);  // fetched from another engine or a store
  absl::Duration transfer_overhead = absl::Milliseconds(2);    // of each fetch
  // Weight of prefilling a shared part again, which costs other requests more than this one's time.
  double shared_prefill_weight = 3;
  absl::Duration other_zone_penalty = absl::Milliseconds(3);
  absl::Duration old_weights_penalty = absl::Milliseconds(250);  // since the request is worth less on them
  // Minimum for each rank below a chain's first engine.
  absl::Duration home_rank_penalty = absl::Milliseconds(15);
  // A chain away from its home evicts as many tokens of other chains there, which are then prefilled again.
  // Each rank costs this multiple of the time to prefill the chain's shared tokens.
  double displaced_prefill_weight = 1.2;
  // With learned speeds: a prefill delays each request that runs beside it, at a cost of this fraction of the
  // prefill time for each. On a lightly loaded site with uneven engines, where pauses make streams late,
  // weights of 0, 0.1 and 0.2 earned 85, 87 and 86 % of the requests' worth; on an overloaded one 75, 78 and
  // 79 %.
  double concurrent_prefill_weight = 0.1;
  // Minimum wait for each request beyond an engine's slots, since what is known of other gateways' choices is
  // stale.
  absl::Duration wait_for_slot = absl::Milliseconds(40);
  // Candidates for a request, unless all of them are full: the first engines of its chain and some at random.
  // Known loads are up to a second old; if all gateways took the engine that looks least loaded, it would
  // become the most loaded one.
  size_t home_candidates = 3;
  size_t random_candidates = 3;
  // With learned speeds there are more candidates: among three random ones there is often none whose pauses
  // are short enough for a stream. The occupancy owners limit how many requests take the same engine.
  size_t random_candidates_with_learned_speed = 9;
  uint64_t random_salt = 0;             // differs from node to node
  uint32_t full_requests_per_slot = 2;  // running requests per slot from which an engine counts as full
  size_t index_entries = 4096;
};

// A request as placement sees it.
struct PlacementRequest {
  ModelName model;
  std::vector<PromptPart> prompt;  // the last part is the request's own
  std::string isolation;           // the tenant's name if it shares nothing with others; else empty
  WeightsVersion wanted;           // on an older one the request is worth less
  // Latency targets between pieces and until the first piece; infinite: none.
  absl::Duration allowed_pause = absl::InfiniteDuration();
  absl::Duration allowed_first_piece = absl::InfiniteDuration();
  uint64_t output_tokens = 0;  // declared maximum; 0: not declared
};

struct EngineChoice {
  ServerDirectory::ServerPointer server;
  WeightsVersion version;
  std::string salt;
  uint64_t cached_tokens = 0;    // believed to be cached there
  uint64_t fetched_tokens = 0;   // expected to be fetched
  uint64_t uncached_tokens = 0;  // to be prefilled there
  uint64_t shared_tokens = 0;    // of all parts but the request's own
  std::optional<Address> cache_source;
  std::optional<Address> cache_target;
  std::vector<BlockKey> shared_keys;  // of the shared parts, in order
  bool is_new_placement = false;  // the engine did not cache all shared parts before, so peers should be told
  double service_seconds = 0;     // until the first piece, without waiting for other requests there
  double load_seconds = 0;        // wait for other requests there, as far as known
  absl::Duration pause;           // longest pause of the engine's streams, as far as known
  // If the actual load_seconds is greater than this, the second best engine is better, as far as known.
  double max_load_seconds = 0;

  // Expected time from now until the first piece.
  absl::Duration firstPiece() const { return absl::Seconds(service_seconds + load_seconds); }
};

class EnginePlacement {
 public:
  explicit EnginePlacement(const EnginePlacementSettings& settings)
      : settings_(settings), index_(indexSettings(settings)) {}

  // Chooses among the engines that take work, are not in `excluded` (identity hashes) and have at least the
  // `required` version. Returns nothing if there is none.
  std::optional<EngineChoice> choose(const PlacementRequest& request,
                                     const std::vector<ServerDirectory::ServerPointer>& engines,
                                     const ServerDirectory& directory,
                                     const std::vector<CacheStoreTraits>& cache_stores,
                                     const std::vector<uint64_t>& excluded, WeightsVersion required,
                                     absl::Time now);

  // Seconds that a request waits for others at an engine: for their prefills and for a slot.
  double loadSeconds(const ServerLoad& load, uint32_t slots, const EngineCapability& capability) const;
  // The engine's capability as far as it is known; the configured default without learned speeds.
  EngineCapability capabilityOf(const Server& server, absl::Time now) const;
  // A request held a slot for `slot_time`, from its first piece to its end. The mean predicts how soon slots
  // come free.
  void noteServed(absl::Duration slot_time);
  // A stream with this declared maximum of tokens contributed to its engine's pause estimate.
  void notePauses(uint64_t output_tokens);
  // The engine now caches the parts.
  void noteCached(EngineNumber engine, const std::vector<BlockKey>& keys, absl::Time now);
  // Drops all beliefs about the engine: it is gone or has loaded new weights.
  void forget(EngineNumber engine) { index_.reset(engine); }

  // The salt under which a request with this weights version and isolation is cached.
  static std::string saltOf(WeightsVersion version, const std::string& isolation);

 private:
  // Until requests were served; the mean adapts within the first dozen requests.
  static constexpr absl::Duration kInitialSlotTime = absl::Seconds(1);

  static prefix::PrefixIndexSettings indexSettings(const EnginePlacementSettings& settings);
  struct Chain;
  struct CostEstimate;
  struct CandidateContext;
  struct Candidate;
  size_t maxCandidates() const;
  std::vector<Candidate> rankCandidates(const PlacementRequest& request,
                                        const std::vector<ServerDirectory::ServerPointer>& engines,
                                        const std::vector<uint64_t>& excluded, WeightsVersion required,
                                        absl::Time now);
  void chooseCacheLocations(const Chain& chain, const ServerDirectory& directory,
                            const std::vector<CacheStoreTraits>& cache_stores, absl::Time now,
                            EngineChoice& choice) const;
  Chain chainOf(const PlacementRequest& request, WeightsVersion version, absl::Time now);
  double homeRankCost(uint64_t shared_tokens, size_t rank) const;
  double pauseCost(const PlacementRequest& request, const EngineCapability& capability) const;
  CostEstimate estimateCost(const ServerDirectory::ServerPointer& server, const Chain& chain,
                            const PlacementRequest& request, const CandidateContext& context,
                            absl::Time now) const;
  static const CacheStoreTraits* cacheStoreFor(const Chain& chain,
                                               const std::vector<CacheStoreTraits>& stores);

  EnginePlacementSettings settings_;
  prefix::PrefixIndex index_;
  absl::Duration mean_slot_time_ = kInitialSlotTime;  // smoothed
  double mean_stream_tokens_ = 0;                     // of streams in pause estimates, smoothed; 0: none yet
  uint64_t choices_ = 0;
};

}  // namespace quincewick::forwarding
