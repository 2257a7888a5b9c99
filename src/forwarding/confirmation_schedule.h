// When a gateway itself asks the store whether its configuration is the newest, independently of the zone
// reader. Readers may fail one after the other; a gateway that can reach the store must not depend on how
// long it takes to detect that. Performs no I/O.
#pragma once

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

namespace quincewick::forwarding {

class ConfirmationSchedule {
 public:
  // The age of the last confirmation at which a new one is requested. `bound`: the time within which a
  // configuration must be in force, that is, apply to new requests.
  static absl::Duration maxTrustedAge(absl::Duration bound) { return bound * 2 / 3; }
  // The timeout of a confirmation request. The rest of the bound is enough for one request.
  static absl::Duration confirmationTimeout(absl::Duration bound) { return bound / 3; }

  // `confirmed`: when the configuration in force was last confirmed. `hears_reader`: whether the store is
  // known to respond to any gateway; while it responds to none, each gateway asks only once per `bound` to
  // limit the total load.
  bool isDue(absl::Duration bound, absl::Time confirmed, absl::FunctionRef<bool()> hears_reader,
             absl::Time now) const;
  void noteRequested(absl::Time now) { last_requested_ = now; }

 private:
  absl::Time last_requested_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
