// Stand-in engines whose weights gateways bring to the version that the operator sets. They execute and
// record weight-loading orders. They don't check fencing tokens, as engines needn't.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "history.h"
#include "reactor/simple_http_server.h"
#include "reactor/timer_queue.h"
#include "store.h"

namespace quincewick::soak {

class Engines {
 public:
  static constexpr const char* kService = "engines";

  // The engines are listed in the store when this returns.
  Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
          size_t zones);
  ~Engines();
  Engines(const Engines&) = delete;
  Engines& operator=(const Engines&) = delete;

  // Publishes the next version of the weights, as the operator does.
  void publishNextVersion();

 private:
  class Engine;

  Store& store_;
  uint64_t target_version_ = 1;
  std::vector<std::unique_ptr<Engine>> engines_;
};

}  // namespace quincewick::soak
