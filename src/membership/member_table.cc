#include "membership/member_table.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace quincewick::membership {
namespace {

uint64_t rendezvousRank(const MemberRecord& record) {
  const std::string key = absl::StrCat(record.zone.value(), "\n", record.id.value());
  return XXH3_64bits(key.data(), key.size());
}

// What the member adds to its zone's digest. Suspicion is left out: it passes by itself.
uint64_t digestOf(const Member& member) {
  if (!member.isRunning()) {
    return 0;
  }
  const bool leaving = member.record.state == MemberState::kLeaving;
  const std::string key =
      absl::StrCat(member.record.id.value(), "\n", member.record.incarnation.value(), leaving ? "-" : "+");
  return XXH3_64bits(key.data(), key.size());
}

const std::vector<NodeId>& noIds() {
  static const std::vector<NodeId> none;
  return none;
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& self, uint32_t maximum_members, absl::Time now)
    : self_id_(self.id), maximum_members_(maximum_members) {
  insert(self, now);
}

const Member* MemberTable::find(const NodeId& id) const {
  const auto entry = members_.find(id);
  return entry == members_.end() ? nullptr : &entry->second;
}

bool MemberTable::merge(const MemberRecord& record, absl::Time now) {
  const auto entry = members_.find(record.id);
  if (entry == members_.end()) {
    if (record.state == MemberState::kListed || members_.size() >= maximum_members_) {
      return false;
    }
    insert(record, now);
    return true;
  }
  if (!supersedes(record, entry->second.record)) {
    return false;
  }
  assign(entry->second, record, now);
  return true;
}

void MemberTable::noteListed(const MemberRecord& record, absl::Time now) {
  const auto entry = members_.find(record.id);
  if (entry != members_.end()) {
    if (entry->second.record.state == MemberState::kListed) {
      assign(entry->second, record, now);
    }
    return;
  }
  if (members_.size() < maximum_members_) {
    insert(record, now);
  }
}

void MemberTable::replaceSelf(const MemberRecord& record, absl::Time now) {
  assign(members_.at(self_id_), record, now);
}

void MemberTable::erase(const NodeId& id) {
  const auto entry = members_.find(id);
  if (entry == members_.end() || id == self_id_) {
    return;
  }
  removeFromZone(entry->second);
  members_.erase(entry);
}

void MemberTable::markSuspected(const NodeId& id, absl::Time now) {
  const auto entry = members_.find(id);
  if (entry != members_.end()) {
    entry->second.suspicion_pending = true;
    entry->second.suspected_at = now;
  }
}

bool MemberTable::mergePayload(const NodeId& id, const MemberPayload& payload) {
  const auto entry = members_.find(id);
  if (entry == members_.end() || !payload.isNewerThan(entry->second.payload)) {
    return false;
  }
  entry->second.payload = payload;
  return true;
}

std::vector<ZoneName> MemberTable::zones() const {
  std::vector<ZoneName> names;
  names.reserve(zones_.size());
  for (const auto& [name, view] : zones_) {
    names.push_back(name);
  }
  return names;
}

const std::vector<NodeId>& MemberTable::idsInZone(const ZoneName& zone) const {
  const auto view = zones_.find(zone);
  return view == zones_.end() ? noIds() : view->second.ids;
}

const std::vector<NodeId>& MemberTable::liveByRank(const ZoneName& zone) const {
  const auto view = zones_.find(zone);
  return view == zones_.end() ? noIds() : view->second.live_by_rank;
}

bool MemberTable::isDelegate(const NodeId& id, uint32_t count) const {
  const Member* member = find(id);
  if (member == nullptr) {
    return false;
  }
  const std::vector<NodeId>& ranked = liveByRank(member->record.zone);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min<size_t>(count, ranked.size()));
  return std::find(ranked.begin(), end, id) != end;
}

uint64_t MemberTable::digest(const ZoneName& zone) const {
  const auto view = zones_.find(zone);
  return view == zones_.end() ? 0 : view->second.digest;
}

Member& MemberTable::insert(const MemberRecord& record, absl::Time now) {
  Member member;
  member.record = record;
  member.changed_at = now;
  member.suspicion_pending = record.state == MemberState::kSuspect;
  member.suspected_at = now;
  member.delegate_rank = rendezvousRank(record);
  Member& stored = members_.insert_or_assign(record.id, std::move(member)).first->second;
  addToZone(stored);
  return stored;
}

void MemberTable::assign(Member& member, const MemberRecord& record, absl::Time now) {
  removeFromZone(member);
  member.record = record;
  member.changed_at = now;
  member.suspicion_pending = record.state == MemberState::kSuspect;
  member.suspected_at = now;
  member.delegate_rank = rendezvousRank(record);
  addToZone(member);
}

void MemberTable::addToZone(const Member& member) {
  ZoneView& view = zones_[member.record.zone];
  const NodeId& id = member.record.id;
  view.ids.insert(std::lower_bound(view.ids.begin(), view.ids.end(), id), id);
  if (member.isLive()) {
    const auto place = std::find_if(
        view.live_by_rank.begin(), view.live_by_rank.end(),
        [&](const NodeId& other) { return members_.at(other).delegate_rank < member.delegate_rank; });
    view.live_by_rank.insert(place, id);
  }
  view.digest ^= digestOf(member);
  view_digest_ ^= digestOf(member);
}

void MemberTable::removeFromZone(const Member& member) {
  const auto entry = zones_.find(member.record.zone);
  ZoneView& view = entry->second;
  std::erase(view.ids, member.record.id);
  std::erase(view.live_by_rank, member.record.id);
  view.digest ^= digestOf(member);
  view_digest_ ^= digestOf(member);
  if (view.ids.empty()) {
    zones_.erase(entry);
  }
}

}  // namespace quincewick::membership
