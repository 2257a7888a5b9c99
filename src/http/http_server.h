// An HTTP server with the options that all HTTP listeners of the project share.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::http {

// Paths of the certificate and key files in PEM format. They are read when the HttpServer is constructed.
struct TlsFiles {
  std::string certificate;
  std::string key;
};

struct HttpServerOptions {
  size_t worker_threads = 64;                    // each serves one connection at a time
  size_t maximum_body_bytes = size_t{16} << 20;  // a larger body gets status 413
  // Of all requests that are read or handled, without TLS; two of the largest bodies at least.
  size_t input_bytes = size_t{64} << 20;
  std::optional<TlsFiles> tls;
};

// Owns a httplib::Server and its accept thread. Register handlers through routes() before start(). Handlers
// run concurrently on worker threads. start() and stop() are not thread-safe.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerOptions& options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  httplib::Server& routes() { return *server_; }

  // Binds to `address` and starts accepting; port 0 selects a free port. Returns the port. kUnavailable if
  // the address can't be bound, kInvalidArgument if the TLS files can't be used.
  Result<uint16_t> start(const Address& address);

  // Stops accepting, waits for running handlers and joins the accept thread. No effect if not started.
  void stop();

 private:
  void applyOptions(const HttpServerOptions& options);

  std::unique_ptr<httplib::Server> server_;
  std::thread accept_thread_;
  int listening_socket_ = -1;  // set by the socket options callback; owned by httplib
};

}  // namespace quincewick::http
