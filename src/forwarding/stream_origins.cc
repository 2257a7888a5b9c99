#include "forwarding/stream_origins.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

using Kind = StreamOriginMessageKind;

constexpr size_t kCandidates = 8;  // gateways of a stream's ranking that may hold its record
constexpr size_t kAsked = StreamOrigins::kHolders + 1;  // one of them may be the gateway that made the record
constexpr uint64_t kRankings = 256;                     // streams with the same ranking share its computation
constexpr uint32_t kMaxTries = 3;
constexpr absl::Duration kAcknowledgeTimeout = absl::Milliseconds(60);
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(60);
constexpr absl::Duration kSilenceRetry = absl::Seconds(5);
// So many silent gateways may be a partition, on whose other side no holder is reached: two at least, and
// this fraction of all.
constexpr size_t kMinSilentInPartition = 2;
constexpr size_t kPartitionDivisor = 4;
constexpr size_t kMaxRecords = 20'000;
constexpr size_t kMaxDeliveries = 4096;

std::string subjectOf(const StreamKey& key) {
  const uint64_t hash =
      XXH3_64bits_withSeed(key.attempt_id.data(), key.attempt_id.size(),
                           XXH3_64bits(key.tenant.value().data(), key.tenant.value().size()));
  return absl::StrCat("stream/", hash % kRankings);
}

}  // namespace

void StreamOrigins::setMembers(const std::vector<routing::KeeperMember>& members) {
  ranks_.setMembers(members);
  knows_members_ = true;
  absl::erase_if(silent_, [&members](const auto& entry) {
    return std::none_of(members.begin(), members.end(),
                        [&entry](const routing::KeeperMember& member) { return member.id == entry.first; });
  });
}

