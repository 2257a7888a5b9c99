#include "gateway/crash_exchange.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace quincewick::gateway {
namespace {

using forwarding::CrashVerdict;
using forwarding::RequestIdentity;
using forwarding::ServerEnd;

// Ends of one moment go in one datagram.
constexpr absl::Duration kGatherTime = absl::Milliseconds(20);
// An end that tells much is told more than once, for datagrams get lost.
constexpr int kRoundsOfTelling = 3;
constexpr absl::Duration kRoundPause = absl::Milliseconds(300);
// Rounds to all peers. Where more ends come, a rack or a zone goes, and no request is to blame.
constexpr double kRoundsAtOnce = 8;
constexpr double kRoundsASecond = 4;
constexpr size_t kNewsAtMost = 64;
// Who starts or comes back hears within about a second what the others know.
constexpr absl::Duration kBeat = absl::Seconds(1);
constexpr size_t kPeersABeat = 2;
constexpr size_t kEndFrame = 2;  // what an end takes of a datagram's room beside its requests

}  // namespace

CrashExchange::CrashExchange(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core), directory_(directory), peers_(peers), record_(core), register_(reactor::steadyNow()) {}

void CrashExchange::start(std::function<bool()> reads_store) {
  reads_store_ = std::move(reads_store);
  peers_.setMessageHandler(peer::PeerModule::kCrashes, [this](const NodeId& from, std::string_view payload) {
    return take(from, payload);
  });
  beat();
}

CrashVerdict CrashExchange::verdictOn(const RequestIdentity& identity) {
  const absl::Time now = reactor::steadyNow();
  if (!register_.isTrialDue(identity, now) || !isTrialHere(identity)) {
    return register_.verdictOn(identity, now);
  }
  register_.takeTrial(identity, now);
  core_.log.event("request_tried_again", now).with("same_as", forwarding::printIdentity(identity));
  CrashMessage message;
  message.blamed.push_back({identity, true});
  tellAll(message);
  return CrashVerdict::kSend;
}

// The first in rank of the gateways that are heard. Where two take themselves for it, there are two trials:
// the site allows three.
bool CrashExchange::isTrialHere(const RequestIdentity& identity) {
  std::vector<routing::KeeperMember> members = {{core_.settings.gateway_id, 1}};
  for (const NodeId& peer : peers_.livePeers(reactor::steadyNow())) {
    members.push_back({peer, 1});
  }
  routing::KeeperRanks ranks;
  ranks.setMembers(std::move(members));
  const std::vector<NodeId> ranked = ranks.candidates(forwarding::printIdentity(identity));
  return ranked.empty() || ranked.front() == core_.settings.gateway_id;
}

void CrashExchange::noteSent(const RequestIdentity& identity) {
  register_.noteSent(identity, reactor::steadyNow());
}

// What was served lately is sound: it is not told as one that was there.
void CrashExchange::noteEnd(ServerEnd end) {
  const absl::Time now = reactor::steadyNow();
  std::erase_if(end.there, [this, now](const auto& identity) { return register_.wasServed(identity, now); });
  takeEnd(end, true);
  addNews(end);
}

void CrashExchange::noteServed(const RequestIdentity& identity) {
  takeSound(identity, true);
}

Result<void> CrashExchange::take(const NodeId& /*from*/, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeCrashMessage(payload));
  for (const RequestIdentity& identity : message.sound) {
    takeSound(identity, false);
  }
  for (const ServerEnd& end : message.ends) {
    takeEnd(end, false);
  }
  for (const forwarding::BlamedRequest& blamed : message.blamed) {
    takeBlamed(blamed);
  }
  return outcome::success();
}

void CrashExchange::takeEnd(const ServerEnd& end, bool is_own) {
  for (const RequestIdentity& identity : end.there) {
    objects(identity);
  }
  const absl::Time now = reactor::steadyNow();
  if (register_.noteEnd(end, now)) {
    core_.timers.schedule(now + forwarding::CrashRegister::kObjectionTime,
                          [this, is_own] { settle(is_own); });
  }
}

// All gateways come to it by the same evidence; the one that had its last piece writes it down.
void CrashExchange::settle(bool writes_record) {
  for (const RequestIdentity& identity : register_.settle(reactor::steadyNow())) {
    noteBlamed(identity, writes_record ? "own_evidence" : "peers_evidence");
    if (writes_record) {
      record_.write(identity);
    }
  }
}

void CrashExchange::takeSound(const RequestIdentity& identity, bool is_own) {
  if (!register_.noteServed(identity, reactor::steadyNow())) {
    return;
  }
  core_.log.event("request_cleared", reactor::steadyNow())
      .with("same_as", forwarding::printIdentity(identity));
  if (is_own) {
    sound_news_.insert(identity);
    scheduleTelling(reactor::steadyNow() + kGatherTime);
  }
}

void CrashExchange::takeBlamed(const forwarding::BlamedRequest& blamed) {
  if (!objects(blamed.identity) && register_.noteBlamed(blamed, reactor::steadyNow())) {
    noteBlamed(blamed.identity, "told");
  }
}

