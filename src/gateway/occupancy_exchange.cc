#include "gateway/occupancy_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

// How long a keeper's answer is awaited: it takes 2 ms at the median and 15 ms for 99 in 100 on a site of 79
// gateways, and a request that gets none goes on by what this gateway knows itself.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(25);
constexpr absl::Duration kBeatInterval = absl::Milliseconds(250);  // between looks at who the gateways are
constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);
// Peers are told again of what an engine can do once it changed by a fifth, and twice within the time for
// which they hold what was told: a digest may be lost.
constexpr double kWorthTelling = 0.2;
constexpr absl::Duration kTellAgain = absl::Milliseconds(1500);
constexpr absl::Duration kTellAtMostEvery = absl::Milliseconds(250);
constexpr size_t kToldAtMost = 20'000;

bool isWorthTelling(const forwarding::EngineCapability& now, const forwarding::EngineCapability& told) {
  const auto differs = [](absl::Duration one, absl::Duration other) {
    return absl::AbsDuration(one - other) > kWorthTelling * other;
  };
  return differs(now.read_per_token, told.read_per_token) || differs(now.pause, told.pause);
}

}  // namespace

OccupancyExchange::OccupancyExchange(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core), directory_(directory), peers_(peers) {}

void OccupancyExchange::start() {
  peers_.setMessageHandler(
      peer::PeerModule::kOccupancy,
      [this](const NodeId& from, std::string_view payload) { return take(from, payload); });
  beat();
}

void OccupancyExchange::beat() {
  ranks_.setMembers(directory_.ownerCandidates());
  core_.timers.schedule(reactor::steadyNow() + kBeatInterval, [this] { beat(); });
}

uint64_t OccupancyExchange::reserve(const forwarding::Server& engine, uint64_t prefill_tokens,
                                    double most_seconds, Answered answered) {
  const uint64_t number = ++last_number_;
  OccupancyMessage question;
  question.kind = OccupancyMessageKind::kReserve;
  question.number = number;
  question.engine = engine.identity_hash;
  question.prefill_tokens = prefill_tokens;
  question.most_seconds = most_seconds;
  const std::vector<NodeId> keepers = ranks_.candidates(engine.entry.id);
  const NodeId self = core_.settings.gateway_id;
  if (keepers.empty() || keepers.front() == self) {
    answered(answerOf(self, decide(self, question)));
    return number;
  }
  probe(ranks_.before(engine.entry.id, keepers.front()), question);
  questions_[number] = {keepers.front(), reactor::steadyNow() + kAnswerTime, std::move(answered)};
  send(keepers.front(), question);
  scheduleTick();
  return number;
}

// Asks those that rank before the keeper and are suspected to be down whether they are back: for a place that
// no engine has.
void OccupancyExchange::probe(const std::vector<NodeId>& nodes, OccupancyMessage question) {
  question.most_seconds = -1;
  const absl::Time now = reactor::steadyNow();
  for (const NodeId& node : nodes) {
    absl::Time& last = probed_.try_emplace(node, absl::InfinitePast()).first->second;
    if (now - last >= kProbeInterval) {
      last = now;
      send(node, question);
    }
  }
}

PlaceAnswer OccupancyExchange::answerOf(const NodeId& keeper, const OccupancyMessage& message) {
  PlaceAnswer answer;
  answer.is_held = message.kind == OccupancyMessageKind::kHeld;
  answer.in_hand = forwarding::ServerLoad{message.running, message.prefill_tokens};
  if (const auto capability = capabilityFrom(message.capability)) {
    answer.capability = capability.value();
  }
  answer.place = {message.engine, message.number, keeper};
  return answer;
}

// What other gateways told in turns counts only as long as the books are new.
OccupancyMessage OccupancyExchange::decide(const NodeId& from, const OccupancyMessage& question) {
  const absl::Time now = reactor::steadyNow();
  forwarding::ServerLoad in_hand = books_.at(question.engine, now);
  const auto server = core_.directory.findByHash(question.engine);
  if (server != nullptr && !books_.areComplete(question.engine, now)) {
    in_hand.running = std::max(in_hand.running, server->running());
    in_hand.prefill_tokens = std::max(in_hand.prefill_tokens, server->prefillTokens());
  }
  const uint32_t slots = server == nullptr ? 1 : server->entry.slots;
  if (server != nullptr) {
    books_.begin(question.engine, server->capability.at(now), now);
  }
  forwarding::EngineCapability capability;
  if (core_.settings.placement.learned_speed) {
    capability = books_.capability(question.engine, now);
    tellCapability(question.engine, capability, now);
  }
  OccupancyMessage answer;
  answer.number = question.number;
  answer.engine = question.engine;
  answer.running = in_hand.running;
  answer.prefill_tokens = in_hand.prefill_tokens;
  answer.capability = messageOf(capability);
  answer.kind = OccupancyMessageKind::kFull;
  const forwarding::EngineCapability just_now = books_.withOverdue(question.engine, capability, now);
  if (core_.placement.loadSeconds(in_hand, slots, just_now) <= question.most_seconds) {
    answer.kind = OccupancyMessageKind::kHeld;
    const bool waits_for_slot = in_hand.running >= slots;
    books_.reserve({question.engine, from, question.number}, question.prefill_tokens, waits_for_slot, now);
  }
  return answer;
}

