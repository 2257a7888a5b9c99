// Detects whether a server crashed when an attempt broke off: its machine then refuses a new connection at
// once. A reset connection, a truncated response, a machine that doesn't respond, and a server that announced
// that it leaves are not crashes. A server that accepts connections again before the probe is not detected.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

#include "forwarding/server_directory.h"
#include "gateway/core.h"
#include "gateway/crash_exchange.h"
#include "reactor/connection.h"

namespace quincewick::gateway {

class CrashDetector {
 public:
  CrashDetector(Core& core, CrashExchange& exchange) : core_(core), exchange_(exchange) {}

  // An attempt starts, and ends with any outcome.
  void noteSent(const forwarding::RequestIdentity& identity) { exchange_.noteSent(identity); }
  void noteOver(const forwarding::RequestIdentity& identity) { exchange_.noteOver(identity); }
  // An attempt broke off after its request was sent: probes the server.
  void onAttemptBroken(const forwarding::ServerDirectory::ServerPointer& server,
                       const forwarding::RequestIdentity& identity);
  void noteServed(const forwarding::RequestIdentity& identity) { exchange_.noteServed(identity); }
  // Whether the request may be sent now. A suspect waits while a server on which it broke off is probed, so
  // that it doesn't crash the next one meanwhile.
  forwarding::CrashVerdict verdictOn(const forwarding::RequestIdentity& identity);

 private:
  struct Probe {
    forwarding::ServerDirectory::ServerPointer server;
    std::vector<forwarding::RequestIdentity> requests;
    std::shared_ptr<reactor::Connection> connection;
    reactor::TimerQueue::Key timeout;
  };

  void finishProbe(uint64_t incarnation, reactor::ConnectResult result);

  Core& core_;
  CrashExchange& exchange_;
  absl::flat_hash_map<uint64_t, Probe> probes_;  // in progress, by the server's incarnation
};

}  // namespace quincewick::gateway
