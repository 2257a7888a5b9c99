// Limits over all gateways: one of these in each gateway, which asks, and keeps the books of some of them.
// Pure: events and the time in, messages and decisions out; `now` never goes back.
//
// Each request under a limit asks the limit's keeper before it is sent anywhere. Where the keeper
// doesn't answer, the next in rank is asked. A gateway that is asked though another one, which it can reach,
// ranks before it says so, and decides on a small part of the limit only where the asker can't reach that
// one: so the limit isn't given out twice while gateways see different ones. Whoever decides in place of a
// gateway that ranks before it asks that one all the while whether it is there. A gateway that hears no other
// one has an even share.
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
  uint64_t number = 0;  // as `ask` returned it
  QuotaVerdict verdict;
  NodeId keeper;  // who decided; empty: this gateway, by its own share
};

struct QuotaActions {
  struct Outgoing {
    NodeId to;
    QuotaMessage message;
  };
  std::vector<Outgoing> messages;
  std::vector<QuotaDecision> decisions;
};

// What a gateway does that hears others, while none of a limit's keepers answers it.
enum class NoOwnerPolicy : uint8_t {
  kUseEvenShare,  // decides by its even share
  // Denies for a moment. Where a share is less than one request, each gateway's first one would pass the
  // limit many times over.
  kDenyRequest,
};

class SharedQuotas {
 public:
  // The limit of that name; null: there is none.
  using LimitOf = std::function<const RateLimit*(const LimitName& name)>;

  SharedQuotas(NodeId self, LimitTolerance tolerance, LimitOf limit_of,
               NoOwnerPolicy no_owner_policy = NoOwnerPolicy::kUseEvenShare)
      : self_(std::move(self)),
        tolerance_(tolerance),
        limit_of_(std::move(limit_of)),
        no_owner_policy_(no_owner_policy) {}

  void setTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }
  // All gateways of the site, this one too.
  void setMembers(std::vector<routing::KeeperMember> members) { ranks_.setMembers(std::move(members)); }

  // Comes several times a second. `is_isolated`: no other gateway is heard, so that this one has its even
  // share. After such a time, or one in which this process stood still, another has kept this gateway's
  // books.
  void onHeartbeat(bool is_isolated, absl::Time now);

  // May a request under the limit start? Exactly one decision with the returned number follows, at once or
  // within three times kResponseTimeout.
  uint64_t ask(const LimitName& name, double cost, absl::Time now, QuotaActions& actions);
  // Nobody waits for the decision any more: it doesn't follow.
  void forget(uint64_t number) { pending_.erase(number); }
  // What the keeper granted never ran.
  void giveBack(const LimitName& name, double cost, const NodeId& keeper, QuotaActions& actions);

  void onMessage(const NodeId& from, const QuotaMessage& message, absl::Time now, QuotaActions& actions);
  // Questions whose time is over go to the next in rank.
  void onTick(absl::Time now, QuotaActions& actions);
  // When the next tick is due.
  absl::Time nextWakeup() const;

  // How long an answer is awaited: across zones and through a busy gateway it takes some milliseconds, and a
  // request whose target is 120 ms must still be served in time after two that didn't answer.
  static constexpr absl::Duration kResponseTimeout = absl::Milliseconds(40);

 private:
  struct PendingRequest {
    LimitName name;
    double cost = 0;
    bool is_probe = false;  // asked only to see whether the keeper is there
    std::vector<NodeId> tried;
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
  absl::btree_map<uint64_t, PendingRequest> pending_;  // without an answer, by rising numbers
  absl::btree_map<LimitName, QuotaAccount> owned_accounts_;
  absl::btree_map<LimitName, QuotaAccount> even_share_accounts_;
  absl::btree_map<NodeId, absl::Time> last_probe_;
  uint64_t last_number_ = 0;
  bool is_isolated_ = false;
  absl::Time last_heartbeat_ = absl::InfinitePast();
  absl::Time rejoining_until_ =
      absl::InfinitePast();  // before it, others may still give out what this one may
};

}  // namespace quincewick::quota
