// The interface through which the HTTP API for callers uses its node.
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

// A completion request from an authenticated caller.
struct CompletionCall {
  RequestId id;
  TenantId tenant;
  RequestKind kind;
  ModelName model;
  AdapterName adapter;
  std::string prompt;
  uint32_t maximum_tokens = 0;
  std::optional<Urgency> urgency;  // as requested; the policy decides which urgency is granted
  std::string session;  // requests of one session get the same variant of a traffic split; may be empty
  absl::Time arrival;
};

// A request for an action, which must not be executed twice, or for a lookup, which is repeatable.
struct ActionCall {
  RequestId id;
  TenantId tenant;
  RequestKind kind;
  IdempotencyKey key;  // may be empty if the kind is repeatable
  std::string body;
  absl::Time arrival;
};

// The HTTP status and JSON body that the action server returned.
struct ActionAnswer {
  int status = 200;
  std::string body;
  bool is_repeat = false;  // the stored outcome of an earlier execution with the same key
};

// Reads the event stream of one response. Not thread-safe: only one thread may read.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;

  // Waits for events and returns all that are available, in order. Returns an empty list if none arrived
  // within `timeout`; the caller may try again. An EndEvent or CutEvent is the last event.
  virtual std::vector<StreamEvent> next(absl::Duration timeout) = 0;

  // Cancels the engine's work after the caller has disconnected. Further events are dropped.
  virtual void abandon() = 0;
};

// Implemented by the node. All functions are thread-safe.
class CallerBackend {
 public:
  virtual ~CallerBackend() = default;

  // Returns the tenant of a caller's key. kUnauthenticated if the key is invalid, expired or unknown.
  virtual Result<TenantId> authenticate(std::string_view key) = 0;

  // Returns an id that is unique among all nodes. It identifies this node, so that other nodes can
  // locate the response.
  virtual RequestId newRequestId() = 0;

  // Blocks until the first event of the response is available, or the request was rejected or has failed.
  virtual Result<std::shared_ptr<ResponseReader>> complete(const CompletionCall& call) = 0;

  // Returns the events after the token at `last_offset`, or all of them without an offset. kNotFound if this
  // site no longer stores the response.
  virtual Result<std::shared_ptr<ResponseReader>> reconnect(const RequestId& request, const TenantId& tenant,
                                                            std::optional<uint64_t> last_offset) = 0;

  // Executes the action at most once for its tenant and idempotency key.
  virtual Result<ActionAnswer> runAction(const ActionCall& call) = 0;

  virtual std::vector<ModelName> models(const TenantId& tenant) = 0;

  // False during startup and shutdown, when load balancers should send requests to other nodes.
  virtual bool ready() = 0;

  // Returns the metrics in the Prometheus text format.
  virtual std::string metricsText() = 0;
};

}  // namespace quincewick::http
