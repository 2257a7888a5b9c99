// This node's part of the site's budget of repeats: how many requests may be sent to a further server within
// a sliding window. The part that grows with requests is each node's own. The constant part is divided by
// more nodes than are known, so that the sum holds while nodes join, die or are cut off; a node that has just
// started has half as much for one window, for its part may have been used before it died.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>

#include "forwarding/site_configuration.h"

namespace quincewick::forwarding {

struct RetryBudgetSettings {
  double ratio = 0.2;    // repeats for each request of the window
  double constant = 54;  // repeats of all nodes together in a window, whatever the requests
  absl::Duration window = absl::Seconds(10);
  uint32_t fewest_nodes = 16;  // the site is taken to have at least so many
};

// Pure; `now` never goes back.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  // Takes other limits; what was counted stays.
  void setSettings(const RetryBudgetSettings& settings) { settings_ = settings; }
  // So many nodes are known, this one among them. Before the first call they count as beyond number.
  void noteNodes(size_t known, absl::Time now);
  // A caller's request for the service.
  void noteRequest(const ServiceName& service, absl::Time now);
  // Whether one more repeat may be sent; it is counted if so.
  bool tryRepeat(const ServiceName& service, absl::Time now);
  // Repeats still allowed now.
  double left(const ServiceName& service, absl::Time now);
  // Of the service with the fewest; 0 before the first request.
  double fewestLeft(absl::Time now);

 private:
  struct Usage {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
  };
  Usage& current(const ServiceName& service, absl::Time now);
  double constantPart(absl::Time now) const;

  RetryBudgetSettings settings_;
  size_t most_nodes_known_ = 0;
  absl::Time first_window_ends_ = absl::InfiniteFuture();
  absl::flat_hash_map<ServiceName, Usage> usage_;
};

}  // namespace quincewick::forwarding
