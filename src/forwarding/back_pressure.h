// What a server asks of its callers in its answers, and so when it may be sent a request. Pure.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quincewick::forwarding {

class BackPressure {
 public:
  // An answer of the server came: the rate that it named there, in requests a second from all gateways
  // together; nothing: it named none. Returns whether that is news.
  bool noteRateLimit(std::optional<double> rate);
  // Holds until an answer names none.
  std::optional<double> rateLimit() const { return rate_limit_; }
  // The time in which the server takes one request; zero where it named no rate.
  absl::Duration timePerRequest() const;
  // The keeper of the server's rate had none left.
  void noteRateUsedUp(absl::Duration retry_after, absl::Time now);

  // An answer said that the server leaves; that holds for the rest of its life. Returns whether it is news.
  bool noteLeaving();
  bool isLeaving() const { return is_leaving_; }

  // The server turned a request away and wants none from this gateway for so long. Returns whether its rest
  // lasts longer now.
  bool noteBackOff(absl::Duration rest, absl::Time now);
  bool isBackingOff(absl::Time now) const { return now < rests_until_; }
  absl::Time backOffUntil() const { return rests_until_; }
  // A request goes there: the first one after a rest goes alone for a moment.
  void noteSent(absl::Time now);
  // An answer came that asks for no rest.
  void noteResponse(absl::Time now);

  // From when on the server may be chosen, as far as its own word goes.
  absl::Time availableAt() const;

 private:
  std::optional<double> rate_limit_;
  absl::Time rate_used_up_until_ = absl::InfinitePast();
  bool is_leaving_ = false;
  absl::Time rests_until_ = absl::InfinitePast();
  bool is_half_open_ = false;  // it rested, and no answer has come since
  absl::Time trial_until_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
