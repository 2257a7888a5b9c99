// What a node's ledger is told, and what it asks for.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ledger/messages.h"
#include "types/platform.h"

namespace quincewick::ledger {

// The node's own number for a caller's request; unique in this life of the node.
using SubmissionId = StrongNumber<struct SubmissionIdTag>;

// A caller asks for an action.
struct SubmitAction {
  SubmissionId submission;
  ActionKey key;
  BodyHash body;
};

// How a dispatch ended.
enum class DispatchResult : uint8_t {
  kDone,       // the action server answered that it ran; the outcome is its answer
  kNotSent,    // certainly no byte left for any action server
  kUncertain,  // anything else
};

struct DispatchFinished {
  ClaimId claim;
  DispatchResult result = DispatchResult::kUncertain;
  std::string outcome;
};

struct PeerMessage {
  NodeId from;
  Message message;
};

// What membership knows of another node.
struct PeerState {
  NodeId node;
  Incarnation incarnation;  // the newest known
  ZoneName zone;
  bool reachable = false;
  bool leaving = false;  // takes no new duties
  bool gone = false;     // the platform's list no longer has it: it can't run any more
};

// Replaces all that was known of other nodes.
struct PeersChanged {
  std::vector<PeerState> peers;
};

// Feed about every 50 ms.
struct Tick {};

using LedgerEvent =
    std::variant<SubmitAction, DispatchFinished, PeerMessage, PeersChanged, PlatformReply, Tick>;

struct SendToPeer {
  NodeId to;
  Message message;
};

// Send the action to one action server, at most once. Report DispatchFinished.
struct DispatchAction {
  ClaimId claim;
  SubmissionId submission;
  ActionKey key;
};

enum class AnswerStatus : uint8_t {
  kDone,         // it ran, now or before; the outcome is attached unless it was too long to keep
  kInProgress,   // another submission of the key is being carried out
  kUnknown,      // it may have run and won't be run again
  kConflict,     // the key was used with another body
  kNotRun,       // it was not run; the caller may send it again
  kUnavailable,  // this submission was not run, but nothing is known of earlier ones; send it again
  kFull,         // as kUnavailable; the ledger has no room for another key
  kInvalidKey,   // the key is dated in the future
};

struct ActionAnswer {
  AnswerStatus status = AnswerStatus::kUnavailable;
  std::string outcome;  // of kDone
  // Whether the action ran under this key in any submission. kNotRun is said only when that is certain.
  Execution execution = Execution::kUnknown;
  absl::Duration retry_after = absl::ZeroDuration();  // when a repeat is worth while
};

struct AnswerAction {
  SubmissionId submission;
  ActionAnswer answer;
};

using LedgerAction = std::variant<SendToPeer, PlatformCall, DispatchAction, AnswerAction>;

struct LedgerOptions {
  std::string group = "main";  // names the view record in the table; one ledger for each group
  size_t group_size = 3;       // members of the view; odd
  absl::Duration retention = absl::Hours(24);
  uint64_t maximum_record_bytes = 32 * uint64_t{1024} * 1024;
  uint64_t maximum_outcome_bytes = 4096;
  size_t maximum_claims = 4096;                     // of this node, not yet settled
  absl::Duration claim_timeout = absl::Seconds(1);  // a claim without a majority by then is given up
  absl::Duration resend_interval = absl::Milliseconds(100);
  absl::Duration settle_patience =
      absl::Milliseconds(250);                        // the caller waits so long for the outcome's copies
  absl::Duration settle_timeout = absl::Minutes(10);  // after that the outcome's copies are given up
  absl::Duration journal_timeout = absl::Milliseconds(800);   // for an undated key's entry in the journal
  absl::Duration journal_patience = absl::Milliseconds(100);  // as before, where the entry isn't required
  absl::Duration journal_promise =
      absl::Seconds(15);                           // how long a promise holds; renewed after a third of it
  absl::Duration member_grace = absl::Seconds(5);  // a member is replaced after this time out of reach
  absl::Duration takeover_patience = absl::Seconds(2);  // for a late member whose records make a view whole
  absl::Duration founding_delay = absl::Milliseconds(300);
  absl::Duration proposal_stagger = absl::Seconds(1);    // between the nodes that might propose a view
  absl::Duration clock_error = absl::Milliseconds(250);  // of any node's clock
  absl::Duration maximum_date_ahead = absl::Seconds(1);  // of a key's date before the node's clock
  // A message that came late can reach no claim older than this: claim_timeout and a margin.
  absl::Duration release_delay = absl::Seconds(3);
};

}  // namespace quincewick::ledger
