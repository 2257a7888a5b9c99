// When a gateway asks the store itself whether its configuration is the newest, whoever reads for its zone.
// Readers may fail one after the other; a gateway that the store answers doesn't depend on how long that
// takes to be noticed. Pure.
#pragma once

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

namespace quincewick::forwarding {

class ConfirmationSchedule {
 public:
  // How old a configuration may be until a newer confirmation is looked for. `bound`: within which a
  // configuration has to be in force.
  static absl::Duration maxTrustedAge(absl::Duration bound) { return bound * 2 / 3; }
  // How long a question may take. What is left of the bound is enough for one.
  static absl::Duration confirmationTimeout(absl::Duration bound) { return bound / 3; }

  // `confirmed`: the configuration in force, last. `hears_reader`: whether the store is known to answer
  // somebody; while it answers nobody, all gateways together ask it rarely.
  bool isDue(absl::Duration bound, absl::Time confirmed, absl::FunctionRef<bool()> hears_reader,
             absl::Time now) const;
  void noteRequested(absl::Time now) { last_asked_ = now; }

 private:
  absl::Time last_asked_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
