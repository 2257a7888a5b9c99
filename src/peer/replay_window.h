// Refuses messages that were taken before, and those of a sender's earlier process.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <bitset>
#include <cstdint>

#include "types/identifiers.h"

namespace quincewick::peer {

enum class ReplayVerdict : uint8_t { kFresh, kReplayed, kOldIncarnation };

// One window for each sender, of its newest incarnation. Messages may overtake each other by up to the
// window's width. Bounded in senders: when full, messages of further senders are refused as replays. Not
// thread-safe.
class ReplayWindow {
 public:
  // Asks for and notes one message. Only authenticated values may be handed in.
  ReplayVerdict accept(const NodeId& sender, Incarnation incarnation, Sequence sequence);

 private:
  static constexpr size_t kWidth = 1024;
  static constexpr size_t kMaximumSenders = 4096;

  struct Window {
    Incarnation incarnation;
    uint64_t highest = 0;
    std::bitset<kWidth> seen;  // bit sequence % kWidth, of the last kWidth sequences
  };
  static ReplayVerdict advance(Window& window, uint64_t sequence);

  absl::flat_hash_map<NodeId, Window> windows_;
};

}  // namespace quincewick::peer
