#include "forwarding/crash_register.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr uint64_t kService = 7;

RequestIdentity request(uint64_t number) {
  return {number, number + 1};
}

// Crashes at intervals of a second, each of another server.
struct Fixture {
  CrashRegister crashes{kStart - absl::Minutes(10)};
  absl::Time now = kStart;
  uint64_t last_incarnation = 0;

  // Returns the requests that are quarantined after the evidence delay.
  std::vector<RequestIdentity> crash(std::vector<RequestIdentity> in_flight, uint64_t service = kService) {
    now += absl::Seconds(1);
    crashes.noteCrash({++last_incarnation, service, std::move(in_flight)}, now);
    now += CrashRegister::kEvidenceDelay;
    return crashes.settle(now);
  }
  CrashVerdict verdict(const RequestIdentity& identity) { return crashes.verdictOn(identity, now); }
};

const RequestIdentity kCulprit = request(1);
const RequestIdentity kBystander = request(2);

TEST_CASE_METHOD(Fixture, "a request is quarantined at the third crash under it, not before") {
  CHECK(crash({kCulprit, request(10)}).empty());
  CHECK(crash({kCulprit, request(11)}).empty());
  CHECK(verdict(kCulprit) == CrashVerdict::kSend);
  CHECK(crashes.noteCrash({++last_incarnation, kService, {kCulprit, request(12)}}, now));
  CHECK(verdict(kCulprit) == CrashVerdict::kWait);
  now += CrashRegister::kEvidenceDelay;
  CHECK(crashes.settle(now) == std::vector{kCulprit});
  CHECK(verdict(kCulprit) == CrashVerdict::kReject);
  CHECK(verdict(request(12)) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "a request beside a worse suspect is not quarantined, however often") {
  crash({kCulprit, kBystander});
  crash({kCulprit});
  for (int count = 0; count < 10; ++count) {
    crash({kCulprit, kBystander});
  }
  CHECK(verdict(kCulprit) == CrashVerdict::kReject);
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture,
                 "two requests that always run together are distinguished once one crashes a server alone") {
  for (int count = 0; count < 3; ++count) {
    CHECK(crash({kCulprit, kBystander}).empty());
  }
  CHECK(crash({kCulprit}) == std::vector{kCulprit});
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "two requests that are never distinguished are quarantined at the fourth crash") {
  for (int count = 0; count < 3; ++count) {
    CHECK(crash({kCulprit, kBystander}).empty());
  }
  CHECK(crash({kCulprit, kBystander}).size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "three simultaneous crashes are not enough, since part of a service may have failed") {
  for (int count = 0; count < 3; ++count) {
    now += absl::Milliseconds(100);
    CHECK_FALSE(crashes.noteCrash({++last_incarnation, kService, {kCulprit}}, now));
  }
  CHECK(crash({kCulprit}) == std::vector{kCulprit});
}

TEST_CASE_METHOD(Fixture, "a recently started gateway needs four crashes, since it knows no earlier ones") {
  crashes = CrashRegister(now);
  for (int count = 0; count < 3; ++count) {
    CHECK(crash({kCulprit}).empty());
  }
  CHECK(crash({kCulprit}) == std::vector{kCulprit});
}

TEST_CASE_METHOD(Fixture, "where servers crash anyway it takes four crashes") {
  CHECK(crash({kCulprit}).empty());
  for (uint64_t count = 0; count < 6; ++count) {
    crash({request(100 + count)});
  }
  for (int count = 0; count < 2; ++count) {
    CHECK(crash({kCulprit}).empty());
  }
  CHECK(crash({kCulprit}) == std::vector{kCulprit});
}

TEST_CASE_METHOD(Fixture,
                 "crashes of another service, or with another culprit, do not count as unrelated crashes") {
  const RequestIdentity other = request(3);
  crash({kCulprit});
  for (int count = 0; count < 6; ++count) {
    crash({request(100 + static_cast<uint64_t>(count))}, kService + 1);
    crash({other});
  }
  crash({kCulprit});
  CHECK(crash({kCulprit}) == std::vector{kCulprit});
}

TEST_CASE_METHOD(Fixture, "a request that was served recently, here or elsewhere, is not suspected") {
  crashes.noteServed(kBystander, now);
  for (int count = 0; count < 6; ++count) {
    CHECK(crash({kBystander}).empty());
  }
  // Long after it was served it may be suspected again; being served once more voids that.
  now += absl::Minutes(2);
  for (int count = 0; count < 5; ++count) {
    crash({kBystander});
  }
  CHECK(verdict(kBystander) == CrashVerdict::kReject);
  CHECK(crashes.noteServed(kBystander, now));
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
  CHECK(crashes.crashCount(kBystander) == 0);
  CHECK_FALSE(crashes.noteQuarantined({kBystander}, now));
}

TEST_CASE_METHOD(
    Fixture, "a crash counts once however many peers report it, and a later one of the same server again") {
  const ServerCrash report{1, kService, {kCulprit}};
  for (int reporter = 0; reporter < 5; ++reporter) {
    now += absl::Milliseconds(30);
    CHECK_FALSE(crashes.noteCrash(report, now));
  }
  CHECK(crashes.crashCount(kCulprit) == 1);
  now += absl::Seconds(2);
  crashes.noteCrash(report, now);
  CHECK(crashes.crashCount(kCulprit) == 2);
}

TEST_CASE_METHOD(Fixture, "a crash that is reported again is the same crash, however late") {
  const ServerCrash report{1, kService, {kCulprit}};
  crashes.noteCrash(report, now);
  for (int second = 1; second < 10; ++second) {
    ServerCrash again = report;
    again.ago = absl::Seconds(second) + absl::Milliseconds(100);
    crashes.noteCrash(again, now + absl::Seconds(second));
  }
  CHECK(crashes.crashCount(kCulprit) == 1);
}

TEST_CASE_METHOD(Fixture, "a starting gateway continues the count from crashes that peers report again") {
  crash({kCulprit, request(10)});
  crash({kCulprit, request(11)});
  const std::vector<ServerCrash> open = crashes.unresolvedCrashes(10, now);
  REQUIRE(open.size() == 2);
  CHECK(open[0].in_flight == std::vector{kCulprit});
  CrashRegister other(now);
  for (const ServerCrash& report : open) {
    other.noteCrash(report, now);
  }
  CHECK(other.crashCount(kCulprit) == 2);
  CHECK(crashes.unresolvedCrashes(1, now).empty());
  CHECK(crashes.unresolvedCrashes(10, now + absl::Minutes(2)).empty());
}

TEST_CASE_METHOD(Fixture, "reports of several gateways about one crash add up to all requests in flight") {
  CHECK_FALSE(crashes.noteCrash({1, kService, {kCulprit}}, now));
  CHECK_FALSE(crashes.noteCrash({1, kService, {kBystander}}, now));
  CHECK(crashes.crashCount(kCulprit) == 1);
  CHECK(crashes.crashCount(kBystander) == 1);
}

TEST_CASE_METHOD(Fixture,
                 "a late report of another request at the last crash comes in time to prevent a quarantine") {
  crash({kCulprit, kBystander});
  crash({kCulprit, kBystander});
  now += absl::Seconds(1);
  CHECK(crashes.noteCrash({++last_incarnation, kService, {kBystander}}, now));
  CHECK(verdict(kBystander) == CrashVerdict::kWait);
  crashes.noteCrash({last_incarnation, kService, {kCulprit}}, now + absl::Milliseconds(60));
  now += CrashRegister::kEvidenceDelay;
  CHECK(crashes.settle(now).empty());
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "suspects run one at a time, each isolated for two seconds at most") {
  crash({kCulprit, kBystander, request(10)});
  crash({kCulprit, kBystander});
  crashes.noteSent(kBystander, now);
  CHECK(verdict(kCulprit) == CrashVerdict::kWait);
  CHECK(verdict(request(10)) == CrashVerdict::kSend);
  crashes.noteOver(request(10));
  CHECK(verdict(kCulprit) == CrashVerdict::kWait);
  crashes.noteOver(kBystander);
  CHECK(verdict(kCulprit) == CrashVerdict::kSend);
  crashes.noteSent(kBystander, now);
  now += CrashRegister::kMaxIsolationTime;
  CHECK(verdict(kCulprit) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "a reported quarantine is new once, and the request is rejected") {
  CHECK(crashes.noteQuarantined({kCulprit}, now));
  CHECK_FALSE(crashes.noteQuarantined({kCulprit}, now));
  CHECK(verdict(kCulprit) == CrashVerdict::kReject);
  CHECK(crashes.quarantined(10) == std::vector{QuarantinedRequest{kCulprit, false}});
}

TEST_CASE_METHOD(Fixture, "a quarantined request gets one trial, and is released once it was served") {
  for (int count = 0; count < 5; ++count) {
    crash({kCulprit, kBystander});
  }
  CHECK(verdict(kBystander) == CrashVerdict::kReject);
  CHECK_FALSE(crashes.isTrialDue(kBystander, now));
  now += CrashRegister::kTrialDelay;
  REQUIRE(crashes.isTrialDue(kBystander, now));
  crashes.takeTrial(kBystander, now);
  CHECK_FALSE(crashes.isTrialDue(kBystander, now));
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
  CHECK(verdict(kBystander) == CrashVerdict::kSend);  // the verdict is read again before it is sent
  crashes.noteSent(kBystander, now);
  CHECK(verdict(kBystander) == CrashVerdict::kReject);
  CHECK_FALSE(crashes.isTrialDue(kCulprit, now));  // one at a time
  crashes.noteServed(kBystander, now);
  crashes.noteOver(kBystander);
  CHECK(verdict(kBystander) == CrashVerdict::kSend);
  REQUIRE(crashes.isTrialDue(kCulprit, now));
  crashes.takeTrial(kCulprit, now);
  crashes.noteSent(kCulprit, now);
  crash({kCulprit});
  crashes.noteOver(kCulprit);
  now += absl::Hours(1);
  CHECK_FALSE(crashes.isTrialDue(kCulprit, now));
  CHECK(verdict(kCulprit) == CrashVerdict::kReject);
}

TEST_CASE_METHOD(Fixture, "a request that had its trial at another gateway gets none here") {
  crashes.noteQuarantined({kCulprit, false}, now);
  now += CrashRegister::kTrialDelay;
  CHECK(crashes.isTrialDue(kCulprit, now));
  crashes.noteQuarantined({kCulprit, true}, now);
  CHECK_FALSE(crashes.isTrialDue(kCulprit, now));
}

TEST_CASE_METHOD(Fixture, "memory for crashes and quarantined requests is bounded, whatever clients send") {
  for (uint64_t count = 0; count < 3000; ++count) {
    std::vector<RequestIdentity> in_flight;
    for (uint64_t index = 0; index < 10; ++index) {
      in_flight.push_back(request(1'000 + count * 10 + index));
    }
    crash(std::move(in_flight));
    crashes.noteQuarantined({request(1'000'000 + count)}, now);
  }
  CHECK(crashes.suspectCount() <= 4096);
  CHECK(crashes.quarantinedCount() <= 1024);
  CHECK(crashes.quarantined(1) == std::vector{QuarantinedRequest{request(1'002'999), false}});
  // The newest evidence still counts.
  crash({kCulprit});
  crash({kCulprit});
  CHECK(crashes.crashCount(kCulprit) == 2);
}

TEST_CASE_METHOD(Fixture, "crashes expire after an hour, quarantine a day after the request last came") {
  crash({kCulprit});
  now += absl::Minutes(61);
  crashes.dropExpired(now);
  CHECK_FALSE(crashes.isSuspect(kCulprit));
  crashes.noteQuarantined({kCulprit}, now);
  for (int hours = 0; hours < 72; hours += 12) {
    now += absl::Hours(12);
    crashes.dropExpired(now);
    CHECK(crashes.verdictOn(kCulprit, now) == CrashVerdict::kReject);
  }
  now += absl::Hours(25);
  crashes.dropExpired(now);
  CHECK(crashes.verdictOn(kCulprit, now) == CrashVerdict::kSend);
}

}  // namespace
}  // namespace quincewick::forwarding
