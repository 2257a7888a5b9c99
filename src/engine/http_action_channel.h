// The action servers' HTTP protocol.
#pragma once

#include <absl/time/time.h>

#include "engine/action_channel.h"
#include "engine/caller_identity.h"

namespace quincewick::engine {

struct HttpActionOptions {
  CallerIdentity identity;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  absl::Duration answer_timeout = absl::Seconds(20);
};

// Each call has a connection of its own: only then does a failure to connect prove that nothing was sent.
class HttpActionChannel : public ActionChannel {
 public:
  explicit HttpActionChannel(const HttpActionOptions& options) : options_(options) {}

  Result<ActionReply> run(const Address& server, const ActionRequest& request) override;
  Result<ActionReply> lookUp(const Address& server, const ActionRequest& request) override;

 private:
  const HttpActionOptions options_;
};

}  // namespace quincewick::engine
