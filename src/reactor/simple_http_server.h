// HTTP server for small requests that are served from memory: readiness, metrics, requests of peers.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "reactor/connection.h"
#include "types/back_end.h"
#include "types/http_message.h"

namespace quincewick::reactor {

struct SimpleHttpResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  HeaderFields further_fields{};
};

class SimpleHttpServer {
 public:
  using Handler = std::function<SimpleHttpResponse(const HttpHead& request)>;
  // Sends the one response to a request, now or later; does nothing once the connection is closed.
  using Respond = std::function<void(const SimpleHttpResponse& response)>;
  using AsyncHandler = std::function<void(const HttpHead& request, const std::string& body, Respond respond)>;

  static constexpr size_t kDefaultMaxConnections = 64;

  SimpleHttpServer(boost::asio::io_context& reactor, const Address& address, const Handler& handler);
  SimpleHttpServer(boost::asio::io_context& reactor, const Address& address, size_t max_connections,
                   AsyncHandler handler);
  ~SimpleHttpServer();
  SimpleHttpServer(const SimpleHttpServer&) = delete;
  SimpleHttpServer& operator=(const SimpleHttpServer&) = delete;

  bool isListening() const { return listener_.isListening(); }
  uint16_t port() const { return listener_.port(); }

 private:
  class Session;

  boost::asio::io_context& reactor_;
  AsyncHandler handler_;
  absl::flat_hash_map<Session*, std::shared_ptr<Session>> sessions_;
  Listener listener_;
};

}  // namespace quincewick::reactor
