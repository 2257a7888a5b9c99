// What engines can do, learnt from requests: engines of one service whose speed differs by three, and that
// turn slow for a moment.
#include "forwarding/engine_capability.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "forwarding/engine_placement.h"
#include "forwarding/occupancy_tracker.h"

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSlow = absl::Microseconds(50);

// Four prompts a second for so long.
absl::Time readFor(CapabilityEstimator& estimator, absl::Duration length, absl::Duration per_token,
                   absl::Time now) {
  const absl::Time end = now + length;
  for (; now < end; now += absl::Milliseconds(250)) {
    estimator.notePrefillDone(3000, per_token * 3000, now);
  }
  return now;
}

TEST_CASE("an engine's own time to read a token is known within some seconds of its load") {
  CapabilityEstimator estimator;
  const absl::Time now = readFor(estimator, absl::Seconds(4), kSlow, kNow);
  // A tenth off moves the first piece of a long prompt, 9,000 tokens, by 45 ms: less than the wait for one
  // other.
  CHECK(absl::AbsDuration(estimator.at(now).read_per_token - kSlow) < kSlow / 10);
}

TEST_CASE("one reading decides nothing, and a slow moment is over within some seconds") {
  CapabilityEstimator estimator;
  absl::Time now = readFor(estimator, absl::Seconds(5), kDefaultReadPerToken, kNow);
  estimator.notePrefillDone(3000, kSlow * 3000, now);
  CHECK(estimator.at(now).read_per_token < kDefaultReadPerToken * 1.1);
  now = readFor(estimator, absl::Seconds(1), kSlow, now);
  now = readFor(estimator, absl::Seconds(8), kDefaultReadPerToken, now);
  CHECK(estimator.at(now).read_per_token < kDefaultReadPerToken * 1.1);
}

TEST_CASE("what is not seen for long is not known, so that an engine that was shunned is tried again") {
  CapabilityEstimator estimator;
  for (int stream = 0; stream < 10; ++stream) {
    estimator.notePause(absl::Milliseconds(500), kNow);
  }
  const absl::Duration allowed = absl::Milliseconds(300);
  CHECK(estimator.at(kNow).probabilityOfPauseOver(allowed) > 0.9);
  CHECK(estimator.at(kNow + absl::Seconds(30)).probabilityOfPauseOver(allowed) < 0.1);
  const ReportedCapability told = {estimator.at(kNow), kNow};
  CHECK(told.at(kNow + absl::Seconds(2)).probabilityOfPauseOver(allowed) > 0.9);
  CHECK(told.at(kNow + absl::Seconds(20)).probabilityOfPauseOver(allowed) < 0.1);
}

TEST_CASE("the chance of a pause too long is that of the streams that had one") {
  CapabilityEstimator estimator;
  for (int stream = 0; stream < 40; ++stream) {
    estimator.notePause(absl::Milliseconds(stream % 2 == 0 ? 100 : 300), kNow);
  }
  const EngineCapability capability = estimator.at(kNow);
  CHECK(capability.probabilityOfPauseOver(absl::Milliseconds(200)) == Approx(0.5).margin(0.05));
  CHECK(capability.probabilityOfPauseOver(absl::Milliseconds(600)) < 0.02);
  CHECK(EngineCapability().probabilityOfPauseOver(absl::Milliseconds(1)) == 0);
}

