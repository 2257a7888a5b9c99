// Runs the action ledger of a node: its thread, its clock, its calls to the platform, its dispatches.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "ledger/action_ledger.h"
#include "node/membership_host.h"
#include "node/worker_pool.h"
#include "platform/call_pool.h"

namespace quincewick::node {

// How the sending of one action ended.
struct DispatchOutcome {
  ledger::DispatchResult result = ledger::DispatchResult::kUncertain;
  std::string outcome;  // of kDone: what repeats are given
};

// What the host needs of the node. `send` is called without its lock held; it must not block.
struct LedgerHooks {
  std::function<void(const NodeId& to, std::string bytes)> send;
};

// The answer to a submission.
struct LedgerAnswer {
  ledger::ActionAnswer answer;
  bool dispatched = false;  // this very submission ran it
};

// Thread-safe.
class LedgerHost {
 public:
  using Dispatch = std::function<DispatchOutcome()>;

  // `self.incarnation` is the number of the process's life. `platform` must outlive the host.
  LedgerHost(const ledger::Member& self, platform::Platform& platform, LedgerHooks hooks);
  // Nobody may be waiting in submit() any more.
  ~LedgerHost();
  LedgerHost(const LedgerHost&) = delete;
  LedgerHost& operator=(const LedgerHost&) = delete;

  void receive(const NodeId& from, const std::string& bytes);
  void setPeers(const std::vector<MemberView>& members);

  // Claims the key and runs `dispatch` at most once, on a worker thread; waits for the answer.
  LedgerAnswer submit(const ledger::ActionKey& key, const ledger::BodyHash& body, Dispatch dispatch);

  // Whether this node votes in the current view.
  bool voting();

 private:
  // A caller that waits in submit().
  struct Waiting {
    Dispatch dispatch;
    bool dispatched = false;
    std::optional<ledger::ActionAnswer> answer;
    bool isAnswered() const { return answer.has_value(); }
  };

  void feed(const ledger::LedgerEvent& event);
  void perform(std::vector<ledger::LedgerAction> actions);
  void startDispatch(const ledger::DispatchAction& action);
  void deliverAnswer(ledger::AnswerAction action);
  void tickUntilStopped();

  const LedgerHooks hooks_;
  absl::Mutex mutex_;
  ledger::ActionLedger ledger_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  absl::btree_map<ledger::SubmissionId, Waiting*> waiting_ ABSL_GUARDED_BY(mutex_);  // owned by submit()
  ledger::SubmissionId last_submission_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  platform::CallPool calls_;
  WorkerPool dispatchers_;
  std::thread ticker_;
};

}  // namespace quincewick::node
