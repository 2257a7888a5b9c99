// This node's part of the site's retry budget: how many requests may be sent to another server.
//
// Each service has a token bucket that a restart empties. Each client request adds `ratio` tokens, each retry
// takes one, and the bucket holds at most this node's part of `constant`. In any window a node's retries are
// at most `ratio` times its requests of that window plus what its bucket held before, and all buckets
// together hold at most `constant`. So the site's limit holds without communication between nodes, however
// clients move and nodes stop, crash, restart and join. Windows that each node counts for itself can't ensure
// this, because one request allowed retries in two windows: when 79 nodes were stopped in turn, 1,304
// retries were sent where 1,127 were allowed.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

#include "forwarding/site_configuration.h"

namespace quincewick::forwarding {

struct RetryBudgetSettings {
  double ratio = 0.2;           // retries for each request
  double constant = 54;         // retries of all nodes together in a window, independent of requests
  uint32_t minimum_nodes = 16;  // assumed for the site if fewer are known
  // All nodes start for the first time: no retry was sent yet, so buckets start full. Otherwise a bucket
  // starts empty, since the previous process may have spent its content.
  bool site_is_new = false;
};

class RetryBudget {
 public:
  // `rounding_phase`: random from 0 to 1, different at each start. Where the capacity is below one retry, it
  // decides at which spent fraction this node may retry, so that over many nodes the retries equal the sum of
  // their fractions.
  RetryBudget(const RetryBudgetSettings& settings, double rounding_phase)
      : settings_(settings), rounding_phase_(rounding_phase) {}

  // Changes the limits; buckets keep their tokens up to the new capacity.
  void setSettings(const RetryBudgetSettings& settings) { settings_ = settings; }
  // Sets the number of known nodes, including this one; the maximum counts. Before the first call the
  // capacity is zero.
  void noteNodes(size_t known);
  size_t nodesKnown() const { return max_known_nodes_; }
  // A client's request for the service.
  void noteRequest(const ServiceName& service);
  // Takes a token for one retry. Returns false if there is none.
  bool tryAcquireRetry(const ServiceName& service);
  // Retries left in the service's bucket.
  double left(const ServiceName& service) const;
  // Retries left for the service with the fewest; 0 before the first request.
  double minimumLeft() const;

 private:
  struct Bucket {
    double tokens = 0;
    double spent_fractions = 0;
  };
  // The maximum of a bucket's tokens: this node's part of the constant.
  double capacity() const;
  Bucket& bucketOf(const ServiceName& service);
  bool spendFraction(Bucket& bucket) const;

  RetryBudgetSettings settings_;
  double rounding_phase_;
  size_t max_known_nodes_ = 0;
  absl::flat_hash_map<ServiceName, Bucket> buckets_;
};

}  // namespace quincewick::forwarding
