#include "forwarding/delegate_finder.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

constexpr size_t kAskedPerRound = 8;
constexpr size_t kAskedOfOwnZone = 2;
constexpr size_t kEnoughOffers = 4;
constexpr absl::Duration kSearchInterval = absl::Milliseconds(50);    // between rounds without enough offers
constexpr absl::Duration kRefreshInterval = absl::Milliseconds(250);  // between rounds otherwise
constexpr absl::Duration kOfferValidity = absl::Seconds(1);
constexpr absl::Duration kDeclinedTime = absl::Seconds(1);
// A gateway that didn't offer is asked again after this time, others first.
constexpr absl::Duration kAskAgain = absl::Milliseconds(500);
// A need that pauses for longer begins anew.
constexpr absl::Duration kNeedPause = absl::Seconds(2);

}  // namespace

bool DelegateFinder::isUsable(const Offer& offer, absl::Time now) {
  return now - offer.received <= kOfferValidity && now >= offer.declined_until && offer.offer.room > 0;
}

bool DelegateFinder::hasUsable(const Search& search, absl::Time now) {
  return std::any_of(search.offers.begin(), search.offers.end(),
                     [now](const auto& entry) { return isUsable(entry.second, now); });
}

std::vector<NodeId> DelegateFinder::gatewaysToAsk(const ServiceName& service,
                                                  const std::vector<DelegateCandidate>& live, absl::Time now,
                                                  absl::BitGenRef random) {
  Search& search = searches_[service];
  absl::erase_if(search.offers,
                 [now](const auto& entry) { return now - entry.second.received > 2 * kOfferValidity; });
  const size_t usable = offering(service, kEnoughOffers, now).size();
  if (now - search.last_round < (usable < kEnoughOffers ? kSearchInterval : kRefreshInterval)) {
    return {};
  }
  if (now - search.last_round > kNeedPause) {
    search.first_round = now;
  }
  std::vector<NodeId> chosen;
  const auto add = [&](const NodeId& id) {
    if (chosen.size() < kAskedPerRound && std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
      chosen.push_back(id);
    }
  };
  // Known offers are refreshed before they end.
  for (const auto& [id, offer] : search.offers) {
    if (now - offer.received >= kRefreshInterval && now >= offer.declined_until) {
      add(id);
    }
  }
  for (const NodeId& id : std::exchange(search.referred, {})) {
    add(id);
  }
  std::vector<std::pair<double, NodeId>> own_zone;
  std::vector<std::pair<double, NodeId>> others;
  for (const DelegateCandidate& candidate : live) {
    const auto asked = search.asked.find(candidate.id);
    const bool was_asked_lately = asked != search.asked.end() && now - asked->second < kAskAgain;
    if (!search.offers.contains(candidate.id) && !was_asked_lately) {
      (candidate.is_own_zone ? own_zone : others).emplace_back(absl::Uniform(random, 0.0, 1.0), candidate.id);
    }
  }
  std::sort(own_zone.begin(), own_zone.end());
  std::sort(others.begin(), others.end());
  for (size_t index = 0; index < std::min(own_zone.size(), kAskedOfOwnZone); ++index) {
    add(own_zone[index].second);
  }
  for (const auto& [draw, id] : others) {
    add(id);
  }
  for (const auto& [draw, id] : own_zone) {
    add(id);
  }
  if (!chosen.empty()) {
    search.last_round = now;
  }
  for (const NodeId& id : chosen) {
    search.asked[id] = now;
  }
  return chosen;
}

void DelegateFinder::noteOffer(const ServiceName& service, const NodeId& from, const DelegateOffer& offer,
                               absl::Time now) {
  Search& search = searches_[service];
  Offer& known = search.offers[from];
  known.offer = offer;
  known.received = now;
  search.asked.erase(from);
}

void DelegateFinder::noteRefusal(const ServiceName& service, const NodeId& from,
                                 const std::vector<NodeId>& referrals) {
  Search& search = searches_[service];
  search.offers.erase(from);
  for (const NodeId& id : referrals) {
    if (search.referred.size() < kAskedPerRound && !search.offers.contains(id)) {
      search.referred.push_back(id);
      search.last_round = absl::InfinitePast();  // asked at the next need
    }
  }
}

void DelegateFinder::noteDeclined(const ServiceName& service, const NodeId& delegate, absl::Time now) {
  Search& search = searches_[service];
  if (const auto offer = search.offers.find(delegate); offer != search.offers.end()) {
    offer->second.declined_until = now + kDeclinedTime;
  }
}

void DelegateFinder::noteEnded(const NodeId& delegate) {
  const auto found = in_progress_.find(delegate);
  if (found != in_progress_.end() && --found->second == 0) {
    in_progress_.erase(found);
  }
}

std::optional<NodeId> DelegateFinder::choose(const ServiceName& service, const std::vector<NodeId>& excluded,
                                             absl::Time now, absl::BitGenRef random) const {
  const auto search = searches_.find(service);
  if (search == searches_.end()) {
    return std::nullopt;
  }
  std::optional<NodeId> best;
  double least = 0;
  for (const auto& [id, offer] : search->second.offers) {
    if (!isUsable(offer, now) || std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
      continue;
    }
    const auto running = in_progress_.find(id);
    const double load =
        (running == in_progress_.end() ? 0 : running->second) + absl::Uniform(random, 0.0, 1.0);
    if (!best || load < least) {
      best = id;
      least = load;
    }
  }
  return best;
}

std::optional<DelegateOffer> DelegateFinder::offerOf(const ServiceName& service,
                                                     const NodeId& delegate) const {
  const auto search = searches_.find(service);
  if (search == searches_.end()) {
    return std::nullopt;
  }
  const auto offer = search->second.offers.find(delegate);
  return offer == search->second.offers.end() ? std::nullopt : std::optional(offer->second.offer);
}

std::vector<NodeId> DelegateFinder::offering(const ServiceName& service, size_t count, absl::Time now) const {
  std::vector<NodeId> result;
  const auto search = searches_.find(service);
  if (search == searches_.end()) {
    return result;
  }
  for (const auto& [id, offer] : search->second.offers) {
    if (result.size() < count && isUsable(offer, now)) {
      result.push_back(id);
    }
  }
  return result;
}

bool DelegateFinder::isHopeless(const ServiceName& service, absl::Time now) const {
  const auto search = searches_.find(service);
  return search != searches_.end() && !hasUsable(search->second, now) &&
         now - search->second.first_round >= kAnswerTimeout && search->second.referred.empty();
}

}  // namespace quincewick::forwarding
