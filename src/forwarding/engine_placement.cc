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

constexpr uint64_t kFewestTokensToFetch = 48;
constexpr uint64_t kFewestTokensToStore = 512;
constexpr double kFailureSeconds = 0.05;  // one failure just now
constexpr double kFullSeconds = 2;
constexpr double kCrowdingSeconds = 0.02;  // a full batch makes each token later
// So much more in hand than was known is no reason to look elsewhere: another question costs 2 ms and a
// wake-up.
constexpr double kWorthAsking = 0.01;
constexpr double kInSlotSmoothing = 0.1;
constexpr size_t kRanksThatCount = 4;  // an engine further down is as far from home as this

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

// The shared parts of a prompt under one version's salt, and who keeps them.
struct EnginePlacement::Chain {
  std::string salt;
  std::vector<BlockKey> keys;
  std::vector<uint64_t> tokens_up_to;  // tokens of the first n + 1 parts
  uint64_t shared_tokens = 0;
  uint64_t all_tokens = 0;
  prefix::PrefixView view;

  uint64_t tokensOf(uint32_t parts) const { return parts == 0 ? 0 : tokens_up_to[parts - 1]; }
  uint64_t keptAt(EngineNumber engine) const {
    for (const prefix::PrefixView::Holder& holder : view.holders) {
      if (holder.engine == engine) {
        return tokensOf(std::min<uint32_t>(holder.certain_blocks, static_cast<uint32_t>(keys.size())));
      }
    }
    return 0;
  }
};

struct EnginePlacement::Candidate {
  ServerDirectory::ServerPointer server;
  WeightsVersion version;
  uint64_t at_home = 0;  // weight for the request's chain: the greatest is its home
  uint64_t drawn = 0;    // weight in this choice's draw
};

struct EnginePlacement::Weighed {
  double seconds = std::numeric_limits<double>::infinity();  // with all that counts against the engine
  double own = 0;   // of it: until the first piece, but for what is in hand
  double load = 0;  // of it: what is in hand
  absl::Duration pause;
};

