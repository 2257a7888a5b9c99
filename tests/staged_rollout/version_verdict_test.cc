#include "staged_rollout/version_verdict.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <random>

namespace quincewick::staged_rollout {
namespace {

constexpr uint64_t kLong = 1;
constexpr uint64_t kShort = 2;
const absl::Time kStart = absl::FromUnixSeconds(1000);

struct Answer {
  bool is_failure = false;
  absl::Duration took = absl::Milliseconds(100);
};
// What a side answers in that tick, of a tenth of a second, on that route, crowded or not.
using Behaviour = std::function<Answer(int tick, const Stratum& stratum, std::mt19937& random)>;
using When = std::function<bool(int tick, const Stratum& stratum)>;

double drawn(std::mt19937& random) {
  return std::uniform_real_distribution<>(0, 1)(random);
}

Answer soundAnswer(std::mt19937& random) {
  std::lognormal_distribution<double> spread(0, 0.3);
  return {drawn(random) < 0.005, absl::Milliseconds(100 * spread(random))};
}

const Behaviour kSound = [](int, const Stratum&, std::mt19937& random) { return soundAnswer(random); };

// Fails a part of its answers while `is_bad` holds.
Behaviour failing(double part, When is_bad) {
  return [part, is_bad](int tick, const Stratum& stratum, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.is_failure = answer.is_failure || (is_bad(tick, stratum) && drawn(random) < part);
    return answer;
  };
}

// Nothing may reach a bad version five seconds after its fiftieth bad answer. Accounts come up to half a
// second late, and a gateway that doesn't hear of the verdict goes on for a second and a half: two are left.
constexpr int kTicksToFindBad = 20;

struct Watched {
  VersionVerdict verdict;
  std::mt19937 random;
  int tick = 0;
  int bad_responses = 0;
  int fiftieth_bad = std::numeric_limits<int>::max() - kTicksToFindBad;  // its tick

  explicit Watched(uint32_t seed) : random(seed) {}

  void answer(ResponseStats& account, Variant variant, const Stratum& stratum, const Behaviour& behaviour) {
    const Answer answer = behaviour(tick, stratum, random);
    const bool is_bad = answer.is_failure || answer.took > absl::Milliseconds(400);
    if (variant == Variant::kTarget && is_bad && ++bad_responses == 50) {
      fiftieth_bad = tick;
    }
    if (answer.is_failure) {
      account.noteFailure(variant, stratum);
    } else {
      account.noteResponse(variant, stratum, answer.took);
    }
  }

  // In a tenth of a second 72 answers of the base and 8 of the target, over two routes, half of them crowded.
  void play(const Behaviour& base, const Behaviour& target) {
    ResponseStats account;
    for (int number = 0; number < 80; ++number) {
      const Stratum stratum{number % 2 == 0 ? kLong : kShort, number / 2 % 2 == 0};
      const bool is_base = number < 72;
      answer(account, is_base ? Variant::kBaseline : Variant::kTarget, stratum, is_base ? base : target);
    }
    verdict.take(account, kStart + absl::Milliseconds(100) * tick);
    ++tick;
    verdict.judge(kStart + absl::Milliseconds(100) * tick);
  }

