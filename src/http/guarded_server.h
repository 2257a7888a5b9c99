// httplib's server for plain HTTP, with its connections under a ConnectionGuard.
#pragma once

#include <httplib.h>

#include "http/connection_guard.h"

namespace quincewick::http {

class GuardedServer final : public httplib::Server {
 public:
  // `threads`: connections that are served at a time; `input_bytes`: of all requests that are read or
  // handled.
  GuardedServer(size_t threads, size_t input_bytes);

  // For handlers: the response to the current request is the last one on its connection, since its body is
  // left unread. Returns false if the current request's connection isn't one of a GuardedServer.
  static bool closeAfterResponse();
  // Whether the current request's connection gave way to others before its request was read.
  static bool hasGivenWay();

 private:
  bool process_and_close_socket(socket_t socket) override;

  ConnectionGuard guard_;
};

}  // namespace quincewick::http
