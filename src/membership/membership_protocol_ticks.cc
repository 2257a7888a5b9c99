// The parts of MembershipProtocol that run by the clock.
#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

#include "membership/membership_protocol.h"

namespace quincewick::membership {
namespace {

// Probes a period while no other member of the zone is known to live.
constexpr uint32_t kProbesWhileAlone = 3;
// A member that was paused itself calls this many others to learn how they see it.
constexpr uint32_t kCallsAfterPause = 3;
// Each piece of news of the own zone is pushed this often to each other zone by each delegate.
constexpr uint32_t kRemotePushes = 2;

// Moves a periodic deadline on; after a long gap it starts anew from now.
absl::Time advanced(absl::Time deadline, absl::Duration period, absl::Time now) {
  return std::max(deadline + period, now);
}

}  // namespace

void MembershipProtocol::resumeAfterPause(absl::Duration gap) {
  prober_.clear();
  contacts_.forgive(gap);
  const std::vector<NodeId> ids = table_.idsInZone(self().zone);
  for (const NodeId& id : ids) {
    if (find(id)->suspicion_pending) {
      table_.markSuspected(id, now_);
    }
  }
  mismatch_since_ = absl::InfinitePast();
  for (const NodeId& id : chooseRunning(kCallsAfterPause)) {
    send(MemberRecord(find(id)->record), Probe{});
  }
}

void MembershipProtocol::runProbes() {
  for (const OutstandingProbe& probe : prober_.takeExpired(now_, settings_.probe_timeout)) {
    if (const Member* member = find(probe.target)) {
      suspect(MemberRecord(member->record));
    }
  }
  for (const OutstandingProbe& probe : prober_.takeOverdue(now_, settings_.direct_probe_timeout)) {
    askIndirectly(probe);
  }
  if (now_ < next_probe_at_) {
    return;
  }
  next_probe_at_ = advanced(next_probe_at_, settings_.probe_period, now_);
  expireMembers();
  const uint32_t probes = isAlone() ? kProbesWhileAlone : 1;
  for (uint32_t count = 0; count < probes; ++count) {
    startProbe();
  }
}

void MembershipProtocol::startProbe() {
  std::vector<NodeId> candidates;
  for (const NodeId& id : table_.idsInZone(self().zone)) {
    if (id != self().id && !find(id)->isGone()) {
      candidates.push_back(id);
    }
  }
  const std::optional<NodeId> target = prober_.nextTarget(candidates, *random_);
  if (!target) {
    return;
  }
  const MemberRecord record = find(*target)->record;
  // Silence of a node that was only listed says nothing: it is not waited for.
  const bool waits = record.state != MemberState::kListed;
  send(record, Probe{waits ? prober_.start(record.id, now_) : 0, NodeId()});
}

void MembershipProtocol::askIndirectly(const OutstandingProbe& probe) {
  const Member* target = find(probe.target);
  if (target == nullptr) {
    return;
  }
  const MemberRecord record = target->record;
  send(record, Probe{probe.sequence, NodeId()});
  for (const NodeId& helper : chooseRunning(settings_.indirect_probes, probe.target)) {
    send(MemberRecord(find(helper)->record), IndirectProbe{probe.sequence, record});
  }
}

void MembershipProtocol::expireSuspicions() {
  const absl::Duration timeout = suspicionTimeout();
  const std::vector<NodeId> ids = table_.idsInZone(self().zone);
  for (const NodeId& id : ids) {
    const Member& member = *find(id);
    if (member.suspicion_pending && now_ - member.suspected_at >= timeout) {
      MemberRecord failed = member.record;
      failed.state = MemberState::kFailed;
      mergeRecord(failed);
    }
  }
}

void MembershipProtocol::callFailedMember() {
  if (now_ < next_reconnect_at_) {
    return;
  }
  next_reconnect_at_ = advanced(next_reconnect_at_, settings_.reconnect_period, now_);
  std::vector<NodeId> failed;
  for (const NodeId& id : table_.idsInZone(self().zone)) {
    if (find(id)->record.state == MemberState::kFailed) {
      failed.push_back(id);
    }
  }
  if (!failed.empty()) {
    const NodeId& chosen = failed[absl::Uniform<size_t>(*random_, 0, failed.size())];
    send(MemberRecord(find(chosen)->record), Probe{});
  }
}

void MembershipProtocol::exchangeWithZones() {
  if (now_ < next_exchange_at_) {
    return;
  }
  next_exchange_at_ = advanced(next_exchange_at_, settings_.exchange_period, now_);
  if (!isDelegate()) {
    return;
  }
  ++exchange_round_;
  contacts_.raiseOwn();
  for (const ZoneName& zone : table_.zones()) {
    if (zone == self().zone) {
      continue;
    }
    if (const std::optional<MemberRecord> contact = chooseContact(zone)) {
      send(*contact, Exchange{});
    }
  }
}

void MembershipProtocol::pushToZones() {
  if (remote_news_.empty()) {
    return;
  }
  const bool leaves = !table_.self().isLive();
  if (!isDelegate() && !leaves) {
    remote_news_.clear();
    return;
  }
  const std::vector<MemberRecord> news = remote_news_.take(kMaximumMessageSize / 2, kRemotePushes);
  for (const ZoneName& zone : table_.zones()) {
    if (zone == self().zone) {
      continue;
    }
    if (const std::optional<MemberRecord> contact = chooseContact(zone)) {
      send(*contact, Gossip{}, news);
    }
  }
}

void MembershipProtocol::spreadNews() {
  const std::vector<NodeId> candidates = runningPeers();
  if (candidates.empty()) {
    zone_news_.clear();
  }
  for (uint32_t count = 0; count < settings_.gossip_fanout && !zone_news_.empty(); ++count) {
    const NodeId receiver = *gossip_round_.next(candidates, *random_);
    send(MemberRecord(find(receiver)->record), Gossip{});
  }
}

void MembershipProtocol::sendPayload() {
  const MemberPayload& payload = table_.self().payload;
  const bool due = (payload_changed_ && now_ >= next_payload_at_) || now_ >= next_payload_refresh_at_;
  if (payload.sequence == 0 || !due) {
    return;
  }
  payload_changed_ = false;
  next_payload_at_ = now_ + settings_.payload_period;
  next_payload_refresh_at_ = now_ + settings_.payload_refresh_period;
  Message message;
  message.body = PayloadUpdate{payload};
  const std::string bytes = encodeMessage(message);
  for (const NodeId& id : table_.idsInZone(self().zone)) {
    const Member& member = *find(id);
    if (id != self().id && member.isRunning()) {
      actions_.emplace_back(SendToPeer{id, member.record.address, bytes});
    }
  }
}

void MembershipProtocol::requestMachineList() {
  if (now_ < next_list_read_at_) {
    return;
  }
  if (isIsolated()) {
    actions_.emplace_back(ReadMachineList{});
    next_list_read_at_ = now_ + jittered(list_retry_wait_);
    list_retry_wait_ = std::min(2 * list_retry_wait_, settings_.list_period);
    return;
  }
  list_retry_wait_ = settings_.list_retry_period;
  next_list_read_at_ = now_ + jittered(settings_.list_period);
  if (isDelegate()) {
    actions_.emplace_back(ReadMachineList{});
  }
}

void MembershipProtocol::updateZoneReachability() {
  for (const ZoneContacts::Change& change : contacts_.update(now_, settings_.zone_timeout)) {
    actions_.emplace_back(ZoneReachabilityChanged{change.zone, change.reachable});
  }
}

void MembershipProtocol::expireMembers() {
  std::vector<NodeId> expired;
  for (const auto& [id, member] : table_.members()) {
    const absl::Duration age = now_ - member.changed_at;
    const bool listed = member.record.state == MemberState::kListed;
    if ((listed && age > settings_.listed_lifetime) ||
        (member.isGone() && age > settings_.tombstone_lifetime)) {
      expired.push_back(id);
    }
  }
  for (const NodeId& id : expired) {
    table_.erase(id);
  }
}

}  // namespace quincewick::membership
