// One node with admission control before emulated engines, on virtual time, under an open stream of requests.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "admission/admission_controller.h"
#include "types/identifiers.h"
#include "types/urgency.h"

namespace quincewick::admission {

struct OverloadSettings {
  size_t engines = 12;
  double requests_per_second = 100;
  absl::Duration warm_up = absl::Seconds(60);
  absl::Duration measured = absl::Seconds(300);
  AdmissionConfiguration admission;
  bool greedy_tenant = true;  // one of the eight tenants offers half of all requests
  uint64_t seed = 1;
};

struct ClassResult {
  uint64_t offered = 0;
  uint64_t refused = 0;
  uint64_t in_time = 0;                     // first token by the deadline
  std::vector<double> first_token_seconds;  // of started requests, sorted
  std::map<TenantId, double> offered_work;
  std::map<TenantId, double> done_work;
};

struct OverloadResult {
  std::array<ClassResult, kAllUrgencies.size()> classes;
  double goodput = 0;  // engine work a second of requests whose first token came in time
  size_t most_waiting = 0;
  double mean_window = 0;
  size_t most_in_flight = 0;

  // The smallest ratio of done work to fair share over all tenants and classes: the fair share divides the
  // work done in the class evenly, and nobody needs more than was offered.
  double smallestFairRatio() const;
};

OverloadResult simulateOverload(const OverloadSettings& settings);

// The value below which the share of the sorted values lies; 0 without values.
double quantileOf(const std::vector<double>& sorted, double share);

}  // namespace quincewick::admission
