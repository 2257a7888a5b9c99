// Decides for each request when it starts, or that it is refused.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

#include "admission/concurrency_window.h"
#include "admission/drain_estimator.h"
#include "admission/fair_queue.h"
#include "admission/refusal.h"
#include "types/inference_request.h"

namespace quincewick::admission {

// How one urgency class is served.
struct ClassConfiguration {
  // Of the window: requests of this class start only while less than this is in flight, of all classes. The
  // rest stays free for more urgent classes, so that they find a place at once.
  double window_share = 1;
  // Of the engine work started while this class waits: it gets at least this much, however busy more urgent
  // classes are.
  double minimum_share = 0;
  // A request that has waited this long is refused.
  absl::Duration maximum_wait = absl::Seconds(10);
};

struct AdmissionConfiguration {
  std::array<ClassConfiguration, kAllUrgencies.size()> classes = {
      ClassConfiguration{1.0, 0, absl::Seconds(5)},
      ClassConfiguration{0.85, 0.1, absl::Seconds(15)},
      ClassConfiguration{0.8, 0.05, absl::Minutes(5)},
  };
  size_t maximum_waiting = 1024;            // on this node, all classes together
  size_t maximum_waiting_per_tenant = 256;  // in each class
  double default_weight = 1;
  absl::btree_map<TenantId, double> tenant_weights;  // all above 0
  WindowConfiguration window;
  absl::Duration shortest_retry_after = absl::Milliseconds(500);
  absl::Duration longest_retry_after = absl::Minutes(2);
};

// A request asks to be started. Its id must be unique among those waiting or in flight.
struct RequestOffered {
  InferenceRequest request;
  double cost = 1;                      // engine work, in any unit that is the same for all requests; above 0
  absl::Duration expected_first_token;  // after its start, on an unloaded engine
};

// The first token of a started request has arrived.
struct FirstTokenArrived {
  RequestId id;
};

enum class FinishKind : uint8_t {
  kCompleted,   // ran to its end
  kFailed,      // the back end failed; nothing is learnt about speed
  kOverloaded,  // the back end turned it away because it was full
};

// A started request occupies its place no longer.
struct RequestFinished {
  RequestId id;
  FinishKind kind = FinishKind::kCompleted;
};

// The caller went away. A waiting request is dropped without an answer, a started one is finished.
struct RequestCancelled {
  RequestId id;
};

// The fleet behind this controller may have this many requests in flight from this node at most.
struct CapacityChanged {
  double maximum_in_flight = 1;
};

// New policy; what waits stays, and is served by the new rules.
struct AdmissionReconfigured {
  AdmissionConfiguration configuration;
};

// Time has passed; due at nextWakeup() at the latest.
struct Tick {};

using AdmissionEvent = std::variant<RequestOffered, FirstTokenArrived, RequestFinished, RequestCancelled,
                                    CapacityChanged, AdmissionReconfigured, Tick>;

// Send the request to a back end now.
struct Start {
  InferenceRequest request;
};

// Answer the caller now: the request was not run.
struct Refuse {
  RequestId id;
  Refusal refusal;
};

using AdmissionAction = std::variant<Start, Refuse>;

// One for each group of back ends on a node. Each offered request gets exactly one Start or Refuse, except
// one that is cancelled while it waits, which gets neither. Nothing that waits grows without bound. Not
// thread-safe: the owner calls it from one thread at a time. Time must not go backwards.
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionConfiguration configuration);

  std::vector<AdmissionAction> handle(AdmissionEvent event, absl::Time now, absl::BitGenRef random);

  // When the next Tick is due: the earliest time at which something waiting must be refused.
  absl::Time nextWakeup() const;

  size_t waiting() const;
  size_t waiting(Urgency urgency) const { return queues_[static_cast<size_t>(urgency)].queue.size(); }
  size_t inFlight() const { return running_.size(); }
  double windowLimit() const { return window_.limit(); }
  // Expected time until a request offered now would start.
  absl::Duration expectedWait(const TenantId& tenant, Urgency urgency, double cost, absl::Time now) const;

 private:
  struct ClassQueue {
    FairQueue queue;
    double owed = 0;  // engine work that this class may start ahead of more urgent ones
  };
  struct RunningRequest {
    Urgency urgency = Urgency::kStandard;
    double cost = 0;
    absl::Duration expected_first_token;
    absl::Time started;
    bool has_first_token = false;
  };
  struct WaitingPlace {
    Urgency urgency = Urgency::kStandard;
    TenantId tenant;
    uint64_t sequence = 0;
    absl::Time expiry;
  };
  using Actions = std::vector<AdmissionAction>;

  void on(RequestOffered& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(FirstTokenArrived& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(RequestFinished& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(RequestCancelled& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(CapacityChanged& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(AdmissionReconfigured& event, absl::Time now, absl::BitGenRef random, Actions& actions);
  void on(Tick& event, absl::Time now, absl::BitGenRef random, Actions& actions);

  const ClassConfiguration& classOf(Urgency urgency) const;
  ClassQueue& queueOf(Urgency urgency) { return queues_[static_cast<size_t>(urgency)]; }
  const ClassQueue& queueOf(Urgency urgency) const { return queues_[static_cast<size_t>(urgency)]; }
  double weightOf(const TenantId& tenant) const;

  bool makeRoom(const RequestOffered& offered, absl::Time now, absl::BitGenRef random, Actions& actions);
  void enqueue(RequestOffered& offered, absl::Time now);
  void forget(const WaitingRequest& waiting);
  void refuseExpired(absl::Time now, absl::BitGenRef random, Actions& actions);
  void startWhatFits(absl::Time now, Actions& actions);
  ClassQueue* nextToStart();
  void creditWaitingClasses(double cost);
  bool fits(Urgency urgency) const;
  void release(const RequestId& id, FinishKind kind, absl::Time now);
  Refuse refuse(const InferenceRequest& request, RefusalReason reason, absl::Duration expected_wait,
                absl::BitGenRef random) const;

  AdmissionConfiguration configuration_;
  ConcurrencyWindow window_;
  DrainEstimator drain_;
  std::array<ClassQueue, kAllUrgencies.size()> queues_;
  absl::flat_hash_map<RequestId, RunningRequest> running_;       // looked up only, never iterated
  absl::flat_hash_map<RequestId, WaitingPlace> waiting_places_;  // looked up only, never iterated
  absl::btree_map<std::pair<absl::Time, uint64_t>, RequestId> expiries_;
  uint64_t next_sequence_ = 0;
};

}  // namespace quincewick::admission
