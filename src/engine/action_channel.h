// How the node talks to action servers, apart from any wire format.
#pragma once

#include <string>

#include "types/back_end.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::engine {

// One call of an action server.
struct ActionRequest {
  TenantId tenant;
  RequestKind kind;
  IdempotencyKey key;
  std::string body;
};

// The server's own answer.
struct ActionReply {
  int status = 200;
  std::string body;
};

// Every function blocks the calling thread and may be called by many at once.
class ActionChannel {
 public:
  virtual ~ActionChannel() = default;

  // Sends the call once, never again by itself. An error with Execution::kNotRun means that no byte has left;
  // with kUnknown it may have run.
  virtual Result<ActionReply> run(const Address& server, const ActionRequest& request) = 0;

  // Sends a lookup, which changes nothing and may be sent again. Its body is a JSON object of plain values.
  virtual Result<ActionReply> lookUp(const Address& server, const ActionRequest& request) = 0;
};

}  // namespace quincewick::engine
