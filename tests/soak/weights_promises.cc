#include "weights_promises.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "promise_support.h"

namespace quincewick::soak {
namespace {

// When the first version after this one was named.
absl::Time namedAfter(const History& history, uint64_t version) {
  for (const WeightsNaming& naming : history.weights_namings) {
    if (naming.version > version) {
      return naming.at;
    }
  }
  return absl::InfiniteFuture();
}

// Since when neither the gateway nor the whole site has been disturbed.
absl::Time undisturbedSince(const History& history, const std::string& gateway, const Bounds& bounds,
                            absl::Time at) {
  absl::Time since = absl::InfinitePast();
  for (const Disturbance& disturbance : history.disturbances) {
    const bool concerns = disturbance.gateway.empty() || disturbance.gateway == gateway;
    if (concerns && disturbance.begin <= at) {
      since = std::max(since, disturbance.end + bounds.settling_time);
    }
  }
  return since;
}

}  // namespace

PromiseResult checkWeightsInForce(const History& history, const Bounds& bounds) {
  PromiseResult result{"no request begins under weights that are past their bound", 0, {}};
  absl::flat_hash_map<std::string, std::string> gateways;  // by attempt
  for (const Request& request : history.requests) {
    gateways[request.attempt] = request.gateway;
  }
  for (const Begin& begin : history.begins) {
    const absl::Time named = namedAfter(history, begin.weights);
    if (named > begin.at) {
      continue;
    }
    ++result.checks;
    const std::string& gateway = gateways[begin.attempt];
    const absl::Time counts_from = std::max(named, undisturbedSince(history, gateway, bounds, begin.at));
    if (begin.at - counts_from > bounds.weights_in_force) {
      addViolation(
          result,
          absl::StrCat("began at ", begin.engine, " from ", gateway, " under version ", begin.weights, " ",
                       absl::ToInt64Milliseconds(begin.at - named), " ms after a newer one was named, ",
                       absl::ToInt64Milliseconds(begin.at - begin.arrived), " ms after it had come there"),
          begin.attempt);
    }
  }
  return result;
}

}  // namespace quincewick::soak
