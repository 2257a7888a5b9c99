#include "membership/membership_protocol.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincewick::membership {
namespace {

// Probes a period while no other member of the zone is known to live.
constexpr uint32_t kProbesWhileAlone = 3;
// A member that was paused itself calls this many others to learn how they see it.
constexpr uint32_t kCallsAfterPause = 3;
// One in this many exchanges goes to any member of the other zone instead of a delegate, in case the
// delegates known here are outdated.
constexpr uint32_t kExchangeRoundsUntilAnyMember = 4;
// Each piece of news of the own zone is pushed this often to each other zone by each delegate.
constexpr uint32_t kRemotePushes = 2;

MemberRecord recordOf(const SelfDescription& self) {
  return {self.id, self.zone, self.region, self.address, self.incarnation, MemberState::kAlive};
}

// A time between half and one and a half of the period.
absl::Duration jittered(absl::Duration period, absl::BitGenRef random) {
  return period * absl::Uniform(random, 0.5, 1.5);
}

// Moves a periodic deadline on; after a long gap it starts anew from now.
absl::Time advanced(absl::Time deadline, absl::Duration period, absl::Time now) {
  return std::max(deadline + period, now);
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
    const uint64_t their_digest = theirs == digests.zones.end() ? 0 : theirs->digest;
    if (their_digest != table_.digest(zone)) {
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

// Parts of a tick.

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
    next_list_read_at_ = now_ + jittered(list_retry_wait_, *random_);
    list_retry_wait_ = std::min(2 * list_retry_wait_, settings_.list_period);
    return;
  }
  list_retry_wait_ = settings_.list_retry_period;
  next_list_read_at_ = now_ + jittered(settings_.list_period, *random_);
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
  next_sync_at_ = now_ + jittered(settings_.sync_period, *random_);
  send(message.sender, ZoneDigests{chosenZoneDigests()});
}

// Sending.

void MembershipProtocol::correctSender(const MemberRecord& sender) {
  const Member* known = find(sender.id);
  if (known != nullptr && supersedes(known->record, sender)) {
    send(sender, ZonePage{sender.zone, sender.id, sender.id}, {known->record});
  }
}

void MembershipProtocol::send(const MemberRecord& to, MessageBody body, std::vector<MemberRecord> updates) {
  Message message = makeMessage(to, std::move(body));
  const bool same_zone = to.zone == self().zone;
  const Member* known = find(to.id);
  const bool contradicts = known != nullptr && known->record.state > MemberState::kAlive;
  if (contradicts && updates.empty()) {
    updates.push_back(known->record);
  }
  size_t budget = kMaximumMessageSize - encodeMessage(message).size();
  for (const MemberRecord& update : updates) {
    budget -= std::min(budget, encodedSize(update));
  }
  message.updates = std::move(updates);
  const bool page = std::holds_alternative<ZonePage>(message.body);
  if (same_zone && !page) {
    std::vector<MemberRecord> news = zone_news_.take(budget, transmissionLimit());
    message.updates.insert(message.updates.end(), news.begin(), news.end());
  }
  actions_.emplace_back(SendToPeer{to.id, to.address, encodeMessage(message)});
}

Message MembershipProtocol::makeMessage(const MemberRecord& to, MessageBody body) const {
  Message message;
  message.sender = self();
  message.view_digest = table_.viewDigest();
  message.body = std::move(body);
  fillBeats(message, to.zone);
  return message;
}

void MembershipProtocol::fillBeats(Message& message, const ZoneName& receiver_zone) const {
  if (receiver_zone != self().zone) {
    message.beats = {{self().zone, contacts_.beat(self().zone)},
                     {receiver_zone, contacts_.beat(receiver_zone)}};
    return;
  }
  size_t budget = kBeatsByteBudget;
  for (const ZoneBeat& beat : contacts_.all()) {
    if (encodedSize(beat) > budget) {
      return;
    }
    budget -= encodedSize(beat);
    message.beats.push_back(beat);
  }
}

void MembershipProtocol::sendPages(const MemberRecord& to, const ZoneName& zone) {
  ZonePage page{zone, NodeId(), NodeId()};
  const size_t page_budget =
      kMaximumMessageSize - encodeMessage(makeMessage(to, page)).size() - 2 * kMaximumNameSize;
  size_t budget = page_budget;
  std::vector<MemberRecord> records;
  for (const NodeId& id : table_.idsInZone(zone)) {
    const MemberRecord& record = find(id)->record;
    if (record.state == MemberState::kListed) {
      continue;
    }
    if (encodedSize(record) > budget || records.size() == kMaximumUpdates) {
      page.up_to = records.back().id;
      send(to, page, std::move(records));
      records.clear();
      page.after = std::exchange(page.up_to, NodeId());
      budget = page_budget;
    }
    budget -= encodedSize(record);
    records.push_back(record);
  }
  send(to, page, std::move(records));
}

void MembershipProtocol::sendAll(const MemberRecord& to, std::vector<MemberRecord> records) {
  const size_t message_budget = kMaximumMessageSize - encodeMessage(makeMessage(to, Gossip{})).size();
  size_t budget = message_budget;
  std::vector<MemberRecord> batch;
  for (MemberRecord& record : records) {
    if (encodedSize(record) > budget || batch.size() == kMaximumUpdates) {
      send(to, Gossip{}, std::exchange(batch, {}));
      budget = message_budget;
    }
    budget -= encodedSize(record);
    batch.push_back(std::move(record));
  }
  if (!batch.empty()) {
    send(to, Gossip{}, std::move(batch));
  }
}

std::vector<ZoneDigest> MembershipProtocol::chosenZoneDigests() const {
  std::vector<ZoneDigest> chosen;
  size_t budget = kDigestsByteBudget;
  for (const ZoneName& zone : table_.zones()) {
    const size_t size = zone.value().size() + sizeof(uint64_t) + 1;
    if (size > budget) {
      break;
    }
    budget -= size;
    chosen.push_back({zone, table_.digest(zone)});
  }
  return chosen;
}

std::optional<MemberRecord> MembershipProtocol::chooseContact(const ZoneName& zone) {
  const std::vector<NodeId>& ranked = table_.liveByRank(zone);
  const size_t delegates = std::min<size_t>(settings_.delegates, ranked.size());
  const bool any_member = exchange_round_ % kExchangeRoundsUntilAnyMember == 0 || !isReachable(zone);
  if (delegates > 0 && !(any_member && absl::Bernoulli(*random_, 0.5))) {
    return find(ranked[absl::Uniform<size_t>(*random_, 0, delegates)])->record;
  }
  std::vector<NodeId> candidates;
  for (const NodeId& id : table_.idsInZone(zone)) {
    if (find(id)->record.state != MemberState::kLeft) {
      candidates.push_back(id);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return find(candidates[absl::Uniform<size_t>(*random_, 0, candidates.size())])->record;
}

std::vector<NodeId> MembershipProtocol::runningPeers() const {
  std::vector<NodeId> ids;
  for (const NodeId& id : table_.idsInZone(self().zone)) {
    if (id != self().id && find(id)->isRunning()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<NodeId> MembershipProtocol::chooseRunning(uint32_t count, const NodeId& except) {
  std::vector<NodeId> ids = runningPeers();
  std::erase(ids, except);
  const size_t chosen = std::min<size_t>(count, ids.size());
  for (size_t place = 0; place < chosen; ++place) {
    std::swap(ids[place], ids[absl::Uniform<size_t>(*random_, place, ids.size())]);
  }
  ids.resize(chosen);
  return ids;
}

bool MembershipProtocol::isAlone() const {
  const std::vector<NodeId>& ids = table_.idsInZone(self().zone);
  return std::none_of(ids.begin(), ids.end(),
                      [&](const NodeId& id) { return id != self().id && find(id)->isRunning(); });
}

bool MembershipProtocol::isIsolated() const {
  const std::vector<ZoneName> zones = table_.zones();
  return isAlone() && std::none_of(zones.begin(), zones.end(), [&](const ZoneName& zone) {
           return zone != self().zone && isReachable(zone);
         });
}

absl::Duration MembershipProtocol::suspicionTimeout() const {
  const auto size = static_cast<double>(table_.liveByRank(self().zone).size());
  const double scale = std::max(1.0, std::log10(size + 1));
  // A node whose probes all fail rather doubts itself, and waits longer.
  return settings_.suspicion_factor * scale * (1 + prober_.failuresInARow());
}

uint32_t MembershipProtocol::transmissionLimit() const {
  const auto size = static_cast<double>(table_.liveByRank(self().zone).size());
  return settings_.retransmission_factor * static_cast<uint32_t>(std::ceil(std::log2(size + 1)));
}

}  // namespace quincewick::membership
