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
  CrashRegister crashes;
  absl::Time now = kStart;
  uint64_t last_life = 0;

  std::vector<RequestIdentity> end(std::vector<RequestIdentity> there, uint64_t service = kService) {
    now += absl::Seconds(1);
    return crashes.noteEnd({++last_life, service, std::move(there)}, now);
  }
  CrashVerdict later(const RequestIdentity& identity) {
    now += CrashRegister::kObjectionTime;
    return crashes.verdictOn(identity, now);
  }
};

const RequestIdentity kDeadly = request(1);
const RequestIdentity kBeside = request(2);

TEST_CASE_METHOD(Fixture, "a request is to blame for the third server that ends under it, not before") {
  CHECK(end({kDeadly, request(10)}).empty());
  CHECK(end({kDeadly, request(11)}).empty());
  CHECK(later(kDeadly) == CrashVerdict::kSend);
  CHECK(end({kDeadly, request(12)}) == std::vector{kDeadly});
  CHECK(crashes.verdictOn(kDeadly, now) == CrashVerdict::kWait);
  CHECK(later(kDeadly) == CrashVerdict::kReject);
  CHECK(later(request(12)) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "who stood beside a worse request is not to blame, however often") {
  end({kDeadly, kBeside});
  end({kDeadly});
  for (int count = 0; count < 10; ++count) {
    end({kDeadly, kBeside});
  }
  CHECK(later(kDeadly) == CrashVerdict::kReject);
  CHECK(later(kBeside) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture,
                 "two that always stand together are told apart as soon as one ends a server alone") {
  for (int count = 0; count < 3; ++count) {
    CHECK(end({kDeadly, kBeside}).empty());
  }
  CHECK(end({kDeadly}) == std::vector{kDeadly});
  CHECK(later(kBeside) == CrashVerdict::kSend);
}

TEST_CASE_METHOD(Fixture, "two that are never told apart are to blame for the fifth end") {
  for (int count = 0; count < 4; ++count) {
    CHECK(end({kDeadly, kBeside}).empty());
  }
  CHECK(end({kDeadly, kBeside}).size() == 2);
}

TEST_CASE_METHOD(Fixture, "where servers fall anyway it takes five ends") {
  CHECK(end({kDeadly}).empty());
  for (uint64_t count = 0; count < 6; ++count) {
    end({request(100 + count)});
  }
  for (int count = 0; count < 3; ++count) {
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
  CHECK(later(kBeside) == CrashVerdict::kReject);
  CHECK(crashes.noteServed(kBeside, now));
  CHECK(later(kBeside) == CrashVerdict::kSend);
  CHECK(crashes.endsUnder(kBeside) == 0);
  CHECK_FALSE(crashes.noteBlamed(kBeside, now));
}

TEST_CASE_METHOD(Fixture,
                 "one end counts once, whoever tells of it, and a later one of the same name again") {
  const ServerEnd told{1, kService, {kDeadly}};
  for (int teller = 0; teller < 5; ++teller) {
    now += absl::Milliseconds(30);
    CHECK(crashes.noteEnd(told, now).empty());
  }
  CHECK(crashes.endsUnder(kDeadly) == 1);
  now += absl::Seconds(2);
  crashes.noteEnd(told, now);
  CHECK(crashes.endsUnder(kDeadly) == 2);
}

TEST_CASE_METHOD(Fixture, "evidence of several gateways about one end adds up to all who were there") {
  CHECK(crashes.noteEnd({1, kService, {kDeadly}}, now).empty());
  CHECK(crashes.noteEnd({1, kService, {kBeside}}, now).empty());
  CHECK(crashes.endsUnder(kDeadly) == 1);
  CHECK(crashes.endsUnder(kBeside) == 1);
}

TEST_CASE_METHOD(Fixture, "what is told to be to blame is rejected, but for what was served here") {
  CHECK(crashes.noteBlamed(kDeadly, now));
  CHECK_FALSE(crashes.noteBlamed(kDeadly, now));
  CHECK(later(kDeadly) == CrashVerdict::kReject);
  CHECK(crashes.blamed(10) == std::vector{kDeadly});
}

TEST_CASE_METHOD(Fixture, "what callers send fills neither the ends nor the blamed without bound") {
  for (uint64_t count = 0; count < 3000; ++count) {
    std::vector<RequestIdentity> there;
    for (uint64_t index = 0; index < 10; ++index) {
      there.push_back(request(1'000 + count * 10 + index));
    }
    end(std::move(there));
    crashes.noteBlamed(request(1'000'000 + count), now);
  }
  CHECK(crashes.suspectCount() <= 4096);
  CHECK(crashes.blamedCount() <= 1024);
  CHECK(crashes.blamed(1) == std::vector{request(1'002'999)});
  // The newest evidence still counts.
  end({kDeadly});
  end({kDeadly});
  CHECK(crashes.endsUnder(kDeadly) == 2);
}

TEST_CASE_METHOD(Fixture, "ends are forgotten after an hour, blame a day after the request came last") {
  end({kDeadly});
  now += absl::Minutes(61);
  crashes.forgetOld(now);
  CHECK_FALSE(crashes.isSuspect(kDeadly));
  crashes.noteBlamed(kDeadly, now);
  for (int hours = 0; hours < 72; hours += 12) {
    now += absl::Hours(12);
    crashes.forgetOld(now);
    CHECK(crashes.verdictOn(kDeadly, now) == CrashVerdict::kReject);
  }
  now += absl::Hours(25);
  crashes.forgetOld(now);
  CHECK(crashes.verdictOn(kDeadly, now) == CrashVerdict::kSend);
}

}  // namespace
}  // namespace quincewick::forwarding
