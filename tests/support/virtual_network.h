// A simulated network of processes in virtual time, for tests and benchmarks: datagrams may be lost, delayed,
// reordered and duplicated, links cut, processes paused. A run is deterministic for its seed.
#pragma once

#include <absl/random/distributions.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::testing {

// What the network does to datagrams. Delays are drawn uniformly, so datagrams overtake each other.
struct NetworkFaults {
  double loss = 0;         // the share of datagrams lost
  double duplication = 0;  // the share of datagrams delivered twice
  absl::Duration minimum_delay = absl::Microseconds(200);
  absl::Duration maximum_delay = absl::Milliseconds(2);
};

// Datagrams and bytes through a process's network interface.
struct TrafficCount {
  uint64_t datagrams_out = 0;
  uint64_t bytes_out = 0;
  uint64_t datagrams_in = 0;
  uint64_t bytes_in = 0;
};

class VirtualNetwork {
 public:
  // Default capacity of a paused process's receive buffer, in datagrams.
  static constexpr size_t kHeldDatagrams = 256;

  using Receiver = std::function<void(const NodeId& from, const std::string& bytes)>;
  using LinkTest = std::function<bool(const NodeId& from, const NodeId& to)>;

  explicit VirtualNetwork(uint64_t seed) : generator_(seed) {}

  absl::Time now() const { return now_; }
  // The one source of randomness of a run.
  std::mt19937_64& random() { return generator_; }
  void setFaults(const NetworkFaults& faults) { faults_ = faults; }
  // Delivers only datagrams whose link passes the test at the time of arrival. Empty: delivers all.
  void setLinkTest(LinkTest connected) { connected_ = std::move(connected); }

  // Runs `work` at the time given, in order of time, then of scheduling.
  void schedule(absl::Time at, std::function<void()> work) {
    events_.emplace(std::make_pair(at < now_ ? now_ : at, ++event_count_), std::move(work));
  }

  // Connects a process; a second call with the same id replaces the first, as a restart does.
  void attach(const NodeId& id, Receiver receiver) {
    interfaces_[id] = {std::move(receiver), false, kHeldDatagrams, {}};
  }
  // Disconnects a process that crashed; datagrams to it vanish.
  void detach(const NodeId& id) { interfaces_.erase(id); }
  // Buffers datagrams to a paused process up to a limit, as its socket would; further ones are lost.
  void pause(const NodeId& id, size_t held_datagrams = kHeldDatagrams) {
    interfaces_[id].paused = true;
    interfaces_[id].held_limit = held_datagrams;
  }
  // Delivers the buffered datagrams.
  void resume(const NodeId& id) {
    Interface& interface = interfaces_[id];
    interface.paused = false;
    for (const auto& [from, bytes] : std::exchange(interface.held, {})) {
      deliver(from, id, bytes);
    }
  }

  void send(const NodeId& from, const NodeId& to, const std::string& bytes) {
    largest_datagram_ = std::max(largest_datagram_, bytes.size());
    TrafficCount& count = traffic_[from];
    ++count.datagrams_out;
    count.bytes_out += bytes.size();
    if (absl::Bernoulli(generator_, faults_.loss)) {
      return;
    }
    const int copies = absl::Bernoulli(generator_, faults_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      schedule(now_ + drawDelay(), [this, from, to, bytes] { deliver(from, to, bytes); });
    }
  }

  // Runs all events that are due up to and including `end`.
  void runUntil(absl::Time end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }
  void runFor(absl::Duration duration) { runUntil(now_ + duration); }

  // The size of the largest datagram sent so far, in bytes.
  size_t largestDatagram() const { return largest_datagram_; }
  // Traffic of the process's interface since the last resetTraffic().
  TrafficCount traffic(const NodeId& id) const {
    const auto count = traffic_.find(id);
    return count == traffic_.end() ? TrafficCount{} : count->second;
  }
  void resetTraffic() { traffic_.clear(); }

 private:
  struct Interface {
    Receiver receiver;
    bool paused = false;
    size_t held_limit = kHeldDatagrams;
    std::vector<std::pair<NodeId, std::string>> held;
  };

  absl::Duration drawDelay() {
    const int64_t shortest = absl::ToInt64Microseconds(faults_.minimum_delay);
    const int64_t longest = absl::ToInt64Microseconds(faults_.maximum_delay);
    return absl::Microseconds(absl::Uniform(absl::IntervalClosed, generator_, shortest, longest));
  }

  void deliver(const NodeId& from, const NodeId& to, const std::string& bytes) {
    const auto interface = interfaces_.find(to);
    if (interface == interfaces_.end() || (connected_ && !connected_(from, to))) {
      return;
    }
    if (interface->second.paused) {
      if (interface->second.held.size() < interface->second.held_limit) {
        interface->second.held.emplace_back(from, bytes);
      }
      return;
    }
    TrafficCount& count = traffic_[to];
    ++count.datagrams_in;
    count.bytes_in += bytes.size();
    const Receiver receiver = interface->second.receiver;
    receiver(from, bytes);
  }

  std::mt19937_64 generator_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000'000);
  NetworkFaults faults_;
  LinkTest connected_;
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> events_;
  uint64_t event_count_ = 0;
  std::map<NodeId, Interface> interfaces_;
  std::map<NodeId, TrafficCount> traffic_;
  size_t largest_datagram_ = 0;
};

}  // namespace quincewick::testing
