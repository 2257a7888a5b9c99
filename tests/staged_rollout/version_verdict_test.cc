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
// A variant's response in a tick of 100 ms, for a route that is crowded or not.
using Behaviour = std::function<Answer(int tick, const Stratum& stratum, std::mt19937& random)>;
using When = std::function<bool(int tick, const Stratum& stratum)>;

double uniform(std::mt19937& random) {
  return std::uniform_real_distribution<>(0, 1)(random);
}

Answer soundAnswer(std::mt19937& random) {
  std::lognormal_distribution<double> spread(0, 0.3);
  return {uniform(random) < 0.005, absl::Milliseconds(100 * spread(random))};
}

const Behaviour kSound = [](int, const Stratum&, std::mt19937& random) { return soundAnswer(random); };

// Fails a fraction of the responses while `is_bad` holds.
Behaviour failing(double part, When is_bad) {
  return [part, is_bad](int tick, const Stratum& stratum, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.is_failure = answer.is_failure || (is_bad(tick, stratum) && uniform(random) < part);
    return answer;
  };
}

// No request may reach a bad version later than 5 s after its fiftieth bad response. Reports are up to 0.5 s
// late, and a gateway that doesn't receive the verdict continues for 1.5 s. Of the remaining 3 s the test
// allows 2 s.
constexpr int kTicksToFindBad = 20;

struct WatchedRollout {
  VersionVerdict verdict;
  std::mt19937 random;
  int tick = 0;
  int bad_responses = 0;
  int fiftieth_bad = std::numeric_limits<int>::max() - kTicksToFindBad;  // its tick

  explicit WatchedRollout(uint32_t seed) : random(seed) {}

  void answer(ResponseStats& stats, Variant variant, const Stratum& stratum, const Behaviour& behaviour) {
    const Answer answer = behaviour(tick, stratum, random);
    const bool is_bad = answer.is_failure || answer.took > absl::Milliseconds(400);
    if (variant == Variant::kTarget && is_bad && ++bad_responses == 50) {
      fiftieth_bad = tick;
    }
    if (answer.is_failure) {
      stats.noteFailure(variant, stratum);
    } else {
      stats.noteResponse(variant, stratum, answer.took);
    }
  }

  // Plays 100 ms: 72 responses of the baseline and 8 of the target, over two routes, half of them crowded.
  void play(const Behaviour& base, const Behaviour& target) {
    ResponseStats stats;
    for (int number = 0; number < 80; ++number) {
      const Stratum stratum{number % 2 == 0 ? kLong : kShort, number / 2 % 2 == 0};
      const bool is_base = number < 72;
      answer(stats, is_base ? Variant::kBaseline : Variant::kTarget, stratum, is_base ? base : target);
    }
    verdict.take(stats, kStart + absl::Milliseconds(100) * tick);
    ++tick;
    verdict.judge(kStart + absl::Milliseconds(100) * tick);
  }

  // Plays at most that many ticks, until the target is found bad.
  Verdict playFor(int ticks, const Behaviour& base, const Behaviour& target) {
    const int end = tick + ticks;
    while (tick < end && verdict.verdict() != Verdict::kBad) {
      play(base, target);
    }
    return verdict.verdict();
  }
  bool isFoundInTime() const { return tick <= fiftieth_bad + kTicksToFindBad; }
};

TEST_CASE("a version that responds like the baseline is found good within some seconds") {
  WatchedRollout watched(1);
  CHECK(watched.playFor(70, kSound, kSound) == Verdict::kGood);
}

TEST_CASE("a version that fails a fraction of its requests is found bad in time") {
  const When always = [](int, const Stratum&) { return true; };
  for (const double part : {0.15, 0.2, 0.3, 0.6, 1.0}) {
    for (uint32_t seed = 0; seed < 20; ++seed) {
      WatchedRollout watched(seed);
      CHECK(watched.playFor(600, kSound, failing(part, always)) == Verdict::kBad);
      CHECK(watched.isFoundInTime());
    }
  }
}

TEST_CASE("responses several times slower than the baseline's are bad") {
  const Behaviour slow = [](int, const Stratum&, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.took *= uniform(random) < 0.4 ? 6 : 1;
    return answer;
  };
  WatchedRollout watched(3);
  CHECK(watched.playFor(100, kSound, slow) == Verdict::kBad);
  CHECK(watched.isFoundInTime());
}

TEST_CASE("a version that is bad only late, only on one route or only under load is found bad in time") {
  const When late = [](int tick, const Stratum&) { return tick >= 200; };
  const When one_route = [](int, const Stratum& stratum) { return stratum.route == kLong; };
  const When crowded = [](int, const Stratum& stratum) { return stratum.is_crowded; };
  for (const When& is_bad : {late, one_route, crowded}) {
    for (uint32_t seed = 0; seed < 20; ++seed) {
      WatchedRollout watched(seed);
      CHECK(watched.playFor(600, kSound, failing(0.3, is_bad)) == Verdict::kBad);
      CHECK(watched.isFoundInTime());
    }
  }
}

TEST_CASE("conditions that affect both versions in the same seconds don't make either bad") {
  const When burst = [](int tick, const Stratum&) { return tick / 10 % 3 == 1; };
  const Behaviour slow_in_bursts = [&burst](int tick, const Stratum& stratum, std::mt19937& random) {
    Answer answer = soundAnswer(random);
    answer.took *= burst(tick, stratum) ? 8 : 1;
    return answer;
  };
  for (uint32_t seed = 0; seed < 20; ++seed) {
    WatchedRollout failing_both(seed);
    CHECK(failing_both.playFor(120, failing(0.5, burst), failing(0.5, burst)) != Verdict::kBad);
    WatchedRollout slow_both(seed);
    CHECK(slow_both.playFor(120, slow_in_bursts, slow_in_bursts) != Verdict::kBad);
  }
}

TEST_CASE("good versions are found bad no more often than stated") {
  // The stated probability is 0.001: four or more of 1000 rollouts would be unlikely.
  constexpr int rollouts = 1000;
  int found_bad = 0;
  for (uint32_t seed = 0; seed < rollouts; ++seed) {
    WatchedRollout watched(seed);
    found_bad += watched.playFor(60, kSound, kSound) == Verdict::kBad ? 1 : 0;
  }
  CHECK(found_bad <= 3);
}

TEST_CASE("a version with few responses, or none on a route, is neither good nor bad") {
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

TEST_CASE("stats of a restarted process count in full, later ones by their increase") {
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

// Guards against requests to a bad version while a new lease holder waits for a span to end.
TEST_CASE("the first report to a new lease holder is judged at once if it shows the target to be bad") {
  const Stratum stratum{kLong, false};
  ResponseStats since_the_start;
  for (int number = 0; number < 500; ++number) {
    since_the_start.noteResponse(Variant::kBaseline, stratum, absl::Milliseconds(100));
  }
  for (int number = 0; number < 50; ++number) {
    since_the_start.noteFailure(Variant::kTarget, stratum);
    since_the_start.noteResponse(Variant::kTarget, stratum, absl::Milliseconds(100));
  }
  VersionVerdict verdict;
  verdict.take(since_the_start, kStart);
  verdict.judge(kStart);
  CHECK(verdict.verdict() == Verdict::kBad);
  CHECK(verdict.badResponses() == 50);
}

}  // namespace
}  // namespace quincewick::staged_rollout
