// A site of gateways in virtual time: requests arrive at random gateways, messages take time and get lost,
// and gateways crash, freeze, slow down and are partitioned from the others.
#pragma once

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "quota/shared_quotas.h"

namespace quincewick::quota {

inline const LimitName kName("t");
inline constexpr absl::Duration kPartitionDuration = absl::Seconds(4);
inline constexpr absl::Duration kStep = absl::Milliseconds(5);

struct Gateway {
  std::unique_ptr<SharedQuotas> quotas;
  bool is_up = true;
  absl::Time frozen_until = absl::InfinitePast();
  absl::Time partitioned_until = absl::InfinitePast();
  absl::Duration delay;  // added to each message it sends
  absl::Time started = absl::InfinitePast();
};

class Site {
 public:
  // `draw_cost`: draws the cost of each request, in the limit's unit.
  using DrawCost = std::function<double(Site& site)>;
  Site(size_t count, RateLimit limit, const LimitTolerance& tolerance, double loss, uint64_t seed,
       DrawCost draw_cost)
      : gateways_(count),
        limit_(limit),
        tolerance_(tolerance),
        loss_(loss),
        random_(seed),
        draw_cost_(std::move(draw_cost)) {
    for (size_t index = 0; index < count; ++index) {
      start(index);
    }
  }

  void start(size_t index) {
    Gateway& gateway = gateways_[index];
    gateway.quotas =
        std::make_unique<SharedQuotas>(idOf(index), tolerance_, [this](const LimitName&) { return &limit_; });
    gateway.quotas->setMembers(members());
    gateway.is_up = true;
    gateway.started = now_;
    pending_costs_[index].clear();
  }
  std::vector<routing::KeeperMember> members() const {
    std::vector<routing::KeeperMember> result;
    for (size_t index = 0; index < gateways_.size(); ++index) {
      result.push_back({idOf(index), 1});
    }
    return result;
  }
  // Adds a gateway with an address of its own, which starts now. The others know of it at once.
  size_t add() {
    gateways_.emplace_back();
    const size_t index = gateways_.size() - 1;
    start(index);
    for (Gateway& gateway : gateways_) {
      gateway.quotas->setMembers(members());
    }
    return index;
  }
  void stop(size_t index) { gateways_[index].is_up = false; }
  // From now on this fraction of the requests arrives at one gateway.
  void crowdAt(size_t index, double fraction) {
    crowded_ = index;
    crowding_ = fraction;
  }
  Gateway& gateway(size_t index) { return gateways_[index]; }
  size_t size() const { return gateways_.size(); }
  // The first in rank among the owners of kName.
  size_t owner() {
    routing::KeeperRanks ranks;
    ranks.setMembers(members());
    return indexOf(ranks.candidates(kName.value()).front());
  }
  void setLimit(const RateLimit& limit) { limit_ = limit; }
  absl::Time now() const { return now_; }

  // One step: due messages, due ticks, and requests. `demand_per_second`: of all gateways, in the limit's
  // unit.
  void step(double demand_per_second) {
    now_ += kStep;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const auto [from, to, message] = in_flight_.begin()->second;
      in_flight_.erase(in_flight_.begin());
      if (isReachable(from) && isReachable(to)) {
        QuotaActions actions;
        gateways_[to].quotas->onMessage(idOf(from), message, now_, actions);
        carryOut(to, actions);
      }
    }
    for (size_t index = 0; index < gateways_.size(); ++index) {
      // A partitioned gateway notices that it is isolated 1.2 s after its last contact.
      const absl::Time partitioned_until = gateways_[index].partitioned_until;
      const bool is_isolated = now_ < partitioned_until &&
                               partitioned_until - now_ < kPartitionDuration - absl::Milliseconds(1200);
      if (isRunning(index)) {
        gateways_[index].quotas->onHeartbeat(is_isolated, now_);
      }
      if (isRunning(index) && gateways_[index].quotas->nextWakeup() <= now_) {
        QuotaActions actions;
        gateways_[index].quotas->onTick(now_, actions);
        carryOut(index, actions);
      }
    }
    demand_backlog_ += demand_per_second * absl::ToDoubleSeconds(kStep);
    while (demand_backlog_ > 0) {
      const double cost = draw_cost_(*this);
      demand_backlog_ -= cost;
      const bool is_crowded = crowding_ > 0 && uniform(0, 1) < crowding_;
      const size_t index =
          is_crowded ? crowded_ : static_cast<size_t>(uniform(0, static_cast<double>(gateways_.size())));
      if (isRunning(index)) {
        ++requests;
        QuotaActions actions;
        pending_costs_[index][gateways_[index].quotas->requestGrant(kName, cost, now_, actions)] = cost;
        carryOut(index, actions);
      }
    }
  }