  // Until a verdict against the target, for so many ticks at most.
  Verdict playFor(int ticks, const Behaviour& base, const Behaviour& target) {
    const int end = tick + ticks;
    while (tick < end && verdict.verdict() != Verdict::kBad) {
      play(base, target);
    }
    return verdict.verdict();
  }
  bool isFoundInTime() const { return tick <= fiftieth_bad + kTicksToFindBad; }
};

TEST_CASE("a version that answers as the base does is found good within some seconds") {
  Watched watched(1);
  CHECK(watched.playFor(70, kSound, kSound) == Verdict::kGood);
}

TEST_CASE("a version that fails a part of its answers is found bad in time") {
  const When always = [](int, const Stratum&) { return true; };
  for (const double part : {0.15, 0.2, 0.3, 0.6, 1.0}) {
    for (uint32_t seed = 0; seed < 20; ++seed) {
      Watched watched(seed);
      CHECK(watched.playFor(600, kSound, failing(part, always)) == Verdict::kBad);
      CHECK(watched.isFoundInTime());
    }
  }
}

TEST_CASE("answers several times slower than the base's are bad ones") {
  const Behaviour slow = [](int, const Stratum&, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.took *= drawn(random) < 0.4 ? 6 : 1;
    return answer;
  };
  Watched watched(3);
  CHECK(watched.playFor(100, kSound, slow) == Verdict::kBad);
  CHECK(watched.isFoundInTime());
}

TEST_CASE("a version that turns bad late, on one route or under load alone is found as well") {
  const When late = [](int tick, const Stratum&) { return tick >= 200; };
  const When one_route = [](int, const Stratum& stratum) { return stratum.route == kLong; };
  const When crowded = [](int, const Stratum& stratum) { return stratum.is_crowded; };
  for (const When& is_bad : {late, one_route, crowded}) {
    for (uint32_t seed = 0; seed < 20; ++seed) {
      Watched watched(seed);
      CHECK(watched.playFor(600, kSound, failing(0.3, is_bad)) == Verdict::kBad);
      CHECK(watched.isFoundInTime());
    }
  }
}

TEST_CASE("what strikes both versions in the same seconds condemns neither") {
  const When burst = [](int tick, const Stratum&) { return tick / 10 % 3 == 1; };
  const Behaviour slow_in_bursts = [&burst](int tick, const Stratum& stratum, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.took *= burst(tick, stratum) ? 8 : 1;
    return answer;
  };
  for (uint32_t seed = 0; seed < 20; ++seed) {
    Watched failing_both(seed);
    CHECK(failing_both.playFor(120, failing(0.5, burst), failing(0.5, burst)) != Verdict::kBad);
    Watched slow_both(seed);
    CHECK(slow_both.playFor(120, slow_in_bursts, slow_in_bursts) != Verdict::kBad);
  }
}

TEST_CASE("sound versions are condemned no more often than stated") {
  // The stated chance is one in a thousand: of as many rollouts, four or more would be unlikely.
  constexpr int rollouts = 1000;
  int condemned = 0;
  for (uint32_t seed = 0; seed < rollouts; ++seed) {
    Watched watched(seed);
    condemned += watched.playFor(60, kSound, kSound) == Verdict::kBad ? 1 : 0;
  }
  CHECK(condemned <= 3);
}

TEST_CASE("a version that was hardly tried, or not on a route, is neither good nor bad") {
  VersionVerdict verdict;
  ResponseStats base_alone;
  for (int number = 0; number < 500; ++number) {
    base_alone.noteResponse(Variant::kBaseline, {kLong, false}, absl::Milliseconds(100));
    base_alone.noteResponse(Variant::kBaseline, {kShort, false}, absl::Milliseconds(100));
  }
  verdict.take(base_alone, kStart);
  CHECK(verdict.verdict() == Verdict::kUndecided);
  ResponseStats one_route;
  for (int number = 0; number < 300; ++number) {
    one_route.noteResponse(Variant::kTarget, {kLong, false}, absl::Milliseconds(100));
  }
  verdict.take(one_route, kStart);
  verdict.judge(kStart + absl::Seconds(5));
  CHECK(verdict.verdict() == Verdict::kUndecided);
}

TEST_CASE("an account that begins anew counts whole, a later one what it has more") {
  ResponseCounts first;
  first.answers = 5;
  first.failures = 5;
  ResponseCounts later = first;
  later.answers = 8;
  CHECK(later.since(first).answers == 3);
  CHECK(later.since(first).failures == 0);
  ResponseCounts anew;
  anew.answers = 2;
  CHECK(anew.since(first) == anew);
}

}  // namespace
}  // namespace quincewick::staged_rollout
