// A stand-in engine. It processes one prompt at a time, the most urgent first, generates for as many requests
// as it has slots, and executes weight-loading orders. It checks no fencing tokens, as engines needn't.
//
// A request begins with its first token. An accepted order rejects all that haven't begun; those that run go
// on under the new weights.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "engine_connection.h"
#include "history.h"
#include "reactor/timer_queue.h"
#include "store.h"

namespace quincewick::soak {

struct EngineSettings {
  size_t count = 3;
  uint32_t slots = 8;
  absl::Duration prefill = absl::Milliseconds(20);         // of one prompt
  absl::Duration event_interval = absl::Milliseconds(20);  // of streams
  absl::Duration load_time = absl::Milliseconds(300);
  uint32_t full_speed_loads = 3;  // more at a time take longer in proportion
  double lost_orders = 0;         // share of the orders that get no response and are executed seconds later
  double heedless = 0;            // share of the requests that aren't dropped when their connection closes
};

// What all engines of a site share.
struct EngineFleet {
  uint64_t named_version = 1;  // the newest that the operator named
  uint32_t loads = 0;          // in progress
};

class Engine {
 public:
  static constexpr const char* kService = "engines";
  static constexpr const char* kModel = "m";

  Engine(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, Store& store,
         EngineFleet& fleet, const EngineSettings& settings, std::string id, std::string zone, uint64_t seed);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

 private:
  using ConnectionPointer = std::shared_ptr<EngineConnection>;
  // A request that has not begun, or the state of one that runs.
  struct Work {
    ConnectionPointer connection;
    std::string attempt;
    size_t arrival = 0;  // index in the history
    absl::Time deadline = absl::InfiniteFuture();
    bool is_heedless = false;
    int next_event = 1;
  };
  using QueueKey = std::pair<uint32_t, uint64_t>;  // urgency and order of arrival

  void handle(const ConnectionPointer& connection, const HttpHead& head, const std::string& body);
  void handleOrder(const ConnectionPointer& connection, const HttpHead& head, const std::string& body);
  // Returns the status of the response.
  int executeOrder(const HttpHead& head, uint64_t version, uint64_t expected_orders);
  void beginLoad(uint64_t version);
  void handleRequest(const ConnectionPointer& connection, const HttpHead& head);
  void reject(const Work& work, int status);
  bool isDropped(const Work& work) const { return !work.connection->isOpen() && !work.is_heedless; }
  void processNextPrompt();
  void begin(const std::shared_ptr<Work>& work, absl::Time at);
  void sendEvents(const std::shared_ptr<Work>& work);
  std::string printModels() const;
  std::string printReport() const;
  void heartbeat();
  void writeRow();

  reactor::TimerQueue& timers_;
  History& history_;
  Store& store_;
  EngineFleet& fleet_;
  const EngineSettings& settings_;
  std::string id_;
  std::string zone_;
  absl::Time started_;
  std::mt19937_64 random_;
  uint64_t version_ = 1;
  uint64_t accepted_orders_ = 0;
  uint64_t row_writes_ = 0;  // of its row in the store
  bool is_loading_ = false;
  std::map<QueueKey, std::shared_ptr<Work>> queue_;
  uint64_t arrivals_ = 0;
  std::shared_ptr<Work> prompt_;  // that is processed
  uint32_t running_ = 0;
  std::vector<std::shared_ptr<EngineConnection>> connections_;
  reactor::Listener listener_;
};

}  // namespace quincewick::soak
