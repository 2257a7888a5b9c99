#include "gateway/server_rates.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace quincewick::gateway {
namespace {

// Over any 4 s a server gets at most 1.5 times what its rate allows. Each request carries its cost as the
// time in which the server takes one request. So an owner needs to know no server's rate, and a changed rate
// applies from the next request on.
constexpr quota::LimitTolerance kTolerance = {absl::Seconds(4), 0.5, 0};
const quota::RateLimit kServerTimeLimit = {quota::LimitUnit::kRequests, 1, 0, 1};

}  // namespace

ServerRates::ServerRates(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core),
      exchange_(core, directory, peers, peer::PeerModule::kServerRates, kTolerance,
                [](const quota::LimitName&) { return &kServerTimeLimit; }) {}

uint64_t ServerRates::acquire(const forwarding::Server& server, DecisionCallback on_decision) {
  RateGrant grant;
  grant.name = quota::LimitName(absl::StrCat(absl::Hex(server.identity_hash)));
  grant.cost = absl::ToDoubleSeconds(server.back_pressure->timePerRequest());
  return exchange_.acquire(
      grant.name, grant.cost,
      [this, grant, on_decision = std::move(on_decision)](const quota::QuotaDecision& decision) {
        core_.metrics.countRateDecision(decision.verdict.is_granted);
        RateDecision decided{decision.verdict.is_granted, decision.verdict.retry_after, grant};
        decided.grant.owner = decision.owner;
        on_decision(decided);
      });
}

}  // namespace quincewick::gateway
