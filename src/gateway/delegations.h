// Requests that this gateway hands to others because it can't reach their servers, and those that it takes
// from others.
//
// A delegated request is sealed whole and goes over a pooled connection to the other gateway's delegation
// port, which sends it to a server like a request of its own and returns the response piece by piece. It is
// never delegated again. The response's head carries a sealed outcome, so that it can only come from the
// gateway that was asked, and says for certain whether the request may have run.
#pragma once

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <vector>

#include "forwarding/delegate_finder.h"
#include "gateway/back_end_pool.h"
#include "gateway/core.h"
#include "gateway/delegation_messages.h"
#include "gateway/path_prober.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"

namespace quincewick::gateway {

// The response field with the sealed outcome; never forwarded to callers.
inline constexpr std::string_view kDelegationOutcomeField = "Gateway-Delegation";

// Another gateway that takes a request.
struct Delegate {
  NodeId id;
  forwarding::ServerDirectory::ServerPointer server;  // its address and connections, as the pool sees them
};

// A request taken from another gateway.
struct DelegationTerms {
  NodeId origin;
  Sequence request;  // of the sealed request, which the response answers
  forwarding::ServiceName service;
  absl::Duration elapsed;
  absl::Duration time_left;
  bool asks_for_software = false;
  std::optional<SoftwareVersion> software;  // of the servers that may get the request; nothing: any
};

struct OpenedDelegation {
  HttpHead head;
  std::string body;
  DelegationTerms terms;
};

class Delegations {
 public:
  Delegations(Core& core, PeerDirectory& directory, PeerExchange& peers, PathProber& paths);

  // `port`: where this gateway takes requests; 0: it takes none.
  void start(uint16_t port);

  // The gateway for a request, other than those in `excluded`. Asks gateways when too few are known to offer.
  std::optional<Delegate> choose(const forwarding::ServiceName& service, const std::vector<NodeId>& excluded);
  // Whether no gateway that was asked takes requests for the service.
  bool isHopeless(const forwarding::ServiceName& service) const;
  // Seals the request for the delegate. `sequence`: set to what `reportOf` needs. Nothing if it is too long.
  std::optional<AttemptRequest> seal(const Delegate& delegate, const DelegatedRequest& request,
                                     Sequence& sequence);
  // What the response says; nothing if it isn't the delegate's response to that request.
  std::optional<DelegationReport> reportOf(const HttpHead& head, const NodeId& delegate, Sequence sequence);
  void noteStarted(const NodeId& delegate) { finder_.noteStarted(delegate); }
  void noteEnded(const NodeId& delegate) { finder_.noteEnded(delegate); }
  void noteDeclined(const forwarding::ServiceName& service, const NodeId& delegate);

  // Opens a request of another gateway. Errors: kUnauthenticated, kInvalidArgument.
  Result<OpenedDelegation> open(std::string_view body);
  // Whether another request may be taken for the service now.
  bool mayTake(const forwarding::ServiceName& service) const;
  void noteTaken() { ++taken_; }
  void noteTakenEnded() { --taken_; }
  HeaderField sealReport(const DelegationTerms& terms, const DelegationReport& report);

 private:
  Result<void> receive(const NodeId& from, std::string_view payload);
  void answer(const NodeId& from, const forwarding::ServiceName& service);
  void ask(const forwarding::ServiceName& service);
  void tick();
  uint32_t room() const;

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  PathProber& paths_;
  forwarding::DelegateFinder finder_;
  absl::btree_map<NodeId, forwarding::ServerDirectory::ServerPointer> servers_;  // one for each delegate
  uint16_t port_ = 0;
  uint32_t taken_ = 0;  // requests of other gateways in progress here
};

}  // namespace quincewick::gateway
