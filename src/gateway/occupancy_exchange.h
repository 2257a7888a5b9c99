// Reserves places at engines with the gateways that keep their books, and keeps those of some engines itself.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "forwarding/occupancy_tracker.h"
#include "gateway/core.h"
#include "gateway/occupancy_messages.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

// A request's entry in the books of an engine.
struct Place {
  uint64_t engine = 0;
  uint64_t number = 0;
  NodeId keeper;
};

struct PlaceAnswer {
  bool is_held = false;
  std::optional<forwarding::ServerLoad> in_hand;  // before this request; nothing: the keeper did not answer
  forwarding::EngineCapability capability;        // of the engine, where the keeper answered
  Place place;                                    // where it is held
};

class OccupancyExchange {
 public:
  OccupancyExchange(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start();

  // Asks for a place at an engine that has at most `most_seconds` of work in hand. Calls `answered` once,
  // perhaps before this returns. Returns the number by which to `forget` it.
  using Answered = std::function<void(const PlaceAnswer& answer)>;
  uint64_t reserve(const forwarding::Server& engine, uint64_t prefill_tokens, double most_seconds,
                   Answered answered);
  // Nobody waits for the answer any more: a place that is held all the same is given back.
  void forget(uint64_t number) { questions_.erase(number); }
  void notePrefillDone(const Place& place);
  // `longest_pause`: between the request's pieces; zero where it had none.
  void release(const Place& place, absl::Duration longest_pause = absl::ZeroDuration());

 private:
  struct Question {
    NodeId keeper;
    absl::Time give_up;
    Answered answered;
  };

  void probe(const std::vector<NodeId>& nodes, OccupancyMessage question);
  static PlaceAnswer answerOf(const NodeId& keeper, const OccupancyMessage& message);
  OccupancyMessage decide(const NodeId& from, const OccupancyMessage& question);
  Result<void> take(const NodeId& from, std::string_view payload);
  void takeAnswer(const NodeId& from, const OccupancyMessage& answer);
  void tell(const Place& place, OccupancyMessageKind kind, absl::Duration longest_pause);
  void tellCapability(uint64_t engine, const forwarding::EngineCapability& capability, absl::Time now);
  void carryOut(const NodeId& from, const OccupancyMessage& message);
  void send(const NodeId& to, const OccupancyMessage& message);
  void beat();
  void scheduleTick();
  void tick();

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  routing::KeeperRanks ranks_;
  forwarding::OccupancyTracker books_;
  absl::btree_map<uint64_t, Question> questions_;  // by rising numbers, so by rising times to give up
  absl::btree_map<NodeId, absl::Time> probed_;
  absl::flat_hash_map<uint64_t, forwarding::ReportedCapability> told_;  // to peers, by engine
  uint64_t last_number_ = 0;
  bool has_timer_ = false;
};

}  // namespace quincewick::gateway
