// Authenticated datagrams between the modules of different nodes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peer/authenticator.h"
#include "peer/udp_transport.h"

namespace quincewick::peer {

// Delivers each datagram to the module it is for, after the envelope was checked. Lossy and unordered.
// Thread-safe.
class PeerMessenger {
 public:
  // Called on the transport's thread; must not block.
  using Handler = std::function<void(const Envelope& envelope, const Address& from)>;
  struct Subscription {
    PeerModule module;
    Handler handler;
  };

  // `authenticator` must outlive the messenger. Datagrams for other modules are dropped.
  static Result<std::unique_ptr<PeerMessenger>> open(const Address& local, Authenticator& authenticator,
                                                     std::vector<Subscription> subscriptions);

  // Sends a payload of at most kMaximumDatagramPayload bytes. False when it was dropped at once.
  bool send(const NodeId& to, const Address& address, PeerModule module, std::string payload);

  const Address& localAddress() const { return transport_->localAddress(); }
  UdpCounters counters() const { return transport_->counters(); }

 private:
  PeerMessenger(Authenticator& authenticator, std::vector<Subscription> subscriptions);
  void receive(const Address& from, const std::string& bytes);

  Authenticator& authenticator_;
  const std::vector<Subscription> subscriptions_;
  std::unique_ptr<UdpTransport> transport_;  // last: its thread ends first
};

}  // namespace quincewick::peer
