#include "forwarding/part_quarantine.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

constexpr uint64_t kService = 1;
const PartKey kRoot(1);
const PartKey kDeadly(2);
const PartKey kOther(3);

// One gateway, at which requests crash servers a second apart.
struct Gateway {
  PartQuarantine parts;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  uint64_t last_request = 0;
  uint64_t last_incarnation = 0;

  std::vector<AccusedParts> crash(const std::vector<PartCarrier>& in_flight,
                                  absl::Duration after = absl::Seconds(1)) {
    now += after;
    return parts.noteCrash({++last_incarnation, kService, in_flight}, true, now);
  }
  PartCarrier request(const std::vector<PartKey>& shared) { return {++last_request, shared}; }
  std::vector<QuarantinedParts> settle() {
    now += PartQuarantine::kEvidenceDelay;
    std::vector<AccusedParts> accused;
    return parts.settle(now, accused);
  }
  void crashTimes(size_t count, const std::vector<PartKey>& shared) {
    for (size_t time = 0; time < count; ++time) {
      crash({request(shared)});
    }
  }
  CrashVerdict verdictOn(const std::vector<PartKey>& shared) { return parts.verdictOn(request(shared), now); }
};

TEST_CASE("a part under which four servers crashed is accused, then quarantined") {
  Gateway gateway;
  gateway.crashTimes(PartQuarantine::kCrashesToQuarantine - 1, {kDeadly});
  CHECK(gateway.verdictOn({kDeadly}) == CrashVerdict::kSend);
  CHECK(gateway.crash({gateway.request({kDeadly})}).size() == 1);
  CHECK(gateway.verdictOn({kDeadly}) == CrashVerdict::kWait);
  CHECK(gateway.settle().size() == 1);
  CHECK(gateway.verdictOn({kDeadly}) == CrashVerdict::kReject);
  CHECK(gateway.verdictOn({kDeadly, kOther}) == CrashVerdict::kReject);
  CHECK(gateway.verdictOn({kOther}) == CrashVerdict::kSend);
}

TEST_CASE("parts that were always together are rejected together only, until one of them is served") {
  Gateway gateway;
  gateway.crashTimes(PartQuarantine::kCrashesToQuarantine, {kRoot, kDeadly});
  REQUIRE(gateway.settle().size() == 1);
  CHECK(gateway.verdictOn({kRoot, kDeadly}) == CrashVerdict::kReject);
  CHECK(gateway.verdictOn({kRoot, kOther}) == CrashVerdict::kSend);
  const std::vector<QuarantineChange> changes =
      gateway.parts.noteServed(kService, {kRoot, kOther}, gateway.now);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].after == std::vector<PartKey>{kDeadly});
  CHECK(gateway.verdictOn({kOther, kDeadly}) == CrashVerdict::kReject);
}

TEST_CASE("a part that is served between crashes is never accused") {
  Gateway gateway;
  for (int crash = 0; crash < 20; ++crash) {
    CHECK(gateway.crash({gateway.request({kRoot})}).empty());
    gateway.parts.noteServed(kService, {kRoot}, gateway.now);
  }
  CHECK(gateway.parts.suspectCount() == 0);
}

TEST_CASE("a part that was in flight beside a worse one is not accused") {
  Gateway gateway;
  gateway.crash({gateway.request({kDeadly})});
  for (int crash = 0; crash < 4; ++crash) {
    const auto accused = gateway.crash({gateway.request({kDeadly}), gateway.request({kOther})});
    for (const AccusedParts& parts : accused) {
      CHECK(parts.parts == std::vector<PartKey>{kDeadly});
    }
  }
  gateway.settle();
  CHECK(gateway.verdictOn({kDeadly}) == CrashVerdict::kReject);
  CHECK(gateway.verdictOn({kOther}) == CrashVerdict::kSend);
}

TEST_CASE("servers that crash at the same moment accuse nothing") {
  Gateway gateway;
  for (int server = 0; server < 20; ++server) {
    CHECK(gateway.crash({gateway.request({kRoot})}, absl::Milliseconds(5)).empty());
  }
}

TEST_CASE("crashes of one request are left to the register of whole requests") {
  Gateway gateway;
  const PartCarrier request = gateway.request({kDeadly});
  for (int server = 0; server < 6; ++server) {
    CHECK(gateway.crash({request}).empty());
  }
}

