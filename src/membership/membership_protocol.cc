#include "membership/membership_protocol.h"

#include <algorithm>
#include <utility>

namespace quincewick::membership {
namespace {

MemberRecord recordOf(const SelfDescription& self) {
  return {self.id, self.zone, self.region, self.address, self.incarnation, MemberState::kAlive};
}

}  // namespace

MembershipProtocol::MembershipProtocol(const MembershipSettings& settings, const SelfDescription& self,
                                       absl::Time now)
    : settings_(settings),
      table_(recordOf(self), settings.maximum_members, now),
      contacts_(self.zone),
      now_(now),
      next_tick_at_(now),
      next_probe_at_(now),
      next_exchange_at_(now),
      next_sync_at_(now),
      next_reconnect_at_(now),
      next_payload_at_(now),
      next_payload_refresh_at_(now + settings.payload_refresh_period),
      next_list_read_at_(now),
      list_retry_wait_(settings.list_retry_period),
      mismatch_since_(absl::InfinitePast()) {
  zone_news_.add(table_.self().record);
  remote_news_.add(table_.self().record);
}

std::vector<MembershipAction> MembershipProtocol::handle(const MembershipEvent& event, absl::Time now,
                                                         absl::BitGenRef random) {
  const absl::Duration gap = now - now_;
  now_ = std::max(now, now_);
  random_ = &random;
  actions_.clear();
  if (self().state != MemberState::kLeft) {
    if (gap > settings_.pause_threshold) {
      resumeAfterPause(gap);
    }
    std::visit([this](const auto& typed) { handleEvent(typed); }, event);
  }
  if (std::holds_alternative<Tick>(event)) {
    next_tick_at_ = now_ + settings_.tick_period;
  }
  random_ = nullptr;
  return std::move(actions_);
}

bool MembershipProtocol::isReachable(const ZoneName& zone) const {
  return contacts_.isReachable(zone);
}

bool MembershipProtocol::isUsable(const NodeId& id) const {
  const Member* member = find(id);
  return member != nullptr && member->isLive() && isReachable(member->record.zone);
}

// Events.

void MembershipProtocol::handleEvent(const Tick& /*event*/) {
  expireSuspicions();
  runProbes();
  callFailedMember();
  updateZoneReachability();
  exchangeWithZones();
  pushToZones();
  spreadNews();
  sendPayload();
  requestMachineList();
}

void MembershipProtocol::handleEvent(const MessageReceived& event) {
  Result<Message> decoded = decodeMessage(event.bytes);
  if (!decoded) {
    ++malformed_messages_;
    return;
  }
  Message& message = decoded.value();
  if (const auto* payload = std::get_if<PayloadUpdate>(&message.body)) {
    handlePayload(event.from, *payload);
    return;
  }
  if (message.sender.id != event.from || event.from == self().id) {
    ++malformed_messages_;
    return;
  }
  noteSender(message.sender);
  mergeBeats(message);
  for (const MemberRecord& update : message.updates) {
    mergeRecord(update);
  }
  std::visit([&](const auto& body) { handleBody(message, body); }, message.body);
  maybeSync(message);
}

void MembershipProtocol::handleEvent(const MachineListReceived& event) {
  for (const Machine& machine : event.list.machines) {
    const MemberRecord listed{NodeId(machine.id), machine.zone,   machine.region,
                              machine.address,    Incarnation(0), MemberState::kListed};
    if (machine.kind == MachineKind::kNode && !machine.leaving && listed.id != self().id &&
        isEncodable(listed)) {
      table_.noteListed(listed, now_);
    }
  }
  declareFailedInLostZones(event.list);
}

void MembershipProtocol::handleEvent(const LeaveRequested& /*event*/) {
  if (self().state == MemberState::kAlive) {
    declareSelf(MemberState::kLeaving);
  }
}

void MembershipProtocol::handleEvent(const LeaveFinished& /*event*/) {
  declareSelf(MemberState::kLeft);
}

void MembershipProtocol::handleEvent(const PayloadChanged& event) {
  const MemberPayload& known = table_.self().payload;
  if (event.bytes.size() > kMaximumPayloadSize || event.bytes == known.bytes) {
    return;
  }
  setPayload(event.bytes);
}

void MembershipProtocol::setPayload(const std::string& bytes) {
  const uint64_t sequence = table_.self().payload.sequence + 1;
  table_.mergePayload(self().id, {self().incarnation, sequence, bytes});
  payload_changed_ = true;
}

// Bodies of messages.

void MembershipProtocol::handleBody(const Message& message, const Probe& probe) {
  send(message.sender, ProbeAnswer{probe.sequence, probe.on_behalf_of});
}

void MembershipProtocol::handleBody(const Message& message, const ProbeAnswer& answer) {
  if (answer.on_behalf_of.empty()) {
    prober_.answer(answer.sequence, message.sender.id);
    return;
  }
  if (const Member* asker = find(answer.on_behalf_of)) {
    send(MemberRecord(asker->record), IndirectAnswer{answer.sequence, message.sender.id});
  }
}

void MembershipProtocol::handleBody(const Message& message, const IndirectProbe& request) {
  if (request.target.id != self().id) {
    send(request.target, Probe{request.sequence, message.sender.id});
  }
}

void MembershipProtocol::handleBody(const Message& /*message*/, const IndirectAnswer& answer) {
  prober_.answer(answer.sequence, answer.target);
}

void MembershipProtocol::handleBody(const Message& message, const Gossip& /*gossip*/) {
  correctSender(message.sender);
}

void MembershipProtocol::handleBody(const Message& message, const Exchange& /*exchange*/) {
  correctSender(message.sender);
}

void MembershipProtocol::handleBody(const Message& message, const ZoneDigests& digests) {
  const std::vector<ZoneName> zones = table_.zones();
  for (const ZoneName& zone : zones) {
    const auto theirs = std::find_if(digests.zones.begin(), digests.zones.end(),
                                     [&](const ZoneDigest& digest) { return digest.zone == zone; });
    const bool told = theirs != digests.zones.end();
    const uint64_t their_digest = told ? theirs->digest : 0;
    if ((told || digests.complete) && their_digest != table_.digest(zone)) {
      sendPages(message.sender, zone);
    }
  }
  for (const ZoneDigest& theirs : digests.zones) {
    if (!std::binary_search(zones.begin(), zones.end(), theirs.zone)) {
      send(message.sender, ZonePage{theirs.zone, NodeId(), NodeId()});
    }
  }
}

void MembershipProtocol::handleBody(const Message& message, const ZonePage& page) {
  std::vector<MemberRecord> news;
  for (const NodeId& id : table_.idsInZone(page.zone)) {
    const bool in_page = id > page.after && (page.up_to.empty() || id <= page.up_to);
    const Member& member = *find(id);
    if (!in_page || member.record.state == MemberState::kListed) {
      continue;
    }
    const auto theirs = std::find_if(message.updates.begin(), message.updates.end(),
                                     [&](const MemberRecord& record) { return record.id == id; });
    const bool unknown = theirs == message.updates.end();
    if (unknown ? member.isRunning() : supersedes(member.record, *theirs)) {
      news.push_back(member.record);
    }
  }
  sendAll(message.sender, std::move(news));
}

void MembershipProtocol::handlePayload(const NodeId& from, const PayloadUpdate& update) {
  const Member* member = find(from);
  if (member != nullptr && member->record.zone == self().zone && table_.mergePayload(from, update.payload)) {
    actions_.emplace_back(MemberPayloadChanged{from, update.payload});
  }
}

// Merging of claims.

void MembershipProtocol::noteSender(const MemberRecord& sender) {
  mergeRecord(sender);
  const Member* known = find(sender.id);
  const bool refutes_suspicion =
      known != nullptr && known->suspicion_pending && known->record.incarnation == sender.incarnation;
  if (refutes_suspicion) {
    table_.markSuspected(sender.id, now_);
  }
}

void MembershipProtocol::mergeRecord(MemberRecord record) {
  if (record.id == self().id) {
    refute(record);
    return;
  }
  const bool same_zone = record.zone == self().zone;
  if (!same_zone && record.state == MemberState::kSuspect) {
    record.state = MemberState::kAlive;
  }
  if (table_.merge(record, now_)) {
    announce(record);
  }
}

void MembershipProtocol::mergeBeats(const Message& message) {
  const bool same_zone = message.sender.zone == self().zone;
  for (const ZoneBeat& beat : message.beats) {
    if (same_zone || beat.zone == message.sender.zone || beat.zone == self().zone) {
      contacts_.note(beat, now_);
    }
  }
}

void MembershipProtocol::refute(const MemberRecord& claim) {
  if (!supersedes(claim, self())) {
    return;
  }
  MemberRecord corrected = self();
  corrected.incarnation = claim.incarnation.next();
  table_.replaceSelf(corrected, now_);
  announce(corrected);
  const MemberPayload& payload = table_.self().payload;
  if (payload.sequence != 0) {
    setPayload(std::string(payload.bytes));
  }
}

void MembershipProtocol::suspect(const MemberRecord& record) {
  const Member& member = *find(record.id);
  if (member.record.state == MemberState::kLeaving && !member.suspicion_pending) {
    table_.markSuspected(record.id, now_);
  }
  if (member.record.state != MemberState::kAlive) {
    return;
  }
  MemberRecord suspected = record;
  suspected.state = MemberState::kSuspect;
  mergeRecord(suspected);
  send(suspected, Probe{});  // carries the claim, so that the suspect can refute it
}

void MembershipProtocol::declareSelf(MemberState state) {
  MemberRecord record = self();
  record.state = state;
  table_.replaceSelf(record, now_);
  announce(record);
  const std::vector<NodeId> ids = table_.idsInZone(self().zone);
  for (const NodeId& id : ids) {
    const Member& member = *find(id);
    if (id != self().id && member.isRunning()) {
      send(MemberRecord(member.record), Gossip{});
    }
  }
  pushToZones();
}

void MembershipProtocol::announce(const MemberRecord& record) {
  actions_.emplace_back(MemberChanged{record});
  zone_news_.add(record);
  if (record.zone == self().zone && record.state != MemberState::kSuspect) {
    remote_news_.add(record);
  }
}

void MembershipProtocol::declareFailedInLostZones(const MachineList& list) {
  std::vector<NodeId> listed;
  for (const Machine& machine : list.machines) {
    listed.emplace_back(machine.id);
  }
  std::sort(listed.begin(), listed.end());
  std::vector<MemberRecord> lost;
  for (const auto& [id, member] : table_.members()) {
    const bool zone_lost = !isReachable(member.record.zone) &&
                           now_ - contacts_.heardAt(member.record.zone) > settings_.lost_zone_lifetime;
    if (zone_lost && member.isRunning() && now_ - member.changed_at > settings_.lost_zone_lifetime &&
        !std::binary_search(listed.begin(), listed.end(), id)) {
      lost.push_back(member.record);
    }
  }
  for (MemberRecord& record : lost) {
    record.state = MemberState::kFailed;
    mergeRecord(record);
  }
}

void MembershipProtocol::maybeSync(const Message& message) {
  const bool same_zone = message.sender.zone == self().zone;
  if (message.view_digest == table_.viewDigest()) {
    if (same_zone) {
      mismatch_since_ = absl::InfiniteFuture();
    }
    return;
  }
  if (same_zone) {
    mismatch_since_ = std::min(mismatch_since_, now_);
  }
  // In the zone, news on its way explains a short mismatch.
  const bool patient = same_zone && now_ - mismatch_since_ < settings_.sync_patience;
  if (patient || now_ < next_sync_at_) {
    return;
  }
  next_sync_at_ = now_ + jittered(settings_.sync_period);
  send(message.sender, chosenZoneDigests());
}

}  // namespace quincewick::membership
