#include "forwarding/engine_placement.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "routing/rendezvous.h"
#include "types/address_text.h"

namespace quincewick::forwarding {
namespace {

constexpr uint64_t kMinTokensToFetch = 48;
constexpr uint64_t kMinTokensToStore = 512;
constexpr double kFailurePenaltySeconds = 0.05;  // for one failure just now
constexpr double kFullEnginePenaltySeconds = 2;
constexpr double kCrowdingPenaltySeconds = 0.02;  // a full batch delays each token
// Load beyond the known one that is tolerated before another engine is tried: each further reservation
// request costs 2 ms and a wake-up.
constexpr double kLoadMarginSeconds = 0.01;
constexpr double kSmoothingFactor = 0.1;
constexpr size_t kMaxHomeRank = 4;  // engines of a higher rank cost the same

bool hasFreeSlot(const Server& server, absl::Time now) {
  return server.load(now).running < server.entry.slots;
}

BlockKey chainKey(const BlockKey& parent, const PromptPart& part) {
  const std::string text = absl::StrCat(parent.high, ":", parent.low, ":", part.id, ":", part.tokens);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

BlockKey rootKey(const std::string& salt, const ModelName& model) {
  const std::string text = absl::StrCat(model.value(), "/", salt);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

}  // namespace

// The shared parts of a prompt under one version's salt, and the engines that cache them.
struct EnginePlacement::Chain {
  std::string salt;
  std::vector<BlockKey> keys;
  std::vector<uint64_t> tokens_up_to;  // tokens of the first n + 1 parts
  uint64_t shared_tokens = 0;
  uint64_t all_tokens = 0;
  prefix::PrefixView view;

  uint64_t tokensOfFirst(uint32_t parts) const { return parts == 0 ? 0 : tokens_up_to[parts - 1]; }
  uint64_t cachedTokensAt(EngineNumber engine) const {
    for (const prefix::PrefixView::Holder& holder : view.holders) {
      if (holder.engine == engine) {
        return tokensOfFirst(std::min<uint32_t>(holder.certain_blocks, static_cast<uint32_t>(keys.size())));
      }
    }
    return 0;
  }
};

struct EnginePlacement::Candidate {
  ServerDirectory::ServerPointer server;
  WeightsVersion version;
  uint64_t home_weight = 0;    // rendezvous weight for the request's chain: the greatest is its home
  uint64_t random_weight = 0;  // random for each choice
};

struct EnginePlacement::CostEstimate {
  double seconds = std::numeric_limits<double>::infinity();  // including all penalties
  double own = 0;   // until the first piece, without waiting for other requests
  double load = 0;  // wait for other requests
  absl::Duration pause;
};

// Inputs to a candidate's cost other than the chain.
struct EnginePlacement::CandidateContext {
  size_t rank = 0;               // in the chain's ranking of engines
  bool has_old_weights = false;  // the request is worth less there
};

prefix::PrefixIndexSettings EnginePlacement::indexSettings(const EnginePlacementSettings& settings) {
  prefix::PrefixIndexSettings result;
  result.maximum_blocks = settings.index_entries;
  return result;
}

std::string EnginePlacement::saltOf(WeightsVersion version, const std::string& isolation) {
  return absl::StrCat("w", version.value(), isolation.empty() ? "" : "-", isolation);
}

EnginePlacement::Chain EnginePlacement::chainOf(const PlacementRequest& request, WeightsVersion version,
                                                absl::Time now) {
  Chain chain;
  chain.salt = saltOf(version, request.isolation);
  BlockKey key = rootKey(chain.salt, request.model);
  for (size_t part = 0; part + 1 < request.prompt.size(); ++part) {
    key = chainKey(key, request.prompt[part]);
    chain.shared_tokens += request.prompt[part].tokens;
    chain.keys.push_back(key);
    chain.tokens_up_to.push_back(chain.shared_tokens);
  }
  chain.all_tokens = chain.shared_tokens + (request.prompt.empty() ? 0 : request.prompt.back().tokens);
  PrefixChain blocks;
  blocks.blocks = chain.keys;
  chain.view = index_.view(blocks, now);
  return chain;
}

// Cost in seconds of placing a chain with `shared_tokens` on the engine of that rank.
double EnginePlacement::homeRankCost(uint64_t shared_tokens, size_t rank) const {
  if (!settings_.switches.home_rank) {
    return 0;
  }
  const double displaced = settings_.switches.home_by_size ? settings_.displaced_prefill_weight : 0;
  const absl::Duration step =
      std::max(settings_.home_rank_penalty, settings_.prefill_per_token * shared_tokens * displaced);
  return absl::ToDoubleSeconds(step) * static_cast<double>(std::min(rank, kMaxHomeRank));
}

EnginePlacement::CostEstimate EnginePlacement::estimateCost(const ServerDirectory::ServerPointer& server,
                                                            const Chain& chain,
                                                            const PlacementRequest& request,
                                                            const CandidateContext& context,
                                                            absl::Time now) const {
  CostEstimate result;
  const uint64_t cached = chain.cachedTokensAt(server->slot);
  uint64_t cached_elsewhere = 0;
  for (const prefix::PrefixView::Holder& holder : chain.view.holders) {
    cached_elsewhere =
        std::max(cached_elsewhere, chain.tokensOfFirst(std::min<uint32_t>(
                                       holder.certain_blocks, static_cast<uint32_t>(chain.keys.size()))));
  }
  const uint64_t fetched = cached_elsewhere > cached ? cached_elsewhere - cached : 0;
  const uint64_t shared_prefill = chain.shared_tokens - cached - fetched;
  const EngineCapability capability = capabilityOf(*server, now);
  result.pause = capability.pause;
  const double prefill = absl::ToDoubleSeconds(capability.prefill_time_per_token);
  const ServerLoad load = server->load(now);
  result.load = loadSeconds(load, server->entry.slots, capability);
  double seconds = prefill * static_cast<double>(chain.all_tokens - chain.shared_tokens);
  if (fetched > 0) {
    seconds += absl::ToDoubleSeconds(settings_.transfer_overhead + settings_.transfer_per_token * fetched);
  }
  result.own = seconds + prefill * static_cast<double>(shared_prefill);
  seconds += result.load;
  seconds += prefill * settings_.shared_prefill_weight * static_cast<double>(shared_prefill);
  seconds += homeRankCost(chain.shared_tokens, context.rank);
  seconds += server->entry.zone == settings_.zone ? 0 : absl::ToDoubleSeconds(settings_.other_zone_penalty);
  seconds += context.has_old_weights ? absl::ToDoubleSeconds(settings_.old_weights_penalty) : 0;
  seconds += kFailurePenaltySeconds * server->failureScore(now);
  if (settings_.switches.learned_speed) {
    const double prefill_seconds = prefill * static_cast<double>(chain.all_tokens - cached - fetched);
    seconds += settings_.concurrent_prefill_weight * prefill_seconds * load.running;
    seconds += pauseCost(request, capability);
  }
  result.seconds = seconds;
  return result;
}

EngineCapability EnginePlacement::capabilityOf(const Server& server, absl::Time now) const {
  if (settings_.switches.learned_speed) {
    return server.capability.at(now);
  }
  EngineCapability uniform;
  uniform.prefill_time_per_token = settings_.prefill_per_token;
  return uniform;
}

// A stream with too long a pause is worth as little as one whose first piece is late, so the probability of
// such a pause is weighted with the time allowed for the first piece.
double EnginePlacement::pauseCost(const PlacementRequest& request, const EngineCapability& capability) const {
  const bool has_targets = request.allowed_pause != absl::InfiniteDuration() &&
                           request.allowed_first_piece != absl::InfiniteDuration();
  if (!has_targets) {
    return 0;
  }
  double chance = capability.probabilityOfPauseOver(request.allowed_pause);
  if (request.output_tokens > 0 && mean_stream_tokens_ > 0) {
    // The probability is that of the observed streams; a shorter stream meets fewer causes of pauses.
    chance *= std::min(1.0, static_cast<double>(request.output_tokens) / mean_stream_tokens_);
  }
  return chance * absl::ToDoubleSeconds(request.allowed_first_piece);
}

void EnginePlacement::notePauses(uint64_t output_tokens) {
  const auto tokens = static_cast<double>(output_tokens);
  mean_stream_tokens_ +=
      mean_stream_tokens_ == 0 ? tokens : (tokens - mean_stream_tokens_) * kSmoothingFactor;
}

double EnginePlacement::loadSeconds(const ServerLoad& load, uint32_t slots,
                                    const EngineCapability& capability) const {
  const uint32_t slot_count = std::max<uint32_t>(slots, 1);
  const uint32_t waiting = load.running + 1 - std::min(load.running + 1, slot_count);
  const absl::Duration for_slot =
      std::max(mean_slot_time_ * waiting / slot_count, settings_.wait_for_slot * waiting);
  double seconds =
      absl::ToDoubleSeconds(capability.prefill_time_per_token) * static_cast<double>(load.prefill_tokens);
  seconds += absl::ToDoubleSeconds(for_slot);
  seconds += load.running >= slot_count * settings_.full_requests_per_slot ? kFullEnginePenaltySeconds : 0;
  seconds += kCrowdingPenaltySeconds * load.running / slot_count;
  return seconds;
}

size_t EnginePlacement::maxCandidates() const {
  if (!settings_.switches.limit_candidates) {
    return std::numeric_limits<size_t>::max();
  }
  return settings_.home_candidates + (settings_.switches.learned_speed
                                          ? settings_.random_candidates_with_learned_speed
                                          : settings_.random_candidates);
}

// Engines that can take the request: the first ones of its chain's ranking, then some in an order that is
// random for each choice. Every node ranks a chain's engines alike, whatever their versions.
std::vector<EnginePlacement::Candidate> EnginePlacement::rankCandidates(
    const PlacementRequest& request, const std::vector<ServerDirectory::ServerPointer>& engines,
    const std::vector<uint64_t>& excluded, WeightsVersion required, absl::Time now) {
  const Chain unversioned = chainOf(request, WeightsVersion(), now);
  const uint64_t home = unversioned.keys.empty() ? 0 : unversioned.keys.back().low;
  const uint64_t draw = XXH3_64bits_withSeed(&choices_, sizeof(choices_), settings_.random_salt);
  ++choices_;
  std::vector<Candidate> candidates;
  for (const auto& server : engines) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), server->identity_hash) != excluded.end();
    const std::optional<WeightsVersion> version = server->versionOf(request.model);
    if (!is_excluded && server->isEligible(now) && version && *version >= required) {
      candidates.push_back({server, *version, routing::rendezvousWeight(home, server->home_hash),
                            routing::rendezvousWeight(draw, server->identity_hash)});
    }
  }
  const auto behind_home = [&](size_t count) {
    return candidates.begin() + static_cast<ptrdiff_t>(std::min(candidates.size(), count));
  };
  const auto drawn = behind_home(settings_.home_candidates);
  std::partial_sort(
      candidates.begin(), drawn, candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.home_weight > right.home_weight; });
  std::partial_sort(
      drawn, behind_home(maxCandidates()), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.random_weight > right.random_weight; });
  return candidates;
}

