#include "peer/authenticator.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace quincewick::peer {
namespace {

const PeerKey kOldKey{KeyId(1), std::string(32, 'o')};
const PeerKey kNewKey{KeyId(2), std::string(32, 'n')};

KeyRing ring(const std::vector<PeerKey>& accepted, KeyId signing) {
  return KeyRing::make(accepted, signing).value();
}

Authenticator node(const char* id, uint64_t incarnation = 1) {
  return {NodeId(id), Incarnation(incarnation), ring({kOldKey}, kOldKey.id)};
}

uint64_t dropped(const Authenticator& authenticator, DropReason reason) {
  return authenticator.dropCounts()[static_cast<size_t>(reason)];
}

uint64_t allDropped(const Authenticator& authenticator) {
  uint64_t sum = 0;
  for (const uint64_t count : authenticator.dropCounts()) {
    sum += count;
  }
  return sum;
}

std::string sealFor(Authenticator& sender, const char* recipient, std::string payload = "news") {
  return sender.seal(Channel::kDatagram, NodeId(recipient), PeerModule::kLedger, std::move(payload)).bytes;
}

TEST_CASE("a sealed payload opens once, at its recipient, on its channel") {
  rc::prop("opens whole", [](const std::string& payload) {
    RC_PRE(payload.size() <= kMaximumDatagramPayload);
    Authenticator sender = node("sender");
    Authenticator receiver = node("receiver");
    Authenticator other = node("other");
    const std::string bytes = sealFor(sender, "receiver", payload);
    RC_ASSERT(bytes.size() <= kMaximumDatagramSize);
    RC_ASSERT(!other.open(Channel::kDatagram, bytes));
    RC_ASSERT(!receiver.open(Channel::kRequest, bytes));
    const Result<Envelope> opened = receiver.open(Channel::kDatagram, bytes);
    RC_ASSERT(opened.has_value());
    RC_ASSERT(opened.value().payload == payload);
    RC_ASSERT(opened.value().sender == NodeId("sender"));
    RC_ASSERT(opened.value().module == PeerModule::kLedger);
    RC_ASSERT(!receiver.open(Channel::kDatagram, bytes));
    RC_ASSERT(dropped(receiver, DropReason::kReplayed) == 1u);
  });
}

TEST_CASE("damaged, cut and invented datagrams are dropped and counted, and do no harm") {
  rc::prop("any damage is noticed", [](const std::string& payload, const std::string& garbage) {
    RC_PRE(payload.size() <= kMaximumDatagramPayload);
    Authenticator sender = node("sender");
    Authenticator receiver = node("receiver");
    const std::string whole = sealFor(sender, "receiver", payload);
    std::string flipped = whole;
    const auto place = *rc::gen::inRange<size_t>(0, whole.size());
    flipped[place] = static_cast<char>(flipped[place] ^ (1 << *rc::gen::inRange(0, 8)));
    const std::string cut = whole.substr(0, *rc::gen::inRange<size_t>(0, whole.size()));
    RC_ASSERT(!receiver.open(Channel::kDatagram, flipped));
    RC_ASSERT(!receiver.open(Channel::kDatagram, cut));
    RC_ASSERT(!receiver.open(Channel::kDatagram, whole + garbage + "x"));
    RC_ASSERT(!receiver.open(Channel::kDatagram, garbage));
    RC_ASSERT(allDropped(receiver) == 4u);
    RC_ASSERT(receiver.open(Channel::kDatagram, whole).has_value());
  });
}

TEST_CASE("the replay window takes each message once in any order, as a set would") {
  rc::prop("same as a set within the width", [](const std::vector<uint16_t>& steps) {
    ReplayWindow window;
    std::set<uint64_t> seen;
    uint64_t highest = 0;
    for (const uint16_t step : steps) {
      const uint64_t back = step % 3 == 0 ? step % 1200 : 0;
      const uint64_t sequence =
          std::max<uint64_t>(1, highest + (back == 0 ? step % 700 : 0) - std::min(highest, back));
      const bool in_width = sequence + 1024 > highest;
      const bool fresh = in_width && seen.insert(sequence).second;
      const ReplayVerdict verdict = window.accept(NodeId("sender"), Incarnation(1), Sequence(sequence));
      RC_ASSERT((verdict == ReplayVerdict::kFresh) == fresh);
      highest = std::max(highest, sequence);
    }
  });
}

TEST_CASE("messages of a sender's earlier process are refused once the new one was heard") {
  Authenticator before = node("sender", 1);
  Authenticator after = node("sender", 2);
  Authenticator receiver = node("receiver");
  const std::string old_message = sealFor(before, "receiver");
  CHECK(receiver.open(Channel::kDatagram, sealFor(after, "receiver")));
  CHECK(!receiver.open(Channel::kDatagram, old_message));
  CHECK(dropped(receiver, DropReason::kOldIncarnation) == 1);
}

TEST_CASE("keys rotate step by step without a lost message, and the old key ends up refused") {
  Authenticator sender = node("sender");
  Authenticator receiver = node("receiver");
  const auto passes = [&] {
    return receiver.open(Channel::kDatagram, sealFor(sender, "receiver")).has_value();
  };
  receiver.setKeyRing(ring({kOldKey, kNewKey}, kOldKey.id));
  CHECK(passes());
  sender.setKeyRing(ring({kOldKey, kNewKey}, kNewKey.id));
  CHECK(passes());
  receiver.setKeyRing(ring({kNewKey}, kNewKey.id));
  CHECK(passes());
  sender.setKeyRing(ring({kOldKey}, kOldKey.id));
  CHECK(!passes());
  CHECK(dropped(receiver, DropReason::kUnknownKey) == 1);
  sender.setKeyRing(ring({{kNewKey.id, std::string(32, 'x')}}, kNewKey.id));
  CHECK(!passes());
  CHECK(dropped(receiver, DropReason::kBadMac) == 1);
}

// Guards against nodes that never hear each other again because they learned of another key at different
// times.
TEST_CASE("an added key replaces the one that seals, and messages sealed with the earlier ones are opened") {
  Authenticator sender = node("sender");
  Authenticator receiver = node("receiver");
  const auto passes = [&] {
    return receiver.open(Channel::kDatagram, sealFor(sender, "receiver")).has_value();
  };
  const auto keyNumber = [](char number) {
    return ring({{kOldKey.id, std::string(kMinimumSecretSize, number)}}, kOldKey.id);
  };
  for (const char number : {'1', '2', '3'}) {
    receiver.addKeyRing(keyNumber(number));
    CHECK(passes());
  }
  receiver.addKeyRing(keyNumber('4'));
  CHECK(!passes());  // sealed with the fourth key before
  sender.addKeyRing(keyNumber('4'));
  CHECK(passes());
  receiver.setKeyRing(keyNumber('5'));
  CHECK(!passes());
}

TEST_CASE("bad key rings are refused") {
  CHECK(!KeyRing::make({{KeyId(1), "short"}}, KeyId(1)));
  CHECK(!KeyRing::make({kOldKey, kOldKey}, kOldKey.id));
  CHECK(!KeyRing::make({kOldKey}, kNewKey.id));
}

}  // namespace
}  // namespace quincewick::peer
