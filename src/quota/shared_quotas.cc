#include "quota/shared_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincewick::quota {
namespace {

constexpr size_t kAskedAtMost = 3;  // gateways for one request
constexpr absl::Duration kProbeInterval = absl::Milliseconds(100);
// What all gateways together give out while they take another for the keeper, of the overshoot that is
// allowed.
constexpr double kStandInPart = 0.5;
constexpr absl::Duration kLongestPause = absl::Seconds(1);  // between beats of a process that runs
constexpr size_t kAccountsAtMost = 4096;
constexpr absl::Duration kDeniedFor = absl::Milliseconds(250);  // where no keeper answered

}  // namespace

void SharedQuotas::noteBeat(bool is_alone, absl::Time now) {
  const bool was_away = is_alone || now - last_beat_ > kLongestPause;  // at its start, too
  if (was_away) {
    was_away_until_ = now + tolerance_.window;
  }
  is_alone_ = is_alone;
  last_beat_ = now;
}

uint64_t SharedQuotas::ask(const LimitName& name, double cost, absl::Time now, QuotaActions& actions) {
  const uint64_t number = ++last_number_;
  askNext(number, questions_[number] = {name, cost, false, {}, now}, now, actions);
  return number;
}

void SharedQuotas::askNext(uint64_t number, Question& question, absl::Time now, QuotaActions& actions) {
  const LimitName name = question.name;
  const double cost = question.cost;
  if (!is_alone_ && question.asked.size() < kAskedAtMost) {
    for (const NodeId& candidate : ranks_.candidates(name.value())) {
      if (std::find(question.asked.begin(), question.asked.end(), candidate) != question.asked.end()) {
        continue;
      }
      if (candidate == self_) {
        questions_.erase(number);
        actions.decisions.push_back({number, decideAsKeeper(name, cost, now, actions), self_});
        return;
      }
      const bool is_first = question.asked.empty();
      question.asked.push_back(candidate);
      question.give_up = now + kAnswerTime;
      actions.messages.push_back({candidate, {QuotaMessageKind::kAsk, number, name, cost, is_first, {}}});
      return;
    }
  }
  questions_.erase(number);
  const bool is_denied = !is_alone_ && unanswered_ == Unanswered::kDenies;
  actions.decisions.push_back(
      {number, is_denied ? QuotaVerdict{false, kDeniedFor} : decideByOwnShare(name, cost, now), NodeId()});
}

QuotaVerdict SharedQuotas::decideAsKeeper(const LimitName& name, double cost, absl::Time now,
                                          QuotaActions& actions) {
  const RateLimit* const limit = limit_of_(name);
  if (limit == nullptr) {
    return {true, absl::ZeroDuration()};
  }
  const bool is_keeper = isKeeper(name);
  const std::vector<NodeId> before = ranks_.before(name.value(), self_);
  probe(before, name, now, actions);
  // Where some can't reach the keeper and others not the next one either, several stand in at the same time:
  // by its rank each has half of what the one before it has, so that together they keep to one's part.
  const double share = std::exp2(-static_cast<double>(before.size()));
  const KeeperRights rights = {is_keeper ? 1 : tolerance_.overshoot * kStandInPart * share,
                               is_keeper && now >= was_away_until_, before.empty(), is_keeper ? 1 : share};
  forgetIdleAccounts(now);
  return kept_[name].take(cost, *limit, tolerance_, rights, now);
}

QuotaVerdict SharedQuotas::decideByOwnShare(const LimitName& name, double cost, absl::Time now) {
  const RateLimit* const limit = limit_of_(name);
  if (limit == nullptr) {
    return {true, absl::ZeroDuration()};
  }
  const double share = 1.0 / static_cast<double>(std::max<size_t>(ranks_.members(), 1));
  RateLimit own = *limit;
  own.per_second *= share;
  own.burst *= share;
  LimitTolerance tolerance = tolerance_;
  tolerance.slack *= share;
  return own_shares_[name].take(cost, own, tolerance, KeeperRights::full(), now);
}

bool SharedQuotas::isKeeper(const LimitName& name) {
  const std::vector<NodeId> candidates = ranks_.candidates(name.value());
  return candidates.empty() || candidates.front() == self_;
}

