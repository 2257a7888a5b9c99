// Carries out a rollout at the leader: which engines to take out of service, when to load, when to give back.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/back_end_tracker.h"
#include "fleet/order.h"
#include "fleet/records.h"
#include "fleet/rollout_targets.h"

namespace quincewick::fleet {

struct RolloutSettings {
  absl::Duration order_retry = absl::Milliseconds(250);           // an order without an answer is sent again
  absl::Duration drain_query_interval = absl::Milliseconds(250);  // at most; less where drains are short
  absl::Duration load_query_interval = absl::Milliseconds(20);    // from shortly before a load should be done
  absl::Duration load_time = absl::Milliseconds(600);             // expected at first; then learnt
  absl::Duration report_lag = absl::Milliseconds(210);            // an engine's answer may show an older load
  absl::Duration load_timeout = absl::Seconds(10);                // after it a load is taken for failed
  absl::Duration takeover_settle = absl::Seconds(3);       // a load taken from an old leader is over after it
  absl::Duration drain_limit = absl::Seconds(120);         // then the load begins all the same
  absl::Duration failed_engine_pause = absl::Seconds(30);  // before an engine is tried again
  uint32_t maximum_load_attempts = 3;                      // of one engine in a row
  uint32_t maximum_failed_engines = 2;                     // more failed engines: roll back
  uint32_t maximum_draining = 32;                          // engines out of service beyond those that load
};

// An order for an engine, to be sent now.
struct EngineOrder {
  BackEndId engine;
  Order order;
};

struct RolloutProgress {
  uint32_t capacity = 0;   // engines of the model that are listed and not leaving
  uint32_t ready = 0;      // of those, ready
  uint32_t remaining = 0;  // of those, not yet changed
  uint32_t out = 0;        // taken out of service by the rollout
  uint32_t loading = 0;
};

// One tenure of one leader. Pure; the owner serialises the calls. An engine is only given orders after
// admit().
class RolloutPlanner {
 public:
  // `inherited` are the engines that an earlier leader may have given orders to.
  RolloutPlanner(RolloutSettings settings, Epoch epoch, const std::vector<BackEndId>& inherited,
                 absl::Time now);

  // What the rollout is to achieve now. A change of target counts all engines anew.
  void setRecord(const RolloutRecord& record, const BackEndTracker& tracker);
  // A back end's state, incarnation or models have changed, or it is forgotten.
  void noteBackEnd(const BackEndId& id, const BackEndTracker& tracker);

  // The engines to be taken out of service next; the owner stores them in the window, then calls admit().
  std::vector<BackEndId> wanted(const BackEndTracker& tracker, absl::Time now) const;
  void admit(const std::vector<BackEndId>& engines, absl::Time now);
  // The engines that may have orders in progress: what the window must hold at least.
  std::vector<BackEndId> window() const;
  // Forgets finished engines that are no longer in the stored window.
  void releaseFinished(const std::vector<BackEndId>& stored_window);

  // Orders and queries that are due.
  void advance(const BackEndTracker& tracker, absl::Time now, std::vector<EngineOrder>& orders,
               std::vector<BackEndId>& queries);
  void takeOrderOutcome(const BackEndId& engine, const Order& order, OrderOutcome outcome, absl::Time now);
  // True when the rollout has nothing left to do. False while an engine can't be changed now but may be
  // later.
  bool isComplete() const;
  // Why the rollout should be rolled back, if its loads fail.
  std::optional<std::string> failure() const;
  RolloutProgress progress() const;
  absl::Time nextWakeup(absl::Time now) const;

 private:
  enum class Step : uint8_t {
    kFencing,   // of an earlier leader: a first order of this epoch makes older ones bounce
    kDraining,  // takes no new work; until nothing is in flight
    kDrained,   // waits for its turn to load
    kLoading,
    kResuming,
    kFinished,  // may leave the window
  };

  struct Work {
    Step step = Step::kDraining;
    Incarnation incarnation;
    std::optional<Order> outstanding;  // sent, without an answer that settles it
    bool acknowledged = false;         // the step's own order was taken
    absl::Time entered;                // the step
    absl::Time acknowledged_at = absl::InfinitePast();
    absl::Time next_send = absl::InfinitePast();
    absl::Time next_query = absl::InfinitePast();
    absl::Time may_load_until = absl::InfinitePast();  // a load may be in progress until then
    WeightsVersion loading;                            // the version of the last load order
    uint32_t attempts = 0;
  };

  bool needsDrain() const { return record_.kind == RolloutKind::kWeights; }
  Step firstStep() const { return needsDrain() ? Step::kDraining : Step::kDrained; }
  bool isHeldBack(const BackEndId& id, absl::Time now) const;
  uint32_t drainAhead() const;
  // Engines out of service that the tracker still counts as ready, or has counted so until now.
  uint32_t readyOutsideWindow() const;
  std::optional<BackEndId> pickFromZone(const absl::btree_set<BackEndId>& engines,
                                        const absl::btree_set<BackEndId>& picked,
                                        const BackEndTracker& tracker, absl::Time now) const;
  uint32_t loadsInProgress(absl::Time now) const;
  static void enter(Work& work, Step step, absl::Time now);
  // Returns false if the engine is out of the rollout's hands.
  bool followEngine(Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void settleStep(const BackEndId& id, Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void settleFencing(Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void settleDraining(Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void settleLoading(const BackEndId& id, Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void finishLoad(Work& work, const TrackedBackEnd& tracked, absl::Time now);
  void takeAcknowledgement(Work& work, absl::Time now);
  void takeFailedLoad(const BackEndId& id, Work& work, absl::Time now);
  void beginLoads(absl::Time now);
  void sendIfDue(const BackEndId& id, Work& work, absl::Time now, std::vector<EngineOrder>& orders);
  void queryIfDue(const BackEndId& id, Work& work, absl::Time now, std::vector<BackEndId>& queries) const;
  Order makeOrder(Step step);

  RolloutSettings settings_;
  Epoch epoch_;
  uint64_t sequence_ = 0;
  RolloutRecord record_;
  RolloutTargets targets_;
  absl::btree_map<BackEndId, Work> work_;
  absl::btree_map<BackEndId, absl::Time> failed_;  // loads failed too often: not tried until then
  absl::Duration mean_drain_ = absl::Milliseconds(500);
  absl::Duration mean_load_;
};

}  // namespace quincewick::fleet
