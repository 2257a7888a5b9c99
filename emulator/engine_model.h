// A model engine on virtual time: continuous batching, a prompt cache, orders and faults, without I/O.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/block_cache.h"
#include "emulator/cache_event_log.h"
#include "emulator/engine_events.h"
#include "emulator/engine_settings.h"

namespace quincewick::emulator {

// One engine. Between changes of its batch every decoding request gains tokens at one steady rate, so a
// request costs about three events whatever its length. Prompts are computed by priority, then arrival; while
// one is computed, steps take longer for all. When the batch is full, a more urgent request displaces the
// least urgent one, which keeps its blocks and goes on later. Not thread-safe. Times given to it must never
// fall.
class EngineModel {
 public:
  // Starts empty and ready at `now`. `seed` decides which cache events are lost.
  EngineModel(std::shared_ptr<const EngineSettings> settings, Incarnation incarnation, uint64_t seed,
              absl::Time now);

  // Adds weights as if they had been loaded before the start.
  void addModel(LoadedModel model);

  // Takes one event at `now`, after everything that was due before; appends what follows to `actions` in the
  // order in which it happened.
  void handle(EngineEvent event, absl::Time now, std::vector<EngineAction>& actions);

  // When Wakeup is due; infinite if nothing will happen by itself.
  absl::Time nextWakeup() const { return wakeup_; }

  // How far the request has come at `now`, or nothing if the engine doesn't hold it (finished or unknown).
  std::optional<StreamProgress> progress(EngineRequestId id, absl::Time now) const;

  // The load as the engine reports it: the state at the last multiple of the report period.
  EngineLoad reportedLoad(absl::Time now);
  // The load as it is.
  EngineLoad currentLoad() const { return loadAt(clock_); }

  // Up to `limit` cache events after `after` that can be read at `now`.
  std::vector<CacheEvent> cacheEvents(Sequence after, size_t limit, absl::Time now) const {
    return log_.read(after, limit, now);
  }

  // The number of leading `blocks` that this engine could use for a request under `salt` and its weights.
  size_t heldPrefix(const std::vector<BlockKey>& blocks, uint64_t salt, WeightsVersion weights_version) const;

  bool up() const { return up_; }
  bool draining() const { return draining_; }
  Incarnation incarnation() const { return incarnation_; }
  const std::string& role() const { return role_; }
  const std::vector<LoadedModel>& models() const { return models_; }
  const EngineCounters& counters() const { return counters_; }
  const EngineSettings& settings() const { return *settings_; }

 private:
  // A request in the engine's hands.
  struct HeldRequest {
    EngineRequest request;
    WeightsVersion weights_version;
    uint64_t arrival_order = 0;
    uint64_t prefill_left = 0;  // prompt tokens to compute, once looked up
    uint64_t cached_tokens = 0;
    uint64_t joined_progress = 0;  // progress_ when it joined the decoding ones
    uint32_t tokens_before = 0;    // tokens that existed when it joined
    bool looked_up = false;
    std::vector<BlockCache::Slot> pinned;
  };

  void on(SubmitRequest event, std::vector<EngineAction>& actions);
  void on(const CancelRequest& event, std::vector<EngineAction>& actions);
  void on(const Wakeup& event, std::vector<EngineAction>& actions);
  void on(const EngineOrder& order, std::vector<EngineAction>& actions);
  void on(const WeightsLoaded& event, std::vector<EngineAction>& actions);
  void on(ImportBlocks event, std::vector<EngineAction>& actions);
  void on(const Crash& event, std::vector<EngineAction>& actions);
  void on(const Restart& event, std::vector<EngineAction>& actions);
  void on(const SetPace& event, std::vector<EngineAction>& actions);
  void on(const DropCacheEvents& event, std::vector<EngineAction>& actions);

  std::optional<RefusalReason> refusal(const EngineRequest& request, const LoadedModel* model) const;
  OrderOutcome carryOut(const EngineOrder& order, std::vector<EngineAction>& actions);
  OrderOutcome beginWeightLoad(const EngineOrder& order, std::vector<EngineAction>& actions);
  LoadedModel* findModel(const ModelName& name);
  bool holds(EngineRequestId id) const;

  // Runs everything that is due up to `now`, then brings the clock there.
  void runUntil(absl::Time now, std::vector<EngineAction>& actions);
  void moveClock(absl::Time now);
  // Takes the steps that have become possible and plans the next one.
  void settle(std::vector<EngineAction>& actions);
  void finishImports();
  void finishDecoding(std::vector<EngineAction>& actions);
  void finishPrefill(std::vector<EngineAction>& actions);
  void admitWaiting();
  void formPrefillGroup();
  void breakPrefillGroup();
  bool makeRoomFor(uint8_t priority);
  void join(HeldRequest held);
  uint64_t prefillLeft(const HeldRequest& held, uint64_t progress) const;
  static bool servedLater(const HeldRequest& left, const HeldRequest& right);
  static void insertInOrder(std::vector<HeldRequest>& queue, HeldRequest held);
  EngineLoad loadAt(absl::Time now) const;
  void lookUp(HeldRequest& held);
  void plan();

  uint32_t tokensOf(const HeldRequest& held, uint64_t progress) const;
  uint64_t progressAt(absl::Time now) const;
  absl::Time timeOfProgress(uint64_t progress) const;
  void release(HeldRequest& held);
  void storeBlocks(const std::vector<BlockKey>& blocks, size_t first, const BlockProvenance& provenance);
  BlockProvenance provenanceOf(const HeldRequest& held) const;
  void takeReportSnapshot(absl::Time now);
  void abortAll(std::vector<EngineAction>& actions);

  struct PendingImport {
    absl::Time usable_at;
    ImportBlocks import;
  };

  std::shared_ptr<const EngineSettings> settings_;
  Incarnation incarnation_;
  std::vector<LoadedModel> models_;
  std::vector<ModelName> loading_;
  std::string role_;
  Epoch last_epoch_;
  Sequence last_sequence_;
  OrderOutcome last_outcome_ = OrderOutcome::kDone;
  bool up_ = true;
  bool draining_ = false;

  // The clock: progress_ counts steps in units of 1 / kUnitsPerStep since the engine was made.
  absl::Time clock_;
  uint64_t progress_ = 0;
  uint64_t step_nanoseconds_ = 1;
  double slowdown_ = 1.0;
  absl::Time wakeup_ = absl::InfiniteFuture();

  // Ordered so that the next one to be served is at the back.
  std::vector<HeldRequest> waiting_;
  std::vector<HeldRequest> prefilling_;
  std::vector<HeldRequest> decoding_;
  uint32_t group_size_ = 0;  // requests at the back of prefilling_ that are computed together
  uint64_t group_end_progress_ = 0;
  uint64_t group_units_ = 1;  // progress that the group needs in all
  uint64_t group_chunk_tokens_ = 0;
  uint64_t next_arrival_order_ = 0;

  std::vector<PendingImport> imports_;
  BlockCache cache_;
  CacheEventLog log_;
  EngineCounters counters_;
  absl::Time report_time_ = absl::InfinitePast();
  EngineLoad report_;
};

}  // namespace quincewick::emulator
