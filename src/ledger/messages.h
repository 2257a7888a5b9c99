// What nodes say to each other about actions, and the records that they keep of them.
#pragma once

#include <absl/time/time.h>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "types/block_key.h"
#include "types/cereal_time.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::ledger {

// XXH3-128 of an action's kind and body.
using BodyHash = BlockKey;

// Names an action: keys of different tenants never meet.
struct ActionKey {
  TenantId tenant;
  IdempotencyKey key;

  friend bool operator==(const ActionKey&, const ActionKey&) = default;
  friend auto operator<=>(const ActionKey&, const ActionKey&) = default;  // NOLINT
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, key);
  }
};

// One submission's right to dispatch. Never used twice: a repeat makes a claim of its own.
struct ClaimId {
  NodeId node;  // the only one that may dispatch
  Incarnation incarnation;
  uint64_t sequence = 0;

  friend bool operator==(const ClaimId&, const ClaimId&) = default;
  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;  // NOLINT
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, sequence);
  }
};

enum class RecordState : uint8_t {
  kClaimed,    // its owner may dispatch or has done so
  kDone,       // it ran; the outcome is kept
  kUnknown,    // it may have run and is never run again
  kReleased,   // it was not run and will not be under this claim; a new claim may follow after a while
  kWithdrawn,  // as kReleased, but the claim never had a majority: a new claim may follow at once
};

// What a member remembers of an action.
struct ActionRecord {
  ActionKey key;
  BodyHash body;
  ClaimId owner;
  RecordState state = RecordState::kClaimed;
  std::string outcome;    // of kDone; empty when it was too long to keep or there was no room
  absl::Time changed_at;  // by the clock of the member that changed it

  friend bool operator==(const ActionRecord&, const ActionRecord&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, body, owner, state, outcome, changed_at);
  }
};

// A node's memory in one of its lives. A later life remembers nothing and is another member.
struct Member {
  NodeId node;
  Incarnation incarnation;
  ZoneName zone;

  friend bool operator==(const Member&, const Member&) = default;
  friend auto operator<=>(const Member&, const Member&) = default;  // NOLINT
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, zone);
  }
};

// The members that vote on claims, from one change of the table's record to the next.
struct View {
  Epoch epoch;
  std::vector<Member> members;

  // Votes that make a claim.
  size_t majority() const { return members.size() / 2 + 1; }
  // Members that must be stopped so that no majority can vote any more; also the members of which at least
  // one was in any majority.
  size_t fence() const { return members.size() - majority() + 1; }
  // The node's place in the view, or nothing.
  const Member* find(const NodeId& node) const {
    for (const Member& member : members) {
      if (member.node == node) {
        return &member;
      }
    }
    return nullptr;
  }

  friend bool operator==(const View&, const View&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, members);
  }
};

// The table's record: the view in force, and the earlier ones from which its members must still take over.
struct ViewRecord {
  View view;
  std::vector<View> predecessors;  // newest first
  // Until then every undated key is claimed in the journal, too, or not at all.
  absl::Time journal_promise = absl::UnixEpoch();
  // Undated keys claimed up to here may be missing from the journal.
  absl::Time journal_gap = absl::UnixEpoch();
  OperationId operation;  // recognises the write after a lost answer

  friend bool operator==(const ViewRecord&, const ViewRecord&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(view, predecessors, journal_promise, journal_gap, operation);
  }
};

// Asks a member to vote for a claim. Repeated until answered; the same claim gets the same vote.
struct ClaimRequest {
  Epoch epoch;
  ClaimId claim;
  ActionKey key;
  BodyHash body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, claim, key, body);
  }
};

enum class Verdict : uint8_t {
  kGranted,    // the member holds the record for this claim
  kTaken,      // another claim holds the key; its record is attached
  kForgotten,  // the member may have lost a record of the key
  kFull,       // no room for another record
  kWrongView,  // the member does not vote in this epoch
  kDateAhead,  // the key is dated in the future
};

struct ClaimReply {
  Epoch epoch;
  ClaimId claim;
  Incarnation incarnation;  // of the member
  Verdict verdict = Verdict::kWrongView;
  bool journal_required = false;  // of kGranted: not to be dispatched without an entry in the journal
  absl::Time forgotten_before =
      absl::UnixEpoch();  // of kGranted: older entries of the journal count, later ones are void
  std::optional<ActionRecord> record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, claim, incarnation, verdict, journal_required, forgotten_before, record);
  }
};

// Says how a claim ended (never kClaimed). Repeated until a majority has it.
struct CompleteRequest {
  Epoch epoch;
  ActionRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, record);
  }
};

struct CompleteReply {
  Epoch epoch;
  ClaimId claim;
  Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, claim, incarnation);
  }
};

// Asks for the view record if it is newer than the asker's.
struct ViewQuery {
  Epoch known;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

struct ViewAnnounce {
  ViewRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

// Asks a member of `view` to vote no more in it, nor in any before `new_epoch`, and to hand over its records.
struct TakeoverRequest {
  Epoch new_epoch;
  Epoch view;
  std::optional<ActionKey> after;  // the last record received

  template <class Archive>
  void serialize(Archive& archive) {
    archive(new_epoch, view, after);
  }
};

struct TakeoverReply {
  Epoch new_epoch;
  Epoch view;
  Incarnation incarnation;                          // unlike the member's in the view: that life is over
  bool holds_predecessors = false;                  // it had taken over all that came before its view
  absl::Time forgotten_before = absl::UnixEpoch();  // keys dated up to here may have been forgotten
  absl::Time undated_forgotten_until = absl::UnixEpoch();  // until then undated keys may have been forgotten
  absl::Time journal_binding_until = absl::UnixEpoch();    // until then undated keys need the journal
  absl::Time journal_promise = absl::UnixEpoch();          // as far as the member knows
  std::optional<ActionKey> after;                          // as asked
  std::vector<ActionRecord> records;                       // in key order
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(new_epoch, view, incarnation, holds_predecessors, forgotten_before, undated_forgotten_until,
            journal_binding_until, journal_promise, after, records, last);
  }
};

// Tells a member that the journal is about to be promised complete until then.
struct PromiseRequest {
  Epoch epoch;
  absl::Time until;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, until);
  }
};

struct PromiseReply {
  Epoch epoch;
  absl::Time until;
  Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, until, incarnation);
  }
};

using Message = std::variant<ClaimRequest, ClaimReply, CompleteRequest, CompleteReply, ViewQuery,
                             ViewAnnounce, TakeoverRequest, TakeoverReply, PromiseRequest, PromiseReply>;

// No message is longer; a longer datagram is refused unread.
inline constexpr size_t kMaximumMessageBytes = 60 * size_t{1024};

std::string encode(const Message& message);
// An error for anything malformed, truncated, too long or with bytes left over.
Result<Message> decode(std::string_view bytes);

std::string encodeViewRecord(const ViewRecord& record);
Result<ViewRecord> decodeViewRecord(std::string_view bytes);

// An entry of the journal is a record.
std::string encodeActionRecord(const ActionRecord& record);
Result<ActionRecord> decodeActionRecord(std::string_view bytes);

}  // namespace quincewick::ledger
