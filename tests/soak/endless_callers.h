// Callers that send bytes without end that are no request, or requests whose responses they don't read. What
// they get is not checked: the processes have to stay small and serve others.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "processes.h"
#include "reactor/connection.h"
#include "reactor/timer_queue.h"

namespace quincewick::soak {

class EndlessCaller {
 public:
  // `key`: for its requests.
  EndlessCaller(boost::asio::io_context& reactor, reactor::TimerQueue& timers, const Processes& processes,
                std::string key, uint64_t seed);
  ~EndlessCaller();

  // Connects no more, and ends its connection.
  void stop();

 private:
  class Sender;
  void connect();
  void connectLater();

  boost::asio::io_context& reactor_;
  reactor::TimerQueue& timers_;
  const Processes& processes_;
  std::string key_;
  std::mt19937_64 random_;
  bool is_stopped_ = false;
  std::shared_ptr<reactor::Connection> connecting_;
  std::shared_ptr<Sender> sender_;
};

}  // namespace quincewick::soak
