// Prints how window policies behave from half to three times the capacity.
#include <cstdio>
#include <string>

#include "bench/admission/overload/overload_simulation.h"

namespace quincewick::admission {
namespace {

struct Policy {
  std::string name;
  AdmissionConfiguration configuration;
};

AdmissionConfiguration configurationOf(WindowPolicy policy, double initial, double maximum) {
  AdmissionConfiguration configuration;
  configuration.window.policy = policy;
  configuration.window.initial = initial;
  configuration.window.maximum = maximum;
  return configuration;
}

// The engines alone: everything starts at once.
AdmissionConfiguration withoutAdmission() {
  constexpr double kUnbounded = 1e6;
  AdmissionConfiguration configuration = configurationOf(WindowPolicy::kFixed, kUnbounded, kUnbounded);
  for (ClassConfiguration& urgency_class : configuration.classes) {
    urgency_class.window_share = 1;
  }
  return configuration;
}

// Requests a second at which nearly all get their first token in time, found by bisection.
double capacityOf(const AdmissionConfiguration& configuration) {
  constexpr int kRounds = 9;
  constexpr double kServedShare = 0.99;
  double low = 1;
  double high = 2000;
  for (int round = 0; round < kRounds; ++round) {
    OverloadSettings settings;
    settings.admission = configuration;
    settings.requests_per_second = (low + high) / 2;
    const OverloadResult result = simulateOverload(settings);
    uint64_t offered = 0;
    uint64_t served = 0;
    for (const ClassResult& urgency_class : result.classes) {
      offered += urgency_class.offered;
      served += urgency_class.in_time;
    }
    const bool fits = static_cast<double>(served) >= kServedShare * static_cast<double>(offered);
    (fits ? low : high) = settings.requests_per_second;
  }
  return low;
}

void printRow(const std::string& name, double factor, const OverloadResult& result, double half_load_p99,
              double peak_goodput) {
  const ClassResult& urgent = result.classes[0];
  const double p99 = quantileOf(urgent.first_token_seconds, 0.99);
  const auto refused = [&](Urgency urgency) {
    const ClassResult& urgency_class = result.classes[static_cast<size_t>(urgency)];
    return 100 * static_cast<double>(urgency_class.refused) / static_cast<double>(urgency_class.offered);
  };
  std::printf("%-14s %5.2f %8.0f %8.0f %7.2f %8.2f %6.0f%% %6.0f%% %6.0f%% %6.0f%% %6.2f %8zu %7.0f %8zu\n",
              name.c_str(), factor, 1000 * quantileOf(urgent.first_token_seconds, 0.5), 1000 * p99,
              half_load_p99 > 0 ? p99 / half_load_p99 : 1, result.goodput,
              peak_goodput > 0 ? 100 * result.goodput / peak_goodput : 100, refused(Urgency::kUrgent),
              refused(Urgency::kStandard), refused(Urgency::kDeferrable), result.smallestFairRatio(),
              result.most_waiting, result.mean_window, result.most_in_flight);
}

void printPolicy(const Policy& policy, double capacity) {
  double half_load_p99 = 0;
  double peak_goodput = 0;
  for (const double factor : {0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0}) {
    OverloadSettings settings;
    settings.admission = policy.configuration;
    settings.requests_per_second = capacity * factor;
    const OverloadResult result = simulateOverload(settings);
    if (half_load_p99 == 0) {
      half_load_p99 = quantileOf(result.classes[0].first_token_seconds, 0.99);
    }
    peak_goodput = std::max(peak_goodput, result.goodput);
    printRow(policy.name, factor, result, half_load_p99, peak_goodput);
  }
}

// The shipped policy at twice the capacity against half of it, with other random requests.
void printSeeds(const Policy& policy, double capacity) {
  constexpr uint64_t kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OverloadSettings settings;
    settings.admission = policy.configuration;
    settings.seed = seed;
    settings.requests_per_second = capacity / 2;
    const OverloadResult half = simulateOverload(settings);
    settings.requests_per_second = capacity * 2;
    const OverloadResult twice = simulateOverload(settings);
    const double half_p99 = quantileOf(half.classes[0].first_token_seconds, 0.99);
    printRow("seed " + std::to_string(seed), 2, twice, half_p99, 0);
  }
}

int runAll() {
  constexpr double kEngines = 12;
  constexpr double kBatch = 32;
  const std::vector<Policy> policies = {
      {"no admission", withoutAdmission()},
      {"fixed full", configurationOf(WindowPolicy::kFixed, kEngines * kBatch, kEngines * kBatch)},
      {"fixed half", configurationOf(WindowPolicy::kFixed, kEngines * kBatch / 2, kEngines * kBatch)},
      {"aimd", configurationOf(WindowPolicy::kAdditiveIncrease, kEngines * 4, kEngines * kBatch)},
      {"gradient", configurationOf(WindowPolicy::kGradient, kEngines * 4, kEngines * kBatch)},
  };
  const double capacity = capacityOf(policies[1].configuration);
  std::printf("capacity: %.0f requests/s over %.0f engines\n", capacity, kEngines);
  std::printf("%-14s %5s %8s %8s %7s %8s %7s %7s %7s %7s %6s %8s %7s %8s\n", "policy", "load", "p50 ms",
              "p99 ms", "x half", "goodput", "of peak", "ref.urg", "ref.std", "ref.def", "fair", "waiting",
              "window", "inflight");
  for (const Policy& policy : policies) {
    printPolicy(policy, capacity);
  }
  printSeeds(policies.back(), capacity);
  return 0;
}

}  // namespace
}  // namespace quincewick::admission

int main() {
  return quincewick::admission::runAll();
}
