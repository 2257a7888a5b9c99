// Nodes that share limits, in one process on virtual time, over a network that loses, delays, doubles and
// reorders messages. Used by tests and benches.
#pragma once

#include <absl/random/random.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "admission/shared_limits.h"

namespace quincewick::admission {

struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  absl::Duration shortest_delay = absl::Milliseconds(1);
  absl::Duration longest_delay = absl::Milliseconds(3);
  // This share of messages comes much later.
  double late_share = 0;
  absl::Duration late_delay = absl::Seconds(3);
};

// What a tenant was allowed to use, and when.
struct Usage {
  absl::Time time;
  double tokens = 0;
};

// The virtual cluster. `random_seed` decides everything that is left to chance.
class LimitCluster {
 public:
  LimitCluster(SharedLimitConfiguration configuration, size_t nodes, size_t zones, TenantLimits limits,
               uint64_t random_seed)
      : configuration_(configuration), zones_(zones), limits_(std::move(limits)), random_(random_seed) {
    configuration_.node_count = static_cast<uint32_t>(nodes);
    for (size_t index = 0; index < nodes; ++index) {
      const std::string zone = "zone-" + std::to_string(index % zones);
      nodes_.push_back(Node{NodeId("node-" + std::to_string(index)), ZoneName(zone)});
      index_of_[nodes_.back().id] = index;
    }
    for (size_t index = 0; index < nodes; ++index) {
      boot(index);
    }
    membersChanged();
  }

  NetworkFaults network;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  // By how much clocks may run fast or slow.
  double drift = 0.005;
  // Nodes notice a change of the members this much later at most.
  absl::Duration detection_delay = absl::Seconds(3);

  std::map<TenantId, std::vector<Usage>> usage;
  std::map<std::string, int> decisions;  // of each request
  uint64_t allowed = 0;
  uint64_t refused = 0;
  uint64_t messages = 0;
  uint64_t bytes = 0;
  std::vector<uint64_t> bytes_sent_by_node = std::vector<uint64_t>(1024);
  std::vector<uint64_t> messages_sent_by_node = std::vector<uint64_t>(1024);
  bool count_bytes = false;

  size_t size() const { return nodes_.size(); }
  bool alive(size_t node) const { return nodes_[node].limits != nullptr; }
  const SharedLimits& limitsOf(size_t node) const { return *nodes_[node].limits; }
  size_t homeOf(const TenantId& tenant) const {
    std::vector<LimitMember> members;
    for (const Node& node : nodes_) {
      members.push_back(LimitMember{node.id, node.zone});
    }
    return index_of_.at(LimitDirectory(members).homeOf(limitSlotOf(tenant)));
  }

  void at(absl::Time time, std::function<void()> action) {
    events_.push(Event{std::max(time, now), next_event_++, std::move(action)});
  }

