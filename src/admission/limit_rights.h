// Who may give out tenants' limits: each node owns the same part of all, and lends it.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <memory>

#include "admission/limit_slots.h"
#include "admission/shared_limit_types.h"

namespace quincewick::admission {

// A node's right to its part of the limits, lent to the collector of its zone; and the collector's part,
// which lends what it has collected to the homes of the slots. A right is lent to one holder at a time, so
// homes that don't know of each other share the limit and never double it. Nothing is kept over a restart: a
// new process waits until what its predecessor can have lent has lapsed, or renews for the collector that
// holds it. Not thread-safe.
class LimitRights {
 public:
  // `incarnation` rises with each start of the node.
  LimitRights(SharedLimitConfiguration configuration, NodeId self, ZoneName zone, Incarnation incarnation,
              absl::Time now);

  void setDirectory(std::shared_ptr<const LimitDirectory> directory);

  void onRequest(const NodeId& from, const RightsRequest& request, absl::Time now,
                 SharedLimitActions& actions);
  void onLease(const NodeId& from, const RightsLease& lease, absl::Time now);
  void onRelease(const NodeId& from, const RightsRelease& release, absl::Time now);
  // A collector asks the nodes of its zone when it is time.
  void onTick(absl::Time now, SharedLimitActions& actions);

 private:
  struct Loan {
    NodeId lessee;
    uint64_t sequence = 0;
    absl::Time end = absl::InfinitePast();
  };

  bool isCollector() const { return directory_->collectorOf(zone_) == self_; }
  bool freeFor(const Loan& loan, const NodeId& lessee, absl::Time now) const;
  bool lendOwnRight(const NodeId& lessee, bool renewal, absl::Time now);
  void lendZone(const NodeId& lessee, const RightsRequest& request, absl::Time now,
                SharedLimitActions& actions);
  uint16_t collectedRights(absl::Time now) const;

  SharedLimitConfiguration configuration_;
  NodeId self_;
  ZoneName zone_;
  std::shared_ptr<const LimitDirectory> directory_ = std::make_shared<LimitDirectory>();
  absl::Time own_right_from_;
  absl::Time collected_rights_from_;
  Loan own_loan_;
  absl::btree_map<NodeId, absl::Time> collected_;  // end of each node's loan to this collector
  std::array<Loan, kLimitSlots> slot_loans_;
  absl::btree_map<NodeId, uint64_t> newest_request_;  // of each home
  uint64_t poll_sequence_;
  absl::Time poll_sent_ = absl::InfinitePast();
};

}  // namespace quincewick::admission