void CrashExchange::noteBlamed(const RequestIdentity& identity, std::string_view by) {
  core_.log.event("request_blamed", reactor::steadyNow())
      .with("same_as", forwarding::printIdentity(identity))
      .with("ends", static_cast<int64_t>(register_.endsUnder(identity)))
      .with("by", by);
}

bool CrashExchange::objects(const RequestIdentity& identity) {
  const bool was_served = register_.wasServed(identity, reactor::steadyNow());
  if (was_served) {
    sound_news_.insert(identity);
    scheduleTelling(reactor::steadyNow() + kGatherTime);
  }
  return was_served;
}

void CrashExchange::addNews(const ServerEnd& end) {
  const bool tells_much = std::any_of(end.there.begin(), end.there.end(), [this](const auto& identity) {
    return register_.endsUnder(identity) > 1;
  });
  const absl::Time due = reactor::steadyNow() + kGatherTime;
  constexpr size_t most = kCrashMessageRoom - kEndFrame;
  for (size_t begin = 0; begin < end.there.size(); begin += most) {
    const size_t size = std::min(most, end.there.size() - begin);
    const auto first = end.there.begin() + static_cast<ptrdiff_t>(begin);
    ServerEnd part{end.life, end.service, {first, first + static_cast<ptrdiff_t>(size)}};
    news_.push_back({std::move(part), reactor::steadyNow(), due, tells_much ? kRoundsOfTelling : 1});
  }
  while (news_.size() > kNewsAtMost) {
    news_.pop_front();
    core_.metrics.countUntoldEnd();
  }
  scheduleTelling(due);
}

void CrashExchange::scheduleTelling(absl::Time at) {
  if (at >= timer_at_) {
    return;  // the timer that is set comes first, and looks again
  }
  core_.timers.cancel(timer_);
  timer_at_ = at;
  timer_ = core_.timers.schedule(at, [this] {
    timer_at_ = absl::InfiniteFuture();
    tellNews();
  });
}

void CrashExchange::tellNews() {
  const absl::Time now = reactor::steadyNow();
  const double since = std::min(absl::ToDoubleSeconds(now - rounds_counted_), kRoundsAtOnce);
  rounds_left_ = std::min(kRoundsAtOnce, rounds_left_ + since * kRoundsASecond);
  rounds_counted_ = now;
  while (rounds_left_ >= 1) {
    const CrashMessage message = takeDue(now);
    if (message.isEmpty()) {
      break;
    }
    tellAll(message);
    rounds_left_ -= 1;
  }
  absl::Time next = sound_news_.empty() ? absl::InfiniteFuture() : now;
  for (const EndNews& news : news_) {
    next = std::min(next, news.due);
  }
  if (next != absl::InfiniteFuture()) {
    scheduleTelling(std::max(next, now + absl::Seconds(1 / kRoundsASecond)));
  }
}

CrashMessage CrashExchange::takeDue(absl::Time now) {
  CrashMessage message;
  size_t room = kCrashMessageRoom;
  while (room > 0 && !sound_news_.empty()) {
    message.sound.push_back(*sound_news_.begin());
    sound_news_.erase(sound_news_.begin());
    --room;
  }
  for (EndNews& news : news_) {
    const size_t size = kEndFrame + news.end.there.size();
    if (news.due <= now && size <= room) {
      message.ends.push_back(news.end);
      message.ends.back().ago = now - news.seen;
      room -= size;
      --news.rounds;
      news.due = now + kRoundPause;
    }
  }
  std::erase_if(news_, [](const EndNews& news) { return news.rounds == 0; });
  return message;
}

void CrashExchange::tellAll(const CrashMessage& message) {
  peers_.sendToAll(peer::PeerModule::kCrashes, encodeCrashMessage(message));
}

void CrashExchange::beat() {
  const absl::Time now = reactor::steadyNow();
  register_.forgetOld(now);
  readRecordOnce();
  tellSome();
  core_.timers.schedule(now + kBeat, [this] { beat(); });
}

// Two of the others, drawn at random, hear what a gateway must know that starts or comes back.
void CrashExchange::tellSome() {
  const auto& peers = directory_.peers();
  CrashMessage message;
  message.blamed = register_.blamed(kCrashMessageRoom / 2);
  const size_t room = (kCrashMessageRoom - message.blamed.size()) / (1 + kEndFrame);
  message.ends = register_.openEnds(room, reactor::steadyNow());
  if (message.isEmpty() || peers.empty()) {
    return;
  }
  const std::string bytes = encodeCrashMessage(message);
  for (size_t told = 0; told < kPeersABeat; ++told) {
    const auto drawn = absl::Uniform<size_t>(core_.random, 0, peers.size());
    peers_.sendTo(std::next(peers.begin(), static_cast<ptrdiff_t>(drawn))->first, peer::PeerModule::kCrashes,
                  bytes);
  }
}

void CrashExchange::readRecordOnce() {
  const bool begins = reads_store_() && !was_reading_;
  was_reading_ = was_reading_ || begins;
  if (begins) {
    // Whether a request that only the record knows was tried once more isn't known any longer.
    record_.read([this](const RequestIdentity& identity) {
      if (!register_.isBlamed(identity)) {
        takeBlamed({identity, true});
      }
    });
  }
}

}  // namespace quincewick::gateway
