// The parts of MembershipProtocol that choose receivers and fill messages.
#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "membership/membership_protocol.h"

namespace quincewick::membership {
namespace {

// One in this many exchanges goes to any member of the other zone instead of a delegate, in case the
// delegates known here are outdated.
constexpr uint32_t kExchangeRoundsUntilAnyMember = 4;

// Starts the list at any of its items, so that none is left out for good where only some fit.
template <class Item>
void rotateAnywhere(std::vector<Item>& items, absl::BitGenRef random) {
  const auto start = absl::Uniform<std::ptrdiff_t>(random, 0, static_cast<std::ptrdiff_t>(items.size()));
  std::rotate(items.begin(), items.begin() + start, items.end());
}

}  // namespace

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
  std::vector<ZoneBeat> beats = contacts_.all();
  rotateAnywhere(beats, *random_);
  size_t budget = kBeatsByteBudget;
  for (const ZoneBeat& beat : beats) {
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

ZoneDigests MembershipProtocol::chosenZoneDigests() const {
  std::vector<ZoneName> zones = table_.zones();
  rotateAnywhere(zones, *random_);
  ZoneDigests chosen;
  size_t budget = kDigestsByteBudget;
  for (const ZoneName& zone : zones) {
    const size_t size = zone.value().size() + sizeof(uint64_t) + 1;
    if (size > budget) {
      return chosen;
    }
    budget -= size;
    chosen.zones.push_back({zone, table_.digest(zone)});
  }
  chosen.complete = true;
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

absl::Duration MembershipProtocol::jittered(absl::Duration period) {
  return period * absl::Uniform(*random_, 0.5, 1.5);
}

}  // namespace quincewick::membership
