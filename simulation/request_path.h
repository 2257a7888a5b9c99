// The request path of hollow nodes: the real router, admission and answer streams of each node, joined to the
// modelled engines by the modelled network.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "admission/admission_controller.h"
#include "loadgen/workload_generator.h"
#include "routing/router.h"
#include "simulation/control_site.h"
#include "simulation/engine_fleet.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/promise_observer.h"
#include "streams/answer_stream.h"

namespace quincewick::simulation {

// What becomes of a request, as its node sends it to the caller.
class AnswerReceiver {
 public:
  AnswerReceiver() = default;
  AnswerReceiver(const AnswerReceiver&) = delete;
  AnswerReceiver& operator=(const AnswerReceiver&) = delete;
  virtual ~AnswerReceiver() = default;

  virtual void onTokens(RequestNumber request, uint64_t from, uint64_t to) = 0;
  virtual void onEnd(RequestNumber request, const Usage& usage) = 0;
  // An error event after the first token, or the loss of the connection to a node that crashed.
  virtual void onCut(RequestNumber request, bool by_planned_stop) = 0;
  // A final answer instead of a stream.
  virtual void onRefused(RequestNumber request, Execution execution) = 0;
};

struct RequestPathSettings {
  routing::RouterSettings router;
  admission::AdmissionConfiguration admission;
  streams::AnswerOptions stream;
  absl::Duration connection_timeout = absl::Seconds(3);  // until a silent connection counts as lost
  absl::Duration ejection = absl::Seconds(3);            // of an engine whose connection was lost
};

class RequestPath {
 public:
  // All references must outlive the path. `workload` names tenants and kinds of the arrivals.
  RequestPath(EventQueue& queue, const NetworkModel& network, const Topology& topology, EngineFleet& engines,
              ControlSite& control, PromiseObserver& observer, const loadgen::Workload& workload,
              const RequestPathSettings& settings, uint64_t seed);

  void setReceiver(AnswerReceiver* receiver) { receiver_ = receiver; }

  // A request arrives at the node. False when nothing answers there.
  bool offer(NodeIndex node, const loadgen::Arrival& arrival, absl::Time start);

  // The control plane's answer to a LimitRequested of this path.
  void onLimitDecision(NodeIndex node, const admission::LimitDecision& decision);

  // The node's process begins, or ends at once: its streams are lost.
  void nodeStarted(NodeIndex node);
  void nodeCrashed(NodeIndex node);
  // The node was told to stop: it takes nothing new.
  void nodeStopping(NodeIndex node) { nodes_[node].stopping = true; }
  bool takesRequests(NodeIndex node) const { return control_.isRunning(node) && !nodes_[node].stopping; }
  // Whether a request that arrives now would be served: what a caller's probe of the node would see.
  bool wouldServe(NodeIndex node) const;
  size_t openRequests(NodeIndex node) const { return nodes_[node].open.size(); }
  // Cuts what a planned stop could not wait for.
  void cutOpenRequests(NodeIndex node);

  // Hands an event to the node's router, as when a load report arrives; nothing if the node doesn't run.
  void tellRouter(NodeIndex node, const routing::RouterEvent& event);
  const routing::Router* router(NodeIndex node) const { return nodes_[node].router.get(); }
  EngineIndex indexOf(const BackEndId& engine) const { return engine_indices_.at(engine); }

  // Prompt tokens of blocks that some engine had computed before, under the same root, and computed again.
  uint64_t recomputedTokens() const { return recomputed_tokens_; }
  uint64_t retriedAttempts() const { return retried_attempts_; }
  // Processor seconds in routing, admission and streams; measured values.
  double routingCpuSeconds() const { return routing_cpu_seconds_; }
  double streamCpuSeconds() const { return stream_cpu_seconds_; }
  uint64_t placements() const { return placements_; }
  void resetCosts();

  // Ends all routers and admission controllers one after another; returns the heap bytes each node gave back.
  std::vector<uint64_t> measureMemoryAndStop();