void StreamOrigins::hold(const StreamRecord& record, bool is_own, absl::Time expires) {
  const auto [place, is_new] =
      records_.try_emplace(record.key, HeldRecord{record.origin, false, expires, is_own});
  if (!is_new) {
    HeldRecord& held = place->second;
    held.is_own = held.is_own || is_own;
    held.is_contradictory = held.is_contradictory || held.origin != record.origin;
    held.expires = std::max(held.expires, expires);
  }
  expiries_.emplace(place->second.expires, record.key);
  while (records_.size() > kMaxRecords) {
    records_.erase(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
  }
}

const StreamOrigins::HeldRecord* StreamOrigins::heldRecord(const StreamKey& key, absl::Time now) const {
  const auto found = records_.find(key);
  return found == records_.end() || found->second.expires <= now ? nullptr : &found->second;
}

std::vector<NodeId> StreamOrigins::candidatesFor(const StreamKey& key) {
  std::vector<NodeId> candidates = ranks_.spreadOverZones(subjectOf(key), kCandidates);
  std::erase(candidates, self_);
  return candidates;
}

bool StreamOrigins::isSilent(const NodeId& id, absl::Time now) const {
  const auto found = silent_.find(id);
  return found != silent_.end() && now < found->second;
}

bool StreamOrigins::mayBePartitioned() const {
  const size_t quarter = (ranks_.members() + kPartitionDivisor - 1) / kPartitionDivisor;
  return silent_.size() >= std::max(kMinSilentInPartition, quarter);
}

void StreamOrigins::record(const StreamRecord& record, absl::Duration lifetime, absl::Time now,
                           StreamOriginActions& actions) {
  if (record.key.attempt_id.empty() || record.key.attempt_id.size() > kMaxAttemptIdBytes) {
    return;
  }
  const absl::Time expires = now + std::min(lifetime, kMaxLifetime);
  hold(record, true, expires);
  const uint64_t number = ++last_number_;
  Delivery delivery;
  delivery.record = record;
  delivery.expires = expires;
  delivery.candidates = candidatesFor(record.key);
  if (knows_members_ && delivery.candidates.empty()) {
    return;  // there is no other gateway
  }
  if (mayBePartitioned()) {
    keepInStore(delivery, actions);
  }
  addHolders(number, delivery, kHolders, now, actions);
  if (!delivery.unacknowledged.empty() && deliveries_.size() < kMaxDeliveries) {
    deliveries_.emplace(number, std::move(delivery));
  }
}

void StreamOrigins::deliverTo(uint64_t number, Delivery& delivery, const NodeId& holder, absl::Time now,
                              StreamOriginActions& actions) {
  actions.messages.push_back({holder, {Kind::kRecord, number, delivery.record, delivery.expires - now}});
  delivery.due = now + kAcknowledgeTimeout;
}

void StreamOrigins::addHolders(uint64_t number, Delivery& delivery, size_t count, absl::Time now,
                               StreamOriginActions& actions) {
  delivery.tries = 1;
  while (count > 0 && delivery.asked < delivery.candidates.size()) {
    const NodeId& holder = delivery.candidates[delivery.asked++];
    if (isSilent(holder, now)) {
      continue;
    }
    delivery.unacknowledged.push_back(holder);
    deliverTo(number, delivery, holder, now, actions);
    --count;
  }
  if (count > 0) {
    keepInStore(delivery, actions);
  }
}

void StreamOrigins::keepInStore(Delivery& delivery, StreamOriginActions& actions) {
  if (!std::exchange(delivery.is_in_store, true)) {
    actions.to_store.push_back(delivery.record);
  }
}

void StreamOrigins::keepOwnInStore(const ServiceName& service, absl::Time now,
                                   StreamOriginActions& actions) const {
  for (const auto& [key, held] : records_) {
    if (held.is_own && !held.is_contradictory && held.expires > now && held.origin.service == service) {
      actions.to_store.push_back({key, held.origin});
    }
  }
}

uint64_t StreamOrigins::find(const StreamKey& key, absl::Time now, StreamOriginActions& actions) {
  const uint64_t number = ++last_number_;
  if (const HeldRecord* const held = heldRecord(key, now)) {
    actions.lookups.push_back({number, held->origin, held->is_contradictory});
    return number;
  }
  Question question;
  question.key = key;
  const bool is_valid = !key.attempt_id.empty() && key.attempt_id.size() <= kMaxAttemptIdBytes;
  if (is_valid) {
    askHolders(number, question, now, actions);
  }
  const bool may_be_answered = is_valid && (!question.unanswered.empty() || !knows_members_);
  if (may_be_answered) {
    questions_.emplace(number, std::move(question));
  } else {
    actions.lookups.push_back({number, std::nullopt, false});
  }
  return number;
}

// Silent gateways are asked too, but not waited for.
void StreamOrigins::askHolders(uint64_t number, Question& question, absl::Time now,
                               StreamOriginActions& actions) {
  ++question.tries;
  question.due = now + kAnswerTimeout;
  for (const NodeId& holder : candidatesFor(question.key)) {
    if (question.unanswered.size() == kAsked) {
      break;
    }
    actions.messages.push_back({holder, {Kind::kAsk, number, {question.key, {}}, absl::ZeroDuration()}});
    if (!isSilent(holder, now)) {
      question.unanswered.push_back(holder);
    }
  }
}

void StreamOrigins::onMessage(const NodeId& from, const StreamOriginMessage& message, absl::Time now,
                              StreamOriginActions& actions) {
  silent_.erase(from);
  switch (message.kind) {
    case Kind::kRecord:
      hold(message.record, false, now + std::min(message.lifetime, kMaxLifetime));
      actions.messages.push_back(
          {from, {Kind::kAcknowledge, message.number, {message.record.key, {}}, absl::ZeroDuration()}});
      break;
    case Kind::kAcknowledge:
      if (const auto delivery = deliveries_.find(message.number); delivery != deliveries_.end()) {
        std::erase(delivery->second.unacknowledged, from);
        if (delivery->second.unacknowledged.empty()) {
          deliveries_.erase(delivery);
        }
      }
      break;
    case Kind::kAsk:
      actions.messages.push_back({from, answerTo(message, now)});
      break;
    case Kind::kFound:
    case Kind::kUnknown:
    case Kind::kContradictory:
      handleAnswer(from, message, actions);
      break;
  }
}

StreamOriginMessage StreamOrigins::answerTo(const StreamOriginMessage& question, absl::Time now) const {
  StreamOriginMessage answer{
      Kind::kUnknown, question.number, {question.record.key, {}}, absl::ZeroDuration()};
  if (const HeldRecord* const held = heldRecord(question.record.key, now)) {
    answer.kind = held->is_contradictory ? Kind::kContradictory : Kind::kFound;
    answer.record.origin = held->origin;
  }
  return answer;
}

void StreamOrigins::handleAnswer(const NodeId& from, const StreamOriginMessage& message,
                                 StreamOriginActions& actions) {
  const auto question = questions_.find(message.number);
  if (question == questions_.end() || question->second.key != message.record.key) {
    return;
  }
  std::erase(question->second.unanswered, from);
  const bool is_known = message.kind != Kind::kUnknown;
  if (!is_known && !question->second.unanswered.empty()) {
    return;
  }
  questions_.erase(question);
  actions.lookups.push_back({message.number, is_known ? std::optional(message.record.origin) : std::nullopt,
                             message.kind == Kind::kContradictory});
}

bool StreamOrigins::retryDelivery(uint64_t number, Delivery& delivery, absl::Time now,
                                  StreamOriginActions& actions) {
  if (delivery.tries < kMaxTries) {
    ++delivery.tries;
    for (const NodeId& holder : delivery.unacknowledged) {
      deliverTo(number, delivery, holder, now, actions);
    }
    return true;
  }
  keepInStore(delivery, actions);
  const std::vector<NodeId> lost = std::exchange(delivery.unacknowledged, {});
  for (const NodeId& holder : lost) {
    silent_[holder] = now + kSilenceRetry;
  }
  addHolders(number, delivery, lost.size(), now, actions);
  return !delivery.unacknowledged.empty();
}

bool StreamOrigins::retryQuestion(uint64_t number, Question& question, absl::Time now,
                                  StreamOriginActions& actions) {
  if (question.tries < kMaxTries && question.unanswered.empty()) {
    askHolders(number, question, now, actions);  // the gateways weren't known before
    return true;
  }
  if (question.tries < kMaxTries) {
    ++question.tries;
    question.due = now + kAnswerTimeout;
    for (const NodeId& holder : question.unanswered) {
      actions.messages.push_back({holder, {Kind::kAsk, number, {question.key, {}}, absl::ZeroDuration()}});
    }
    return true;
  }
  for (const NodeId& holder : question.unanswered) {
    silent_[holder] = now + kSilenceRetry;
  }
  actions.lookups.push_back({number, std::nullopt, false});
  return false;
}

void StreamOrigins::onTick(absl::Time now, StreamOriginActions& actions) {
  absl::erase_if(deliveries_, [&](auto& entry) {
    Delivery& delivery = entry.second;
    return delivery.due <= now && !retryDelivery(entry.first, delivery, now, actions);
  });
  absl::erase_if(questions_, [&](auto& entry) {
    Question& question = entry.second;
    return question.due <= now && !retryQuestion(entry.first, question, now, actions);
  });
  dropExpired(now);
}

// A record's entry in `expiries_` is outdated if the record was prolonged since.
void StreamOrigins::dropExpired(absl::Time now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto record = records_.find(expiries_.begin()->second);
    if (record != records_.end() && record->second.expires <= now) {
      records_.erase(record);
    }
    expiries_.erase(expiries_.begin());
  }
}

absl::Time StreamOrigins::nextWakeup() const {
  absl::Time next = expiries_.empty() ? absl::InfiniteFuture() : expiries_.begin()->first;
  for (const auto& [number, delivery] : deliveries_) {
    next = std::min(next, delivery.due);
  }
  for (const auto& [number, question] : questions_) {
    next = std::min(next, question.due);
  }
  return next;
}

}  // namespace quincewick::forwarding
