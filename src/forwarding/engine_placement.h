// Chooses an engine for a request by the declared parts of its prompt: where they are kept, or can be
// fetched, and the first piece comes soonest.
//
// A part is named by a chain key over the cache salt and all parts before it; the salt tells apart versions
// of the weights and isolated tenants, so what one version or tenant made is never looked up by another.
// Beliefs are of one start of an engine. Pure; `now` never goes back.
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

// What an operator may switch off, one at a time, to see what it is worth on a site (tools/ablate).
struct PlacementSwitches {
  bool home_rank = true;           // a chain prefers its first engines, alike on every node
  bool home_by_size = true;        // the more so the longer it is: elsewhere it takes room from other chains
  bool fetch_from_engines = true;  // an engine that keeps a chain is the source where no store can be reached
  bool cache_stores = true;        // stores of kept cache are source and target
  bool store_only_unkept = true;   // a store gets what is read only of chains that nobody is believed to keep
  bool few_candidates = true;      // a few engines are weighed for a request; off: all
  bool booked_places = true;       // the keeper of an engine's books is asked before a request is sent there
  bool late_gives_way = true;      // what is foretold to be late waits behind what can be in time
  // What gives way waits before all less urgent classes of its service, else behind all requests.
  bool late_within_class = false;
  // Engines are weighed by what each can do, as the keepers of their books learn it.
  bool learned_speed = false;

  friend bool operator==(const PlacementSwitches&, const PlacementSwitches&) = default;
};

struct EnginePlacementSettings {
  ZoneName zone;  // this node's
  PlacementSwitches switches;
  absl::Duration prefill_per_token = kUnknownReadPerToken;
  absl::Duration move_per_token = absl::Microseconds(16);  // fetched from another engine or a store
  absl::Duration move_overhead = absl::Milliseconds(2);
  double shared_read_weight = 3;  // reading a shared part again costs others more than this request's time
  absl::Duration other_zone = absl::Milliseconds(3);
  absl::Duration old_weights = absl::Milliseconds(250);  // what the loss of worth on them counts as
  absl::Duration home_step = absl::Milliseconds(15);  // for each rank below a chain's first engine, at least
  // A chain that leaves its home takes the place of as many tokens of other chains there, which are read
  // again then: each rank counts as so much of the time to read the chain's shared tokens.
  double displaced_read_weight = 1.2;
  // With learnt speeds: reading a prompt holds up each request that runs beside it, and counts for each as so
  // much of the time that it takes. Measured on a calm day of uneven engines, where streams are late by
  // pauses: 85, 87 and 86 in 100 of the worth of requests was earned with 0, 0.1 and 0.2; on a crowded one
  // 75, 78 and 79.
  double read_beside_weight = 0.1;
  // For each request beyond an engine's slots, at least: what is known of the others' choices is old.
  absl::Duration wait_for_slot = absl::Milliseconds(40);
  // Only so many engines are weighed for a request, unless all of them are full: the first ones of its chain,
  // and some at random. What is known of loads is up to a second old: if all gateways took the engine that
  // looks emptiest, it would be the fullest.
  size_t home_candidates = 3;
  size_t random_candidates = 3;
  // With learnt speeds more are looked at: among three drawn ones there is often none that is fast enough for
  // a stream's pauses, and the keepers of their books bound how many take the same one.
  size_t random_candidates_of_known_speed = 9;
  uint64_t random_salt = 0;     // differs from node to node
  uint32_t slots_for_full = 2;  // running requests for each slot that make an engine full
  size_t index_entries = 4096;
};

// A request as placement sees it.
struct PlacementRequest {
  ModelName model;
  std::vector<PromptPart> prompt;  // the last part is the request's own
  std::string isolation;           // the tenant's name where it shares nothing; else empty
  WeightsVersion wanted;           // on an older one the request is worth less
  // Between pieces, and until the first one, for the answer to be in time; infinite: any.
  absl::Duration allowed_pause = absl::InfiniteDuration();
  absl::Duration allowed_first = absl::InfiniteDuration();
  uint64_t output_tokens = 0;  // at most, as declared; 0: not declared
};

