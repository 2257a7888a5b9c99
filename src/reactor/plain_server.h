// Answers small questions at an address of its own, each from memory: readiness, metrics, peers' questions.
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

struct PlainAnswer {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  HeaderFields further_fields{};
};

class PlainServer {
 public:
  using Handler = std::function<PlainAnswer(const HttpHead& question)>;
  // Gives a question its one answer, now or later; does nothing once its connection is gone.
  using Respond = std::function<void(const PlainAnswer& answer)>;
  using DeferringHandler =
      std::function<void(const HttpHead& question, const std::string& body, Respond respond)>;

  static constexpr size_t kConnectionsAtMost = 64;

  PlainServer(boost::asio::io_context& reactor, const Address& address, const Handler& handler);
  PlainServer(boost::asio::io_context& reactor, const Address& address, size_t connections_at_most,
              DeferringHandler handler);
  ~PlainServer();
  PlainServer(const PlainServer&) = delete;
  PlainServer& operator=(const PlainServer&) = delete;

  bool isListening() const { return listener_.isListening(); }
  uint16_t port() const { return listener_.port(); }

 private:
  class Talk;

  boost::asio::io_context& reactor_;
  DeferringHandler handler_;
  absl::flat_hash_map<Talk*, std::shared_ptr<Talk>> talks_;
  Listener listener_;
};

}  // namespace quincewick::reactor
