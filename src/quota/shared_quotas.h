// Limits over all gateways. Each gateway runs one instance, which requests grants from the owners of limits
// and owns some limits itself. Pure: events and the time in, messages and decisions out; `now` never goes
// back.
//
// Each request under a limit needs a grant from the limit's owner before it is sent to a server. If the owner
// doesn't respond, the next gateway in rank is asked. A gateway that is asked while a gateway ranking before
// it is reachable responds so. It decides, with a small fraction of the limit, only if the requester can't
// reach that other gateway: this keeps the limit from being granted twice while gateways disagree about who
// is reachable. A gateway that decides in place of higher-ranking ones probes them all the while. An isolated
// gateway uses an even share of the limit.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <vector>

#include "quota/quota_account.h"
#include "quota/quota_messages.h"
#include "quota/rate_limit.h"
#include "routing/keeper_ranks.h"

namespace quincewick::quota {

struct QuotaDecision {
  uint64_t number = 0;  // as returned by `requestGrant`
  QuotaVerdict verdict;
  NodeId owner;  // the owner that decided; empty: this gateway, by its even share
};

struct QuotaActions {
  struct Outgoing {
    NodeId to;
    QuotaMessage message;
  };
  std::vector<Outgoing> messages;
  std::vector<QuotaDecision> decisions;
};

// What a gateway that is not isolated does when none of a limit's owners responds.
enum class NoOwnerPolicy : uint8_t {
  kUseEvenShare,  // decides by its even share of the limit
  // Denies with a short retry delay. Where an even share is less than one request, the first request of each
  // gateway together would exceed the limit many times over.
  kDenyRequest,
};

class SharedQuotas {
 public:
  // Returns the limit of that name; null if there is none.
  using LimitOf = std::function<const RateLimit*(const LimitName& name)>;

  SharedQuotas(NodeId self, LimitTolerance tolerance, LimitOf limit_of,
               NoOwnerPolicy no_owner_policy = NoOwnerPolicy::kUseEvenShare)
      : self_(std::move(self)),
        tolerance_(tolerance),
        limit_of_(std::move(limit_of)),
        no_owner_policy_(no_owner_policy) {}

  void setTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }
  // All gateways of the site, including this one: the candidates for owning a limit.
  void setMembers(std::vector<routing::KeeperMember> members) { ranks_.setMembers(std::move(members)); }

  // Called several times a second. `is_isolated`: no other gateway is reachable, so this one uses its even
  // share. After isolation, or a pause of this process, another gateway may have owned this one's limits.
  void onHeartbeat(bool is_isolated, absl::Time now);

  // Requests a grant of `cost`, in the limit's unit. Exactly one decision with the returned number follows,
  // at once or within three times kResponseTimeout.
  uint64_t requestGrant(const LimitName& name, double cost, absl::Time now, QuotaActions& actions);
  // Cancels the request: no decision follows.
  void cancel(uint64_t number) { pending_.erase(number); }
  // Returns a grant of `owner` whose work never ran.
  void refund(const LimitName& name, double cost, const NodeId& owner, QuotaActions& actions);

  void onMessage(const NodeId& from, const QuotaMessage& message, absl::Time now, QuotaActions& actions);
  // Sends requests whose deadline has passed to the next owner in rank.
  void onTick(absl::Time now, QuotaActions& actions);
  // When the next onTick is due; InfiniteFuture if there is none.
  absl::Time nextWakeup() const;

  // A response takes some milliseconds across zones and through a busy gateway. A request with a 120 ms
  // target must still be served in time after two owners that didn't respond.
  static constexpr absl::Duration kResponseTimeout = absl::Milliseconds(40);

 private:
  struct PendingRequest {
    LimitName name;
    double cost = 0;
    bool is_probe = false;      // only checks whether the node is reachable
    std::vector<NodeId> tried;  // nodes that were asked, in order
    absl::Time deadline;
  };

  void tryNextOwner(uint64_t number, PendingRequest& request, absl::Time now, QuotaActions& actions);
  QuotaVerdict decideAsOwner(const LimitName& name, double cost, absl::Time now, QuotaActions& actions);
  QuotaVerdict decideByEvenShare(const LimitName& name, double cost, absl::Time now);
  bool isOwner(const LimitName& name);
  void handleRequest(const NodeId& from, const QuotaMessage& request, absl::Time now, QuotaActions& actions);
  void handleResponse(const NodeId& from, const QuotaMessage& message, absl::Time now, QuotaActions& actions);
  void probe(const std::vector<NodeId>& nodes, const LimitName& name, absl::Time now, QuotaActions& actions);
  void forgetIdleAccounts(absl::Time now);

  NodeId self_;
  LimitTolerance tolerance_;
  LimitOf limit_of_;
  NoOwnerPolicy no_owner_policy_;
  routing::KeeperRanks ranks_;
  absl::btree_map<uint64_t, PendingRequest> pending_;  // without a response, by number
  absl::btree_map<LimitName, QuotaAccount> owned_accounts_;
  absl::btree_map<LimitName, QuotaAccount> even_share_accounts_;
  absl::btree_map<NodeId, absl::Time> last_probe_;
  uint64_t last_number_ = 0;
  bool is_isolated_ = false;
  absl::Time last_heartbeat_ = absl::InfinitePast();
  // Until then other owners may still grant the same amounts as this one.
  absl::Time rejoining_until_ = absl::InfinitePast();
};

}  // namespace quincewick::quota
