// Estimates of engine capability from requests, for engines of one service whose speeds differ by a factor of
// three and that become slow for short periods.
#include "forwarding/engine_capability.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "forwarding/engine_placement.h"
#include "forwarding/occupancy_tracker.h"

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSlow = absl::Microseconds(50);

// Notes four prefills a second for `length`.
absl::Time prefillFor(CapabilityEstimator& estimator, absl::Duration length, absl::Duration per_token,
                      absl::Time now) {
  const absl::Time end = now + length;
  for (; now < end; now += absl::Milliseconds(250)) {
    estimator.notePrefillDone(3000, per_token * 3000, now);
  }
  return now;
}

TEST_CASE("an engine's prefill time per token is known after a few seconds of load") {
  CapabilityEstimator estimator;
  const absl::Time now = prefillFor(estimator, absl::Seconds(4), kSlow, kNow);
  // An error of 10 % shifts the first piece of a long prompt, 9,000 tokens, by 45 ms: less than the wait for
  // one other prompt.
  CHECK(absl::AbsDuration(estimator.at(now).prefill_time_per_token - kSlow) < kSlow / 10);
}

TEST_CASE("one sample changes little, and a slow period is forgotten within seconds") {
  CapabilityEstimator estimator;
  absl::Time now = prefillFor(estimator, absl::Seconds(5), kDefaultPrefillTimePerToken, kNow);
  estimator.notePrefillDone(3000, kSlow * 3000, now);
  CHECK(estimator.at(now).prefill_time_per_token < kDefaultPrefillTimePerToken * 1.1);
  now = prefillFor(estimator, absl::Seconds(1), kSlow, now);
  now = prefillFor(estimator, absl::Seconds(8), kDefaultPrefillTimePerToken, now);
  CHECK(estimator.at(now).prefill_time_per_token < kDefaultPrefillTimePerToken * 1.1);
}

TEST_CASE("an estimate without new samples decays, so that an engine that was avoided is tried again") {
  CapabilityEstimator estimator;
  for (int stream = 0; stream < 10; ++stream) {
    estimator.notePause(absl::Milliseconds(500), kNow);
  }
  const absl::Duration allowed = absl::Milliseconds(300);
  CHECK(estimator.at(kNow).probabilityOfPauseOver(allowed) > 0.9);
  CHECK(estimator.at(kNow + absl::Seconds(30)).probabilityOfPauseOver(allowed) < 0.1);
  const ReportedCapability reported = {estimator.at(kNow), kNow};
  CHECK(reported.at(kNow + absl::Seconds(2)).probabilityOfPauseOver(allowed) > 0.9);
  CHECK(reported.at(kNow + absl::Seconds(20)).probabilityOfPauseOver(allowed) < 0.1);
}

TEST_CASE("the probability of a long pause matches the share of streams that had one") {
  CapabilityEstimator estimator;
  for (int stream = 0; stream < 40; ++stream) {
    estimator.notePause(absl::Milliseconds(stream % 2 == 0 ? 100 : 300), kNow);
  }
  const EngineCapability capability = estimator.at(kNow);
  CHECK(capability.probabilityOfPauseOver(absl::Milliseconds(200)) == Approx(0.5).margin(0.05));
  CHECK(capability.probabilityOfPauseOver(absl::Milliseconds(600)) < 0.02);
  CHECK(EngineCapability().probabilityOfPauseOver(absl::Milliseconds(1)) == 0);
}