// What this gateway learnt of an engine goes to itself at once, and to peers with the next digests.
void OccupancyExchange::tellCapability(uint64_t engine, const forwarding::EngineCapability& capability,
                                       absl::Time now) {
  if (const auto server = core_.directory.findByHash(engine)) {
    server->capability = {capability, now};
  }
  if (told_.size() >= kToldAtMost) {
    told_.clear();
  }
  forwarding::ToldCapability& told = told_[engine];
  const absl::Duration since = now - told.told;
  const bool is_due =
      since >= kTellAgain || (since >= kTellAtMostEvery && isWorthTelling(capability, told.capability));
  if (is_due) {
    told = {capability, now};
    core_.new_capabilities.push_back({engine, capability});
  }
}

Result<void> OccupancyExchange::take(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeOccupancyMessage(payload));
  ranks_.noteHeard(from);
  carryOut(from, message);
  return outcome::success();
}

void OccupancyExchange::carryOut(const NodeId& from, const OccupancyMessage& message) {
  switch (message.kind) {
    case OccupancyMessageKind::kReserve:
      send(from, decide(from, message));
      return;
    case OccupancyMessageKind::kRead:
      books_.noteRead({message.engine, from, message.number}, reactor::steadyNow());
      return;
    case OccupancyMessageKind::kRelease:
      books_.release({message.engine, from, message.number}, absl::Milliseconds(message.pause_ms),
                     reactor::steadyNow());
      return;
    case OccupancyMessageKind::kHeld:
    case OccupancyMessageKind::kFull:
      takeAnswer(from, message);
      return;
  }
}

void OccupancyExchange::takeAnswer(const NodeId& from, const OccupancyMessage& answer) {
  const PlaceAnswer place_answer = answerOf(from, answer);
  const auto found = questions_.find(answer.number);
  if (found == questions_.end() || found->second.keeper != from) {
    if (place_answer.is_held) {
      release(place_answer.place);  // it came too late
    }
    return;
  }
  const Answered answered = std::move(found->second.answered);
  questions_.erase(found);
  answered(place_answer);
}

void OccupancyExchange::noteRead(const Place& place) {
  tell(place, OccupancyMessageKind::kRead, absl::ZeroDuration());
}

void OccupancyExchange::release(const Place& place, absl::Duration longest_pause) {
  tell(place, OccupancyMessageKind::kRelease, longest_pause);
}

void OccupancyExchange::tell(const Place& place, OccupancyMessageKind kind, absl::Duration longest_pause) {
  OccupancyMessage message;
  message.kind = kind;
  message.number = place.number;
  message.engine = place.engine;
  message.pause_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(longest_pause));
  if (place.keeper == core_.settings.gateway_id) {
    carryOut(place.keeper, message);
  } else {
    send(place.keeper, message);
  }
}

void OccupancyExchange::send(const NodeId& to, const OccupancyMessage& message) {
  peers_.sendTo(to, peer::PeerModule::kOccupancy, encodeOccupancyMessage(message));
}

void OccupancyExchange::scheduleTick() {
  if (has_timer_ || questions_.empty()) {
    return;
  }
  has_timer_ = true;
  core_.timers.schedule(questions_.begin()->second.give_up, [this] {
    has_timer_ = false;
    tick();
  });
}

void OccupancyExchange::tick() {
  const absl::Time now = reactor::steadyNow();
  std::vector<Answered> unanswered;
  while (!questions_.empty() && questions_.begin()->second.give_up <= now) {
    ranks_.noteSilence(questions_.begin()->second.keeper);
    unanswered.push_back(std::move(questions_.begin()->second.answered));
    questions_.erase(questions_.begin());
  }
  scheduleTick();
  for (const Answered& answered : unanswered) {
    answered({});
  }
}

}  // namespace quincewick::gateway
