// Which gateway keeps the books of a subject (a tenant's limit, an engine's places), as one gateway sees it.
// Pure.
//
// All rank the gateways alike, by rendezvous hashing in which a larger machine weighs more. The first one
// that isn't suspected to be down keeps the books: views may differ for a while, see quota::SharedQuotas.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::routing {

struct KeeperMember {
  NodeId id;
  double capacity = 1;  // of its machine, in the unit of all others
  ZoneName zone = {};   // empty: unknown

  friend bool operator==(const KeeperMember&, const KeeperMember&) = default;
};

class KeeperRanks {
 public:
  // All gateways of the site, dead ones too.
  void setMembers(std::vector<KeeperMember> members);
  size_t members() const { return members_.size(); }

  // Those that may keep the subject's books, the first one first, without the suspected ones.
  std::vector<NodeId> candidates(std::string_view subject);

  // Those among which a subject is divided, `count` at most, suspected ones too: the first of each zone in
  // rank, then the second of each, and so on. A zone that fails takes few of them away.
  std::vector<NodeId> spreadOverZones(std::string_view subject, size_t count);

  // Those that rank before the node for the subject, suspected ones too; all that rank where it doesn't.
  std::vector<NodeId> before(std::string_view subject, const NodeId& node);

  // A question was not answered: after two in a row the node is suspected, until it is heard.
  void noteSilence(const NodeId& node) { ++unanswered_[node]; }
  // A message of the node came.
  void noteHeard(const NodeId& node) { unanswered_.erase(node); }
  bool isSuspected(const NodeId& node) const;

 private:
  struct Ranking {
    std::vector<NodeId> ranked;  // the first ones of all members
    std::vector<NodeId> spread;  // the first ones, zones in turn
  };

  const Ranking& rankingOf(std::string_view subject);

  std::vector<KeeperMember> members_;
  absl::btree_map<std::string, Ranking, std::less<>> rankings_;  // of the members as they are now
  absl::btree_map<NodeId, uint32_t> unanswered_;  // questions in a row, of nodes with one at least
};

}  // namespace quincewick::routing
