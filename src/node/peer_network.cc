#include "node/peer_network.h"

#include <absl/strings/escaping.h>

#include <utility>

namespace quincewick::node {
namespace {

constexpr size_t kBulkThreads = 4;
constexpr int kFreePortTries = 20;
constexpr uint32_t kRpcThreads = 4;
constexpr absl::Duration kBulkTimeout = absl::Seconds(2);

// The first key signs; all are accepted.
Result<peer::KeyRing> makeKeyRing(const std::vector<configuration::PeerKey>& settings) {
  std::vector<peer::PeerKey> keys;
  keys.reserve(settings.size());
  for (const configuration::PeerKey& key : settings) {
    keys.push_back(peer::PeerKey{peer::KeyId(key.id), absl::HexStringToBytes(key.secret)});
  }
  if (keys.empty()) {
    return fail(ErrorCode::kInvalidArgument, "no peer keys are set");
  }
  return peer::KeyRing::make(keys, keys.front().id);
}

std::vector<peer::PeerMessenger::Subscription> datagramSubscriptions(
    const std::vector<PeerSubscription>& subscriptions) {
  std::vector<peer::PeerMessenger::Subscription> datagrams;
  for (const PeerSubscription& subscription : subscriptions) {
    if (subscription.on_message == nullptr) {
      continue;
    }
    auto deliver = [handler = subscription.on_message](const peer::Envelope& envelope,
                                                       const Address& /*from*/) {
      handler(envelope.sender, envelope.payload);
    };
    datagrams.push_back({subscription.module, std::move(deliver)});
  }
  return datagrams;
}

std::vector<peer::PeerRpcServer::Route> requestRoutes(const std::vector<PeerSubscription>& subscriptions) {
  std::vector<peer::PeerRpcServer::Route> routes;
  for (const PeerSubscription& subscription : subscriptions) {
    auto answer = [subscription](const peer::Envelope& envelope) -> Result<std::string> {
      if (subscription.on_request != nullptr) {
        return subscription.on_request(envelope.sender, envelope.payload);
      }
      subscription.on_message(envelope.sender, envelope.payload);
      return std::string();
    };
    routes.push_back({subscription.module, std::move(answer)});
  }
  return routes;
}

}  // namespace

PeerNetwork::PeerNetwork(NodeId self, Incarnation incarnation, peer::KeyRing keys)
    : authenticator_(std::move(self), incarnation, std::move(keys)),
      rpc_client_(authenticator_),
      bulk_workers_(kBulkThreads) {}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::open(const configuration::NodeSettings& settings,
                                                       Incarnation incarnation,
                                                       const std::vector<PeerSubscription>& subscriptions) {
  BOOST_OUTCOME_TRY(keys, makeKeyRing(settings.peer_keys));
  std::unique_ptr<PeerNetwork> network(new PeerNetwork(settings.node_id, incarnation, std::move(keys)));
  // The system's choice of a free UDP port may be a TCP port in use: then another is tried.
  const int tries = settings.listen.peers.port == 0 ? kFreePortTries : 1;
  Result<void> listening = network->listen(settings.listen.peers, subscriptions);
  for (int count = 1; listening.has_error() && count < tries; ++count) {
    listening = network->listen(settings.listen.peers, subscriptions);
  }
  BOOST_OUTCOME_TRYV(std::move(listening));
  return network;
}

Result<void> PeerNetwork::listen(const Address& address, const std::vector<PeerSubscription>& subscriptions) {
  messenger_.reset();
  BOOST_OUTCOME_TRY(messenger,
                    peer::PeerMessenger::open(address, authenticator_, datagramSubscriptions(subscriptions)));
  messenger_ = std::move(messenger);
  BOOST_OUTCOME_TRY(server, peer::PeerRpcServer::open(localAddress(), authenticator_,
                                                      requestRoutes(subscriptions), kRpcThreads));
  rpc_server_ = std::move(server);
  return outcome::success();
}

void PeerNetwork::send(const NodeId& to, const Address& address, peer::PeerModule module, std::string bytes) {
  if (bytes.size() <= peer::kMaximumDatagramPayload) {
    messenger_->send(to, address, module, std::move(bytes));
    return;
  }
  bulk_workers_.submit([this, to, address, module, bytes = std::move(bytes)]() mutable {
    static_cast<void>(rpc_client_.call(to, address, module, std::move(bytes), kBulkTimeout));
  });
}

Result<std::string> PeerNetwork::call(const NodeId& to, const Address& address, peer::PeerModule module,
                                      std::string bytes, absl::Duration timeout) {
  return rpc_client_.call(to, address, module, std::move(bytes), timeout);
}

}  // namespace quincewick::node
