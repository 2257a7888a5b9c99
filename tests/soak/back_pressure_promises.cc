#include "back_pressure_promises.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "promise_support.h"

namespace quincewick::soak {
namespace {

std::string nameOfStart(const Arrival& arrival) {
  return absl::StrCat(arrival.back_end, "/", absl::ToUnixMillis(arrival.start));
}

// Of one start of a back end, as one gateway met it, in order.
using Talks = absl::btree_map<std::pair<std::string, std::string>, std::vector<const Arrival*>>;

Talks byBackEndAndGateway(const History& history) {
  Talks talks;
  for (const Arrival& arrival : history.arrivals) {
    talks[{nameOfStart(arrival), arrival.gateway}].push_back(&arrival);
  }
  return talks;
}

// The earliest head in which the back end said so to the gateway.
template <class Said>
absl::Time firstSaid(const std::vector<const Arrival*>& arrivals, const Said& said) {
  absl::Time first = absl::InfiniteFuture();
  for (const Arrival* arrival : arrivals) {
    first = said(*arrival) ? std::min(first, arrival->head_sent) : first;
  }
  return first;
}

PromiseResult checkLeavingByAnswers(const History& history, const Bounds& bounds, const Talks& talks) {
  PromiseResult result{"nothing new comes to a back end that said that it leaves", 0, {}};
  for (const auto& [names, arrivals] : talks) {
    const absl::Time said = firstSaid(arrivals, [](const Arrival& arrival) { return arrival.said_leaving; });
    for (const Arrival* arrival : arrivals) {
      const bool is_after = arrival->at > said + bounds.back_pressure_heard;
      if (!is_after || isDisturbed(history, arrival->gateway, said, arrival->at, true)) {
        continue;
      }
      ++result.checks;
      if (arrival->at > said + bounds.server_drain) {
        addViolation(result, absl::StrCat("came to ", names.first, " from ", names.second), arrival->attempt);
      }
    }
  }
  return result;
}

PromiseResult checkRests(const History& history, const Bounds& bounds, const Talks& talks) {
  PromiseResult result{"a back end at rest is left alone", 0, {}};
  for (const auto& [names, arrivals] : talks) {
    for (const Arrival* answered : arrivals) {
      if (!answered->asked_rest) {
        continue;
      }
      const absl::Time end = answered->head_sent + *answered->asked_rest;
      if (isDisturbed(history, names.second, answered->head_sent, end, true)) {
        continue;
      }
      ++result.checks;
      const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival* arrival) {
        return arrival->at > answered->head_sent + bounds.back_pressure_heard && arrival->at < end;
      });
      if (static_cast<size_t>(count) > bounds.requests_in_a_rest) {
        addViolation(result, absl::StrCat(count, " came to ", names.first, " from ", names.second),
                     answered->attempt);
      }
    }
  }
  return result;
}

// A time in which a start of a back end named one rate, from its first head with it to the first one without.
struct NamedRate {
  std::string back_end;  // and start
  double rate = 0;
  absl::Time from;
  absl::Time until = absl::InfiniteFuture();
};

std::vector<NamedRate> namedRates(const History& history) {
  std::vector<const Arrival*> answered;
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.head_sent != absl::InfiniteFuture()) {
      answered.push_back(&arrival);
    }
  }
  std::stable_sort(answered.begin(), answered.end(), [](const Arrival* one, const Arrival* other) {
    return one->head_sent < other->head_sent;
  });
  std::vector<NamedRate> rates;
  absl::flat_hash_map<std::string, size_t> open;  // the index of each back end's rate in force
  for (const Arrival* arrival : answered) {
    const std::string name = nameOfStart(*arrival);
    const auto found = open.find(name);
    if (found != open.end() && rates[found->second].rate != arrival->named_rate) {
      rates[found->second].until = arrival->head_sent;
      open.erase(found);
    }
    if (arrival->named_rate && !open.contains(name)) {
      open[name] = rates.size();
      rates.push_back({name, *arrival->named_rate, arrival->head_sent});
    }
  }
  return rates;
}

PromiseResult checkRates(const History& history, const Bounds& bounds, const Talks& talks) {
  PromiseResult result{"a back end that named a rate gets no more from gateways that it told", 0, {}};
  for (const NamedRate& named : namedRates(history)) {
    std::vector<absl::Time> counted;
    for (const auto& [names, arrivals] : talks) {
      if (names.first != named.back_end) {
        continue;
      }
      const absl::Time told = firstSaid(arrivals, [&named](const Arrival& arrival) {
        return arrival.named_rate == named.rate && arrival.head_sent >= named.from;
      });
      for (const Arrival* arrival : arrivals) {
        const absl::Time begin =
            std::max(told + bounds.back_pressure_heard, named.from + bounds.in_touch_after);
        const bool counts =
            arrival->at > begin && arrival->at < named.until &&
            !isDisturbed(history, names.second, arrival->at - bounds.in_touch_after - bounds.rate_window,
                         arrival->at, true);
        if (counts) {
          counted.push_back(arrival->at);
        }
      }
    }
    std::sort(counted.begin(), counted.end());
    const double allowed =
        bounds.rate_overshoot * named.rate * absl::ToDoubleSeconds(bounds.rate_window) + bounds.rate_constant;
    for (const absl::Time& begin : counted) {
      ++result.checks;
      const size_t count = within(counted, begin, bounds.rate_window);
      if (static_cast<double>(count) > allowed) {
        result.violations.push_back(
            {absl::StrCat(named.back_end, ": ", count, " came, ", allowed, " allowed"), {}});
        break;
      }
    }
  }
  return result;
}

}  // namespace

std::vector<PromiseResult> checkBackPressure(const History& history, const Bounds& bounds) {
  const Talks talks = byBackEndAndGateway(history);
  return {checkLeavingByAnswers(history, bounds, talks), checkRests(history, bounds, talks),
          checkRates(history, bounds, talks)};
}

}  // namespace quincewick::soak
