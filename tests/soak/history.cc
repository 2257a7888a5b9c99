#include "history.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace quincewick::soak {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kNotFound = 404;

using ArrivalsByAttempt = absl::flat_hash_map<std::string, std::vector<const Arrival*>>;

ArrivalsByAttempt byAttempt(const History& history) {
  ArrivalsByAttempt result;
  for (const Arrival& arrival : history.arrivals) {
    result[arrival.attempt].push_back(&arrival);
  }
  return result;
}

bool mayRunOnce(RequestKind kind) {
  return kind == RequestKind::kOnce || kind == RequestKind::kStream;
}

bool isStream(RequestKind kind) {
  return kind == RequestKind::kResumableStream || kind == RequestKind::kStream;
}

bool isSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void addViolation(PromiseResult& result, std::string what, const std::string& attempt) {
  result.violations.push_back({std::move(what), {attempt}});
}

size_t runs(const ArrivalsByAttempt& arrivals, const std::string& attempt) {
  const auto found = arrivals.find(attempt);
  return found == arrivals.end()
             ? 0
             : static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                 [](const Arrival* arrival) { return arrival->ran; }));
}

PromiseResult checkAtMostOnce(const History& history, const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"what may run once runs at most once", 0, {}};
  for (const Request& request : history.requests) {
    if (mayRunOnce(request.kind)) {
      ++result.checks;
      if (const size_t count = runs(arrivals, request.attempt); count > 1) {
        addViolation(result, absl::StrCat("ran ", count, " times"), request.attempt);
      }
    }
  }
  return result;
}

// Arrivals are looked at after the run's end: a run that comes later counts, too.
PromiseResult checkRefusals(const History& history, const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"what was refused has not run and never does", 0, {}};
  for (const Request& request : history.requests) {
    if (mayRunOnce(request.kind) && request.end == RequestEnd::kAnswered && promisesNotRun(request.status)) {
      ++result.checks;
      if (runs(arrivals, request.attempt) > 0) {
        addViolation(result, absl::StrCat("answered ", request.status, ", and ran"), request.attempt);
      }
    }
  }
  return result;
}

PromiseResult checkOwnAnswers(const History& history, const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"each caller gets its own answer, whole", 0, {}};
  for (const Request& request : history.requests) {
    if (request.end != RequestEnd::kAnswered || isStream(request.kind) || request.signature.empty()) {
      const bool is_unsigned_success =
          request.end == RequestEnd::kAnswered && isSuccess(request.status) && request.signature.empty();
      if (is_unsigned_success) {
        addViolation(result, "a success that no back end signed", request.attempt);
      }
      continue;
    }
    ++result.checks;
    const auto found = arrivals.find(request.attempt);
    const bool is_own =
        found != arrivals.end() &&
        std::any_of(found->second.begin(), found->second.end(), [&request](const Arrival* arrival) {
          return arrival->ran && arrival->signature == request.signature && arrival->body == request.body &&
                 arrival->status == request.status;
        });
    if (!is_own) {
      addViolation(result, "the answer is none that a back end gave to it", request.attempt);
    }
  }
  return result;
}

PromiseResult checkStreams(const History& history) {
  PromiseResult result{"streams are whole and in order", 0, {}};
  for (const Request& request : history.requests) {
    if (!isStream(request.kind) || request.events.empty()) {
      continue;
    }
    ++result.checks;
    if (request.has_foreign_event) {
      addViolation(result, "an event of another request", request.attempt);
    }
    for (size_t index = 0; index < request.events.size(); ++index) {
      if (request.events[index] != static_cast<int>(index) + 1) {
        addViolation(result, absl::StrCat("event ", request.events[index], " in place ", index + 1),
                     request.attempt);
        break;
      }
    }
    const bool claims_whole = request.end == RequestEnd::kAnswered && isSuccess(request.status);
    if (claims_whole && static_cast<int>(request.events.size()) != history.events_of_a_stream) {
      addViolation(result, absl::StrCat("ended as whole after ", request.events.size(), " events"),
                   request.attempt);
    }
  }
  return result;
}

PromiseResult checkServices(const History& history, const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"requests run at their route's service alone", 0, {}};
  absl::flat_hash_set<std::string> sent;
  for (const Request& request : history.requests) {
    sent.insert(request.attempt);
    const auto found = arrivals.find(request.attempt);
    if (found == arrivals.end()) {
      continue;
    }
    ++result.checks;
    for (const Arrival* arrival : found->second) {
      if (arrival->ran && arrival->service != request.service) {
        addViolation(result, absl::StrCat("ran at ", arrival->service), request.attempt);
      }
    }
  }
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.ran && !sent.contains(arrival.attempt)) {
      addViolation(result, "ran, and no caller had sent it", arrival.attempt);
    }
  }
  return result;
}

