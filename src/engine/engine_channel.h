// How the node talks to an engine, apart from any wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "prefix/prefix_index.h"
#include "streams/answer_events.h"
#include "types/back_end.h"
#include "types/block_key.h"
#include "types/urgency.h"

namespace quincewick::engine {

// One attempt of a request, ready to be sent.
struct EngineRequest {
  RequestId request;  // names the stream at the engine; differs between attempts
  AttemptNumber attempt;
  ModelName model;
  AdapterName adapter;
  std::string prompt;
  std::string generated_prefix;  // tokens of the answer that earlier attempts gave
  uint64_t resume_from = 0;      // their count
  uint32_t maximum_tokens = 0;
  Urgency urgency = Urgency::kStandard;
  std::string cache_salt;
  // The engine must refuse, without running, when it is not this one any more. Zero: unknown, not checked.
  Incarnation incarnation;
  WeightsVersion weights_version;
};

// What an engine said of itself beside its tokens.
struct EngineObservation {
  EngineLoad load;
  WeightsVersion weights_version;
};

// Receives the events of one attempt, on the thread that runs it.
class EngineEventSink {
 public:
  virtual ~EngineEventSink() = default;

  // Takes an event. Returns false when nothing more of this attempt is wanted: its connection is then closed.
  virtual bool onEvent(streams::AnswerEvent event) = 0;

  virtual void onObservation(const EngineObservation& observation) = 0;
};

// A page of an engine's cache events. Sequence numbers that are missing were lost.
struct CacheEventPage {
  Incarnation incarnation;
  std::vector<prefix::CacheEvent> events;
  Sequence next;
};

// An engine's report: its load and what it has loaded.
struct EngineReport {
  EngineLoad load;
  std::vector<LoadedModel> models;
};

// A fenced order to an engine.
enum class OrderKind : uint8_t { kLoadWeights, kLoadAdapter, kSetRole, kDrain, kResume };

struct EngineOrder {
  Epoch epoch;
  Sequence sequence;
  OrderKind kind = OrderKind::kLoadWeights;
  ModelName model;
  WeightsVersion weights_version;
  AdapterName adapter;
  std::string role;
};

// Speaks to all engines. Every function blocks the calling thread and may be called by many at once.
class EngineChannel {
 public:
  virtual ~EngineChannel() = default;

  // Sends the attempt and hands its events to `sink` until the last one: EngineEnd, or EngineLost with what
  // is known of the execution.
  virtual void run(const Address& engine, const EngineRequest& request, EngineEventSink& sink) = 0;

  // Reads on an attempt that `run` began, from token `from_offset`.
  virtual void resume(const Address& engine, const EngineRequest& request, uint64_t from_offset,
                      EngineEventSink& sink) = 0;

  // Stops an attempt's work. A stream that the engine no longer has is no error.
  virtual Result<void> cancel(const Address& engine, const RequestId& request) = 0;

  virtual Result<EngineReport> report(const Address& engine) = 0;

  virtual Result<CacheEventPage> cacheEvents(const Address& engine, Sequence after, uint32_t limit) = 0;

  // kFenced when the engine has taken an order with a later fence.
  virtual Result<void> order(const Address& engine, const EngineOrder& order) = 0;
};

}  // namespace quincewick::engine
