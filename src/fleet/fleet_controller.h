// Knows every back end of the site, and, at the leader, changes engines by fenced orders.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/back_end_tracker.h"
#include "fleet/fleet_events.h"
#include "fleet/leader_lease.h"
#include "fleet/rollout_planner.h"
#include "fleet/rollout_store.h"
#include "fleet/window_store.h"

namespace quincewick::fleet {

struct FleetSettings {
  NodeId self;
  Incarnation incarnation;  // of this process
  TrackerSettings tracker;
  LeaseSettings lease;
  RolloutSettings rollout;
  absl::Duration probe_interval = absl::Seconds(1);    // of a back end that this node owns
  absl::Duration record_interval = absl::Seconds(1);   // the leader reads the rollout record
  double refresh_rate = 40.0;                          // repeated statuses a second, of all nodes together
  absl::Duration shortest_refresh = absl::Seconds(1);  // between two of one node
  uint32_t candidates = 3;  // nodes that may lead: the first of a ranking of the live ones
};

// What operators see at one node.
struct FleetStatus {
  bool is_leader = false;
  Epoch epoch;
  RolloutRecord rollout;     // as this node last read it
  RolloutProgress progress;  // at the leader only
};

// Pure; the owner serialises the calls. `now` is the node's own clock and must never go back.
class FleetController {
 public:
  explicit FleetController(FleetSettings settings);
  ~FleetController();

  std::vector<FleetAction> handle(const FleetEvent& event, absl::Time now, absl::BitGenRef random);
  absl::Time nextWakeup(absl::Time now) const;

  FleetStatus status(absl::Time now) const;
  // backEnds().status() of each is what a node that has just started takes from another as BackEndPublished.
  const BackEndTracker& backEnds() const { return tracker_; }
  bool owns(const BackEndId& id) const { return next_probe_.contains(id); }

 private:
  enum class CallPurpose : uint8_t { kLease, kWindow, kRollout };
  struct OpenCall {
    PlatformCallId id;
    absl::Time sent;
  };
  struct Reported {
    Incarnation incarnation;
    uint64_t requests = 0;
    uint64_t errors = 0;
  };
  // Of one epoch in which this node led.
  struct Tenure;

  void on(const FleetTick& event, absl::Time now);
  void on(const MachineList& event, absl::Time now);
  void on(const MembersChanged& event, absl::Time now);
  void on(const BackEndAnswered& event, absl::Time now);
  void on(const BackEndPublished& event, absl::Time now);
  void on(const OrderAnswered& event, absl::Time now);
  void on(const VersionHealth& event, absl::Time now);
  void on(const OperatorCommand& event, absl::Time now);
  void on(const PlatformReply& event, absl::Time now);

  void takeResult(CallPurpose purpose, const std::optional<PlatformResult>& result, absl::Time now);
  void giveUpLateCalls(absl::Time now);
  void call(CallPurpose purpose, PlatformRequest request, absl::Time now);
  void tellChanges(const std::vector<BackEndId>& changed, bool publish);
  void assignOwner(const BackEndId& id, absl::Time now);
  void probeOwned(absl::Time now, absl::BitGenRef random);
  void refreshOne(absl::Time now);
  void expireSilent(absl::Time now);
  absl::Duration refreshInterval() const;

  void lead(absl::Time now);
  void beginTenure(absl::Time now);
  void carryOut(absl::Time now);
  void changeWindow(absl::Time now);
  void judge(absl::Time now);
  void command(RolloutCommand command);
  std::optional<std::string> unhealthy() const;

  FleetSettings settings_;
  BackEndTracker tracker_;
  LeaderLease lease_;
  RolloutStore rollout_;
  std::unique_ptr<Tenure> tenure_;
  std::vector<FleetMember> members_;
  bool is_candidate_ = false;
  absl::btree_map<BackEndId, absl::Time> next_probe_;  // of the back ends that this node owns
  absl::Time next_refresh_ = absl::InfinitePast();
  absl::Time next_expiry_ = absl::InfinitePast();
  BackEndId last_refreshed_;
  absl::btree_map<CallPurpose, OpenCall> calls_;
  uint64_t last_call_ = 0;
  uint64_t last_operation_ = 0;
  // Of the rollout's target version, by reporter.
  absl::btree_map<NodeId, Reported> health_;
  ModelName health_model_;
  WeightsVersion health_version_;
  std::vector<FleetAction> actions_;  // of the event being handled
};

}  // namespace quincewick::fleet
