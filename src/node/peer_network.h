// The node's channel to other nodes: datagrams for what is small, HTTP for what is not or needs an answer.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "configuration/node_settings.h"
#include "node/worker_pool.h"
#include "peer/authenticator.h"
#include "peer/peer_messenger.h"
#include "peer/peer_rpc.h"

namespace quincewick::node {

// What one module of the node does with the messages that are for it.
struct PeerSubscription {
  peer::PeerModule module = peer::PeerModule::kMembership;
  // A message that needs no answer. Called on the network's threads; must not block.
  std::function<void(const NodeId& from, const std::string& bytes)> on_message;
  // A request; may block. Absent: requests are taken as messages and answered by nothing.
  std::function<Result<std::string>(const NodeId& from, const std::string& bytes)> on_request;
};

// Thread-safe. Every message is authenticated and for this node alone.
class PeerNetwork {
 public:
  // Listens on UDP and TCP at one port; 0 takes any free one. `incarnation` must be greater than at the
  // process's earlier starts.
  static Result<std::unique_ptr<PeerNetwork>> open(const configuration::NodeSettings& settings,
                                                   Incarnation incarnation,
                                                   const std::vector<PeerSubscription>& subscriptions);
  // Handlers are not called after.
  ~PeerNetwork() = default;

  // Sends without an answer; loss is allowed. Too long for a datagram: over HTTP, on a thread of its own.
  void send(const NodeId& to, const Address& address, peer::PeerModule module, std::string bytes);

  // Sends a request and waits for its answer.
  Result<std::string> call(const NodeId& to, const Address& address, peer::PeerModule module,
                           std::string bytes, absl::Duration timeout);

  const Address& localAddress() const { return messenger_->localAddress(); }
  // Datagrams and bytes since the start.
  peer::UdpCounters counters() const { return messenger_->counters(); }

 private:
  Result<void> listen(const Address& address, const std::vector<PeerSubscription>& subscriptions);

  PeerNetwork(NodeId self, Incarnation incarnation, peer::KeyRing keys);

  peer::Authenticator authenticator_;
  peer::PeerRpcClient rpc_client_;
  std::unique_ptr<peer::PeerMessenger> messenger_;
  std::unique_ptr<peer::PeerRpcServer> rpc_server_;
  WorkerPool bulk_workers_;
};

}  // namespace quincewick::node
