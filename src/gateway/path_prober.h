// Checks by connections of its own whether the servers of a service can be reached, so that no caller's
// request has to find out: when there is doubt about the path, while a service is cut off, and before a
// server that could not be reached is used again.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

#include "forwarding/path_monitor.h"
#include "forwarding/server_directory.h"
#include "gateway/core.h"
#include "reactor/connection.h"

namespace quincewick::gateway {

class PathProber {
 public:
  explicit PathProber(Core& core) : core_(core) {}

  // A connection attempt ended.
  void noteConnected(const forwarding::Server& server);
  void noteConnectFailed(const forwarding::ServerDirectory::ServerPointer& server);
  // An attempt is unanswered for long, or an open connection broke.
  void noteDoubt(const forwarding::Server& server);
  // Bytes of a server arrived.
  void noteReceived(const forwarding::Server& server);

  bool isCutOff(const forwarding::ServiceName& service) const { return monitor_.isCutOff(service); }
  // Checks the path to the service unless it was proven within the last second.
  void checkUnlessProven(const forwarding::ServiceName& service);
  // Services with listed servers that this gateway can't reach.
  std::vector<forwarding::ServiceName> cutOffServices() const;

 private:
  struct Probe {
    forwarding::ServerDirectory::ServerPointer server;
    std::shared_ptr<reactor::Connection> connection;
    reactor::TimerQueue::Key timeout;
  };

  void wake();
  void tick();
  void probeService(const forwarding::ServiceName& service, absl::Time now);
  void probeEjected(absl::Time now);
  void startProbe(const forwarding::ServerDirectory::ServerPointer& server);
  void finishProbe(uint64_t incarnation, reactor::ConnectResult result);

  Core& core_;
  forwarding::PathMonitor monitor_;
  absl::flat_hash_map<uint64_t, Probe> probes_;  // in progress, by the server's identity hash
  absl::flat_hash_map<uint64_t, forwarding::ServerDirectory::ServerPointer>
      unreached_;                                                       // could not be reached
  absl::flat_hash_map<forwarding::ServiceName, absl::Time> proven_at_;  // when the service was last heard
  bool has_timer_ = false;
};

}  // namespace quincewick::gateway
