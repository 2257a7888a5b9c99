// The inputs and outputs of EngineModel.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "types/back_end.h"
#include "types/block_key.h"
#include "types/identifiers.h"

namespace quincewick::emulator {

// A request's number within one engine; chosen by the caller, unique among the requests the engine holds.
using EngineRequestId = StrongNumber<struct EngineRequestIdTag>;

// A request as the engine sees it. The text is not needed: its length and its block keys are.
struct EngineRequest {
  EngineRequestId id;
  ModelName model;
  AdapterName adapter;
  uint8_t priority = 1;  // 0 is served first
  uint64_t salt = 0;     // names who may share cached blocks with this request
  PrefixChain prompt;
  uint32_t output_tokens = 0;  // tokens to generate; at least 1
  std::optional<WeightsVersion> wanted_weights;
  std::optional<Incarnation> wanted_incarnation;
};

struct SubmitRequest {
  EngineRequest request;
};

struct CancelRequest {
  EngineRequestId id;
};

// Time has passed: due by EngineModel::nextWakeup(), harmless at any time.
struct Wakeup {};

enum class OrderKind : uint8_t { kLoadWeights, kLoadAdapter, kSetRole, kDrain, kResume };

// An order of the fleet's leader. Taken only if (epoch, sequence) is greater than the last one taken.
struct EngineOrder {
  Epoch epoch;
  Sequence sequence;
  OrderKind kind = OrderKind::kResume;
  ModelName model;
  WeightsVersion weights_version;
  AdapterName adapter;
  std::string role;
};

// The weights that StartWeightLoad asked for have arrived.
struct WeightsLoaded {
  Incarnation incarnation;
  ModelName model;
  WeightsVersion weights_version;
};

// Under what a block was computed. A request may only use blocks that agree in every field.
struct BlockProvenance {
  uint64_t salt = 0;
  WeightsVersion weights_version;
  Incarnation incarnation;

  friend bool operator==(const BlockProvenance&, const BlockProvenance&) = default;
};

// Blocks that came from a cache store. They become usable when their transfer is done.
struct ImportBlocks {
  std::vector<BlockKey> blocks;
  ModelName model;
  uint64_t salt = 0;
  WeightsVersion weights_version;  // refused unless the engine has these weights
  bool unchecked = false;          // the fault of taking blocks of any weights
};

// The process dies: every request and every cached block is gone.
struct Crash {};

// The process is back. `keep_cache` is the fault of memory that outlives its process, to prove the check.
struct Restart {
  Incarnation incarnation;
  bool keep_cache = false;
};

// Every step takes `slowdown` times as long; infinite: the engine stands still.
struct SetPace {
  double slowdown = 1.0;
};

// Cache events before this moment never appear.
struct DropCacheEvents {
  absl::Time until;
};

using EngineEvent = std::variant<SubmitRequest, CancelRequest, Wakeup, EngineOrder, WeightsLoaded,
                                 ImportBlocks, Crash, Restart, SetPace, DropCacheEvents>;

enum class RefusalReason : uint8_t {
  kDown,
  kDuplicate,
  kUnknownModel,
  kUnknownAdapter,
  kWrongWeights,
  kWrongIncarnation,
  kDraining,
  kLoadingWeights,
  kQueueFull,
  kInvalid,
};

// The request was not run and holds nothing at the engine.
struct RequestRefused {
  EngineRequestId id;
  RefusalReason reason = RefusalReason::kDown;
};

// The request was taken; it keeps this version of the weights to its end.
struct RequestAccepted {
  EngineRequestId id;
  WeightsVersion weights_version;
};

// The prompt is computed and the first token exists.
struct FirstToken {
  EngineRequestId id;
  absl::Time at;
  uint64_t cached_tokens = 0;
};

// All tokens exist; the engine has forgotten the request.
struct RequestFinished {
  EngineRequestId id;
  absl::Time at;
  uint64_t cached_tokens = 0;
};

// The request was cancelled or lost in a crash; the engine has forgotten it.
struct RequestAborted {
  EngineRequestId id;
  uint32_t tokens = 0;  // tokens that existed by then
};

// Load these weights, then send WeightsLoaded.
struct StartWeightLoad {
  Incarnation incarnation;
  ModelName model;
  WeightsVersion weights_version;
};

enum class OrderOutcome : uint8_t { kDone, kLoading, kFenced, kInvalid };

struct OrderAnswered {
  OrderOutcome outcome = OrderOutcome::kDone;
};

// The answer to ImportBlocks: when the blocks can be used, or nothing if the import was refused.
struct ImportAnswered {
  std::optional<absl::Time> usable_at;
};

using EngineAction = std::variant<RequestRefused, RequestAccepted, FirstToken, RequestFinished,
                                  RequestAborted, StartWeightLoad, OrderAnswered, ImportAnswered>;

// How far a stream has come.
struct StreamProgress {
  uint32_t tokens = 0;                             // tokens that exist
  absl::Time next_token = absl::InfiniteFuture();  // if nothing changes; infinite before the first token
  uint64_t cached_tokens = 0;
};

enum class CacheEventKind : uint8_t { kStored, kEvicted };

struct CacheEvent {
  Sequence sequence;  // rises by one with each event of an incarnation; a gap shows lost ones
  CacheEventKind kind = CacheEventKind::kStored;
  BlockKey block;
};

// Uses of blocks that the request had no right to. Zero in a correct system.
struct CacheViolations {
  uint64_t salt = 0;
  uint64_t weights_version = 0;
  uint64_t incarnation = 0;

  uint64_t total() const { return salt + weights_version + incarnation; }
};

// Totals since the engine was made; they survive its crashes.
struct EngineCounters {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t finished = 0;
  uint64_t aborted = 0;
  uint64_t prompt_tokens = 0;  // of requests whose prompt was computed or found
  uint64_t cached_tokens = 0;  // of those, found in the cache
  uint64_t fenced_orders = 0;
  CacheViolations violations;
};

}  // namespace quincewick::emulator
