// Servers that gateways forward to: they run requests, answer by the platform's interface, and misbehave when
// told. Each takes every gateway at a port of its own, so that it is known who sent.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "history.h"
#include "reactor/connection.h"
#include "reactor/timer_queue.h"

namespace quincewick::soak {

inline constexpr int kEventsPerStream = 8;

// How a back end treats half of its requests.
struct RequestFaults {
  bool refuses = false;
  bool fails = false;
  bool drops_responses = false;
  bool truncates_responses = false;
};

// What a back end says of itself in its answers.
struct Announcements {
  bool is_leaving = false;
  std::optional<double> rate;
  std::optional<absl::Duration> back_off_period;  // it turns everything away, and asks for it
  bool is_malformed = false;                      // in place of all these, what can't be read
};

// One start of a server.
class BackEnd {
 public:
  // `ports`: of a server that is gone, for each gateway; empty: any.
  BackEnd(boost::asio::io_context& reactor, reactor::TimerQueue& timers, History& history, std::string id,
          std::string service, std::vector<std::string> gateways, uint64_t seed, absl::Time started,
          const std::vector<uint16_t>& ports = {});
  ~BackEnd();
  BackEnd(const BackEnd&) = delete;
  BackEnd& operator=(const BackEnd&) = delete;

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  // Its start, by the time of day.
  absl::Time started() const { return started_; }
  RequestFaults& request_faults() { return request_faults_; }
  Announcements& announcements() { return announcements_; }
  // Where that gateway reaches it.
  Address addressFor(size_t gateway) const;
  std::vector<uint16_t> ports() const;
  // Resets the gateway's connections, or lets them go silent for good.
  void resetConnections(size_t gateway);
  void silenceConnections(size_t gateway);
  // Ends at once: all connections are reset, and nobody listens any more.
  void crash();

 private:
  class GatewayConnection;
  void accept(size_t gateway, reactor::Connection::Socket socket);
  bool drawFault() { return random_() % 2 == 0; }

  boost::asio::io_context& reactor_;
  reactor::TimerQueue& timers_;
  History& history_;
  std::string id_;
  std::string service_;
  absl::Time started_;
  std::vector<std::string> gateways_;
  std::mt19937_64 random_;
  RequestFaults request_faults_;
  Announcements announcements_;
  std::vector<std::unique_ptr<reactor::Listener>> listeners_;
  std::vector<std::shared_ptr<GatewayConnection>> connections_;
};

}  // namespace quincewick::soak
