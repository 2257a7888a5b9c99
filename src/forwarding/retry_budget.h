// This node's part of the site's budget of repeats: how many requests may be sent to a further server within
// a sliding window. The part that grows with requests is each node's own; the constant part is divided by the
// most nodes that there may be, so that the sum holds while nodes join, die or are cut off.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>

#include "forwarding/site_configuration.h"

namespace quincewick::forwarding {

struct RetryBudgetSettings {
  double ratio = 0.2;         // repeats for each request of the window
  double constant_share = 3;  // repeats of this node in a window, whatever the requests
  absl::Duration window = absl::Seconds(10);
};

// Pure; `now` never goes back.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  // Takes other limits; what was counted stays.
  void setSettings(const RetryBudgetSettings& settings) { settings_ = settings; }
  // A caller's request for the service.
  void noteRequest(const ServiceName& service, absl::Time now);
  // Whether one more repeat may be sent; it is counted if so.
  bool tryRepeat(const ServiceName& service, absl::Time now);
  // Repeats still allowed now.
  double left(const ServiceName& service, absl::Time now);

 private:
  struct Usage {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
  };
  Usage& current(const ServiceName& service, absl::Time now);

  RetryBudgetSettings settings_;
  absl::flat_hash_map<ServiceName, Usage> usage_;
};

}  // namespace quincewick::forwarding
