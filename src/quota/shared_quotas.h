// Limits over all gateways. Each gateway runs one instance, which requests grants from the holders of a
// limit's parts and holds parts itself. Pure: events and the time in, messages and decisions out; `now` never
// goes back.
//
// A limit is divided into equal parts. Each is assigned to one gateway, by rank and zone, whether that
// gateway is up or not. Only the part's holder grants from it, out of a bucket that it alone fills, so the
// sum over all gateways stays within the limit whoever crashes, freezes or is partitioned: what a gateway
// can't reach it can't grant, and nobody grants it in its place. While a holder is down its part is
// unavailable.
//
// Each request under a limit needs a grant before it is sent to a server. Holders are asked in turn until one
// grants; for a request that is too large for one part, each reachable holder has to grant an equal share.
// After a change of the members a part is granted only by the gateway that held it before and still does; a
// new holder waits until all gateways know of the change.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "quota/quota_account.h"
#include "quota/quota_messages.h"
#include "quota/rate_limit.h"
#include "routing/keeper_ranks.h"

namespace quincewick::quota {

struct QuotaDecision {
  uint64_t number = 0;  // as returned by `requestGrant`
  QuotaVerdict verdict;
  NodeId owner;  // the holder that granted; empty: none did, or each of several granted a share
  bool is_unavailable = false;  // denied because no holder responded, whatever is left of the limit
};

struct QuotaActions {
  struct Outgoing {
    NodeId to;
    QuotaMessage message;
  };
  std::vector<Outgoing> messages;
  std::vector<QuotaDecision> decisions;
};

class SharedQuotas {
 public:
  // Returns the limit of that name; null if there is none.
  using LimitOf = std::function<const RateLimit*(const LimitName& name)>;

  SharedQuotas(NodeId self, LimitTolerance tolerance, LimitOf limit_of)
      : self_(std::move(self)), tolerance_(tolerance), limit_of_(std::move(limit_of)) {}

  void setTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }
  // All gateways of the site, including this one: the candidates for holding parts of limits.
  void setMembers(const std::vector<routing::KeeperMember>& members);

  // Called several times a second. `is_isolated`: no other gateway is reachable, so none is asked.
  void onHeartbeat(bool is_isolated, absl::Time now);

  // Requests a grant of `cost`, in the limit's unit. Exactly one decision with the returned number follows,
  // at once or within three times kResponseTimeout.
  uint64_t requestGrant(const LimitName& name, double cost, absl::Time now, QuotaActions& actions);
  // Cancels the request: no decision follows.
  void cancel(uint64_t number) { pending_.erase(number); }
  // Returns a grant of `owner` whose work never ran.
  void refund(const LimitName& name, double cost, const NodeId& owner, QuotaActions& actions);

  void onMessage(const NodeId& from, const QuotaMessage& message, absl::Time now, QuotaActions& actions);
  // Sends requests whose deadline has passed to the next holder.
  void onTick(absl::Time now, QuotaActions& actions);
  // When the next onTick is due; InfiniteFuture if there is none.
  absl::Time nextWakeup() const;

  // A response takes some milliseconds across zones and through a busy gateway. A request with a 120 ms
  // target must still be served in time after two holders that didn't respond.
  static constexpr absl::Duration kResponseTimeout = absl::Milliseconds(40);

 private:
  struct PendingRequest {
    LimitName name;
    double cost = 0;                            // asked of each holder
    bool is_probe = false;                      // only checks whether the node is reachable
    bool is_shared = false;                     // all holders have to grant
    std::vector<NodeId> holders;                // to be asked, in order
    size_t asked = 0;                           // of the holders
    absl::Time deadline;                        // of the last asked one's response
    absl::Time last_deadline;                   // of the decision
    std::optional<absl::Duration> retry_after;  // of the first denial

    const NodeId& lastAsked() const { return holders[asked - 1]; }
    bool wereAllAsked() const { return asked == holders.size(); }
  };
  // Members as known for some time.
  struct View {
    routing::KeeperRanks ranks;
    absl::Time replaced_at = absl::InfiniteFuture();
  };

  std::vector<NodeId> holdersOf(const LimitName& name);
  // The fraction of the limit that this gateway may grant; 0: it holds no part.
  double partOf(const LimitName& name);
  // Holders that may grant, as far as this gateway knows.
  std::vector<NodeId> reachableHolders(const LimitName& name);
  void askNextHolder(uint64_t number, PendingRequest& request, absl::Time now, QuotaActions& actions);
  // Continue after the last asked holder's response or silence.
  void onGranted(uint64_t number, PendingRequest& request, absl::Time now, QuotaActions& actions);
  void onNotGranted(uint64_t number, PendingRequest& request, absl::Time now, QuotaActions& actions);
  void deny(uint64_t number, PendingRequest& request, QuotaActions& actions);
  QuotaVerdict decideFromPart(const LimitName& name, double cost, bool defers_denied, absl::Time now);
  void handleRequest(const NodeId& from, const QuotaMessage& request, absl::Time now, QuotaActions& actions);
  void handleResponse(const NodeId& from, const QuotaMessage& message, absl::Time now, QuotaActions& actions);
  void probeSuspected(const LimitName& name, absl::Time now, QuotaActions& actions);
  void forgetIdleAccounts(absl::Time now);

  NodeId self_;
  LimitTolerance tolerance_;
  LimitOf limit_of_;
  routing::KeeperRanks ranks_;
  std::vector<routing::KeeperMember> members_;
  std::vector<View> earlier_views_;                    // that other gateways may still go by
  absl::btree_map<uint64_t, PendingRequest> pending_;  // without a response, by number
  absl::btree_map<LimitName, QuotaAccount> accounts_;
  absl::btree_map<NodeId, absl::Time> last_probe_;
  uint64_t last_number_ = 0;
  bool is_isolated_ = false;
  absl::Time first_heartbeat_ = absl::InfiniteFuture();
};

}  // namespace quincewick::quota
