// Which nodes there are, and which of them live: SWIM-like probes inside a zone, delegates between zones.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/prober.h"
#include "membership/settings.h"
#include "membership/update_queue.h"
#include "membership/zone_contacts.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::membership {

// Events.

// Time has passed; due at nextWakeup() or soon after.
struct Tick {};
// A datagram whose sender the envelope has authenticated.
struct MessageReceived {
  NodeId from;
  std::string bytes;
};
// The platform's list, as asked for by ReadMachineList, or seeds from the settings.
struct MachineListReceived {
  MachineList list;
};
// A planned stop begins: others must send nothing new.
struct LeaveRequested {};
// The planned stop is over; nothing is sent after this.
struct LeaveFinished {};
// This node's own payload changed. Longer than kMaximumPayloadSize: ignored.
struct PayloadChanged {
  std::string bytes;
};

using MembershipEvent =
    std::variant<Tick, MessageReceived, MachineListReceived, LeaveRequested, LeaveFinished, PayloadChanged>;

// Actions.

// Send a datagram; loss is allowed.
struct SendToPeer {
  NodeId to;
  Address address;
  std::string bytes;
};
// A member's record changed, or it is new; also for this node itself.
struct MemberChanged {
  MemberRecord record;
};
// A zone could not be reached for a while, or can be again.
struct ZoneReachabilityChanged {
  ZoneName zone;
  bool reachable = false;
};
// A member of the zone has a new payload.
struct MemberPayloadChanged {
  NodeId id;
  MemberPayload payload;
};
// Read the platform's list and hand it in; a failed read needs no event.
struct ReadMachineList {};

using MembershipAction =
    std::variant<SendToPeer, MemberChanged, ZoneReachabilityChanged, MemberPayloadChanged, ReadMachineList>;

// What a node knows of itself when it starts. `incarnation` must be greater than at its earlier starts
// (milliseconds of the clock do); if it isn't, the node corrects it by what its peers remember.
struct SelfDescription {
  NodeId id;
  ZoneName zone;
  RegionName region;
  Address address;
  Incarnation incarnation;
};

// One node's part of the protocol. Pure: neither I/O nor clock nor thread; the owner serialises the calls.
class MembershipProtocol {
 public:
  MembershipProtocol(const MembershipSettings& settings, const SelfDescription& self, absl::Time now);

  // Takes one event and returns what is to be done, in order. `now` doesn't go back.
  std::vector<MembershipAction> handle(const MembershipEvent& event, absl::Time now, absl::BitGenRef random);

  // When the next Tick is due.
  absl::Time nextWakeup() const { return next_tick_at_; }

  // All members by id, with this node and with those that failed or left not long ago.
  const absl::btree_map<NodeId, Member>& members() const { return table_.members(); }
  // The member of that id, or nothing.
  const Member* find(const NodeId& id) const { return table_.find(id); }
  // This node's own record.
  const MemberRecord& self() const { return table_.self().record; }
  // True for the own zone and for zones heard of lately.
  bool isReachable(const ZoneName& zone) const;
  // True when the member is alive (or only suspected) and its zone can be reached: it may be sent work.
  bool isUsable(const NodeId& id) const;
  // Messages dropped because they were malformed or claimed another sender.
  uint64_t malformedMessages() const { return malformed_messages_; }
  // True when this node now talks to other zones on behalf of its own.
  bool isDelegate() const { return table_.isDelegate(self().id, settings_.delegates); }

 private:
  void handleEvent(const Tick& event);
  void handleEvent(const MessageReceived& event);
  void handleEvent(const MachineListReceived& event);
  void handleEvent(const LeaveRequested& event);
  void handleEvent(const LeaveFinished& event);
  void handleEvent(const PayloadChanged& event);

  void handleBody(const Message& message, const Probe& probe);
  void handleBody(const Message& message, const ProbeAnswer& answer);
  void handleBody(const Message& message, const IndirectProbe& request);
  void handleBody(const Message& message, const IndirectAnswer& answer);
  void handleBody(const Message& message, const Gossip& gossip);
  void handleBody(const Message& message, const Exchange& exchange);
  void handleBody(const Message& message, const ZoneDigests& digests);
  void handleBody(const Message& message, const ZonePage& page);
  // A PayloadUpdate is taken before any other body is looked at.
  void handleBody(const Message& /*message*/, const PayloadUpdate& /*update*/) {}
  void handlePayload(const NodeId& from, const PayloadUpdate& update);

  // Parts of a tick.
  void resumeAfterPause(absl::Duration gap);
  void runProbes();
  void startProbe();
  void askIndirectly(const OutstandingProbe& probe);
  void expireSuspicions();
  void callFailedMember();
  void exchangeWithZones();
  void spreadNews();
  void pushToZones();
  void sendPayload();
  void requestMachineList();
  void updateZoneReachability();
  void expireMembers();

  // Merging of claims.
  void noteSender(const MemberRecord& sender);
  void mergeRecord(MemberRecord record);
  void mergeBeats(const Message& message);
  void setPayload(const std::string& bytes);
  void refute(const MemberRecord& claim);
  void suspect(const MemberRecord& record);
  void declareSelf(MemberState state);
  void announce(const MemberRecord& record);
  void declareFailedInLostZones(const MachineList& list);
  void maybeSync(const Message& message);

  // Sending.
  void send(const MemberRecord& to, MessageBody body, std::vector<MemberRecord> updates = {});
  void sendPages(const MemberRecord& to, const ZoneName& zone);
  void sendAll(const MemberRecord& to, std::vector<MemberRecord> records);
  void correctSender(const MemberRecord& sender);
  Message makeMessage(const MemberRecord& to, MessageBody body) const;
  void fillBeats(Message& message, const ZoneName& receiver_zone) const;
  ZoneDigests chosenZoneDigests() const;

  // Choices.
  std::optional<MemberRecord> chooseContact(const ZoneName& zone);
  std::vector<NodeId> chooseRunning(uint32_t count, const NodeId& except = NodeId());
  std::vector<NodeId> runningPeers() const;
  bool isAlone() const;
  bool isIsolated() const;
  absl::Duration suspicionTimeout() const;
  uint32_t transmissionLimit() const;
  // A time between half and one and a half of the period.
  absl::Duration jittered(absl::Duration period);

  MembershipSettings settings_;
  MemberTable table_;
  Prober prober_;
  RoundRobin gossip_round_;
  UpdateQueue zone_news_;
  UpdateQueue remote_news_;
  ZoneContacts contacts_;

  // Valid during handle() only.
  absl::Time now_;
  absl::BitGenRef* random_ = nullptr;
  std::vector<MembershipAction> actions_;

  absl::Time next_tick_at_;
  absl::Time next_probe_at_;
  absl::Time next_exchange_at_;
  absl::Time next_sync_at_;
  absl::Time next_reconnect_at_;
  absl::Time next_payload_at_;
  absl::Time next_payload_refresh_at_;
  absl::Time next_list_read_at_;
  absl::Duration list_retry_wait_;
  absl::Time mismatch_since_;  // since when no peer of the zone had the same view; infinite future: it has
  uint64_t malformed_messages_ = 0;
  bool payload_changed_ = false;
  uint32_t exchange_round_ = 0;
};

}  // namespace quincewick::membership
