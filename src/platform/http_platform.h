// The platform's services over HTTP.
#pragma once

#include <absl/time/time.h>

#include <memory>

#include "platform/platform.h"
#include "types/back_end.h"

namespace quincewick::platform {

// How long one call may take.
struct HttpPlatformOptions {
  absl::Duration connect_timeout = absl::Seconds(1);
  absl::Duration call_timeout = absl::Seconds(5);  // for sending and for each wait for the answer
  // Who calls, as told to the service in headers of every call.
  NodeId node = NodeId();
  ZoneName zone = ZoneName();
};

// Keeps a few connections open. Safe for any number of threads.
class HttpPlatform final : public Platform {
 public:
  explicit HttpPlatform(Address address, HttpPlatformOptions options = {});
  ~HttpPlatform() override;

  PlatformResult call(const PlatformRequest& request) override;

 private:
  class Connections;

  std::unique_ptr<Connections> connections_;
};

}  // namespace quincewick::platform