struct EngineChoice {
  ServerDirectory::ServerPointer server;
  WeightsVersion version;
  std::string salt;
  uint64_t cached_tokens = 0;   // believed to be kept there
  uint64_t fetched_tokens = 0;  // believed to be fetched
  uint64_t read_tokens = 0;     // to be read there
  uint64_t shared_tokens = 0;   // of all parts but the own one
  std::optional<Address> memory_source;
  std::optional<Address> memory_target;
  std::vector<BlockKey> shared_keys;  // of the shared parts, in order
  bool is_new_placement = false;      // the engine did not keep all shared parts before: peers should know
  double own_seconds = 0;             // until its first piece, but for what is in hand there
  double load_seconds = 0;            // for what is in hand there, as far as known
  absl::Duration pause;               // the longest one of its streams, as far as known
  // Of work in hand: with more the next best engine is better, by what is known.
  double most_load_seconds = 0;

  // Expected, from now on.
  absl::Duration firstPiece() const { return absl::Seconds(own_seconds + load_seconds); }
};

class EnginePlacement {
 public:
  explicit EnginePlacement(const EnginePlacementSettings& settings)
      : settings_(settings), index_(indexSettings(settings)) {}

  // Among the engines that take work, aren't excluded and have at least the required version. Nothing where
  // there is none.
  std::optional<EngineChoice> choose(const PlacementRequest& request,
                                     const std::vector<ServerDirectory::ServerPointer>& engines,
                                     const ServerDirectory& directory,
                                     const std::vector<CacheStoreTraits>& cache_stores,
                                     const std::vector<uint64_t>& excluded, WeightsVersion required,
                                     absl::Time now);

  // How long a request waits for what is in hand at an engine: others' prompts, and a slot.
  double loadSeconds(const ServerLoad& in_hand, uint32_t slots, const EngineCapability& capability) const;
  // What the engine can do, as far as it is known and counts here.
  EngineCapability capabilityOf(const Server& server, absl::Time now) const;
  // A request was in a slot for so long, from its first piece to its end: how soon slots come free is learnt
  // from this.
  void noteServed(absl::Duration in_slot);
  // A stream that declared so many tokens, at most, told of its engine's pauses.
  void notePauses(uint64_t output_tokens);
  // The engine now keeps the parts.
  void noteKept(EngineNumber engine, const std::vector<BlockKey>& keys, absl::Time now);
  // All that was believed of the engine is void: it went, or took new weights.
  void forget(EngineNumber engine) { index_.reset(engine); }

  // The salt under which a request of that model version and isolation is kept.
  static std::string saltOf(WeightsVersion version, const std::string& isolation);

 private:
  // Until something was served. Learnt within the first dozen requests.
  static constexpr absl::Duration kInSlotAtFirst = absl::Seconds(1);

  static prefix::PrefixIndexSettings indexSettings(const EnginePlacementSettings& settings);
  struct Chain;
  struct Weighed;
  struct Circumstances;
  struct Candidate;
  size_t candidatesAtMost() const;
  std::vector<Candidate> candidatesFor(const PlacementRequest& request,
                                       const std::vector<ServerDirectory::ServerPointer>& engines,
                                       const std::vector<uint64_t>& excluded, WeightsVersion required,
                                       absl::Time now);
  void chooseMemory(const Chain& chain, const ServerDirectory& directory,
                    const std::vector<CacheStoreTraits>& cache_stores, absl::Time now,
                    EngineChoice& choice) const;
  Chain chainOf(const PlacementRequest& request, WeightsVersion version, absl::Time now);
  double awayFromHome(uint64_t shared_tokens, size_t rank) const;
  double latenessByPauses(const PlacementRequest& request, const EngineCapability& capability) const;
  Weighed weigh(const ServerDirectory::ServerPointer& server, const Chain& chain,
                const PlacementRequest& request, const Circumstances& circumstances, absl::Time now) const;
  static const CacheStoreTraits* storeOf(const Chain& chain, const std::vector<CacheStoreTraits>& stores);

  EnginePlacementSettings settings_;
  prefix::PrefixIndex index_;
  absl::Duration in_slot_ = kInSlotAtFirst;  // smoothed
  double tokens_of_streams_ = 0;             // of those that told of pauses, smoothed; 0: none did yet
  uint64_t choices_ = 0;
};

}  // namespace quincewick::forwarding
