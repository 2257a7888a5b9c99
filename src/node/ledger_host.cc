#include "node/ledger_host.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <utility>
#include <variant>

#include "node/process_life.h"

namespace quincewick::node {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr size_t kCallThreads = 4;
constexpr size_t kDispatchThreads = 128;

ledger::PeerState peerState(const MemberView& member) {
  ledger::PeerState state;
  state.node = member.record.id;
  state.incarnation = lifeOf(member.record.incarnation);
  state.zone = member.record.zone;
  state.reachable = member.usable;
  state.leaving = member.record.state == membership::MemberState::kLeaving;
  // A node that only failed to answer may still run: none but its own word counts.
  state.gone = member.record.state == membership::MemberState::kLeft;
  return state;
}

}  // namespace

LedgerHost::LedgerHost(const ledger::Member& self, platform::Platform& platform, LedgerHooks hooks)
    : hooks_(std::move(hooks)),
      ledger_(self, ledger::LedgerOptions()),
      random_(std::random_device{}()),
      calls_(platform, kCallThreads),
      dispatchers_(kDispatchThreads),
      ticker_([this] { tickUntilStopped(); }) {}

LedgerHost::~LedgerHost() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  ticker_.join();
}

void LedgerHost::receive(const NodeId& from, const std::string& bytes) {
  Result<ledger::Message> message = ledger::decode(bytes);
  if (message.has_value()) {
    feed(ledger::PeerMessage{from, std::move(message).value()});
  }
}

void LedgerHost::setPeers(const std::vector<MemberView>& members) {
  ledger::PeersChanged changed;
  for (const MemberView& member : members) {
    changed.peers.push_back(peerState(member));
  }
  feed(changed);
}

bool LedgerHost::voting() {
  absl::MutexLock lock(&mutex_);
  return ledger_.voting();
}

LedgerAnswer LedgerHost::submit(const ledger::ActionKey& key, const ledger::BodyHash& body,
                                Dispatch dispatch) {
  Waiting waiting;
  waiting.dispatch = std::move(dispatch);
  ledger::SubmissionId submission;
  {
    absl::MutexLock lock(&mutex_);
    last_submission_ = last_submission_.next();
    submission = last_submission_;
    waiting_.emplace(submission, &waiting);
  }
  feed(ledger::SubmitAction{submission, key, body});
  absl::MutexLock lock(&mutex_);
  mutex_.Await(absl::Condition(&waiting, &Waiting::isAnswered));
  waiting_.erase(submission);
  return LedgerAnswer{*std::move(waiting.answer), waiting.dispatched};
}

void LedgerHost::feed(const ledger::LedgerEvent& event) {
  std::vector<ledger::LedgerAction> actions;
  {
    absl::MutexLock lock(&mutex_);
    actions = ledger_.handle(event, absl::Now(), random_);
  }
  perform(std::move(actions));
}

void LedgerHost::perform(std::vector<ledger::LedgerAction> actions) {
  for (ledger::LedgerAction& action : actions) {
    if (const auto* send = std::get_if<ledger::SendToPeer>(&action)) {
      hooks_.send(send->to, ledger::encode(send->message));
    } else if (auto* call = std::get_if<PlatformCall>(&action)) {
      calls_.call(std::move(call->request), [this, id = call->id](PlatformResult result) {
        feed(PlatformReply{id, std::move(result)});
      });
    } else if (const auto* dispatch = std::get_if<ledger::DispatchAction>(&action)) {
      startDispatch(*dispatch);
    } else {
      deliverAnswer(std::get<ledger::AnswerAction>(std::move(action)));
    }
  }
}

void LedgerHost::startDispatch(const ledger::DispatchAction& action) {
  Dispatch dispatch;
  {
    absl::MutexLock lock(&mutex_);
    const auto waiting = waiting_.find(action.submission);
    if (waiting != waiting_.end()) {
      dispatch = std::move(waiting->second->dispatch);
      waiting->second->dispatched = true;
    }
  }
  dispatchers_.submit([this, claim = action.claim, dispatch = std::move(dispatch)] {
    DispatchOutcome outcome{ledger::DispatchResult::kNotSent, ""};
    if (dispatch != nullptr) {
      outcome = dispatch();
    }
    feed(ledger::DispatchFinished{claim, outcome.result, std::move(outcome.outcome)});
  });
}

void LedgerHost::deliverAnswer(ledger::AnswerAction action) {
  absl::MutexLock lock(&mutex_);
  const auto waiting = waiting_.find(action.submission);
  if (waiting != waiting_.end()) {
    waiting->second->answer = std::move(action.answer);
  }
}

void LedgerHost::tickUntilStopped() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), kTickInterval)) {
        return;
      }
    }
    feed(ledger::Tick{});
  }
}

}  // namespace quincewick::node