TEST_CASE("crashes that only peers saw accuse nothing") {
  Gateway gateway;
  for (uint64_t server = 1; server < 10; ++server) {
    gateway.now += absl::Seconds(1);
    CHECK(gateway.parts.noteCrash({server, kService, {gateway.request({kDeadly})}}, false, gateway.now)
              .empty());
  }
}

TEST_CASE(
    "an objection ends an accusation, and a gateway that served the part since objects to a quarantine") {
  Gateway gateway;
  gateway.crashTimes(PartQuarantine::kCrashesToQuarantine, {kDeadly});
  gateway.parts.noteServedElsewhere({kDeadly, absl::ZeroDuration()}, gateway.now);
  CHECK(gateway.settle().empty());
  Gateway peer;
  peer.parts.noteServed(kService, {kDeadly}, peer.now);
  peer.now += absl::Seconds(1);
  const QuarantinedParts told{{kDeadly}, kService, absl::Seconds(9), absl::Seconds(2), {}, false};
  CHECK(peer.parts.objectionsTo(told, peer.now).size() == 1);
  CHECK_FALSE(peer.parts.noteQuarantined(told, peer.now));
  const QuarantinedParts later{{kDeadly}, kService, absl::Seconds(9), absl::ZeroDuration(), {}, false};
  CHECK(peer.parts.objectionsTo(later, peer.now).empty());
  CHECK(peer.parts.noteQuarantined(later, peer.now));
}

TEST_CASE("a quarantined part is tried twice at most, once something else of the service was served") {
  Gateway gateway;
  gateway.crashTimes(PartQuarantine::kCrashesToQuarantine, {kDeadly});
  gateway.settle();
  gateway.parts.noteServed(kService, {kOther}, gateway.now);
  size_t trials = 0;
  for (int second = 0; second < 600; ++second) {
    gateway.now += absl::Seconds(1);
    const PartCarrier request = gateway.request({kDeadly});
    if (!gateway.parts.isTrialDue(request, true, gateway.now)) {
      CHECK(gateway.parts.verdictOn(request, gateway.now) == CrashVerdict::kReject);
      continue;
    }
    CHECK(gateway.parts.takeTrial(request, gateway.now).size() == 1);
    CHECK(gateway.parts.verdictOn(request, gateway.now) == CrashVerdict::kSend);
    CHECK(gateway.verdictOn({kDeadly}) == CrashVerdict::kReject);
    gateway.parts.noteSent(request);
    ++trials;
    CHECK(gateway.parts.verdictOn(request, gateway.now) == CrashVerdict::kReject);
    gateway.crash({request}, absl::Milliseconds(50));
    gateway.settle();
  }
  CHECK(trials == PartQuarantine::kMaxTrials);
}

TEST_CASE("a service that failed as a whole is tried again and again") {
  Gateway gateway;
  gateway.crashTimes(PartQuarantine::kCrashesToQuarantine, {kRoot});
  gateway.settle();
  size_t trials = 0;
  for (int second = 0; second < 600; ++second) {
    gateway.now += absl::Seconds(1);
    const PartCarrier request = gateway.request({kRoot});
    if (gateway.parts.isTrialDue(request, true, gateway.now)) {
      gateway.parts.takeTrial(request, gateway.now);
      gateway.parts.noteSent(request);
      ++trials;
    }
  }
  CHECK(trials > PartQuarantine::kMaxTrials);
  gateway.parts.noteServed(kService, {kRoot}, gateway.now);
  CHECK(gateway.verdictOn({kRoot}) == CrashVerdict::kSend);
}

TEST_CASE("an accusation without parts holds no request, and a quarantine without parts rejects none") {
  Gateway gateway;
  gateway.parts.noteAccused({}, gateway.now);
  gateway.parts.noteQuarantined({}, gateway.now);
  CHECK(gateway.verdictOn({kRoot}) == CrashVerdict::kSend);
}

TEST_CASE("what callers send is bounded in memory") {
  Gateway gateway;
  for (uint64_t crash = 0; crash < 3000; ++crash) {
    std::vector<PartKey> shared;
    for (uint64_t part = 0; part < kMaxSharedParts; ++part) {
      shared.emplace_back(1'000 + crash * kMaxSharedParts + part);
    }
    gateway.crash({gateway.request(shared)});
  }
  CHECK(gateway.parts.suspectCount() <= 8192);
  gateway.now += absl::Hours(2);
  gateway.parts.dropExpired(gateway.now);
  CHECK(gateway.parts.suspectCount() == 0);
}

}  // namespace
}  // namespace quincewick::forwarding