 private:
  using AttemptId = emulator::EngineRequestId;

  struct NodeState {
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<admission::AdmissionController> admission;
    absl::btree_set<RequestNumber> open;
    Random random;
    absl::Time admission_wakeup = absl::InfiniteFuture();
    bool stopping = false;
  };

  struct OpenRequest {
    NodeIndex node = 0;
    InferenceRequest request;
    routing::RouteDecision decision;
    streams::AnswerStream stream{streams::AnswerOptions()};
    std::vector<BackEndId> excluded;
    std::vector<AttemptId> attempts;
    bool started = false;  // admission has let it through
    bool first_token_seen = false;
  };

  // One attempt at one engine, from its dispatch to its end.
  struct Attempt {
    RequestNumber request = 0;
    AttemptNumber number;
    NodeIndex node = 0;
    EngineIndex engine = 0;
    uint64_t from_offset = 0;
    uint64_t fed_tokens = 0;                          // of this attempt, handed to the stream
    absl::Time last_delivery = absl::InfinitePast();  // connections keep their order
  };

  // What the first token would take on an idle engine, by the cache hit that the router expects.
  absl::Duration expectedFirstToken(NodeIndex node, const OpenRequest& open);
  void applyAdmission(NodeIndex node, std::vector<admission::AdmissionAction> actions);
  void scheduleAdmissionWakeup(NodeIndex node);
  void begin(RequestNumber number);
  void feed(RequestNumber number, streams::AnswerEvent event);
  std::optional<streams::AnswerEvent> carryOut(RequestNumber number, OpenRequest& open,
                                               const streams::AnswerAction& action);
  std::optional<streams::AnswerEvent> startAttempt(RequestNumber number, OpenRequest& open,
                                                   const streams::StartAttempt& start);
  void dispatch(AttemptId id, const routing::Placement& placement);
  void cancelAttempt(AttemptId id);
  void close(RequestNumber number, admission::FinishKind kind);

  void onEngineAction(EngineIndex engine, const emulator::EngineAction& action);
  // Runs `step` at the attempt's node when the engine's bytes arrive there, or reports the connection's loss.
  template <class Step>
  void toNode(AttemptId id, Step step);
  void onEngineRefusal(AttemptId id, emulator::RefusalReason reason);
  void onFirstToken(AttemptId id);
  void onFinished(AttemptId id, uint64_t cached_tokens);
  void onAttemptLost(AttemptId id, uint64_t tokens, ErrorCode code);
  void feedTokens(AttemptId id, uint64_t up_to);
  void countRecomputed(const PrefixChain& prompt, uint64_t cached_tokens);
  // Keeps the node's router off the engine for a while.
  void eject(NodeIndex node, EngineIndex engine);
  void endAttempt(AttemptId id, const std::optional<Usage>& usage);

  EventQueue& queue_;
  const NetworkModel& network_;
  const Topology& topology_;
  EngineFleet& engines_;
  ControlSite& control_;
  PromiseObserver& observer_;
  const loadgen::Workload& workload_;
  RequestPathSettings settings_;
  AnswerReceiver* receiver_ = nullptr;
  Random network_random_;
  std::vector<NodeState> nodes_;
  absl::flat_hash_map<BackEndId, EngineIndex> engine_indices_;             // looked up only, never iterated
  absl::flat_hash_map<RequestNumber, std::unique_ptr<OpenRequest>> open_;  // looked up only, never iterated
  absl::flat_hash_map<AttemptId, Attempt> attempts_;                       // looked up only, never iterated
  AttemptId next_attempt_;
  absl::flat_hash_set<BlockKey> computed_blocks_;  // looked up only, never iterated
  uint64_t recomputed_tokens_ = 0;
  uint64_t retried_attempts_ = 0;
  uint64_t placements_ = 0;
  double routing_cpu_seconds_ = 0;
  double stream_cpu_seconds_ = 0;
};

}  // namespace quincewick::simulation
