// Servers whose weights gateways bring to the version that the operator names. They carry out orders and take
// note of each; they check no fence, as engines needn't.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "history.h"
#include "reactor/plain_server.h"
#include "reactor/timer_queue.h"
#include "store.h"

namespace quincewick::soak {

class Engines {
 public:
  static constexpr const char* kService = "engines";

  // They are in the store's list when this returns.
  Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
          size_t zones);
  ~Engines();
  Engines(const Engines&) = delete;
  Engines& operator=(const Engines&) = delete;

  // The operator names the version after the last one.
  void publishNextVersion();

 private:
  class Engine;

  Store& store_;
  uint64_t target_version_ = 1;
  std::vector<std::unique_ptr<Engine>> engines_;
};

}  // namespace quincewick::soak
