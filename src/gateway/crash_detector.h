// Looks whether a server ended when an attempt there broke off: its machine then refuses a new connection at
// once. A reset connection, a cut, a silent machine, a server that leaves as it said are no ends.
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

  // An attempt at a server begins, and is over, however it ended.
  void noteSent(const forwarding::RequestIdentity& identity) { exchange_.noteSent(identity); }
  void noteOver(const forwarding::RequestIdentity& identity) { exchange_.noteOver(identity); }
  // An attempt broke off after its request was sent.
  void onAttemptBroken(const forwarding::ServerDirectory::ServerPointer& server,
                       const forwarding::RequestIdentity& identity);
  void noteServed(const forwarding::RequestIdentity& identity) { exchange_.noteServed(identity); }
  // What may be done with the request now. One under suspicion waits while a server is looked at on which it
  // broke off: so it doesn't end the next one meanwhile.
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
  absl::flat_hash_map<uint64_t, Probe> probes_;  // under way, by the server's life
};

}  // namespace quincewick::gateway
