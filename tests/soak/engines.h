// The stand-in engines of a site, whose weights gateways bring to the version that the operator names.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "engine.h"

namespace quincewick::soak {

class Engines {
 public:
  // The engines are listed in the store when this returns.
  Engines(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
          size_t zones, const EngineSettings& settings, uint64_t seed);

  // Names the next version of the weights, as the operator does.
  void publishNextVersion();

 private:
  History& history_;
  Store& store_;
  EngineSettings settings_;
  EngineFleet fleet_;
  std::vector<std::unique_ptr<Engine>> engines_;
};

}  // namespace quincewick::soak
