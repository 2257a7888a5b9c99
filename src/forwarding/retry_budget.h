// This node's part of the site's budget of repeats: how many requests may be sent to a further server.
//
// For each service a bucket of leave, which a restart empties: each request of a caller adds the ratio, each
// repeat takes one, and it holds no more than this node's part of the constant. In any window a node's
// repeats are at most the ratio times its requests of that window and what its bucket held before, and all
// buckets together hold no more than the constant. So the sum holds without a word between nodes, however
// callers move and nodes stop, die, start anew and come. A window that each node counts for itself can't
// give that: it gave leave for one request twice, 1,304 repeats where 1,127 were allowed (79 nodes that
// were stopped in turn).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

#include "forwarding/site_configuration.h"

namespace quincewick::forwarding {

struct RetryBudgetSettings {
  double ratio = 0.2;           // repeats for each request
  double constant = 54;         // repeats of all nodes together in a window, whatever the requests
  uint32_t minimum_nodes = 16;  // the site is taken to have at least so many
  // All nodes start for the first time: nobody has sent a repeat yet, so buckets start full. Later a bucket
  // starts empty, for the process before this one may have spent what it held.
  bool site_is_new = false;
};

class RetryBudget {
 public:
  // `rounding_phase`: 0 to 1, drawn anew at each start. Where a bucket holds less than one repeat, it decides
  // at which of its fractions this node may repeat: of many nodes as many do as the fractions add up to.
  RetryBudget(const RetryBudgetSettings& settings, double rounding_phase)
      : settings_(settings), rounding_phase_(rounding_phase) {}

  // Takes other limits; what the buckets hold stays, as far as they may.
  void setSettings(const RetryBudgetSettings& settings) { settings_ = settings; }
  // So many nodes are known, this one among them. Before the first call they count as beyond number.
  void noteNodes(size_t known);
  size_t nodesKnown() const { return most_nodes_known_; }
  // A caller's request for the service.
  void noteRequest(const ServiceName& service);
  // Whether one more repeat may be sent; it is counted if so.
  bool tryAcquireRetry(const ServiceName& service);
  // Repeats that the service's bucket holds.
  double left(const ServiceName& service) const;
  // Of the service with the fewest; 0 before the first request.
  double minimumLeft() const;

 private:
  struct Bucket {
    double held = 0;
    double spent_in_fractions = 0;
  };
  // The most that a bucket holds: this node's part of the constant.
  double capacity() const;
  Bucket& bucketOf(const ServiceName& service);
  bool repeatsByFraction(Bucket& bucket) const;

  RetryBudgetSettings settings_;
  double rounding_phase_;
  size_t most_nodes_known_ = 0;
  absl::flat_hash_map<ServiceName, Bucket> buckets_;
};

}  // namespace quincewick::forwarding
