#include "fault_switches.h"

#include <array>

namespace quincewick::soak {

void setStoreFault(StoreFaults& faults, FaultKind kind, bool is_target, bool on) {
  faults.refuses = kind == FaultKind::kStoreRefuses && is_target ? on : faults.refuses;
  faults.is_silent =
      kind == FaultKind::kStoreDown || (kind == FaultKind::kStoreSilent && is_target) ? on : faults.is_silent;
  faults.is_slow = kind == FaultKind::kStoreSlow ? on : faults.is_slow;
  faults.drops_responses = kind == FaultKind::kStoreDropsResponses ? on : faults.drops_responses;
}

void setAnnouncement(Announcements& announcements, const Fault& fault, bool on) {
  static constexpr std::array kRates = {0.0, 0.5, 1.1, 4.0, 12.0};
  if (fault.kind == FaultKind::kBackEndAdvertisesRate) {
    announcements.rate = on ? std::optional(kRates.at(fault.target % kRates.size())) : std::nullopt;
  } else if (fault.kind == FaultKind::kBackEndBacksOff) {
    announcements.back_off_period = on ? std::optional(fault.duration / 2) : std::nullopt;
  } else {
    announcements.is_malformed = on;
  }
}

void setRequestFault(RequestFaults& request_faults, FaultKind kind, bool on) {
  request_faults.refuses = kind == FaultKind::kBackEndRefuses ? on : request_faults.refuses;
  request_faults.fails = kind == FaultKind::kBackEndFails ? on : request_faults.fails;
  request_faults.drops_responses = kind == FaultKind::kResponsesLost ? on : request_faults.drops_responses;
  request_faults.truncates_responses =
      kind == FaultKind::kResponsesTruncated ? on : request_faults.truncates_responses;
}

}  // namespace quincewick::soak
