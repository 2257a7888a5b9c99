// A listening HTTP server with the settings that the project needs everywhere.
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

// Certificate and key files in PEM form. The library reads them when the server starts.
struct TlsFiles {
  std::string certificate;
  std::string key;
};

struct HttpServerOptions {
  size_t worker_threads = 64;                    // each serves one connection at a time
  size_t maximum_body_bytes = size_t{16} << 20;  // a longer body gets status 413
  std::optional<TlsFiles> tls;
};

// Owns a httplib::Server and the thread that accepts for it. Register handlers through routes() before
// start(). Handlers run on worker threads, several at once. Not thread-safe itself: one owner starts and
// stops it.
class HttpServer {
 public:
  explicit HttpServer(const HttpServerOptions& options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  httplib::Server& routes() { return *server_; }

  // Binds and begins to accept; port 0 takes any free one. Returns the port. kUnavailable if it can't bind.
  Result<uint16_t> start(const Address& address);

  // Stops accepting, waits for handlers in progress, and joins. Does nothing when not started.
  void stop();

 private:
  void applyOptions(const HttpServerOptions& options);

  std::unique_ptr<httplib::Server> server_;
  std::thread accept_thread_;
  int listening_socket_ = -1;  // known from the socket options callback; owned by the library
};

}  // namespace quincewick::http
