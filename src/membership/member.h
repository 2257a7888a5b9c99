// What every node knows of every other node.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::membership {

// The life cycle of a node as others see it. Of two claims with the same incarnation the greater state wins;
// a greater incarnation beats any state.
enum class MemberState : uint8_t {
  kListed,   // named by the platform's list, never heard of otherwise; it may be long dead
  kAlive,    // it answers
  kSuspect,  // it missed a probe and has not yet refuted; still to be treated as alive
  kLeaving,  // it finishes what it has and takes nothing new
  kFailed,   // it missed its probes and did not refute in time
  kLeft,     // it stopped as planned
};

// Returns "listed", "alive", "suspect", "leaving", "failed" or "left", for logs and operators.
std::string_view memberStateName(MemberState state);

// One claim about one node; the unit of dissemination.
struct MemberRecord {
  NodeId id;
  ZoneName zone;
  RegionName region;
  Address address;          // where it takes peer datagrams
  Incarnation incarnation;  // raised by the node itself: at each start and to refute a false claim
  MemberState state = MemberState::kListed;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// True when `candidate` is news to somebody who holds `known` about the same node.
bool supersedes(const MemberRecord& candidate, const MemberRecord& known);

// A few bytes that a node spreads in its zone, such as a digest of its engines' load. Opaque here.
struct MemberPayload {
  Incarnation incarnation;  // the owner's when it set the payload
  uint64_t sequence = 0;    // rises with each change within one incarnation; 0: none yet
  std::string bytes;        // at most kMaximumPayloadSize

  // True when this payload is to replace `other`, of the same member.
  bool isNewerThan(const MemberPayload& other) const {
    return std::tie(incarnation, sequence) > std::tie(other.incarnation, other.sequence);
  }
  friend bool operator==(const MemberPayload&, const MemberPayload&) = default;
};

// The greatest payload of a member, in bytes.
inline constexpr size_t kMaximumPayloadSize = 64;

// A node as this node sees it.
struct Member {
  MemberRecord record;
  MemberPayload payload;           // only of nodes in the own zone
  absl::Time changed_at;           // when this node took in the record's state
  absl::Time suspected_at;         // when suspicion began or was last put off; set while it lasts
  bool suspicion_pending = false;  // the record is kSuspect, or a leaving node misses its probes
  uint64_t delegate_rank = 0;      // rendezvous weight; the greatest of a zone are its delegates

  // True when the node answers as far as its own zone knows. Whether its zone can be reached from here is
  // asked of MembershipProtocol::isReachable().
  bool isLive() const { return record.state == MemberState::kAlive || record.state == MemberState::kSuspect; }
  // True when the node still runs, be it about to leave.
  bool isRunning() const { return isLive() || record.state == MemberState::kLeaving; }
  // True when the record is final for its incarnation.
  bool isGone() const { return record.state == MemberState::kFailed || record.state == MemberState::kLeft; }
};

}  // namespace quincewick::membership
