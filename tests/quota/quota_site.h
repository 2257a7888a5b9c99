// A site of gateways in virtual time: requests come at random gateways, messages take time and get lost, and
// gateways die, freeze, turn slow and are cut off.
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
inline constexpr absl::Duration kCut = absl::Seconds(4);
inline constexpr absl::Duration kStep = absl::Milliseconds(5);

struct Gateway {
  std::unique_ptr<SharedQuotas> quotas;
  bool is_up = true;
  absl::Time frozen_until = absl::InfinitePast();
  absl::Time cut_until = absl::InfinitePast();
  absl::Duration delay;  // of all it does
  absl::Time started = absl::InfinitePast();
};

class Site {
 public:
  // `draw_cost`: of each request, in the limit's unit.
  using DrawCost = std::function<double(Site& site)>;
  Site(size_t count, RateLimit limit, const LimitTolerance& tolerance, double loss, uint64_t seed,
       DrawCost draw_cost, NoOwnerPolicy no_owner_policy = NoOwnerPolicy::kUseEvenShare)
      : gateways_(count),
        limit_(limit),
        tolerance_(tolerance),
        loss_(loss),
        random_(seed),
        draw_cost_(std::move(draw_cost)),
        no_owner_policy_(no_owner_policy) {
    for (size_t index = 0; index < count; ++index) {
      start(index);
    }
  }

  void start(size_t index) {
    Gateway& gateway = gateways_[index];
    gateway.quotas = std::make_unique<SharedQuotas>(
        idOf(index), tolerance_, [this](const LimitName&) { return &limit_; }, no_owner_policy_);
    gateway.quotas->setMembers(members());
    gateway.is_up = true;
    gateway.started = now_;
    waiting_[index].clear();
  }
  std::vector<routing::KeeperMember> members() const {
    std::vector<routing::KeeperMember> result;
    for (size_t index = 0; index < gateways_.size(); ++index) {
      result.push_back({idOf(index), 1});
    }
    return result;
  }
  void stop(size_t index) { gateways_[index].is_up = false; }
  Gateway& gateway(size_t index) { return gateways_[index]; }
  size_t size() const { return gateways_.size(); }
  // The gateway that most questions go to at first.
  size_t owner() {
    routing::KeeperRanks ranks;
    ranks.setMembers(members());
    return indexOf(ranks.candidates(kName.value()).front());
  }
  void setLimit(const RateLimit& limit) { limit_ = limit; }
  absl::Time now() const { return now_; }

  // One step: due messages, due ticks, and requests of so much a second in all.
  void step(double demand_per_second) {
    now_ += kStep;
    while (!under_way_.empty() && under_way_.begin()->first <= now_) {
      const auto [from, to, message] = under_way_.begin()->second;
      under_way_.erase(under_way_.begin());
      if (isHeard(from) && isHeard(to)) {
        QuotaActions actions;
        gateways_[to].quotas->onMessage(idOf(from), message, now_, actions);
        carryOut(to, actions);
      }
    }
    for (size_t index = 0; index < gateways_.size(); ++index) {
      // A gateway that is cut off notices when its peers have been silent for a while.
      const absl::Time cut_until = gateways_[index].cut_until;
      const bool is_isolated = now_ < cut_until && cut_until - now_ < kCut - absl::Milliseconds(1200);
      if (runs(index)) {
        gateways_[index].quotas->onHeartbeat(is_isolated, now_);
      }
      if (runs(index) && gateways_[index].quotas->nextWakeup() <= now_) {
        QuotaActions actions;
        gateways_[index].quotas->onTick(now_, actions);
        carryOut(index, actions);
      }
    }
    owed_ += demand_per_second * absl::ToDoubleSeconds(kStep);
    while (owed_ > 0) {
      const double cost = draw_cost_(*this);
      owed_ -= cost;
      const auto index = static_cast<size_t>(uniform(0, static_cast<double>(gateways_.size())));
      if (runs(index)) {
        ++asked;
        QuotaActions actions;
        waiting_[index][gateways_[index].quotas->ask(kName, cost, now_, actions)] = cost;
        carryOut(index, actions);
      }
    }
  }

  // The most that was granted in a window, of what may be.
  double mostInAWindow() const {
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
  // The most requests that were granted in a window at gateways that were not started, frozen or cut off then
  // or so long before.
  size_t mostRequestsIn(absl::Duration window) const {
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

  int asked = 0;
  int denied = 0;
  size_t messages = 0;

 private:
  struct Letter {
    size_t from;
    size_t to;
    QuotaMessage message;
  };
  static NodeId idOf(size_t index) { return NodeId(absl::StrCat("g", index)); }
  static size_t indexOf(const NodeId& id) { return static_cast<size_t>(std::stoul(id.value().substr(1))); }
  bool runs(size_t index) const { return gateways_[index].is_up && gateways_[index].frozen_until <= now_; }
  bool isHeard(size_t index) const { return runs(index) && gateways_[index].cut_until <= now_; }

  void carryOut(size_t index, const QuotaActions& actions) {
    for (const QuotaActions::Outgoing& outgoing : actions.messages) {
      ++messages;
      if (uniform(0, 1) >= loss_) {
        const absl::Duration way = absl::Milliseconds(uniform(0.2, 3)) + gateways_[index].delay;
        under_way_.emplace(now_ + way, Letter{index, indexOf(outgoing.to), outgoing.message});
      }
    }
    for (const QuotaDecision& decision : actions.decisions) {
      const auto found = waiting_[index].find(decision.number);
      REQUIRE(found != waiting_[index].end());
      if (decision.verdict.is_granted) {
        granted_.emplace_back(now_, found->second);
        const Gateway& gateway = gateways_[index];
        granted_since_disturbed_.emplace_back(
            now_, std::max({gateway.started, gateway.frozen_until, gateway.cut_until}));
      } else {
        ++denied;
      }
      waiting_[index].erase(found);
    }
  }

  std::vector<Gateway> gateways_;
  RateLimit limit_;
  LimitTolerance tolerance_;
  double loss_;
  std::mt19937_64 random_;
  DrawCost draw_cost_;
  NoOwnerPolicy no_owner_policy_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::multimap<absl::Time, Letter> under_way_;
  std::map<size_t, std::map<uint64_t, double>> waiting_;
  std::vector<std::pair<absl::Time, double>> granted_;
  // When it was granted, and since when its gateway had been undisturbed.
  std::vector<std::pair<absl::Time, absl::Time>> granted_since_disturbed_;
  double owed_ = 0;
};

inline void run(Site& site, absl::Duration time, double demand_per_second) {
  const absl::Time until = site.now() + time;
  while (site.now() < until) {
    site.step(demand_per_second);
  }
}

}  // namespace quincewick::quota
