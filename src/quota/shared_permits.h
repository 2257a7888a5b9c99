// Permits to send requests that a brittle server may reject, over all gateways. Such a server crashes once it
// has to reject more than N requests in a second, and a request may be rejected until it was accepted. Each
// gateway runs one instance, which asks the holders of a server's permits for its own requests and holds
// permits of some servers itself. Pure: events and the time in, messages and decisions out; `now` never goes
// back.
//
// A request takes a permit before it is sent. The permit is free again once the request was accepted, and a
// second after it was, or may have been, rejected. So each permit covers at most one rejection in any second,
// and there are N of them: they are divided among several holders, each up or not (PartHolders). A permit is
// a lease: a gateway that can't renew it ends the request, and a holder keeps it until then whatever happens
// to that gateway. A holder that has started gives out nothing until what its last life gave out has ended.
//
// A gateway that has heard nothing of a service asks too. Holders tell what they know; where none knows
// anything, the first lets one request at a time find out.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "quota/part_holders.h"
#include "quota/permit_messages.h"

namespace quincewick::quota {

// What a gateway knows of a server.
struct RejectionTolerance {
  bool is_known = false;
  uint32_t max_rejections = 0;  // a second; 0: any number
};

struct PermitDecision {
  uint64_t number = 0;  // as returned by `request`
  bool is_granted = false;
  bool is_unneeded = false;    // granted, as the server isn't brittle: nothing is to be ended
  absl::Duration retry_after;  // if denied: the least that a holder of permits named
  // Denied because nothing is known of the server, and its first holder doesn't answer.
  bool is_unavailable = false;
  // Denied, and the server is brittle as far as the requester or a holder knows.
  bool is_brittle = false;
};

struct PermitActions {
  struct Outgoing {
    NodeId to;
    PermitMessage message;
  };
  std::vector<Outgoing> messages;
  std::vector<PermitDecision> decisions;
  std::vector<uint64_t> lost;  // permits that could not be renewed: their requests must end now
};

// How a request under a permit ended, or that it was accepted.
enum class PermitEnd : uint8_t {
  kAccepted,       // by a response that is no rejection
  kNeverSent,      // no byte of the request was sent
  kMaybeRejected,  // anything else
};

class SharedPermits {
 public:
  using ToleranceOf = std::function<RejectionTolerance(uint64_t server, absl::Time now)>;

  // `first_number`: different at each start. `site_is_new`: no gateway has given out permits before.
  SharedPermits(NodeId self, uint64_t first_number, bool site_is_new, ToleranceOf tolerance_of)
      : self_(std::move(self)),
        last_number_(first_number),
        site_is_new_(site_is_new),
        tolerance_of_(std::move(tolerance_of)) {}

  void setMembers(const std::vector<routing::KeeperMember>& members) { holders_.setMembers(members); }
  // Called several times a second. `is_isolated`: no other gateway is reachable, so none is asked.
  void onHeartbeat(bool is_isolated, absl::Time now);

  // Requests a permit for one request to the server. `max_rejections`: as known here; 0: unknown. `share`:
  // the fraction of each part that it may use, by its urgency. Exactly one decision follows, at once or soon.
  uint64_t request(uint64_t server, uint32_t max_rejections, double share, absl::Time now,
                   PermitActions& actions);
  // Ends a request for a permit, or a permit that was granted.
  void end(uint64_t number, PermitEnd how, absl::Time now, PermitActions& actions);

  void onMessage(const NodeId& from, const PermitMessage& message, absl::Time now, PermitActions& actions);
  // Handles silent holders, renewals and leases that end.
  void onTick(absl::Time now, PermitActions& actions);
  // When the next onTick is due; InfiniteFuture if there is none.
  absl::Time nextWakeup() const;

  // A response takes some milliseconds across zones and through a busy gateway.
  static constexpr absl::Duration kResponseTimeout = absl::Milliseconds(40);
  // A permit ends unless it is renewed.
  static constexpr absl::Duration kLease = absl::Seconds(1);
  // How long a permit is kept after a rejection was known: a second, and a margin for differing clocks.
  static constexpr absl::Duration kRejectionWindow = absl::Milliseconds(1050);
  // A holder that has started gives out its part after this time: kLease + kRejectionWindow. Where nobody
  // knows the server, the first holder lets one request find out after kRejectionWindow.
  static constexpr absl::Duration kQuarantine = absl::Milliseconds(2050);

  // Holders of the permits of a server that stands so many rejections.
  static size_t partsFor(uint32_t max_rejections);
  // Permits of the holder in that place.
  static uint32_t shareAt(size_t place, uint32_t max_rejections);

 private:
  struct Pending {
    uint64_t server = 0;
    uint32_t max_rejections = 0;
    double share = 1;
    std::vector<NodeId> holders;  // to be asked, in order
    size_t asked = 0;
    bool only_inquires = false;  // the first holder doesn't let the request find out: others may know
    bool is_first_silent = false;
    absl::Time asked_at;
    absl::Duration retry_after = absl::InfiniteDuration();  // least of the denials
  };
  struct Held {
    uint64_t server = 0;
    NodeId holder;
    absl::Time lease_until;
    absl::Time renew_at;
    uint32_t renewals = 0;    // sent
    absl::Time last_renewal;  // when the last one was sent
  };
  // What this gateway has given out of one server's permits.
  struct Account {
    absl::btree_map<std::pair<NodeId, uint64_t>, absl::Time> permits;  // and until when each is kept
    std::deque<absl::Time> cooling;                                    // ends of the windows after rejections
  };

  void askNext(uint64_t number, absl::Time now, PermitActions& actions);
  void deny(uint64_t number, PermitActions& actions);
  void grant(uint64_t number, const NodeId& holder, PermitActions& actions);
  PermitMessage decide(const NodeId& from, const PermitMessage& request, absl::Time now);
  absl::Duration quarantineLeft(bool is_told, absl::Time now) const;
  uint32_t capacityFor(uint64_t server, uint32_t max_rejections, absl::Time now);
  void free(const NodeId& from, const PermitMessage& message, absl::Time now);
  bool renew(const NodeId& from, const PermitMessage& message, absl::Time now);
  void handleResponse(const NodeId& from, const PermitMessage& message, absl::Time now,
                      PermitActions& actions);
  void noteTold(Pending& pending, uint32_t max_rejections);
  static void dropExpired(Account& account, absl::Time now);
  void forgetIdleAccounts(absl::Time now);

  NodeId self_;
  uint64_t last_number_;
  bool site_is_new_;
  ToleranceOf tolerance_of_;
  PartHolders holders_;
  bool is_isolated_ = false;
  absl::Time first_heartbeat_ = absl::InfiniteFuture();
  absl::btree_map<uint64_t, Pending> pending_;        // by number
  absl::btree_map<uint64_t, Held> held_;              // by number
  absl::flat_hash_map<uint64_t, Account> accounts_;   // by server
  absl::btree_map<NodeId, absl::Time> suspected_at_;  // when a silent holder was last asked
};

}  // namespace quincewick::quota
