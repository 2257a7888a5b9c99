#include "platform/http_platform.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <utility>
#include <vector>

#include "platform/platform_messages.h"
#include "types/http_message.h"

namespace quincewick::platform {
namespace {

// Idle connections kept; the rate limits of the platform make more pointless.
constexpr size_t kMaximumIdleConnections = 8;

std::pair<time_t, time_t> toSecondsAndMicroseconds(absl::Duration duration) {
  const int64_t microseconds = absl::ToInt64Microseconds(duration);
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  return {microseconds / kMicrosecondsPerSecond, microseconds % kMicrosecondsPerSecond};
}

Error failedCall(const std::string& cause, bool may_have_written) {
  const std::string message = "call to the platform failed: " + cause;
  if (may_have_written) {
    return {ErrorCode::kOutcomeUnknown, message, Execution::kUnknown};
  }
  return {ErrorCode::kUnavailable, message, Execution::kNotRun};
}

// Only a connection that was never made, or that failed before anything was sent, proves that nothing ran.
Error transportError(httplib::Error error, bool writes) {
  const bool never_sent = error == httplib::Error::Connection || error == httplib::Error::BindIPAddress ||
                          error == httplib::Error::ConnectionTimeout;
  return failedCall(httplib::to_string(error), writes && !never_sent);
}

}  // namespace

class HttpPlatform::Connections {
 public:
  Connections(Address address, HttpPlatformOptions options)
      : address_(std::move(address)), options_(std::move(options)) {}

  std::unique_ptr<httplib::Client> take() {
    {
      const absl::MutexLock lock(&mutex_);
      if (!idle_.empty()) {
        std::unique_ptr<httplib::Client> client = std::move(idle_.back());
        idle_.pop_back();
        return client;
      }
    }
    return connect();
  }

  void giveBack(std::unique_ptr<httplib::Client> client) {
    const absl::MutexLock lock(&mutex_);
    if (idle_.size() < kMaximumIdleConnections) {
      idle_.push_back(std::move(client));
    }
  }

 private:
  std::unique_ptr<httplib::Client> connect() const {
    auto client = std::make_unique<httplib::Client>(address_.host, address_.port);
    const auto [connect_seconds, connect_microseconds] = toSecondsAndMicroseconds(options_.connect_timeout);
    const auto [call_seconds, call_microseconds] = toSecondsAndMicroseconds(options_.call_timeout);
    client->set_connection_timeout(connect_seconds, connect_microseconds);
    client->set_read_timeout(call_seconds, call_microseconds);
    client->set_write_timeout(call_seconds, call_microseconds);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_default_headers({{"X-Node", options_.node.value()}, {"X-Zone", options_.zone.value()}});
    return client;
  }

  const Address address_;
  const HttpPlatformOptions options_;
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_ ABSL_GUARDED_BY(mutex_);
};

HttpPlatform::HttpPlatform(Address address, HttpPlatformOptions options)
    : connections_(std::make_unique<Connections>(std::move(address), std::move(options))) {}

HttpPlatform::~HttpPlatform() = default;

PlatformResult HttpPlatform::call(const PlatformRequest& request) {
  WireRequest wire = encodeRequest(request);
  httplib::Request http;
  http.method = wire.method;
  http.path = wire.path;
  http.body = std::move(wire.body);
  if (!wire.content_type.empty()) {
    http.set_header("Content-Type", wire.content_type);
  }
  std::unique_ptr<httplib::Client> client = connections_->take();
  const httplib::Result result = client->send(http);
  if (!result) {
    return transportError(result.error(), wire.writes);
  }
  const std::string_view fault = finalResponseFault(result->status, result->headers);
  if (!fault.empty()) {
    return failedCall("response refused: " + std::string(fault), wire.writes);
  }
  connections_->giveBack(std::move(client));
  return decodeResponse(request, result->status, result->body);
}

}  // namespace quincewick::platform
