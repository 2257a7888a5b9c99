// The rate limit, drain and back-off that a server requests in its responses, and when it may be sent a
// request. Does no I/O.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quincewick::forwarding {

class BackPressure {
 public:
  // The rate limit in a response of the server, in requests a second from all gateways together; nothing: it
  // has none. Returns whether the limit changed.
  bool noteRateLimit(std::optional<double> rate);
  // Holds until a response without a limit.
  std::optional<double> rateLimit() const { return rate_limit_; }
  // Interval between requests at the rate limit; zero without one.
  absl::Duration timePerRequest() const;
  // The owner of the server's rate limit had no tokens left.
  void noteRateUsedUp(absl::Duration retry_after, absl::Time now);

  // Rejections a second beyond which the server crashes, as its latest response says; nothing: it stands any
  // number. Returns whether this changed.
  bool noteMaxRejections(std::optional<uint32_t> max_rejections);
  std::optional<uint32_t> maxRejections() const { return max_rejections_; }

  // A response said that the server drains, which holds for the rest of its incarnation. Returns whether this
  // is new.
  bool noteLeaving();
  bool isLeaving() const { return is_leaving_; }

  // The server rejected a request and asked this gateway to send none for this time. Returns whether the
  // back-off period was extended.
  bool noteBackOff(absl::Duration back_off, absl::Time now);
  bool isBackingOff(absl::Time now) const { return now < back_off_until_; }
  absl::Time backOffUntil() const { return back_off_until_; }
  // A request is sent. After a back-off period the first one is a probe, and others wait for its
  // response, at most 250 ms (kProbeTime).
  void noteSent(absl::Time now);
  // A response came that requests no back-off.
  void noteResponse(absl::Time now);

  // Earliest time at which the server may be chosen, judged only by its rate limit, its back-off period and
  // the probe after that.
  absl::Time availableAt() const;

 private:
  std::optional<double> rate_limit_;
  absl::Time rate_exhausted_until_ = absl::InfinitePast();
  std::optional<uint32_t> max_rejections_;
  bool is_leaving_ = false;
  absl::Time back_off_until_ = absl::InfinitePast();
  bool is_half_open_ = false;  // it backed off, and no response has come since
  absl::Time probe_until_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
