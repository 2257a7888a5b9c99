#include "peer/peer_messenger.h"

#include <utility>

namespace quincewick::peer {

Result<std::unique_ptr<PeerMessenger>> PeerMessenger::open(const Address& local, Authenticator& authenticator,
                                                           std::vector<Subscription> subscriptions) {
  std::unique_ptr<PeerMessenger> messenger(new PeerMessenger(authenticator, std::move(subscriptions)));
  PeerMessenger* receiver = messenger.get();
  const auto receive = [receiver](const Address& from, const std::string& bytes) {
    receiver->receive(from, bytes);
  };
  BOOST_OUTCOME_TRY(transport, UdpTransport::open(local, receive));
  messenger->transport_ = std::move(transport);
  return messenger;
}

PeerMessenger::PeerMessenger(Authenticator& authenticator, std::vector<Subscription> subscriptions)
    : authenticator_(authenticator), subscriptions_(std::move(subscriptions)) {}

bool PeerMessenger::send(const NodeId& to, const Address& address, PeerModule module, std::string payload) {
  if (payload.size() > kMaximumDatagramPayload) {
    return false;
  }
  return transport_->send(address,
                          authenticator_.seal(Channel::kDatagram, to, module, std::move(payload)).bytes);
}

void PeerMessenger::receive(const Address& from, const std::string& bytes) {
  const Result<Envelope> envelope = authenticator_.open(Channel::kDatagram, bytes);
  if (!envelope) {
    return;
  }
  for (const Subscription& subscription : subscriptions_) {
    if (subscription.module == envelope.value().module) {
      subscription.handler(envelope.value(), from);
    }
  }
}

}  // namespace quincewick::peer
