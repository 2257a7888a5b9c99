// Detects whether a server crashed when an attempt broke off: its machine then refuses a new connection at
// once. A reset connection, a truncated response, a machine that doesn't respond, and a server that announced
// that it leaves are not crashes. A server that accepts connections again before the probe is not detected.
// Decides whether a request may be sent, by what crashes were attributed to it or to a part of its prompt.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

#include "forwarding/server_directory.h"
#include "gateway/core.h"
#include "gateway/crash_exchange.h"
#include "gateway/part_exchange.h"
#include "reactor/connection.h"

namespace quincewick::gateway {

class CrashDetector {
 public:
  CrashDetector(Core& core, CrashExchange& exchange, PartExchange& parts)
      : core_(core), exchange_(exchange), parts_(parts) {}

  // An attempt starts, and ends with any outcome.
  void noteSent(const forwarding::CrashSubject& subject);
  void noteOver(const forwarding::CrashSubject& subject) { exchange_.noteOver(subject.identity); }
  // An attempt broke off after its request was sent: probes the server.
  void onAttemptBroken(const forwarding::ServerDirectory::ServerPointer& server,
                       const forwarding::CrashSubject& subject);
  // A request was served completely.
  void noteServed(const forwarding::ServiceName& service, const forwarding::CrashSubject& subject);
  // A response's end is inferred from its connection's end, which may be the server's crash: probes the
  // server if this could clear parts of the prompt.
  void onEndInferred(const forwarding::ServerDirectory::ServerPointer& server,
                     const forwarding::CrashSubject& subject);
  // Whether the request may be sent now. A suspect waits while a server on which it broke off is probed, so
  // that it doesn't crash the next one meanwhile.
  forwarding::CrashVerdict verdictOn(const forwarding::CrashSubject& subject);

 private:
  struct Probe {
    forwarding::ServerDirectory::ServerPointer server;
    std::vector<forwarding::CrashSubject> broken;    // requests whose attempts broke off
    std::vector<forwarding::CrashSubject> answered;  // requests whose response's end is inferred
    std::shared_ptr<reactor::Connection> connection;
    reactor::TimerQueue::Key timeout;
  };

  // The server's probe, which is started unless it is in progress.
  Probe& probe(const forwarding::ServerDirectory::ServerPointer& server);
  void finishProbe(uint64_t incarnation, reactor::ConnectResult result);
  void onServerCrash(const Probe& probe);

  Core& core_;
  CrashExchange& exchange_;
  PartExchange& parts_;
  absl::flat_hash_map<uint64_t, Probe> probes_;  // in progress, by the server's incarnation
};

}  // namespace quincewick::gateway
