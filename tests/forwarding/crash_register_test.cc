#include "forwarding/crash_register.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr uint64_t kService = 7;

RequestIdentity request(uint64_t number) {
  return {number, number + 1};
}

// Ends one second after the other, each of another server.
struct Fixture {
  CrashRegister crashes{kStart - absl::Minutes(10)};
  absl::Time now = kStart;
  uint64_t last_life = 0;

  // Returns what is to blame once all had time to object.
  std::vector<RequestIdentity> end(std::vector<RequestIdentity> in_flight, uint64_t service = kService) {
    now += absl::Seconds(1);
    crashes.noteCrash({++last_life, service, std::move(in_flight)}, now);
    now += CrashRegister::kEvidenceDelay;
    return crashes.settle(now);
  }
  CrashVerdict verdict(const RequestIdentity& identity) { return crashes.verdictOn(identity, now); }
};

const RequestIdentity kDeadly = request(1);
const RequestIdentity kBeside = request(2);

TEST_CASE_METHOD(Fixture, "a request is to blame for the third server that ends under it, not before") {
  CHECK(end({kDeadly, request(10)}).empty());
  CHECK(end({kDeadly, request(11)}).empty());
  CHECK(verdict(kDeadly) == CrashVerdict::kSend);
  CHECK(crashes.noteCrash({++last_life, kService, {kDeadly, request(12)}}, now));
  CHECK(verdict(kDeadly) == CrashVerdict::kWait);
  now += CrashRegister::kEvidenceDelay;
  CHECK(crashes.settle(now) == std::vector{kDeadly});
  CHECK(verdict(kDeadly) == CrashVerdict::kReject);
  CHECK(verdict(request(12)) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "who stood beside a worse request is not to blame, however often") {
  end({kDeadly, kBeside});
  end({kDeadly});
  for (int count = 0; count < 10; ++count) {
    end({kDeadly, kBeside});
  }
  CHECK(verdict(kDeadly) == CrashVerdict::kReject);
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture,
                 "two that always stand together are told apart as soon as one ends a server alone") {
  for (int count = 0; count < 3; ++count) {
    CHECK(end({kDeadly, kBeside}).empty());
  }
  CHECK(end({kDeadly}) == std::vector{kDeadly});
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "two that are never told apart are to blame for the fourth end") {
  for (int count = 0; count < 3; ++count) {
    CHECK(end({kDeadly, kBeside}).empty());
  }
  CHECK(end({kDeadly, kBeside}).size() == 2);
}

TEST_CASE_METHOD(Fixture, "three ends at once are not enough, for part of a service may have fallen") {
  for (int count = 0; count < 3; ++count) {
    now += absl::Milliseconds(100);
    CHECK_FALSE(crashes.noteCrash({++last_life, kService, {kDeadly}}, now));
  }
  CHECK(end({kDeadly}) == std::vector{kDeadly});
}

TEST_CASE_METHOD(Fixture,
                 "a gateway that started lately takes four ends, for it can't know what fell before") {
  crashes = CrashRegister(now);
  for (int count = 0; count < 3; ++count) {
    CHECK(end({kDeadly}).empty());
  }
  CHECK(end({kDeadly}) == std::vector{kDeadly});
}

TEST_CASE_METHOD(Fixture, "where servers fall anyway it takes four ends") {
  CHECK(end({kDeadly}).empty());
  for (uint64_t count = 0; count < 6; ++count) {
    end({request(100 + count)});
  }
  for (int count = 0; count < 2; ++count) {
    CHECK(end({kDeadly}).empty());
  }
  CHECK(end({kDeadly}) == std::vector{kDeadly});
}

TEST_CASE_METHOD(Fixture, "ends of another service, or of another culprit, do not speak for a request") {
  const RequestIdentity other = request(3);
  end({kDeadly});
  for (int count = 0; count < 6; ++count) {
    end({request(100 + static_cast<uint64_t>(count))}, kService + 1);
    end({other});
  }
  end({kDeadly});
  CHECK(end({kDeadly}) == std::vector{kDeadly});
}

TEST_CASE_METHOD(Fixture, "a body that many send is sound where it was served lately, here or elsewhere") {
  crashes.noteServed(kBeside, now);
  for (int count = 0; count < 6; ++count) {
    CHECK(end({kBeside}).empty());
  }
  // Long after it was served it may be charged; served once more, nothing is left of that.
  now += absl::Minutes(2);
  for (int count = 0; count < 5; ++count) {
    end({kBeside});
  }
  CHECK(verdict(kBeside) == CrashVerdict::kReject);
  CHECK(crashes.noteServed(kBeside, now));
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
  CHECK(crashes.crashCount(kBeside) == 0);
  CHECK_FALSE(crashes.noteQuarantined({kBeside}, now));
}

TEST_CASE_METHOD(Fixture,
                 "one end counts once, whoever tells of it, and a later one of the same name again") {
  const ServerCrash told{1, kService, {kDeadly}};
  for (int teller = 0; teller < 5; ++teller) {
    now += absl::Milliseconds(30);
    CHECK_FALSE(crashes.noteCrash(told, now));
  }
  CHECK(crashes.crashCount(kDeadly) == 1);
  now += absl::Seconds(2);
  crashes.noteCrash(told, now);
  CHECK(crashes.crashCount(kDeadly) == 2);
}

TEST_CASE_METHOD(Fixture, "an end that is told again is the same end, however late") {
  const ServerCrash told{1, kService, {kDeadly}};
  crashes.noteCrash(told, now);
  for (int second = 1; second < 10; ++second) {
    ServerCrash again = told;
    again.ago = absl::Seconds(second) + absl::Milliseconds(100);
    crashes.noteCrash(again, now + absl::Seconds(second));
  }
  CHECK(crashes.crashCount(kDeadly) == 1);
}

TEST_CASE_METHOD(Fixture, "a gateway that starts counts on from the ends that others tell again") {
  end({kDeadly, request(10)});
  end({kDeadly, request(11)});
  const std::vector<ServerCrash> open = crashes.unresolvedCrashes(10, now);
  REQUIRE(open.size() == 2);
  CHECK(open[0].in_flight == std::vector{kDeadly});
  CrashRegister other(now);
  for (const ServerCrash& told : open) {
    other.noteCrash(told, now);
  }
  CHECK(other.crashCount(kDeadly) == 2);
  CHECK(crashes.unresolvedCrashes(1, now).empty());
  CHECK(crashes.unresolvedCrashes(10, now + absl::Minutes(2)).empty());
}

TEST_CASE_METHOD(Fixture, "evidence of several gateways about one end adds up to all who were there") {
  CHECK_FALSE(crashes.noteCrash({1, kService, {kDeadly}}, now));
  CHECK_FALSE(crashes.noteCrash({1, kService, {kBeside}}, now));
  CHECK(crashes.crashCount(kDeadly) == 1);
  CHECK(crashes.crashCount(kBeside) == 1);
}

TEST_CASE_METHOD(Fixture, "who else was at the last end is heard before anybody is blamed") {
  end({kDeadly, kBeside});
  end({kDeadly, kBeside});
  now += absl::Seconds(1);
  CHECK(crashes.noteCrash({++last_life, kService, {kBeside}}, now));
  CHECK(verdict(kBeside) == CrashVerdict::kWait);
  crashes.noteCrash({last_life, kService, {kDeadly}}, now + absl::Milliseconds(60));
  now += CrashRegister::kEvidenceDelay;
  CHECK(crashes.settle(now).empty());
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "suspects run one at a time, for two seconds at most") {
  end({kDeadly, kBeside, request(10)});
  end({kDeadly, kBeside});
  crashes.noteSent(kBeside, now);
  CHECK(verdict(kDeadly) == CrashVerdict::kWait);
  CHECK(verdict(request(10)) == CrashVerdict::kSend);
  crashes.noteOver(request(10));
  CHECK(verdict(kDeadly) == CrashVerdict::kWait);
  crashes.noteOver(kBeside);
  CHECK(verdict(kDeadly) == CrashVerdict::kSend);
  crashes.noteSent(kBeside, now);
  now += CrashRegister::kMaxIsolationTime;
  CHECK(verdict(kDeadly) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "what is told to be to blame is rejected, but for what was served here") {
  CHECK(crashes.noteQuarantined({kDeadly}, now));
  CHECK_FALSE(crashes.noteQuarantined({kDeadly}, now));
  CHECK(verdict(kDeadly) == CrashVerdict::kReject);
  CHECK(crashes.blamed(10) == std::vector{QuarantinedRequest{kDeadly, false}});
}

TEST_CASE_METHOD(Fixture, "a request that is to blame is tried once more, and is free once it was served") {
  for (int count = 0; count < 5; ++count) {
    end({kDeadly, kBeside});
  }
  CHECK(verdict(kBeside) == CrashVerdict::kReject);
  CHECK_FALSE(crashes.isTrialDue(kBeside, now));
  now += CrashRegister::kTrialDelay;
  REQUIRE(crashes.isTrialDue(kBeside, now));
  crashes.takeTrial(kBeside, now);
  CHECK_FALSE(crashes.isTrialDue(kBeside, now));
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
  CHECK(verdict(kBeside) == CrashVerdict::kSend);  // asked once more on its way
  crashes.noteSent(kBeside, now);
  CHECK(verdict(kBeside) == CrashVerdict::kReject);
  CHECK_FALSE(crashes.isTrialDue(kDeadly, now));  // one at a time
  crashes.noteServed(kBeside, now);
  crashes.noteOver(kBeside);
  CHECK(verdict(kBeside) == CrashVerdict::kSend);
  REQUIRE(crashes.isTrialDue(kDeadly, now));
  crashes.takeTrial(kDeadly, now);
  crashes.noteSent(kDeadly, now);
  end({kDeadly});
  crashes.noteOver(kDeadly);
  now += absl::Hours(1);
  CHECK_FALSE(crashes.isTrialDue(kDeadly, now));
  CHECK(verdict(kDeadly) == CrashVerdict::kReject);
}

TEST_CASE_METHOD(Fixture, "what another gateway has tried once more is not tried here") {
  crashes.noteQuarantined({kDeadly, false}, now);
  now += CrashRegister::kTrialDelay;
  CHECK(crashes.isTrialDue(kDeadly, now));
  crashes.noteQuarantined({kDeadly, true}, now);
  CHECK_FALSE(crashes.isTrialDue(kDeadly, now));
}

TEST_CASE_METHOD(Fixture, "what callers send fills neither the ends nor the blamed without bound") {
  for (uint64_t count = 0; count < 3000; ++count) {
    std::vector<RequestIdentity> in_flight;
    for (uint64_t index = 0; index < 10; ++index) {
      in_flight.push_back(request(1'000 + count * 10 + index));
    }
    end(std::move(in_flight));
    crashes.noteQuarantined({request(1'000'000 + count)}, now);
  }
  CHECK(crashes.suspectCount() <= 4096);
  CHECK(crashes.quarantinedCount() <= 1024);
  CHECK(crashes.blamed(1) == std::vector{QuarantinedRequest{request(1'002'999), false}});
  // The newest evidence still counts.
  end({kDeadly});
  end({kDeadly});
  CHECK(crashes.crashCount(kDeadly) == 2);
}

TEST_CASE_METHOD(Fixture, "ends are forgotten after an hour, blame a day after the request came last") {
  end({kDeadly});
  now += absl::Minutes(61);
  crashes.dropExpired(now);
  CHECK_FALSE(crashes.isSuspect(kDeadly));
  crashes.noteQuarantined({kDeadly}, now);
  for (int hours = 0; hours < 72; hours += 12) {
    now += absl::Hours(12);
    crashes.dropExpired(now);
    CHECK(crashes.verdictOn(kDeadly, now) == CrashVerdict::kReject);
  }
  now += absl::Hours(25);
  crashes.dropExpired(now);
  CHECK(crashes.verdictOn(kDeadly, now) == CrashVerdict::kSend);
}

}  // namespace
}  // namespace quincewick::forwarding