// What besides the chain makes an engine cheap or dear for a request.
struct EnginePlacement::Circumstances {
  size_t rank = 0;               // among the chain's engines
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

// What it counts to place a chain of so many tokens with the engine of that rank, in seconds.
double EnginePlacement::awayFromHome(uint64_t shared_tokens, size_t rank) const {
  if (!settings_.switches.home_rank) {
    return 0;
  }
  const double displaced = settings_.switches.home_by_size ? settings_.displaced_read_weight : 0;
  const absl::Duration step =
      std::max(settings_.home_step, settings_.prefill_per_token * shared_tokens * displaced);
  return absl::ToDoubleSeconds(step) * static_cast<double>(std::min(rank, kRanksThatCount));
}

EnginePlacement::Weighed EnginePlacement::weigh(const ServerDirectory::ServerPointer& server,
                                                const Chain& chain, const PlacementRequest& request,
                                                const Circumstances& circumstances, absl::Time now) const {
  Weighed result;
  const uint64_t kept = chain.keptAt(server->slot);
  uint64_t elsewhere = 0;
  for (const prefix::PrefixView::Holder& holder : chain.view.holders) {
    elsewhere = std::max(elsewhere, chain.tokensOf(std::min<uint32_t>(
                                        holder.certain_blocks, static_cast<uint32_t>(chain.keys.size()))));
  }
  const uint64_t fetched = elsewhere > kept ? elsewhere - kept : 0;
  const uint64_t shared_read = chain.shared_tokens - kept - fetched;
  const EngineCapability capability = capabilityOf(*server, now);
  result.pause = capability.pause;
  const double prefill = absl::ToDoubleSeconds(capability.read_per_token);
  const ServerLoad in_hand = server->load(now);
  result.load = loadSeconds(in_hand, server->entry.slots, capability);
  double seconds = prefill * static_cast<double>(chain.all_tokens - chain.shared_tokens);
  if (fetched > 0) {
    seconds += absl::ToDoubleSeconds(settings_.move_overhead + settings_.move_per_token * fetched);
  }
  result.own = seconds + prefill * static_cast<double>(shared_read);
  seconds += result.load;
  seconds += prefill * settings_.shared_read_weight * static_cast<double>(shared_read);
  seconds += awayFromHome(chain.shared_tokens, circumstances.rank);
  seconds += server->entry.zone == settings_.zone ? 0 : absl::ToDoubleSeconds(settings_.other_zone);
  seconds += circumstances.has_old_weights ? absl::ToDoubleSeconds(settings_.old_weights) : 0;
  seconds += kFailureSeconds * server->failureScore(now);
  if (settings_.switches.learned_speed) {
    const double reading = prefill * static_cast<double>(chain.all_tokens - kept - fetched);
    seconds += settings_.read_beside_weight * reading * in_hand.running;
    seconds += latenessByPauses(request, capability);
  }
  result.seconds = seconds;
  return result;
}

EngineCapability EnginePlacement::capabilityOf(const Server& server, absl::Time now) const {
  if (settings_.switches.learned_speed) {
    return server.capability.at(now);
  }
  EngineCapability alike;
  alike.read_per_token = settings_.prefill_per_token;
  return alike;
}

// A stream with a pause too long is worth as little as one whose first piece comes late: its chance of that
// counts as so much of the time that the first piece may take.
double EnginePlacement::latenessByPauses(const PlacementRequest& request,
                                         const EngineCapability& capability) const {
  const bool has_targets =
      request.allowed_pause != absl::InfiniteDuration() && request.allowed_first != absl::InfiniteDuration();
  if (!has_targets) {
    return 0;
  }
  double chance = capability.chanceOfPauseOver(request.allowed_pause);
  if (request.output_tokens > 0 && tokens_of_streams_ > 0) {
    // Of the streams that told: a shorter one meets fewer of the moments that make pauses.
    chance *= std::min(1.0, static_cast<double>(request.output_tokens) / tokens_of_streams_);
  }
  return chance * absl::ToDoubleSeconds(request.allowed_first);
}

void EnginePlacement::notePauses(uint64_t output_tokens) {
  const auto tokens = static_cast<double>(output_tokens);
  tokens_of_streams_ += tokens_of_streams_ == 0 ? tokens : (tokens - tokens_of_streams_) * kInSlotSmoothing;
}

double EnginePlacement::loadSeconds(const ServerLoad& in_hand, uint32_t slots,
                                    const EngineCapability& capability) const {
  const uint32_t places = std::max<uint32_t>(slots, 1);
  const uint32_t waiting = in_hand.running + 1 - std::min(in_hand.running + 1, places);
  const absl::Duration for_slot = std::max(in_slot_ * waiting / places, settings_.wait_for_slot * waiting);
  double seconds =
      absl::ToDoubleSeconds(capability.read_per_token) * static_cast<double>(in_hand.prefill_tokens);
  seconds += absl::ToDoubleSeconds(for_slot);
  seconds += in_hand.running >= places * settings_.slots_for_full ? kFullSeconds : 0;
  seconds += kCrowdingSeconds * in_hand.running / places;
  return seconds;
}

size_t EnginePlacement::candidatesAtMost() const {
  if (!settings_.switches.few_candidates) {
    return std::numeric_limits<size_t>::max();
  }
  return settings_.home_candidates + (settings_.switches.learned_speed
                                          ? settings_.random_candidates_of_known_speed
                                          : settings_.random_candidates);
}

// Those that take the request, the first ones of its chain before all others, then some by a draw of this
// choice alone. Every node ranks a chain's engines alike, whatever their versions.
std::vector<EnginePlacement::Candidate> EnginePlacement::candidatesFor(
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
    if (!is_excluded && server->takesWork(now) && version && *version >= required) {
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
      [](const Candidate& left, const Candidate& right) { return left.at_home > right.at_home; });
  std::partial_sort(drawn, behind_home(candidatesAtMost()), candidates.end(),
                    [](const Candidate& left, const Candidate& right) { return left.drawn > right.drawn; });
  return candidates;
}

std::optional<EngineChoice> EnginePlacement::choose(
    const PlacementRequest& request, const std::vector<ServerDirectory::ServerPointer>& engines,
    const ServerDirectory& directory, const std::vector<CacheStoreTraits>& cache_stores,
    const std::vector<uint64_t>& excluded, WeightsVersion required, absl::Time now) {
  const std::vector<Candidate> candidates = candidatesFor(request, engines, excluded, required, now);
  absl::btree_map<WeightsVersion, Chain> chains;
  const Candidate* best = nullptr;
  Weighed least;
  double second_best = least.seconds;
  for (size_t rank = 0; rank < candidates.size(); ++rank) {
    if (rank >= candidatesAtMost() && hasFreeSlot(*best->server, now)) {
      break;
    }
    const Candidate& candidate = candidates[rank];
    if (!chains.contains(candidate.version)) {
      chains.emplace(candidate.version, chainOf(request, candidate.version, now));
    }
    const Circumstances circumstances{rank, candidate.version < request.wanted};
    const Weighed weighed =
        weigh(candidate.server, chains.at(candidate.version), request, circumstances, now);
    if (best == nullptr || weighed.seconds < least.seconds) {
      second_best = least.seconds;
      least = weighed;
      best = &candidate;
    } else {
      second_best = std::min(second_best, weighed.seconds);
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  EngineChoice choice;
  choice.server = best->server;
  choice.version = best->version;
  choice.own_seconds = least.own;
  choice.load_seconds = least.load;
  choice.pause = least.pause;
  choice.most_load_seconds = least.load + std::max(second_best - least.seconds, kWorthAsking);
  chooseMemory(chains.at(best->version), directory, cache_stores, now, choice);
  return choice;
}

// Where the engine finds what it lacks of the chain, and where what it reads is kept besides.
void EnginePlacement::chooseMemory(const Chain& chain, const ServerDirectory& directory,
                                   const std::vector<CacheStoreTraits>& cache_stores, absl::Time now,
                                   EngineChoice& choice) const {
  choice.salt = chain.salt;
  choice.shared_keys = chain.keys;
  choice.cached_tokens = chain.keptAt(choice.server->slot);
  choice.is_new_placement = choice.cached_tokens < chain.shared_tokens;
  uint64_t most = choice.cached_tokens;
  for (const prefix::PrefixView::Holder& holder : chain.view.holders) {
    const ServerDirectory::ServerPointer source = directory.bySlot(holder.engine);
    const uint64_t kept = chain.keptAt(holder.engine);
    if (settings_.switches.fetch_from_engines && source != nullptr && source != choice.server &&
        source->is_listed && now >= source->ejected_until && kept >= most + kFewestTokensToFetch) {
      most = kept;
      choice.memory_source = source->entry.address;
    }
  }
  choice.fetched_tokens = most - choice.cached_tokens;
  choice.read_tokens = chain.all_tokens - most;
  choice.shared_tokens = chain.shared_tokens;
  const bool is_stored = settings_.switches.cache_stores && chain.shared_tokens >= kFewestTokensToStore;
  const CacheStoreTraits* const cache_store = is_stored ? storeOf(chain, cache_stores) : nullptr;
  // An engine may have given up what it is believed to keep, and does so sooner than a store, which is not
  // crowded by requests' own parts; a miss at the store costs next to nothing. So the store is the source
  // before any engine. An engine sends all that it reads to the target, the request's own part as well: named
  // for every request, it would crowd the store with parts that nobody asks for again, and fill its link.
  if (cache_store != nullptr) {
    choice.memory_source = cache_store->address;
    const bool is_kept = most == chain.shared_tokens;
    if (!is_kept || !settings_.switches.store_only_unkept) {
      choice.memory_target = cache_store->address;
    }
  }
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

void EnginePlacement::noteServed(absl::Duration in_slot) {
  in_slot_ += (in_slot - in_slot_) * kInSlotSmoothing;
}

void EnginePlacement::noteKept(EngineNumber engine, const std::vector<BlockKey>& keys, absl::Time now) {
  PrefixChain chain;
  chain.blocks = keys;
  index_.observe(chain, now);
  index_.recordHeld(engine, chain, now);
}

}  // namespace quincewick::forwarding
