// Which other gateways take requests for a service that this gateway can't reach. Gateways are asked when the
// need arises: some of the own zone and some of all others at a time, so that one that reaches the service is
// found even where a whole zone is partitioned. One that is partitioned itself refers to those that it has
// found.
//
// Offers are used while they are fresh, and requests are spread over the gateways that made them by what is
// in progress there. Does no I/O; `now` never goes back.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "forwarding/site_configuration.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// A gateway's statement that it takes requests for a service.
struct DelegateOffer {
  uint16_t port = 0;  // where it takes them
  uint32_t room = 0;  // further requests that it takes now
};

// A gateway that may be asked.
struct DelegateCandidate {
  NodeId id;
  bool is_own_zone = false;
};

class DelegateFinder {
 public:
  // Without an answer in this time, a gateway counts as one that doesn't offer.
  static constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(80);

  // The gateways to ask for the service now, usually none. `live`: all that were heard lately.
  std::vector<NodeId> gatewaysToAsk(const ServiceName& service, const std::vector<DelegateCandidate>& live,
                                    absl::Time now, absl::BitGenRef random);
  void noteOffer(const ServiceName& service, const NodeId& from, const DelegateOffer& offer, absl::Time now);
  // The gateway doesn't reach the service either. `referrals`: those that it knows to offer.
  void noteRefusal(const ServiceName& service, const NodeId& from, const std::vector<NodeId>& referrals);
  // A request was declined there or could not be sent: the gateway gets none for a while.
  void noteDeclined(const ServiceName& service, const NodeId& delegate, absl::Time now);
  // A request starts or ends there.
  void noteStarted(const NodeId& delegate) { ++in_progress_[delegate]; }
  void noteEnded(const NodeId& delegate);

  // The gateway for one request; nothing if no fresh offer is known besides those of `excluded`.
  std::optional<NodeId> choose(const ServiceName& service, const std::vector<NodeId>& excluded,
                               absl::Time now, absl::BitGenRef random) const;
  std::optional<DelegateOffer> offerOf(const ServiceName& service, const NodeId& delegate) const;
  // Gateways with fresh offers, at most `count`.
  std::vector<NodeId> offering(const ServiceName& service, size_t count, absl::Time now) const;
  // Whether gateways were asked and the last ones' time to answer is over, without any fresh offer.
  bool isHopeless(const ServiceName& service, absl::Time now) const;

 private:
  struct Offer {
    DelegateOffer offer;
    absl::Time received;
    absl::Time declined_until = absl::InfinitePast();
  };
  struct Search {
    absl::btree_map<NodeId, Offer> offers;
    absl::btree_map<NodeId, absl::Time> asked;  // when last, of those that haven't offered since
    std::vector<NodeId> referred;               // to be asked next
    absl::Time last_round = absl::InfinitePast();
    absl::Time first_round = absl::InfinitePast();  // of the current need
  };

  static bool isUsable(const Offer& offer, absl::Time now);
  static bool hasUsable(const Search& search, absl::Time now);

  absl::flat_hash_map<ServiceName, Search> searches_;
  absl::btree_map<NodeId, uint32_t> in_progress_;
};

}  // namespace quincewick::forwarding
