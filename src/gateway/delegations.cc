#include "gateway/delegations.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <utility>

#include "gateway/peer_digest.h"
#include "types/address_text.h"

namespace quincewick::gateway {
namespace {

constexpr std::string_view kTarget = "/delegated";
constexpr std::string_view kLastEventField = "Last-Event-Id";  // of server-sent events
constexpr uint32_t kMaxTaken = 512;                            // requests of other gateways at a time
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);

}  // namespace

Delegations::Delegations(Core& core, PeerDirectory& directory, PeerExchange& peers, PathProber& paths)
    : core_(core), directory_(directory), peers_(peers), paths_(paths) {}

void Delegations::start(uint16_t port) {
  port_ = port;
  peers_.setMessageHandler(
      peer::PeerModule::kDelegations,
      [this](const NodeId& from, std::string_view payload) { return receive(from, payload); });
  tick();
}

// Keeps offers fresh while services are cut off, so that no caller waits for one.
void Delegations::tick() {
  for (const forwarding::ServiceName& service : paths_.cutOffServices()) {
    ask(service);
  }
  core_.timers.schedule(reactor::steadyNow() + kTickInterval, [this] { tick(); });
}

void Delegations::ask(const forwarding::ServiceName& service) {
  const absl::Time now = reactor::steadyNow();
  std::vector<forwarding::DelegateCandidate> live;
  for (const auto& [id, peer] : directory_.peers()) {
    if (peers_.isLive(peer, now)) {
      live.push_back({id, directory_.isOwnZone(peer)});
    }
  }
  DelegationMessage message;
  message.service = service;
  const std::string payload = encodeDelegationMessage(message);
  for (const NodeId& id : finder_.gatewaysToAsk(service, live, now, core_.random)) {
    peers_.sendTo(id, peer::PeerModule::kDelegations, payload);
  }
}

Result<void> Delegations::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeDelegationMessage(payload));
  const absl::Time now = reactor::steadyNow();
  switch (message.kind) {
    case DelegationMessageKind::kAsk:
      answer(from, message.service);
      break;
    case DelegationMessageKind::kOffer:
      finder_.noteOffer(message.service, from, {message.port, message.room}, now);
      break;
    case DelegationMessageKind::kRefusal:
      finder_.noteRefusal(message.service, from, message.referrals);
      break;
  }
  return outcome::success();
}

void Delegations::answer(const NodeId& from, const forwarding::ServiceName& service) {
  paths_.checkUnlessProven(service);
  DelegationMessage reply;
  reply.service = service;
  if (mayTake(service)) {
    reply.kind = DelegationMessageKind::kOffer;
    reply.port = port_;
    reply.room = room();
  } else {
    reply.kind = DelegationMessageKind::kRefusal;
    reply.referrals = finder_.offering(service, kMaxReferrals, reactor::steadyNow());
    std::erase(reply.referrals, from);
  }
  peers_.sendTo(from, peer::PeerModule::kDelegations, encodeDelegationMessage(reply));
}

uint32_t Delegations::room() const {
  return kMaxTaken - std::min(kMaxTaken, taken_);
}

bool Delegations::mayTake(const forwarding::ServiceName& service) const {
  return port_ != 0 && room() > 0 && !core_.is_stopping && core_.in_force.configuration != nullptr &&
         !core_.directory.ofService(service).empty() && !paths_.isCutOff(service);
}

std::optional<Delegate> Delegations::choose(const forwarding::ServiceName& service,
                                            const std::vector<NodeId>& excluded) {
  ask(service);
  const absl::Time now = reactor::steadyNow();
  const auto id = finder_.choose(service, excluded, now, core_.random);
  const auto peer = id ? directory_.peers().find(*id) : directory_.peers().end();
  if (peer == directory_.peers().end()) {
    return std::nullopt;
  }
  const Address address = {peer->second.address.host, finder_.offerOf(service, *id)->port};
  auto& server = servers_[*id];
  if (server == nullptr || server->entry.address != address) {
    server = std::make_shared<forwarding::Server>();
    server->entry.id = id->value();
    server->entry.address = address;
    server->identity_hash = hashOf(absl::StrCat("gateway/", id->value(), "/", printAddress(address)));
    server->is_gateway = true;
  }
  return Delegate{*id, server};
}