std::optional<EngineChoice> EnginePlacement::choose(
    const PlacementRequest& request, const std::vector<ServerDirectory::ServerPointer>& engines,
    const ServerDirectory& directory, const std::vector<CacheStoreTraits>& cache_stores,
    const std::vector<uint64_t>& excluded, WeightsVersion required, absl::Time now) {
  const std::vector<Candidate> candidates = rankCandidates(request, engines, excluded, required, now);
  absl::btree_map<WeightsVersion, Chain> chains;
  const Candidate* best = nullptr;
  CostEstimate lowest;
  double second_best = lowest.seconds;
  for (size_t rank = 0; rank < candidates.size(); ++rank) {
    if (rank >= maxCandidates() && hasFreeSlot(*best->server, now)) {
      break;
    }
    const Candidate& candidate = candidates[rank];
    if (!chains.contains(candidate.version)) {
      chains.emplace(candidate.version, chainOf(request, candidate.version, now));
    }
    const CandidateContext context{rank, candidate.version < request.wanted};
    const CostEstimate estimate =
        estimateCost(candidate.server, chains.at(candidate.version), request, context, now);
    if (best == nullptr || estimate.seconds < lowest.seconds) {
      second_best = lowest.seconds;
      lowest = estimate;
      best = &candidate;
    } else {
      second_best = std::min(second_best, estimate.seconds);
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  EngineChoice choice;
  choice.server = best->server;
  choice.version = best->version;
  choice.service_seconds = lowest.own;
  choice.load_seconds = lowest.load;
  choice.pause = lowest.pause;
  choice.max_load_seconds = lowest.load + std::max(second_best - lowest.seconds, kLoadMarginSeconds);
  chooseCacheLocations(chains.at(best->version), directory, cache_stores, now, choice);
  return choice;
}

// Sets where the engine fetches what it lacks of the chain, and where its prefilled parts are stored.
void EnginePlacement::chooseCacheLocations(const Chain& chain, const ServerDirectory& directory,
                                           const std::vector<CacheStoreTraits>& cache_stores, absl::Time now,
                                           EngineChoice& choice) const {
  choice.salt = chain.salt;
  choice.shared_keys = chain.keys;
  choice.cached_tokens = chain.cachedTokensAt(choice.server->slot);
  choice.is_new_placement = choice.cached_tokens < chain.shared_tokens;
  uint64_t most = choice.cached_tokens;
  for (const prefix::PrefixView::Holder& holder : chain.view.holders) {
    const ServerDirectory::ServerPointer source = directory.bySlot(holder.engine);
    const uint64_t cached = chain.cachedTokensAt(holder.engine);
    if (settings_.switches.fetch_from_engines && source != nullptr && source != choice.server &&
        source->is_listed && now >= source->ejected_until && cached >= most + kMinTokensToFetch) {
      most = cached;
      choice.cache_source = source->entry.address;
    }
  }
  choice.fetched_tokens = most - choice.cached_tokens;
  choice.uncached_tokens = chain.all_tokens - most;
  choice.shared_tokens = chain.shared_tokens;
  const bool is_stored = settings_.switches.cache_stores && chain.shared_tokens >= kMinTokensToStore;
  const CacheStoreTraits* const cache_store = is_stored ? cacheStoreFor(chain, cache_stores) : nullptr;
  // The store is preferred to any engine as a source: an engine may have evicted what it is believed to
  // cache, and evicts sooner than a store, which holds fewer parts that belong to one request; a miss at the
  // store costs almost nothing. An engine sends all that it prefills to the target, including the request's
  // own part. A target for every request would fill the store and its link with parts that are never
  // requested again.
  if (cache_store != nullptr) {
    choice.cache_source = cache_store->address;
    const bool is_fully_cached = most == chain.shared_tokens;
    if (!is_fully_cached || !settings_.switches.store_only_uncached) {
      choice.cache_target = cache_store->address;
    }
  }
}

// Each chain is assigned to one store, so that the stores together hold as many chains as possible.
const CacheStoreTraits* EnginePlacement::cacheStoreFor(const Chain& chain,
                                                       const std::vector<CacheStoreTraits>& stores) {
  if (stores.empty() || chain.keys.empty()) {
    return nullptr;
  }
  const uint64_t key = chain.keys.back().high;
  const CacheStoreTraits* best = nullptr;
  uint64_t most = 0;
  for (const CacheStoreTraits& store : stores) {
    const std::string name = printAddress(store.address);
    const uint64_t weight = routing::rendezvousWeight(key, XXH3_64bits(name.data(), name.size()));
    if (best == nullptr || weight > most) {
      best = &store;
      most = weight;
    }
  }
  return best;
}

void EnginePlacement::noteServed(absl::Duration slot_time) {
  mean_slot_time_ += (slot_time - mean_slot_time_) * kSmoothingFactor;
}

void EnginePlacement::noteCached(EngineNumber engine, const std::vector<BlockKey>& keys, absl::Time now) {
  PrefixChain chain;
  chain.blocks = keys;
  index_.observe(chain, now);
  index_.recordHeld(engine, chain, now);
}

}  // namespace quincewick::forwarding
