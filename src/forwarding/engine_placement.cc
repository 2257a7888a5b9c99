#include "forwarding/engine_placement.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <numeric>

#include "routing/rendezvous.h"
#include "types/address_text.h"

namespace quincewick::forwarding {
namespace {

constexpr uint64_t kFewestTokensToFetch = 48;
constexpr uint64_t kFewestTokensToStore = 512;
constexpr double kFailureSeconds = 0.05;  // one failure just now
constexpr double kFullSeconds = 2;

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

// The shared parts of a prompt under one version's salt, and who keeps them.
struct EnginePlacement::Chain {
  std::string salt;
  std::vector<BlockKey> keys;
  std::vector<uint64_t> tokens_up_to;  // tokens of the first n + 1 parts
  uint64_t shared_tokens = 0;
  uint64_t all_tokens = 0;
  prefix::TrunkView view;

  uint64_t tokensOf(uint32_t parts) const { return parts == 0 ? 0 : tokens_up_to[parts - 1]; }
  uint64_t keptAt(EngineSlot engine) const {
    for (const prefix::TrunkView::Holder& holder : view.holders) {
      if (holder.engine == engine) {
        return tokensOf(std::min<uint32_t>(holder.certain_blocks, static_cast<uint32_t>(keys.size())));
      }
    }
    return 0;
  }
};

struct EnginePlacement::Weighed {
  double seconds = std::numeric_limits<double>::infinity();
  uint64_t kept = 0;
};

// What besides the chain makes an engine cheap or dear for a request.
struct EnginePlacement::Circumstances {
  size_t rank = 0;               // among the chain's engines
  bool has_old_weights = false;  // the request is worth less there
  bool is_short_lane = false;
};

prefix::TrunkIndexSettings EnginePlacement::indexSettings(const EnginePlacementSettings& settings) {
  prefix::TrunkIndexSettings result;
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

EnginePlacement::Weighed EnginePlacement::weigh(const ServerDirectory::ServerPointer& server,
                                                const Chain& chain, const Circumstances& circumstances,
                                                absl::Time now) const {
  Weighed result;
  result.kept = chain.keptAt(server->slot);
  uint64_t elsewhere = 0;
  for (const prefix::TrunkView::Holder& holder : chain.view.holders) {
    elsewhere = std::max(elsewhere, chain.tokensOf(std::min<uint32_t>(
                                        holder.certain_blocks, static_cast<uint32_t>(chain.keys.size()))));
  }
  const uint64_t fetched = elsewhere > result.kept ? elsewhere - result.kept : 0;
  const uint64_t shared_read = chain.shared_tokens - result.kept - fetched;
  const double prefill = absl::ToDoubleSeconds(settings_.prefill_per_token);
  double seconds = prefill * static_cast<double>(server->prefillTokens());
  seconds += prefill * static_cast<double>(chain.all_tokens - chain.shared_tokens);
  seconds += prefill * settings_.shared_read_weight * static_cast<double>(shared_read);
  if (fetched > 0) {
    seconds += absl::ToDoubleSeconds(settings_.move_overhead + settings_.move_per_token * fetched);
  }
  seconds += absl::ToDoubleSeconds(settings_.home_step) *
             static_cast<double>(std::min<size_t>(circumstances.rank, 4));
  seconds += server->entry.zone == settings_.zone ? 0 : absl::ToDoubleSeconds(settings_.other_zone);
  seconds += circumstances.has_old_weights ? absl::ToDoubleSeconds(settings_.old_weights) : 0;
  const bool is_short = chain.all_tokens <= settings_.short_prompt_tokens;
  if (is_short && !circumstances.is_short_lane) {
    seconds += absl::ToDoubleSeconds(settings_.short_in_long_lane);
  } else if (!is_short && circumstances.is_short_lane) {
    seconds += absl::ToDoubleSeconds(settings_.long_in_short_lane);
  }
  seconds += kFailureSeconds * server->failureScore(now);
  if (server->running() >= server->entry.slots) {
    const uint32_t waiting = server->running() + 1 - server->entry.slots;
    seconds += absl::ToDoubleSeconds(settings_.wait_for_slot) * waiting;
  }
  const uint32_t full = server->entry.slots * settings_.slots_for_full;
  seconds += server->running() >= full ? kFullSeconds : 0;
  seconds += 0.02 * server->running() / std::max<uint32_t>(server->entry.slots, 1);
  result.seconds = seconds;
  return result;
}

// Engines with a lesser hash of their id are the short lane: nodes that list the same engines and saw alike
// work find the same ones, but for a few at its end.
uint64_t EnginePlacement::shortLaneEnd(const std::vector<ServerDirectory::ServerPointer>& engines,
                                       absl::Time now) const {
  const auto count = static_cast<size_t>(lanes_.share(now) * static_cast<double>(engines.size()));
  if (count == 0) {
    return 0;
  }
  std::vector<uint64_t> hashes;
  hashes.reserve(engines.size());
  for (const auto& engine : engines) {
    hashes.push_back(engine->identity_hash);
  }
  const auto end = hashes.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(hashes.begin(), end, hashes.end());
  return *end;
}

std::optional<EngineChoice> EnginePlacement::choose(
    const PlacementRequest& request, const std::vector<ServerDirectory::ServerPointer>& engines,
    const ServerDirectory& directory, const std::vector<CacheStoreTraits>& cache_stores,
    const std::vector<std::string>& excluded, WeightsVersion required, absl::Time now) {
  struct Candidate {
    ServerDirectory::ServerPointer server;
    WeightsVersion version;
    uint64_t hash = 0;
  };
  std::vector<Candidate> candidates;
  for (const auto& server : engines) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(), server->entry.id) != excluded.end();
    const std::optional<WeightsVersion> version = server->versionOf(request.model);
    if (!is_excluded && server->takesWork(now) && version && *version >= required) {
      candidates.push_back({server, *version, server->identity_hash});
    }
  }
  // Every node ranks a chain's engines alike, whatever their versions.
  const Chain unversioned = chainOf(request, WeightsVersion(), now);
  const uint64_t home = unversioned.keys.empty() ? 0 : unversioned.keys.back().low;
  std::sort(candidates.begin(), candidates.end(), [home](const Candidate& left, const Candidate& right) {
    return routing::rendezvousWeight(home, left.hash) > routing::rendezvousWeight(home, right.hash);
  });
  const uint64_t short_lane_end = shortLaneEnd(engines, now);
  absl::btree_map<WeightsVersion, Chain> chains;
  const Candidate* best = nullptr;
  Weighed least;
  for (size_t rank = 0; rank < candidates.size(); ++rank) {
    const Candidate& candidate = candidates[rank];
    if (!chains.contains(candidate.version)) {
      chains.emplace(candidate.version, chainOf(request, candidate.version, now));
    }
    const Circumstances circumstances{rank, candidate.version < request.wanted,
                                      candidate.hash < short_lane_end};
    const Weighed weighed = weigh(candidate.server, chains.at(candidate.version), circumstances, now);
    if (weighed.seconds < least.seconds) {
      least = weighed;
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const Chain& chain = chains.at(best->version);
  EngineChoice choice;
  choice.server = best->server;
  choice.version = best->version;
  choice.salt = chain.salt;
  choice.cached_tokens = least.kept;
  choice.shared_keys = chain.keys;
  choice.is_new_placement = least.kept < chain.shared_tokens;
  uint64_t most = least.kept;
  for (const prefix::TrunkView::Holder& holder : chain.view.holders) {
    const ServerDirectory::ServerPointer source = directory.bySlot(holder.engine);
    const uint64_t kept = chain.keptAt(holder.engine);
    if (source != nullptr && source != best->server && source->is_listed && now >= source->ejected_until &&
        kept >= most + kFewestTokensToFetch) {
      most = kept;
      choice.memory_source = source->entry.address;
    }
  }
  choice.fetched_tokens = most - least.kept;
  choice.read_tokens = chain.all_tokens - most;
  choice.shared_tokens = chain.shared_tokens;
  choice.is_short = chain.all_tokens <= settings_.short_prompt_tokens;
  const bool is_stored = chain.shared_tokens >= kFewestTokensToStore;
  const CacheStoreTraits* const cache_store = is_stored ? storeOf(chain, cache_stores) : nullptr;
  // An engine may have given up what it is believed to keep, and does so sooner than a store, which is not
  // crowded by requests' own parts; a miss at the store costs next to nothing. So the store is the source
  // before any engine, and also gets what is read again of a chain that was believed to be kept.
  if (cache_store != nullptr) {
    choice.memory_source = cache_store->address;
    choice.memory_target = cache_store->address;
  }
  return choice;
}

// Each chain has one store, so that the stores together keep as many chains as they have room for.
const CacheStoreTraits* EnginePlacement::storeOf(const Chain& chain,
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

void EnginePlacement::noteRun(const EngineChoice& choice, absl::Duration held, absl::Time now) {
  if (choice.is_short) {
    lanes_.noteShort(held, choice.server->entry.slots, now);
  } else {
    lanes_.noteLong(settings_.prefill_per_token * choice.read_tokens, now);
  }
}

void EnginePlacement::noteKept(EngineSlot engine, const std::vector<BlockKey>& keys, absl::Time now) {
  PrefixChain chain;
  chain.blocks = keys;
  index_.observe(chain, now);
  index_.recordHeld(engine, chain, now);
}

}  // namespace quincewick::forwarding
