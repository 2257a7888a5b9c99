#include "back_pressure_promises.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "promise_support.h"

namespace quincewick::soak {
namespace {

std::string incarnationName(const Arrival& arrival) {
  return absl::StrCat(arrival.back_end, "/", absl::ToUnixMillis(arrival.back_end_started));
}

// Arrivals by back-end incarnation and gateway, in order.
using ArrivalsByPair = absl::btree_map<std::pair<std::string, std::string>, std::vector<const Arrival*>>;

ArrivalsByPair groupByBackEndAndGateway(const History& history) {
  ArrivalsByPair arrivals_by_pair;
  for (const Arrival& arrival : history.arrivals) {
    arrivals_by_pair[{incarnationName(arrival), arrival.gateway}].push_back(&arrival);
  }
  return arrivals_by_pair;
}

// The time of the first response head that satisfies the predicate.
template <class IsAnnouncement>
absl::Time firstAnnouncement(const std::vector<const Arrival*>& arrivals, const IsAnnouncement& announced) {
  absl::Time first = absl::InfiniteFuture();
  for (const Arrival* arrival : arrivals) {
    first = announced(*arrival) ? std::min(first, arrival->head_sent) : first;
  }
  return first;
}

PromiseResult checkLeavingAnnouncements(const History& history, const Bounds& bounds,
                                        const ArrivalsByPair& arrivals_by_pair) {
  PromiseResult result{"nothing new comes to a back end that said that it leaves", 0, {}};
  for (const auto& [names, arrivals] : arrivals_by_pair) {
    const absl::Time announced =
        firstAnnouncement(arrivals, [](const Arrival& arrival) { return arrival.announced_leaving; });
    for (const Arrival* arrival : arrivals) {
      const bool is_after = arrival->at > announced + bounds.back_pressure_delay;
      if (!is_after || isDisturbed(history, arrival->gateway, announced, arrival->at, true)) {
        continue;
      }
      ++result.checks;
      if (arrival->at > announced + bounds.server_drain) {
        addViolation(result, absl::StrCat("came to ", names.first, " from ", names.second), arrival->attempt);
      }
    }
  }
  return result;
}

}  // namespace

// Requests of gateways that were undisturbed for the settling time.
PromiseResult checkRejections(const History& history, const Bounds& bounds) {
  PromiseResult result{"a brittle back end rejects no more in a second than it stands", 0, {}};
  absl::btree_map<std::string, std::vector<const Arrival*>> rejected;
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.is_rejected_for_room && arrival.announced_max_rejections) {
      rejected[incarnationName(arrival)].push_back(&arrival);
    }
  }
  for (const auto& [name, arrivals] : rejected) {
    for (const Arrival* first : arrivals) {
      ++result.checks;
      const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival* other) {
        return other->at >= first->at && other->at < first->at + absl::Seconds(1) &&
               !isDisturbed(history, other->gateway, other->at - bounds.settling_time, other->at, false);
      });
      if (static_cast<size_t>(count) > *first->announced_max_rejections) {
        addViolation(result, absl::StrCat(name, " rejected ", count), first->attempt);
      }
    }
  }
  return result;
}

namespace {

PromiseResult checkBackOffPeriods(const History& history, const Bounds& bounds,
                                  const ArrivalsByPair& arrivals_by_pair) {
  PromiseResult result{"a back end at rest is left alone", 0, {}};
  for (const auto& [names, arrivals] : arrivals_by_pair) {
    for (const Arrival* answered : arrivals) {
      if (!answered->requested_back_off) {
        continue;
      }
      const absl::Time end = answered->head_sent + *answered->requested_back_off;
      if (isDisturbed(history, names.second, answered->head_sent, end, true)) {
        continue;
      }
      ++result.checks;
      const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival* arrival) {
        return arrival->at > answered->head_sent + bounds.back_pressure_delay && arrival->at < end;
      });
      if (static_cast<size_t>(count) > bounds.requests_per_back_off) {
        addViolation(result, absl::StrCat(count, " came to ", names.first, " from ", names.second),
                     answered->attempt);
      }
    }
  }
  return result;
}

// An interval in which a back-end incarnation advertised one rate: from its first response head with this
// rate to the first one without it.
struct AdvertisedRate {
  std::string back_end;  // with its start time
  double rate = 0;
  absl::Time from;
  absl::Time until = absl::InfiniteFuture();
};

std::vector<AdvertisedRate> advertisedRates(const History& history) {
  std::vector<const Arrival*> answered;
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.head_sent != absl::InfiniteFuture()) {
      answered.push_back(&arrival);
    }
  }
  std::stable_sort(answered.begin(), answered.end(), [](const Arrival* one, const Arrival* other) {
    return one->head_sent < other->head_sent;
  });
  std::vector<AdvertisedRate> rates;
  absl::flat_hash_map<std::string, size_t> open;  // the index of each back end's current rate
  for (const Arrival* arrival : answered) {
    const std::string name = incarnationName(*arrival);
    const auto found = open.find(name);
    if (found != open.end() && rates[found->second].rate != arrival->advertised_rate) {
      rates[found->second].until = arrival->head_sent;
      open.erase(found);
    }
    if (arrival->advertised_rate && !open.contains(name)) {
      open[name] = rates.size();
      rates.push_back({name, *arrival->advertised_rate, arrival->head_sent});
    }
  }
  return rates;
}

PromiseResult checkRates(const History& history, const Bounds& bounds,
                         const ArrivalsByPair& arrivals_by_pair) {
  PromiseResult result{"a back end that named a rate gets no more from gateways that it told", 0, {}};
  for (const AdvertisedRate& advertised : advertisedRates(history)) {
    std::vector<absl::Time> counted;
    for (const auto& [names, arrivals] : arrivals_by_pair) {
      if (names.first != advertised.back_end) {
        continue;
      }
      const absl::Time first_advertised = firstAnnouncement(arrivals, [&advertised](const Arrival& arrival) {
        return arrival.advertised_rate == advertised.rate && arrival.head_sent >= advertised.from;
      });
      for (const Arrival* arrival : arrivals) {
        const absl::Time begin =
            std::max(first_advertised + bounds.back_pressure_delay, advertised.from + bounds.settling_time);
        const bool counts =
            arrival->at > begin && arrival->at < advertised.until &&
            !isDisturbed(history, names.second, arrival->at - bounds.settling_time - bounds.rate_window,
                         arrival->at, true);
        if (counts) {
          counted.push_back(arrival->at);
        }
      }
    }
    std::sort(counted.begin(), counted.end());
    const double allowed =
        bounds.rate_overshoot * advertised.rate * absl::ToDoubleSeconds(bounds.rate_window) +
        bounds.rate_constant;
    for (const absl::Time& begin : counted) {
      ++result.checks;
      const size_t count = countWithin(counted, begin, bounds.rate_window);
      if (static_cast<double>(count) > allowed) {
        result.violations.push_back(
            {absl::StrCat(advertised.back_end, ": ", count, " came, ", allowed, " allowed"), {}});
        break;
      }
    }
  }
  return result;
}

}  // namespace

std::vector<PromiseResult> checkBackPressure(const History& history, const Bounds& bounds) {
  const ArrivalsByPair arrivals_by_pair = groupByBackEndAndGateway(history);
  return {checkLeavingAnnouncements(history, bounds, arrivals_by_pair),
          checkBackOffPeriods(history, bounds, arrivals_by_pair),
          checkRates(history, bounds, arrivals_by_pair)};
}

}  // namespace quincewick::soak