// Asks nodes that rank before this one whether they are there.
void SharedQuotas::probe(const std::vector<NodeId>& nodes, const LimitName& name, absl::Time now,
                         QuotaActions& actions) {
  for (const NodeId& node : nodes) {
    absl::Time& last = probed_.try_emplace(node, absl::InfinitePast()).first->second;
    if (now - last < kProbeInterval) {
      continue;
    }
    last = now;
    const uint64_t number = ++last_number_;
    questions_[number] = {name, 0, true, {node}, now + kAnswerTime};
    actions.messages.push_back({node, {QuotaMessageKind::kAsk, number, name, 0, true, {}}});
  }
}

void SharedQuotas::giveBack(const LimitName& name, double cost, const NodeId& keeper, QuotaActions& actions) {
  if (keeper == self_) {
    if (const auto account = kept_.find(name); account != kept_.end()) {
      account->second.putBack(cost);
    }
  } else if (!keeper.value().empty()) {
    actions.messages.push_back({keeper, {QuotaMessageKind::kGiveBack, 0, name, cost, true, {}}});
  }
}

void SharedQuotas::onMessage(const NodeId& from, const QuotaMessage& message, absl::Time now,
                             QuotaActions& actions) {
  ranks_.noteHeard(from);
  switch (message.kind) {
    case QuotaMessageKind::kAsk:
      answer(from, message, now, actions);
      return;
    case QuotaMessageKind::kGiveBack:
      giveBack(message.name, message.cost, self_, actions);
      return;
    case QuotaMessageKind::kGrant:
    case QuotaMessageKind::kDeny:
    case QuotaMessageKind::kElsewhere:
      takeAnswer(from, message, now, actions);
      return;
  }
}

void SharedQuotas::answer(const NodeId& from, const QuotaMessage& question, absl::Time now,
                          QuotaActions& actions) {
  QuotaMessage reply = {QuotaMessageKind::kGrant, question.number, question.name, 0, true, {}};
  const bool is_probe = question.cost <= 0;
  if (!is_probe && question.is_first && !isKeeper(question.name)) {
    reply.kind = QuotaMessageKind::kElsewhere;
  } else if (!is_probe) {
    const QuotaVerdict verdict = decideAsKeeper(question.name, question.cost, now, actions);
    reply.kind = verdict.is_granted ? QuotaMessageKind::kGrant : QuotaMessageKind::kDeny;
    reply.retry_after = verdict.retry_after;
  }
  actions.messages.push_back({from, reply});
}

void SharedQuotas::takeAnswer(const NodeId& from, const QuotaMessage& message, absl::Time now,
                              QuotaActions& actions) {
  const auto found = questions_.find(message.number);
  const bool is_awaited = found != questions_.end() && found->second.asked.back() == from;
  if (!is_awaited) {
    return;  // it came too late: what it granted counts as used, which costs its holder a little
  }
  Question& question = found->second;
  if (message.kind == QuotaMessageKind::kElsewhere) {
    for (const NodeId& node : ranks_.before(question.name.value(), from)) {
      ranks_.noteHeard(node);  // by `from`
    }
    askNext(message.number, question, now, actions);
    return;
  }
  const bool is_probe = question.is_probe;
  questions_.erase(found);
  if (!is_probe) {
    const bool is_granted = message.kind == QuotaMessageKind::kGrant;
    actions.decisions.push_back({message.number, {is_granted, message.retry_after}, from});
  }
}

void SharedQuotas::onTick(absl::Time now, QuotaActions& actions) {
  std::vector<uint64_t> late;
  for (const auto& [number, question] : questions_) {
    if (question.give_up <= now) {
      late.push_back(number);
    }
  }
  for (const uint64_t number : late) {
    Question& question = questions_.at(number);
    ranks_.noteSilence(question.asked.back());
    if (question.is_probe) {
      questions_.erase(number);
    } else {
      askNext(number, question, now, actions);
    }
  }
}

absl::Time SharedQuotas::nextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [number, question] : questions_) {
    next = std::min(next, question.give_up);
  }
  return next;
}

// Those out of use for a window hold nothing that a new account would not.
void SharedQuotas::forgetIdleAccounts(absl::Time now) {
  if (kept_.size() < kAccountsAtMost) {
    return;
  }
  absl::erase_if(kept_,
                 [&](const auto& entry) { return now - entry.second.lastAsked() > tolerance_.window; });
}

}  // namespace quincewick::quota