TEST_CASE("estimates stay within the allowed range for any samples") {
  CHECK(rc::check([] {
    CapabilityEstimator estimator;
    absl::Time now = kNow;
    for (int step = 0; step < 40; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 3000));
      estimator.notePrefillDone(*rc::gen::inRange<uint64_t>(1, 1'000'000),
                                absl::Milliseconds(*rc::gen::inRange(0, 100'000)), now);
      estimator.notePause(absl::Milliseconds(*rc::gen::inRange(0, 100'000)), now);
      const EngineCapability reported = estimator.at(now);
      RC_ASSERT(reported.prefill_time_per_token >= kDefaultPrefillTimePerToken / 20);
      RC_ASSERT(reported.prefill_time_per_token <= kDefaultPrefillTimePerToken * 20);
      RC_ASSERT(reported.pause >= absl::ZeroDuration());
      const double chance = reported.probabilityOfPauseOver(absl::Milliseconds(300));
      RC_ASSERT(chance >= 0.0);
      RC_ASSERT(chance <= 1.0);
    }
  }));
}

TEST_CASE("speed is estimated from reservations, except those that waited for a slot") {
  OccupancyTracker tracker;
  absl::Time now = kNow;
  const auto serve = [&](uint64_t number, bool waits_for_slot, absl::Duration took) {
    const OccupancyTracker::ReservationId name = {7, NodeId("g"), number};
    tracker.reserve(name, 3000, waits_for_slot, now);
    now += took;
    tracker.notePrefillDone(name, now);
    tracker.release(name, absl::Milliseconds(400), now);
  };
  for (uint64_t number = 0; number < 10; ++number) {
    serve(number, true, absl::Seconds(1));
  }
  CHECK(tracker.capability(7, now).prefill_time_per_token == kDefaultPrefillTimePerToken);
  for (uint64_t number = 10; number < 30; ++number) {
    serve(number, false, kSlow * 3000);
  }
  CHECK(tracker.capability(7, now).prefill_time_per_token > kSlow * 0.9);
  CHECK(tracker.capability(7, now).pause > absl::Milliseconds(350));
}

TEST_CASE("overdue prefills reveal a silent engine, for a reservation made now only") {
  OccupancyTracker tracker;
  tracker.reserve({7, NodeId("g"), 1}, 3000, false, kNow);
  const auto overdue = [&](absl::Time now) {
    return tracker.withOverdue(7, tracker.capability(7, now), now).prefill_time_per_token;
  };
  // While the prefill may still be running, the estimate is unchanged.
  CHECK(overdue(kNow + absl::Milliseconds(78)) == kDefaultPrefillTimePerToken);
  // A second later a prompt in front counts as eight times its prefill time, so other engines are preferred.
  CHECK(overdue(kNow + absl::Seconds(1)) > kDefaultPrefillTimePerToken * 7);
  CHECK(tracker.capability(7, kNow + absl::Seconds(1)).prefill_time_per_token == kDefaultPrefillTimePerToken);
}

TEST_CASE("a lost message about a finished prefill does not make an engine look slow") {
  OccupancyTracker tracker;
  tracker.reserve({7, NodeId("lost"), 1}, 3000, false, kNow);
  tracker.reserve({7, NodeId("g"), 2}, 3000, false, kNow + absl::Milliseconds(10));
  tracker.notePrefillDone({7, NodeId("g"), 2}, kNow + absl::Milliseconds(160));
  const absl::Time now = kNow + absl::Seconds(2);
  CHECK(tracker.withOverdue(7, tracker.capability(7, now), now) == tracker.capability(7, now));
}

TEST_CASE("the next owner starts with the previous owner's estimate") {
  OccupancyTracker tracker;
  EngineCapability reported;
  reported.prefill_time_per_token = kSlow;
  reported.pause = absl::Milliseconds(400);
  reported.pause_deviation = absl::Milliseconds(50);
  tracker.begin(7, reported, kNow);
  CHECK(tracker.capability(7, kNow).pause == absl::Milliseconds(400));
  CHECK(tracker.capability(7, kNow).prefill_time_per_token > kDefaultPrefillTimePerToken * 1.4);
  tracker.begin(7, EngineCapability(), kNow);
  CHECK(tracker.capability(7, kNow).pause == absl::Milliseconds(400));
}

// Streams of eight pieces with an allowed pause of 300 ms run beside long prefills. Every third engine then
// takes 400 ms for a piece.
struct UnevenEngines {
  ServerDirectory directory;
  EnginePlacement placement;
  uint64_t sessions = 0;

  static EnginePlacementSettings settings(bool learned_speed) {
    EnginePlacementSettings result;
    result.switches.learned_speed = learned_speed;
    return result;
  }
  explicit UnevenEngines(bool learned_speed) : placement(settings(learned_speed)) {
    for (int index = 0; index < 30; ++index) {
      ServerEntry entry;
      entry.id = "e" + std::to_string(index);
      entry.service = ServiceName("engines");
      entry.slots = 32;
      entry.models = {{ModelName("m"), WeightsVersion(1), {}}};
      directory.upsert(entry);
      EngineCapability capability;
      capability.pause = absl::Milliseconds(isSlow(index) ? 400 : 120);
      capability.pause_deviation = absl::Milliseconds(50);
      directory.find(entry.id)->capability = {capability, kNow};
    }
  }
  static bool isSlow(int index) { return index % 3 == 0; }
  // The number of streams out of a hundred that are placed on slow engines.
  int atSlowEngines(absl::Time now, uint64_t output_tokens) {
    int slow = 0;
    for (int stream = 0; stream < 100; ++stream) {
      PlacementRequest request;
      request.model = ModelName("m");
      request.prompt = {{"trunk", 120}, {"s" + std::to_string(++sessions), 80}, {"own", 600}};
      request.allowed_pause = absl::Milliseconds(300);
      request.allowed_first_piece = absl::Milliseconds(400);
      request.output_tokens = output_tokens;
      const auto choice = placement.choose(request, directory.ofService(ServiceName("engines")), directory,
                                           {}, {}, WeightsVersion(), now);
      slow += isSlow(std::stoi(choice->server->entry.id.substr(1))) ? 1 : 0;
    }
    return slow;
  }
};

TEST_CASE("streams avoid engines whose pauses would make them late") {
  UnevenEngines uniform(false);
  CHECK(uniform.atSlowEngines(kNow, 50) > 20);
  UnevenEngines learned(true);
  learned.placement.notePauses(50);
  CHECK(learned.atSlowEngines(kNow, 50) == 0);
}

TEST_CASE("an old report does not keep streams away from an engine, since its owner may be gone") {
  UnevenEngines site(true);
  site.placement.notePauses(50);
  CHECK(site.atSlowEngines(kNow + absl::Seconds(40), 50) > 20);
}

TEST_CASE("a response of few tokens is placed on a slow engine more readily than a long stream") {
  UnevenEngines site(true);
  site.placement.notePauses(50);
  CHECK(site.atSlowEngines(kNow, 1) > 5);
}

TEST_CASE("a long prompt is prefilled where it delays the fewest streams") {
  UnevenEngines site(true);
  for (const auto& [id, server] : site.directory.all()) {
    server->own.running = id == "e5" ? 0 : 8;
  }
  PlacementRequest request;
  request.model = ModelName("m");
  request.prompt = {{"own", 9000}};
  int idle = 0;
  for (int draw = 0; draw < 40; ++draw) {
    idle += site.placement
                .choose(request, site.directory.ofService(ServiceName("engines")), site.directory, {}, {},
                        WeightsVersion(), kNow)
                ->server->entry.id == "e5";
  }
  // It is among the twelve candidates in two of five choices.
  CHECK(idle >= 8);
}

}  // namespace
}  // namespace quincewick::forwarding
