#include "gateway/retired_peers.h"

#include <catch2/catch.hpp>

namespace quincewick::gateway {
namespace {

const NodeId kPeer("peer");
const NodeId kOther("other");
const absl::Time kNow = absl::FromUnixSeconds(1000);

// Guards against a part of a limit that stays missing for ever because its holder is gone for good.
TEST_CASE("a gateway whose row was removed and that isn't heard is retired") {
  RetiredPeers peers;
  peers.noteRows({kPeer, kOther});
  CHECK_FALSE(peers.isRetired(kPeer, absl::InfinitePast(), kNow));
  peers.noteRows({kOther});
  CHECK(peers.isRetired(kPeer, absl::InfinitePast(), kNow));
  CHECK_FALSE(peers.isRetired(kOther, absl::InfinitePast(), kNow));
  peers.noteRows({kOther});
  CHECK(peers.isRetired(kPeer, kNow - absl::Minutes(1), kNow));
  peers.noteRows({kPeer, kOther});
  CHECK_FALSE(peers.isRetired(kPeer, absl::InfinitePast(), kNow));
}

// A partition or a crash removes no row, and a store that comes back from an older copy silences no gateway.
TEST_CASE("a gateway that is silent but listed, or not listed but heard, is not retired") {
  RetiredPeers peers;
  peers.noteRows({kPeer});
  CHECK_FALSE(peers.isRetired(kPeer, kNow - absl::Hours(24), kNow));
  peers.noteRows({});
  CHECK_FALSE(peers.isRetired(kPeer, kNow - absl::Seconds(59), kNow));
  CHECK_FALSE(peers.isRetired(kOther, absl::InfinitePast(), kNow));
}

}  // namespace
}  // namespace quincewick::gateway
