// The HTTP server under every stand-in: the library's, with connections that can be cut.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "emulator/connection.h"
#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::emulator {

// Serves in threads of its own between start and stop; routes are set before start. Each request carries the
// header kConnectionHeader, set here, which names its connection for `cut`.
class HttpServer : public httplib::Server {
 public:
  static constexpr const char* kConnectionHeader = "X-Emulator-Connection";

  HttpServer();
  ~HttpServer() override;

  // Binds the address (port 0: any free one) and serves. Returns the port, or kUnavailable.
  Result<uint16_t> start(const Address& address);
  // Cuts every connection and joins all threads. Harmless when not started.
  void stopServing();

  // Cuts the request's connection: whatever its handler returns is not sent.
  void cut(const httplib::Request& request);
  // Cuts every connection whose last request `matches`.
  void cutWhere(const std::function<bool(const httplib::Headers&)>& matches);
  void cutAll();
  // While unreachable, every new connection is cut as soon as it is accepted.
  void setReachable(bool reachable) { reachable_ = reachable; }

 private:
  struct Open {
    Connection* connection = nullptr;
    httplib::Headers headers;  // of the last request
  };

  bool process_and_close_socket(socket_t socket) override;  // NOLINT(readability-identifier-naming)
  void serve(Connection& connection, const std::string& id);

  std::thread listener_;
  std::atomic<bool> reachable_ = true;
  std::atomic<bool> stopping_ = false;
  absl::Mutex mutex_;
  absl::btree_map<std::string, Open> open_ ABSL_GUARDED_BY(mutex_);
  uint64_t last_connection_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::emulator
