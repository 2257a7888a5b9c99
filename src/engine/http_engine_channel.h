// The engines' HTTP protocol.
#pragma once

#include <string>

#include "engine/client_pool.h"
#include "engine/engine_channel.h"

namespace quincewick::engine {

struct HttpEngineOptions {
  CallerIdentity identity;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  absl::Duration read_timeout = absl::Seconds(30);    // longest silence within a stream
  absl::Duration control_timeout = absl::Seconds(2);  // for cancel, reports, cache events and orders
};

// Thread-safe; connections are pooled by address.
class HttpEngineChannel : public EngineChannel {
 public:
  explicit HttpEngineChannel(const HttpEngineOptions& options);

  void run(const Address& engine, const EngineRequest& request, EngineEventSink& sink) override;
  void resume(const Address& engine, const EngineRequest& request, uint64_t from_offset,
              EngineEventSink& sink) override;
  Result<void> cancel(const Address& engine, const RequestId& request) override;
  Result<EngineReport> report(const Address& engine) override;
  Result<CacheEventPage> cacheEvents(const Address& engine, Sequence after, uint32_t limit) override;
  Result<void> order(const Address& engine, const EngineOrder& order) override;

 private:
  void exchange(const Address& engine, const EngineRequest& request, httplib::Request& http_request,
                EngineEventSink& sink);
  // Sends a short request; returns the body of status 200, or the typed refusal.
  Result<std::string> callControl(const Address& engine, httplib::Request& http_request);

  ClientPool streams_;
  ClientPool control_;
};

}  // namespace quincewick::engine