TEST_CASE("whatever is read and paused, what is told stays within what engines can be") {
  CHECK(rc::check([] {
    CapabilityEstimator estimator;
    absl::Time now = kNow;
    for (int step = 0; step < 40; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 3000));
      estimator.notePrefillDone(*rc::gen::inRange<uint64_t>(1, 1'000'000),
                                absl::Milliseconds(*rc::gen::inRange(0, 100'000)), now);
      estimator.notePause(absl::Milliseconds(*rc::gen::inRange(0, 100'000)), now);
      const EngineCapability told = estimator.at(now);
      RC_ASSERT(told.read_per_token >= kDefaultReadPerToken / 20);
      RC_ASSERT(told.read_per_token <= kDefaultReadPerToken * 20);
      RC_ASSERT(told.pause >= absl::ZeroDuration());
      const double chance = told.probabilityOfPauseOver(absl::Milliseconds(300));
      RC_ASSERT(chance >= 0.0);
      RC_ASSERT(chance <= 1.0);
    }
  }));
}

TEST_CASE("the books learn an engine's speed from places, and not from those that waited for a slot") {
  OccupancyTracker books;
  absl::Time now = kNow;
  const auto serve = [&](uint64_t number, bool waits_for_slot, absl::Duration took) {
    const OccupancyTracker::ReservationId name = {7, NodeId("g"), number};
    books.reserve(name, 3000, waits_for_slot, now);
    now += took;
    books.notePrefillDone(name, now);
    books.release(name, absl::Milliseconds(400), now);
  };
  for (uint64_t number = 0; number < 10; ++number) {
    serve(number, true, absl::Seconds(1));
  }
  CHECK(books.capability(7, now).read_per_token == kDefaultReadPerToken);
  for (uint64_t number = 10; number < 30; ++number) {
    serve(number, false, kSlow * 3000);
  }
  CHECK(books.capability(7, now).read_per_token > kSlow * 0.9);
  CHECK(books.capability(7, now).pause > absl::Milliseconds(350));
}

TEST_CASE("an engine that went silent is known by what is overdue, for the place that is asked for now") {
  OccupancyTracker books;
  books.reserve({7, NodeId("g"), 1}, 3000, false, kNow);
  const auto overdue = [&](absl::Time now) {
    return books.withOverdue(7, books.capability(7, now), now).read_per_token;
  };
  // As long as it may be reading, nothing is said.
  CHECK(overdue(kNow + absl::Milliseconds(78)) == kDefaultReadPerToken);
  // A second later a prompt before it counts as eight times its time: other engines go first.
  CHECK(overdue(kNow + absl::Seconds(1)) > kDefaultReadPerToken * 7);
  CHECK(books.capability(7, kNow + absl::Seconds(1)).read_per_token == kDefaultReadPerToken);
}

TEST_CASE("a lost message about a reading makes no engine slow") {
  OccupancyTracker books;
  books.reserve({7, NodeId("lost"), 1}, 3000, false, kNow);
  books.reserve({7, NodeId("g"), 2}, 3000, false, kNow + absl::Milliseconds(10));
  books.notePrefillDone({7, NodeId("g"), 2}, kNow + absl::Milliseconds(160));
  const absl::Time now = kNow + absl::Seconds(2);
  CHECK(books.withOverdue(7, books.capability(7, now), now) == books.capability(7, now));
}

TEST_CASE("the next keeper begins with what the last one told") {
  OccupancyTracker books;
  EngineCapability told;
  told.read_per_token = kSlow;
  told.pause = absl::Milliseconds(400);
  told.pause_deviation = absl::Milliseconds(50);
  books.begin(7, told, kNow);
  CHECK(books.capability(7, kNow).pause == absl::Milliseconds(400));
  CHECK(books.capability(7, kNow).read_per_token > kDefaultReadPerToken * 1.4);
  books.begin(7, EngineCapability(), kNow);
  CHECK(books.capability(7, kNow).pause == absl::Milliseconds(400));
}

// The load: streams of eight pieces that may pause for 300 ms, beside long prompts that are read, on engines
// of which every third takes 400 ms for a piece then.
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
  // How many of a hundred streams go to slow engines.
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

TEST_CASE("streams keep away from engines whose pauses would make them late") {
  UnevenEngines alike(false);
  CHECK(alike.atSlowEngines(kNow, 50) > 20);
  UnevenEngines known(true);
  known.placement.notePauses(50);
  CHECK(known.atSlowEngines(kNow, 50) == 0);
}

TEST_CASE("what a gateway was told long ago keeps nobody away: its keeper may be gone") {
  UnevenEngines site(true);
  site.placement.notePauses(50);
  CHECK(site.atSlowEngines(kNow + absl::Seconds(40), 50) > 20);
}

TEST_CASE("an answer of few tokens may go to a slow engine more easily than a long stream") {
  UnevenEngines site(true);
  site.placement.notePauses(50);
  CHECK(site.atSlowEngines(kNow, 1) > 5);
}

TEST_CASE("a long prompt is read where it holds up the fewest streams") {
  UnevenEngines site(true);
  for (const auto& [id, server] : site.directory.all()) {
    server->own.running = id == "e5" ? 0 : 8;
  }
  PlacementRequest request;
  request.model = ModelName("m");
  request.prompt = {{"own", 9000}};
  int quiet = 0;
  for (int draw = 0; draw < 40; ++draw) {
    quiet += site.placement
                 .choose(request, site.directory.ofService(ServiceName("engines")), site.directory, {}, {},
                         WeightsVersion(), kNow)
                 ->server->entry.id == "e5";
  }
  // It is among the twelve that are weighed in two of five choices.
  CHECK(quiet >= 8);
}

}  // namespace
}  // namespace quincewick::forwarding