bool isDisturbed(const History& history, const std::string& gateway, absl::Time begin, absl::Time end,
                 bool planned_too) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       const bool concerns = disturbance.gateway.empty() || disturbance.gateway == gateway;
                       const bool counts = planned_too || !disturbance.is_planned;
                       return concerns && counts && disturbance.begin <= end && disturbance.end >= begin;
                     });
}

// A request that crosses the closing of its connection and reaches no back end doesn't count.
PromiseResult checkPlannedStops(const History& history, const Bounds& bounds,
                                const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"a planned stop cuts nothing", 0, {}};
  for (const Disturbance& stop : history.disturbances) {
    if (!stop.is_planned) {
      continue;
    }
    for (const Request& request : history.requests) {
      const bool is_under_way = request.gateway == stop.gateway && request.ended >= stop.begin &&
                                request.sent <= stop.begin + bounds.stop_grace;
      if (!is_under_way ||
          isDisturbed(history, request.gateway, request.sent - bounds.in_touch_after, request.ended, false)) {
        continue;
      }
      ++result.checks;
      const auto found = arrivals.find(request.attempt);
      const bool was_passed_on = found != arrivals.end();
      const bool is_back_ends_fault =
          was_passed_on && std::any_of(found->second.begin(), found->second.end(),
                                       [](const Arrival* arrival) { return arrival->is_broken_off; });
      if (request.end == RequestEnd::kCut && was_passed_on && !is_back_ends_fault) {
        addViolation(result, absl::StrCat("cut at ", request.gateway), request.attempt);
      }
    }
  }
  return result;
}

size_t within(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width) {
  const auto first = std::lower_bound(times.begin(), times.end(), begin);
  return static_cast<size_t>(std::lower_bound(first, times.end(), begin + width) - first);
}

PromiseResult checkRepeats(const History& history, const Bounds& bounds) {
  PromiseResult result{"repeats stay within the site's budget", 0, {}};
  absl::flat_hash_map<std::string, std::vector<absl::Time>> requests;
  absl::flat_hash_map<std::string, std::vector<absl::Time>> repeats;
  for (const Request& request : history.requests) {
    requests[request.service].push_back(request.sent);
  }
  absl::flat_hash_set<std::string> seen;
  for (const Arrival& arrival : history.arrivals) {
    if (!seen.insert(arrival.attempt).second) {
      repeats[arrival.service].push_back(arrival.at);
    }
  }
  for (auto& [service, times] : repeats) {
    std::sort(times.begin(), times.end());
    std::vector<absl::Time>& asked = requests[service];
    std::sort(asked.begin(), asked.end());
    for (const absl::Time& begin : times) {
      ++result.checks;
      const absl::Duration width = bounds.retry_window;
      const size_t most = std::max({within(asked, begin, width), within(asked, begin - width, width),
                                    within(asked, begin - width / 2, width)});
      const double allowed = bounds.retry_ratio * static_cast<double>(most) + bounds.retry_constant;
      const size_t count = within(times, begin, width);
      if (static_cast<double>(count) > allowed) {
        result.violations.push_back(
            {absl::StrCat(service, ": ", count, " repeats, ", allowed, " allowed"), {}});
        break;
      }
    }
  }
  return result;
}

PromiseResult checkProcesses(const History& history, const Bounds& bounds) {
  PromiseResult result{"processes live on, and stay small", 0, {}};
  for (const OwnEnd& end : history.own_ends) {
    result.violations.push_back(
        {absl::StrCat(end.gateway, " ended by itself, wait status ", end.wait_status), {}});
  }
  for (const ProcessSize& size : history.sizes) {
    ++result.checks;
    if (size.memory_bytes > bounds.memory_bytes || size.descriptors > bounds.descriptors) {
      result.violations.push_back({absl::StrCat(size.gateway, " has ", size.memory_bytes, " bytes and ",
                                                size.descriptors, " descriptors"),
                                   {}});
    }
  }
  return result;
}