  void runUntil(absl::Time end) {
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now = event.time;
      event.action();
    }
    now = end;
  }

  void request(size_t node, const TenantId& tenant, uint32_t tokens) {
    const std::string id = std::to_string(next_request_++);
    deliver(node, LimitRequested{RequestId(id), tenant, tokens}, [this, id, tenant, tokens] {
      requests_[id] = {tenant, tokens};
      decisions[id] = 0;
    });
  }

  void end(size_t node, const TenantId& tenant) {
    deliver(node, LimitedRequestEnded{tenant}, [] {});
  }

  void crash(size_t node, absl::Duration restart_after) {
    nodes_[node].limits.reset();
    ++nodes_[node].incarnation;
    membersChanged();
    at(now + restart_after, [this, node] {
      if (!alive(node)) {
        boot(node);
        membersChanged();
      }
    });
  }

  void pause(size_t node, absl::Duration duration) {
    nodes_[node].paused_until = std::max(nodes_[node].paused_until, now + duration);
  }

  void cut(size_t zone, absl::Duration duration) {
    cut_zones_.insert(zone);
    membersChanged();
    at(now + duration, [this, zone] {
      cut_zones_.erase(zone);
      membersChanged();
    });
  }

  // The nodes of a zone take all others for dead, though messages pass.
  void misjudge(size_t zone, absl::Duration duration) {
    misjudging_zones_.insert(zone);
    membersChanged();
    at(now + duration, [this, zone] {
      misjudging_zones_.erase(zone);
      membersChanged();
    });
  }

  // Called for each allowed request.
  std::function<void(size_t node, const TenantId& tenant)> on_allowed = [](size_t, const TenantId&) {};

 private:
  struct Node {
    NodeId id;
    ZoneName zone;
    std::unique_ptr<SharedLimits> limits = nullptr;
    uint64_t incarnation = 1;
    absl::Time paused_until = absl::InfinitePast();
    double clock_rate = 1;
    absl::Duration clock_offset = absl::ZeroDuration();
  };
  struct Event {
    absl::Time time;
    uint64_t sequence = 0;
    std::function<void()> action;
    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(left.time, left.sequence) > std::pair(right.time, right.sequence);
    }
  };

  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  size_t zoneOf(size_t node) const { return node % zones_; }

  absl::Time clockOf(const Node& node) const {
    return absl::UnixEpoch() + node.clock_offset + (now - absl::UnixEpoch()) * node.clock_rate;
  }

  void boot(size_t index) {
    Node& node = nodes_[index];
    node.clock_rate = 1 + drift * (2 * chance() - 1);
    node.clock_offset = absl::Seconds(1000 * chance());
    node.paused_until = absl::InfinitePast();
    node.limits = std::make_unique<SharedLimits>(configuration_, node.id, node.zone,
                                                 Incarnation(node.incarnation), clockOf(node));
    deliver(index, TenantLimitsChanged{limits_}, [] {});
    at(now, [this, index, incarnation = node.incarnation] { tick(index, incarnation); });
  }

  void tick(size_t index, uint64_t incarnation) {
    Node& node = nodes_[index];
    if (!alive(index) || node.incarnation != incarnation) {
      return;
    }
    if (node.paused_until > now) {
      at(node.paused_until, [this, index, incarnation] { tick(index, incarnation); });
      return;
    }
    deliver(index, LimitTick{}, [] {});
    const absl::Time local = clockOf(node);
    at(now + (node.limits->nextWakeup(local) - local),
       [this, index, incarnation] { tick(index, incarnation); });
  }

  // Each node learns by itself, some time later, whom it can reach.
  void membersChanged() {
    for (size_t index = 0; index < nodes_.size(); ++index) {
      at(now + chance() * detection_delay, [this, index] {
        LimitMembersChanged event;
        for (size_t other = 0; other < nodes_.size(); ++other) {
          const bool seen = zoneOf(index) == zoneOf(other) || !misjudging_zones_.contains(zoneOf(index));
          if (alive(other) && seen && connected(index, other)) {
            event.members.push_back(LimitMember{nodes_[other].id, nodes_[other].zone});
          }
        }
        deliver(index, event, [] {});
      });
    }
  }

  bool connected(size_t left, size_t right) const {
    const bool same_zone = zoneOf(left) == zoneOf(right);
    return same_zone || (!cut_zones_.contains(zoneOf(left)) && !cut_zones_.contains(zoneOf(right)));
  }

  // Hands an event to a node that runs, or when its pause ends; `on_delivery` runs just before.
  void deliver(size_t index, SharedLimitEvent event, std::function<void()> on_delivery) {
    Node& node = nodes_[index];
    if (!alive(index)) {
      return;
    }
    if (node.paused_until > now) {
      at(node.paused_until,
         [this, index, event = std::move(event), on_delivery] { deliver(index, event, on_delivery); });
      return;
    }
    on_delivery();
    for (SharedLimitAction& action : node.limits->handle(event, clockOf(node), random_)) {
      if (SendToPeer* send = std::get_if<SendToPeer>(&action)) {
        transmit(index, index_of_.at(send->to), std::move(send->message));
      } else {
        decide(index, std::get<LimitDecision>(action));
      }
    }
  }

  void decide(size_t index, const LimitDecision& decision) {
    const std::string& id = decision.id.value();
    ++decisions.at(id);
    if (!decision.allowed) {
      ++refused;
      return;
    }
    ++allowed;
    const auto& [tenant, tokens] = requests_.at(id);
    usage[tenant].push_back(Usage{now, static_cast<double>(tokens)});
    on_allowed(index, tenant);
  }

  void transmit(size_t from, size_t to, LimitMessage message) {
    if (from != to) {
      ++messages;
      ++messages_sent_by_node[from];
      if (count_bytes) {
        const size_t size = encodeLimitMessage(message).size();
        bytes += size;
        bytes_sent_by_node[from] += size;
      }
    }
    const int copies = from != to && chance() < network.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      absl::Duration delay =
          network.shortest_delay + chance() * (network.longest_delay - network.shortest_delay);
      if (from == to) {
        delay = absl::ZeroDuration();
      } else if (chance() < network.loss || !connected(from, to)) {
        continue;
      } else if (chance() < network.late_share) {
        delay += chance() * network.late_delay;
      }
      at(now + delay, [this, from, to, message] {
        if (from == to || connected(from, to)) {
          deliver(to, LimitMessageReceived{nodes_[from].id, message}, [] {});
        }
      });
    }
  }

  SharedLimitConfiguration configuration_;
  size_t zones_;
  TenantLimits limits_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::map<NodeId, size_t> index_of_;
  std::set<size_t> cut_zones_;
  std::set<size_t> misjudging_zones_;
  std::priority_queue<Event> events_;
  uint64_t next_event_ = 0;
  uint64_t next_request_ = 0;
  std::map<std::string, std::pair<TenantId, uint32_t>> requests_;
};

// The most that was used within any span of the given length, in tokens or, if `count` is set, in requests.
inline double mostWithin(const std::vector<Usage>& usage, absl::Duration span, bool count) {
  double within = 0;
  double most = 0;
  size_t first = 0;
  for (const Usage& last : usage) {
    within += count ? 1 : last.tokens;
    while (last.time - usage[first].time > span) {
      within -= count ? 1 : usage[first].tokens;
      ++first;
    }
    most = std::max(most, within);
  }
  return most;
}

}  // namespace quincewick::admission