  // The largest amount granted in a window, relative to what the limit and its tolerance allow.
  double maxWindowUsage() const {
    const double allowed = limit_.per_second * absl::ToDoubleSeconds(tolerance_.window) + limit_.burst +
                           tolerance_.amountFor(limit_);
    double most = 0;
    double sum = 0;
    size_t oldest = 0;
    for (const auto& [time, cost] : granted_) {
      sum += cost;
      while (time - granted_[oldest].first > tolerance_.window) {
        sum -= granted_[oldest++].second;
      }
      most = std::max(most, sum / allowed);
    }
    return most;
  }
  double grantedSince(absl::Time from) const {
    double sum = 0;
    for (const auto& [time, cost] : granted_) {
      sum += time >= from ? cost : 0;
    }
    return sum;
  }
  // The most requests granted in a window at gateways that were not started, frozen or partitioned within the
  // window's length before the grant.
  size_t maxRequestsIn(absl::Duration window) const {
    size_t most = 0;
    std::deque<absl::Time> within;
    for (const auto& [time, undisturbed_since] : granted_since_disturbed_) {
      if (time - undisturbed_since <= window) {
        continue;
      }
      within.push_back(time);
      while (time - within.front() > window) {
        within.pop_front();
      }
      most = std::max(most, within.size());
    }
    return most;
  }
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }

  int requests = 0;
  int denied = 0;
  size_t messages = 0;

 private:
  struct InFlightMessage {
    size_t from;
    size_t to;
    QuotaMessage message;
  };
  static NodeId idOf(size_t index) { return NodeId(absl::StrCat("g", index)); }
  static size_t indexOf(const NodeId& id) { return static_cast<size_t>(std::stoul(id.value().substr(1))); }
  bool isRunning(size_t index) const {
    return gateways_[index].is_up && gateways_[index].frozen_until <= now_;
  }
  bool isReachable(size_t index) const {
    return isRunning(index) && gateways_[index].partitioned_until <= now_;
  }

  void carryOut(size_t index, const QuotaActions& actions) {
    for (const QuotaActions::Outgoing& outgoing : actions.messages) {
      ++messages;
      if (uniform(0, 1) >= loss_) {
        const absl::Duration latency = absl::Milliseconds(uniform(0.2, 3)) + gateways_[index].delay;
        in_flight_.emplace(now_ + latency, InFlightMessage{index, indexOf(outgoing.to), outgoing.message});
      }
    }
    for (const QuotaDecision& decision : actions.decisions) {
      const auto found = pending_costs_[index].find(decision.number);
      REQUIRE(found != pending_costs_[index].end());
      if (decision.verdict.is_granted) {
        granted_.emplace_back(now_, found->second);
        const Gateway& gateway = gateways_[index];
        granted_since_disturbed_.emplace_back(
            now_, std::max({gateway.started, gateway.frozen_until, gateway.partitioned_until}));
      } else {
        ++denied;
      }
      pending_costs_[index].erase(found);
    }
  }

  std::vector<Gateway> gateways_;
  RateLimit limit_;
  LimitTolerance tolerance_;
  double loss_;
  std::mt19937_64 random_;
  DrawCost draw_cost_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::multimap<absl::Time, InFlightMessage> in_flight_;
  std::map<size_t, std::map<uint64_t, double>> pending_costs_;
  std::vector<std::pair<absl::Time, double>> granted_;
  // Time of each grant, and since when its gateway had been undisturbed.
  std::vector<std::pair<absl::Time, absl::Time>> granted_since_disturbed_;
  double demand_backlog_ = 0;
  size_t crowded_ = 0;
  double crowding_ = 0;  // fraction of the requests
};

inline void run(Site& site, absl::Duration time, double demand_per_second) {
  const absl::Time until = site.now() + time;
  while (site.now() < until) {
    site.step(demand_per_second);
  }
}

enum class Fault : uint8_t { kStop, kStart, kFreeze, kPartition, kDelay, kNothing };

inline void apply(Site& site, Fault fault, size_t index) {
  Gateway& gateway = site.gateway(index);
  switch (fault) {
    case Fault::kStop:
      site.stop(index);
      break;
    case Fault::kStart:
      if (!gateway.is_up) {
        site.start(index);
      }
      break;
    case Fault::kFreeze:
      gateway.frozen_until = site.now() + absl::Seconds(3);
      break;
    case Fault::kPartition:
      gateway.partitioned_until = site.now() + kPartitionDuration;
      break;
    case Fault::kDelay:
      gateway.delay = absl::Milliseconds(site.uniform(0, 60));
      break;
    case Fault::kNothing:
      break;
  }
}

}  // namespace quincewick::quota
