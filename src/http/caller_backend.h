// What the callers' API asks of the node behind it.
#pragma once

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"
#include "types/labels.h"
#include "types/token_event.h"
#include "types/urgency.h"

namespace quincewick::http {

// One request for a completion, its caller known.
struct CompletionCall {
  RequestId id;
  TenantId tenant;
  RequestKind kind;
  ModelName model;
  AdapterName adapter;
  std::string prompt;
  uint32_t maximum_tokens = 0;
  std::optional<Urgency> urgency;  // as the caller asked; policy decides what it may have
  std::string session;             // keeps the requests of one session on one side of a split; may be empty
  absl::Time arrival;
};

// One request for an action that may not be repeated, or a lookup that may.
struct ActionCall {
  RequestId id;
  TenantId tenant;
  RequestKind kind;
  IdempotencyKey key;  // may be empty where the kind is repeatable
  std::string body;
  absl::Time arrival;
};

// What an action returned: the server's own status and JSON body.
struct ActionAnswer {
  int status = 200;
  std::string body;
  bool is_repeat = false;  // the stored outcome of an earlier run under the same key
};

// The reading side of one answer. One thread reads.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;

  // Waits for events, and returns all that are there, in order. Empty: nothing came for `timeout`; ask
  // again. After an EndEvent or CutEvent there is nothing more.
  virtual std::vector<StreamEvent> next(absl::Duration timeout) = 0;

  // The caller is gone: stops the engine's work. Further events are dropped.
  virtual void abandon() = 0;
};

// Implemented by the node; every function may be called by many threads at once.
class CallerBackend {
 public:
  virtual ~CallerBackend() = default;

  // Maps a caller's key to its tenant. kUnauthenticated for a wrong, expired or unknown one.
  virtual Result<TenantId> authenticate(std::string_view key) = 0;

  // Unique among all nodes; names this node, so that others can find its answers.
  virtual RequestId newRequestId() = 0;

  // Waits until the first event of the answer is there, or the request is refused or has failed.
  virtual Result<std::shared_ptr<ResponseReader>> complete(const CompletionCall& call) = 0;

  // Returns the rest of an answer after the token at `last_offset`, or all of it. kNotFound if this site no
  // longer holds it.
  virtual Result<std::shared_ptr<ResponseReader>> reconnect(const RequestId& request, const TenantId& tenant,
                                                            std::optional<uint64_t> last_offset) = 0;

  // Runs the action at most once for its tenant and key.
  virtual Result<ActionAnswer> runAction(const ActionCall& call) = 0;

  virtual std::vector<ModelName> models(const TenantId& tenant) = 0;

  // False while starting or leaving: load balancers should send elsewhere.
  virtual bool ready() = 0;

  // The metrics in the Prometheus text format.
  virtual std::string metricsText() = 0;
};

}  // namespace quincewick::http
