#include "forwarding/confirmation_schedule.h"

namespace quincewick::forwarding {

bool ConfirmationSchedule::isDue(absl::Duration bound, absl::Time confirmed,
                                 absl::FunctionRef<bool()> hears_reader, absl::Time now) const {
  if (now - confirmed < maxTrustedAge(bound) || now - last_requested_ < confirmationTimeout(bound)) {
    return false;
  }
  return now - last_requested_ >= bound || hears_reader();
}

}  // namespace quincewick::forwarding
