#include "routing/keeper_ranks.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace quincewick::routing {
namespace {

constexpr size_t kRanked = 8;  // so many gateways down at once leave a subject no keeper
constexpr uint32_t kUnansweredForSuspicion = 2;
constexpr size_t kSubjectsRanked = 4096;

// Weighted rendezvous hashing: the greatest value ranks first, and a node's chance is its weight's share.
double rankOf(std::string_view subject, const KeeperMember& member) {
  const std::string text =
      absl::StrCat(absl::string_view(subject.data(), subject.size()), "/", member.id.value());
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  const double place = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;  // above 0 and below 1
  return std::max(member.capacity, 1.0) / -std::log(place);
}

// Orders ranked members so that the first of each zone come first, then the second of each, and so on.
// Returns the first kRanked.
std::vector<NodeId> zonesInTurn(const std::vector<std::pair<double, const KeeperMember*>>& ranks) {
  absl::btree_map<ZoneName, size_t> of_zone;  // members so far
  std::vector<std::pair<size_t, NodeId>> turns;
  turns.reserve(ranks.size());
  for (const auto& [rank, member] : ranks) {
    turns.emplace_back(of_zone[member->zone]++, member->id);
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  turns.resize(std::min(turns.size(), kRanked));
  std::vector<NodeId> result;
  result.reserve(turns.size());
  for (const auto& [turn, id] : turns) {
    result.push_back(id);
  }
  return result;
}

}  // namespace

void KeeperRanks::setMembers(std::vector<KeeperMember> members) {
  if (members != members_) {
    members_ = std::move(members);
    rankings_.clear();
  }
}

const KeeperRanks::Ranking& KeeperRanks::rankingOf(std::string_view subject) {
  if (rankings_.size() >= kSubjectsRanked) {
    rankings_.clear();
  }
  auto [entry, is_new] = rankings_.try_emplace(std::string(subject));
  if (!is_new) {
    return entry->second;
  }
  std::vector<std::pair<double, const KeeperMember*>> ranks;
  for (const KeeperMember& member : members_) {
    ranks.emplace_back(rankOf(subject, member), &member);
  }
  std::sort(ranks.begin(), ranks.end(), [](const auto& left, const auto& right) {
    return std::pair(-left.first, left.second->id) < std::pair(-right.first, right.second->id);
  });
  entry->second.spread = zonesInTurn(ranks);
  ranks.resize(std::min(ranks.size(), kRanked));
  for (const auto& [rank, member] : ranks) {
    entry->second.ranked.push_back(member->id);
  }
  return entry->second;
}

std::vector<NodeId> KeeperRanks::spreadOverZones(std::string_view subject, size_t count) {
  const std::vector<NodeId>& spread = rankingOf(subject).spread;
  return {spread.begin(), spread.begin() + static_cast<ptrdiff_t>(std::min(count, spread.size()))};
}

std::vector<NodeId> KeeperRanks::candidates(std::string_view subject) {
  std::vector<NodeId> trusted = rankingOf(subject).ranked;
  std::erase_if(trusted, [this](const NodeId& node) { return isSuspected(node); });
  return trusted;
}

std::vector<NodeId> KeeperRanks::before(std::string_view subject, const NodeId& node) {
  const std::vector<NodeId>& ranked = rankingOf(subject).ranked;
  return {ranked.begin(), std::find(ranked.begin(), ranked.end(), node)};
}

bool KeeperRanks::isSuspected(const NodeId& node) const {
  const auto found = unanswered_.find(node);
  return found != unanswered_.end() && found->second >= kUnansweredForSuspicion;
}

}  // namespace quincewick::routing