PromiseResult checkLeaving(const History& history, const Bounds& bounds) {
  PromiseResult result{"nothing new comes to a back end that left", 0, {}};
  absl::flat_hash_map<std::string, absl::Time> left;
  for (const Leaving& leaving : history.leavings) {
    const auto [place, is_first] = left.try_emplace(leaving.back_end, leaving.at);
    place->second = std::min(place->second, leaving.at);
  }
  for (const Arrival& arrival : history.arrivals) {
    const auto found = left.find(arrival.back_end);
    const bool is_after = found != left.end() && arrival.at > found->second;
    if (!is_after ||
        isDisturbed(history, arrival.gateway, arrival.at - bounds.in_touch_after, arrival.at, true)) {
      continue;
    }
    ++result.checks;
    if (arrival.at > found->second + bounds.server_drain) {
      addViolation(result,
                   absl::StrCat("came to ", arrival.back_end, " from ", arrival.gateway, " ",
                                absl::ToInt64Milliseconds(arrival.at - found->second), " ms after it left"),
                   arrival.attempt);
    }
  }
  return result;
}

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

PromiseResult checkKeys(const History& history, const Bounds& bounds, const ArrivalsByAttempt& arrivals) {
  PromiseResult result{"no request runs under a key that was taken away", 0, {}};
  for (const KeyRemoval& removal : history.key_removals) {
    for (const Request& request : history.requests) {
      if (request.key != removal.key || request.sent < removal.at + bounds.key_revocation) {
        continue;
      }
      ++result.checks;
      if (runs(arrivals, request.attempt) > 0) {
        addViolation(result, absl::StrCat("ran under ", removal.key), request.attempt);
      }
    }
  }
  return result;
}

// A server's own answer is signed.
bool isRejectedAsUnknown(const Request& request) {
  return request.status == kNotFound && request.signature.empty();
}

PromiseResult checkLastingRoutes(const History& history) {
  PromiseResult result{"a route that every configuration has is always known", 0, {}};
  for (const Request& request : history.requests) {
    result.checks += request.is_on_added_route ? 0 : 1;
    if (!request.is_on_added_route && isRejectedAsUnknown(request)) {
      addViolation(result, absl::StrCat("404 from ", request.gateway), request.attempt);
    }
  }
  return result;
}

// Whether the added route has been there for so long when the request was sent, and until it ended.
bool isRouteInForce(const History& history, const Request& request, absl::Duration bound) {
  bool is_in_force = false;
  for (const RouteChange& change : history.route_changes) {
    if (change.at <= request.sent - bound) {
      is_in_force = change.is_there;
    } else if (change.at <= request.ended) {
      is_in_force = false;
    }
  }
  return is_in_force;
}

PromiseResult checkAddedRoutes(const History& history, const Bounds& bounds) {
  PromiseResult result{"an added route is known in time", 0, {}};
  for (const Request& request : history.requests) {
    if (!request.is_on_added_route || !isRouteInForce(history, request, bounds.configuration_in_force) ||
        isDisturbed(history, request.gateway, request.sent - bounds.in_touch_after, request.ended, true)) {
      continue;
    }
    ++result.checks;
    if (isRejectedAsUnknown(request)) {
      addViolation(result, absl::StrCat("404 from ", request.gateway), request.attempt);
    }
  }
  return result;
}

PromiseResult checkRecovery(const History& history, const Bounds& bounds) {
  PromiseResult result{"it serves again soon after the last fault", 1, {}};
  if (history.recovery > bounds.recovery) {
    result.violations.push_back({absl::StrCat("after ", absl::FormatDuration(history.recovery)), {}});
  }
  return result;
}

}  // namespace

void attributeArrivals(History& history) {
  absl::flat_hash_map<std::string, std::string> gateways;
  for (const Request& request : history.requests) {
    gateways[request.attempt] = request.gateway;
  }
  for (Arrival& arrival : history.arrivals) {
    const auto found = gateways.find(arrival.attempt);
    if (found != gateways.end() && !found->second.empty()) {
      arrival.gateway = found->second;
    }
  }
}

std::vector<PromiseResult> checkPromises(const History& history, const Bounds& bounds, bool timed) {
  const ArrivalsByAttempt arrivals = byAttempt(history);
  std::vector<PromiseResult> results = {
      checkAtMostOnce(history, arrivals), checkRefusals(history, arrivals),
      checkOwnAnswers(history, arrivals), checkStreams(history),
      checkServices(history, arrivals),   checkPlannedStops(history, bounds, arrivals),
      checkRepeats(history, bounds),      checkProcesses(history, bounds),
      checkLastingRoutes(history),
  };
  if (timed) {
    const Talks talks = byBackEndAndGateway(history);
    results.push_back(checkLeaving(history, bounds));
    results.push_back(checkLeavingByAnswers(history, bounds, talks));
    results.push_back(checkRests(history, bounds, talks));
    results.push_back(checkRates(history, bounds, talks));
    results.push_back(checkKeys(history, bounds, arrivals));
    results.push_back(checkAddedRoutes(history, bounds));
    results.push_back(checkRecovery(history, bounds));
  }
  return results;
}

}  // namespace quincewick::soak
