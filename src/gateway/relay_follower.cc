#include "gateway/relay_follower.h"

#include <utility>

#include "gateway/relay_messages.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kAnswerLimit = absl::Milliseconds(700);  // beyond the wait
// The same for all rows, which a whole zone may be waiting for.
constexpr absl::Duration kWholeAnswerLimit = absl::Seconds(4);
constexpr int kOk = 200;

}  // namespace

void RelayFollower::follow(const NodeId& peer, const Address& address, uint64_t after) {
  stop();
  peer_ = peer;
  after_ = after;
  readings_ = 0;
  caller_ = std::make_unique<reactor::HttpClient>(core_.reactor, core_.timers, address);
  ask();
}

void RelayFollower::stop() {
  ++turn_;
  if (caller_ == nullptr) {
    return;
  }
  // It may be in the middle of its answer: it goes once the reactor is back.
  core_.timers.schedule(reactor::steadyNow(),
                        [caller = std::shared_ptr<reactor::HttpClient>(std::move(caller_))] {});
}

void RelayFollower::ask() {
  peer::Authenticator* const authenticator = peers_.authenticator();
  if (authenticator == nullptr) {
    giveUp();
    return;
  }
  const absl::Time now = reactor::steadyNow();
  const RelayQuestion question{table_, after_, readings_, wait_};
  auto sealed = authenticator->seal(peer::Channel::kRequest, peer_, peer::PeerModule::kRouting,
                                    encodeRelayQuestion(question));
  HttpCall call{"POST", kPackedPath, {}, std::move(sealed.bytes)};
  caller_->call(
      std::move(call), wait_ + (after_ == 0 ? kWholeAnswerLimit : kAnswerLimit),
      [this, now, turn = turn_, sequence = sealed.sequence](const Result<reactor::HttpResponse>& reply) {
        if (turn == turn_) {
          takeAnswer(reply, sequence, now);
        }
      });
}

void RelayFollower::takeAnswer(const Result<reactor::HttpResponse>& reply, Sequence sequence,
                               absl::Time asked) {
  if (reply.has_error() || reply.value().head.status != kOk) {
    giveUp();
    return;
  }
  const auto envelope = peers_.authenticator()->open(peer::Channel::kResponse, reply.value().body, sequence);
  if (envelope.has_error() || envelope.value().sender != peer_) {
    giveUp();
    return;
  }
  auto answer = decodeEitherAnswer(envelope.value().payload);
  if (answer.has_error()) {
    giveUp();
    return;
  }
  after_ = std::max(after_, answer.value().version);
  readings_ = answer.value().readings;
  forwarding::TableNews news;
  news.rows = std::move(answer.value().rows);
  news.is_whole = answer.value().is_whole;
  news.version = answer.value().version;
  // The question came after it was asked, so the answer was made then or later.
  const absl::Time made = asked + answer.value().held_for;
  news.confirmed = made - answer.value().confirmed_ago;
  news.as_of = made - answer.value().as_of_ago;
  const uint64_t turn = turn_;
  news_(news);
  if (turn == turn_) {
    ask();
  }
}

void RelayFollower::giveUp() {
  const NodeId peer = peer_;
  stop();
  failed_(peer);
}

}  // namespace quincewick::gateway
