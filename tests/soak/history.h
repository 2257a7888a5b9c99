// What callers, back ends and the schedule of one run saw, and the promises that it must keep. Pure.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quincewick::soak {

enum class RequestKind : uint8_t { kRepeatable, kNonRepeatable, kResumableStream, kStream };

// How a caller saw its request end.
enum class RequestOutcome : uint8_t {
  kPending,         // not yet
  kCompleted,       // the answer ended in good order
  kConnectionLost,  // the connection ended before that
  kUnsent,          // no connection came up, or it ended before the request was whole
  kAbandoned,       // the caller gave it up
};

// One attempt of a caller, with an id of its own.
struct Request {
  std::string attempt;
  RequestKind kind = RequestKind::kRepeatable;
  std::string gateway;
  std::string service;            // of its route
  bool uses_added_route = false;  // which isn't in every configuration
  std::string key;
  absl::Time sent;
  absl::Time ended = absl::InfiniteFuture();
  RequestOutcome outcome = RequestOutcome::kPending;
  int status = 0;
  std::string signature;
  std::string body;         // of answers that are no streams
  std::vector<int> events;  // ids of a stream's events, as they came
  bool has_foreign_event = false;
};

// A request as it came to a back end.
struct Arrival {
  std::string attempt;
  std::string back_end;
  absl::Time back_end_started;
  std::string service;
  std::string gateway;
  std::string tenant;  // the tenant that the gateway named
  absl::Time at;
  bool ran = false;
  bool is_aborted = false;  // by the back end
  int status = 0;
  std::string signature;
  std::string body;
  // What the answer's head said of the back end, and when it was sent.
  absl::Time head_sent = absl::InfiniteFuture();
  bool announced_leaving = false;
  std::optional<double> advertised_rate;
  std::optional<absl::Duration> requested_back_off;
};

// The store acknowledged that the back end leaves, or its entry is gone.
struct BackEndDeparture {
  std::string back_end;
  absl::Time at;
};

// The store acknowledged a configuration without the key.
struct KeyRemoval {
  std::string key;
  absl::Time at;
};

// The store acknowledged a configuration that has the added route, or hasn't any more.
struct RouteChange {
  absl::Time at;
  bool is_present = false;
};

struct Disturbance {
  std::string gateway;  // empty: all of them
  absl::Time begin;
  absl::Time end;
  bool is_planned = false;  // a stop in good order
};

// A gateway's process that ended though nobody ended it.
struct UnexpectedExit {
  std::string gateway;
  int wait_status = 0;
};

// A process as it was looked at.
struct ProcessSize {
  std::string gateway;
  uint64_t memory_bytes = 0;
  uint64_t descriptors = 0;
};

// As it came to an engine, whatever that answered.
struct Order {
  std::string engine;
  std::string holder;
  uint64_t fence = 0;
  absl::Time at;
};

struct History {
  std::vector<Request> requests;
  std::vector<Arrival> arrivals;
  std::vector<BackEndDeparture> departures;
  std::vector<KeyRemoval> key_removals;
  std::vector<RouteChange> route_changes;  // in order
  std::vector<Disturbance> disturbances;
  std::vector<UnexpectedExit> unexpected_exits;
  std::vector<Order> orders;
  std::vector<ProcessSize> sizes;
  int events_per_stream = 0;
  absl::Duration recovery = absl::InfiniteDuration();  // after the last fault
};

// A gateway may reach a back end at another one's port: that of the reader of its zone, whose rows it takes.
// Who sent is told by the caller's request.
void attributeArrivals(History& history);

// Of the requests under the key, from that index on, how many of the last ones got what they asked for.
size_t consecutiveServed(const History& history, size_t from, const std::string& key);

struct Bounds {
  absl::Duration server_drain = absl::Seconds(2);
  absl::Duration key_revocation = absl::Seconds(5);
  absl::Duration configuration_in_force = absl::Seconds(3);
  absl::Duration stop_grace = absl::Seconds(8);
  absl::Duration order_lease = absl::Seconds(3);
  absl::Duration settling_time = absl::Seconds(3);  // of the last disturbance
  absl::Duration recovery = absl::Seconds(12);
  double retry_ratio = 0.2;
  double retry_constant = 54;
  absl::Duration retry_window = absl::Seconds(10);
  absl::Duration back_pressure_delay = absl::Milliseconds(500);  // what a back end said counts from then on
  absl::Duration rate_window = absl::Seconds(4);
  double rate_overshoot = 1.5;
  double rate_constant = 5;
  size_t requests_per_back_off = 2;
  uint64_t memory_bytes = uint64_t{64} << 20;
  uint64_t descriptors = 1024;
};

struct Violation {
  std::string description;
  std::vector<std::string> attempts;
};

struct PromiseResult {
  std::string promise;
  uint64_t checks = 0;
  std::vector<Violation> violations;
};

// Every promise with the number of its checks. `timed`: also those that say how soon, which a busy machine
// may break by itself.
std::vector<PromiseResult> checkPromises(const History& history, const Bounds& bounds, bool timed);

}  // namespace quincewick::soak