bool Delegations::isHopeless(const forwarding::ServiceName& service) const {
  return directory_.peers().empty() || finder_.isHopeless(service, reactor::steadyNow());
}

void Delegations::noteDeclined(const forwarding::ServiceName& service, const NodeId& delegate) {
  finder_.noteDeclined(service, delegate, reactor::steadyNow());
}

std::optional<AttemptRequest> Delegations::seal(const Delegate& delegate, const DelegatedRequest& request,
                                                Sequence& sequence) {
  peer::Authenticator* const authenticator = directory_.authenticator();
  if (authenticator == nullptr) {
    return std::nullopt;
  }
  auto sealed = authenticator->seal(peer::Channel::kRequest, delegate.id, peer::PeerModule::kDelegations,
                                    encodeDelegatedRequest(request));
  if (sealed.bytes.size() > peer::kMaximumBodySize) {
    return std::nullopt;
  }
  sequence = sealed.sequence;
  AttemptRequest result;
  result.bytes = absl::Cord(printRequestHead("POST", kTarget,
                                             {{"Host", printAddress(delegate.server->entry.address)},
                                              {"Content-Length", absl::StrCat(sealed.bytes.size())}}));
  result.bytes.Append(std::move(sealed.bytes));
  return result;
}

std::optional<DelegationReport> Delegations::reportOf(const HttpHead& head, const NodeId& delegate,
                                                      Sequence sequence) {
  const std::string* const field = findField(head.fields, kDelegationOutcomeField);
  std::string sealed;
  if (field == nullptr || !absl::Base64Unescape(*field, &sealed)) {
    return std::nullopt;
  }
  const auto envelope = directory_.authenticator()->open(peer::Channel::kResponse, sealed, sequence);
  const bool is_from_delegate = envelope.has_value() && envelope.value().sender == delegate &&
                                envelope.value().module == peer::PeerModule::kDelegations;
  if (!is_from_delegate) {
    return std::nullopt;
  }
  const auto report = decodeDelegationReport(envelope.value().payload);
  return report.has_value() ? std::optional(report.value()) : std::nullopt;
}

Result<OpenedDelegation> Delegations::open(std::string_view body) {
  peer::Authenticator* const authenticator = directory_.authenticator();
  if (authenticator == nullptr) {
    return fail(ErrorCode::kUnauthenticated, "this gateway doesn't know the site's key yet");
  }
  BOOST_OUTCOME_TRY(envelope, authenticator->open(peer::Channel::kRequest, body));
  if (envelope.module != peer::PeerModule::kDelegations) {
    return fail(ErrorCode::kInvalidArgument, "the message is for another module");
  }
  BOOST_OUTCOME_TRY(request, decodeDelegatedRequest(envelope.payload));
  OpenedDelegation opened;
  opened.head.method = std::move(request.method);
  opened.head.target = std::move(request.target);
  opened.head.fields = std::move(request.fields);
  if (!request.last_event_id.empty()) {
    std::erase_if(opened.head.fields,
                  [](const HeaderField& field) { return findField({field}, kLastEventField) != nullptr; });
    opened.head.fields.push_back({std::string(kLastEventField), std::move(request.last_event_id)});
  }
  opened.body = std::move(request.body);
  opened.terms = {envelope.sender,   envelope.sequence,         request.service, request.elapsed,
                  request.time_left, request.asks_for_software, request.software};
  return opened;
}

HeaderField Delegations::sealReport(const DelegationTerms& terms, const DelegationReport& report) {
  const auto sealed =
      directory_.authenticator()->seal(peer::Channel::kResponse, terms.origin, peer::PeerModule::kDelegations,
                                       encodeDelegationReport(report), terms.request);
  return {std::string(kDelegationOutcomeField), absl::Base64Escape(sealed.bytes)};
}

}  // namespace quincewick::gateway
