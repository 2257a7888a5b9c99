// Rates that servers name for all gateways together, on a site of gateways in virtual time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "quota_site.h"

namespace quincewick::quota {
namespace {

// What a request costs is the time in which its server takes one.
const RateLimit kSecondsASecond{LimitUnit::kRequests, 1, 0, 1};
const LimitTolerance kTolerance{absl::Seconds(4), 0.5, 0};

Site makeSite(size_t count, double rate, double loss, uint64_t seed) {
  return {count,
          kSecondsASecond,
          kTolerance,
          loss,
          seed,
          [rate](Site&) { return 1 / rate; },
          NoOwnerPolicy::kDenyRequest};
}

// What the site promises a server that named the rate.
double allowedIn4Seconds(double rate) {
  return 1.5 * rate * 4 + 5;
}

// In the unit of costs, for so many times the rate.
void runAt(Site& site, double times_the_rate, absl::Duration time) {
  run(site, time, times_the_rate);
}

TEST_CASE("a server asked for far more gets its rate, hardly less and never more") {
  for (const double rate : {0.25, 1.0, 1.1, 20.0, 200.0}) {
    for (const size_t gateways : {1, 7, 79}) {
      Site site = makeSite(gateways, rate, 0, 1);
      runAt(site, 10, absl::Seconds(5));
      const absl::Time from = site.now();
      runAt(site, 10, absl::Seconds(30));
      CAPTURE(rate, gateways);
      CHECK(static_cast<double>(site.mostRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(rate));
      CHECK(site.grantedSince(from) >= 0.9 * 30);
    }
  }
}

TEST_CASE("the whole fleet's gateways together keep to a rate below one request a gateway") {
  Site site = makeSite(985, 1, 0, 2);
  runAt(site, 100, absl::Seconds(8));
  CHECK(static_cast<double>(site.mostRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(1));
}

enum class Event : uint8_t { kStop, kStart, kFreeze, kCut, kDelay, kNothing };

// One second on a site: what happens to a gateway, and how many times the rate is asked for then.
struct Second {
  Event event = Event::kNothing;
  bool concerns_keeper = false;  // the first in rank; else one that the site's seed names
  double times_the_rate = 1;
};

void play(Site& site, uint32_t seed, const Second& second) {
  const size_t index = second.concerns_keeper ? site.owner() : seed % site.size();
  Gateway& gateway = site.gateway(index);
  switch (second.event) {
    case Event::kStop:
      site.stop(index);
      break;
    case Event::kStart:
      if (!gateway.is_up) {
        site.start(index);
      }
      break;
    case Event::kFreeze:
      gateway.frozen_until = site.now() + absl::Seconds(3);
      break;
    case Event::kCut:
      gateway.cut_until = site.now() + kCut;
      break;
    case Event::kDelay:
      gateway.delay = absl::Milliseconds(site.uniform(0, 60));
      break;
    case Event::kNothing:
      break;
  }
  runAt(site, second.times_the_rate, absl::Seconds(1));
}

// What a gateway sends that is cut off, frozen or just started is excused: a keeper that is cut off can't
// know at once that another has taken its books.
TEST_CASE("no 4 s pass a server's rate whatever gateways die, freeze, slow down or are cut off") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const double rate = *rc::gen::element(0.25, 0.5, 1.0, 1.1, 3.0, 20.0, 100.0);
    Site site = makeSite(*rc::gen::inRange<size_t>(2, 80), rate, *rc::gen::element(0.0, 0.025), seed);
    for (int second = 0; second < 24; ++second) {
      const auto event = static_cast<Event>(*rc::gen::inRange(0, 8));
      const bool concerns_keeper = *rc::gen::inRange(0, 3) == 0;
      play(site, seed, {event, concerns_keeper, *rc::gen::element(0.5, 2.0, 20.0)});
    }
    RC_ASSERT(static_cast<double>(site.mostRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(rate));
  }));
}

// While three keepers were silent, each gateway sent a first request by its own share: 12, 35 and 13 came in
// 4 s.
TEST_CASE("gateways that no keeper answers don't each take a share of a rate below one request") {
  using enum Event;
  struct Drawn {
    uint32_t seed;
    double rate;
    double loss;
    size_t gateways;
    std::vector<Second> seconds;
  };
  const std::vector<Drawn> sites = {
      {1900103, 1, 0.025, 38, {{kStop, true, 0.5},  {kStop, true, 20},  {kStop, true, 2},
                               {kStop, false, 20},  {kStop, true, 0.5}, {kStop, true, 20},
                               {kStop, true, 20},   {kStop, true, 0.5}, {kStop, true, 20},
                               {kDelay, true, 0.5}, {kStop, true, 0.5}, {kStop, true, 2},
                               {kStop, true, 0.5},  {kStop, true, 2},   {kStop, true, 2},
                               {kStop, true, 0.5},  {kStart, true, 2},  {kStop, false, 0.5},
                               {kStop, false, 20},  {kStop, false, 2},  {kStop, true, 20},
                               {kStop, true, 20},   {kStop, true, 20},  {kStop, true, 2}}},
      {256377192, 3, 0, 55, {{kStop, true, 0.5},   {kStop, true, 2},    {kStop, true, 0.5},
                             {kStop, true, 2},     {kStop, true, 2},    {kStart, false, 0.5},
                             {kStart, false, 20},  {kStop, true, 20},   {kStart, false, 2},
                             {kStop, true, 0.5},   {kFreeze, false, 2}, {kStop, true, 0.5},
                             {kDelay, false, 0.5}, {kStart, false, 2},  {kFreeze, false, 20},
                             {kStart, false, 20},  {kStop, true, 2},    {kStop, true, 2},
                             {kStop, true, 20},    {kStop, true, 20},   {kStop, true, 0.5},
                             {kStop, true, 0.5},   {kStop, true, 0.5},  {kStop, true, 0.5}}},
      {1516768, 1, 0, 33, {{kDelay, true, 0.5}, {kDelay, false, 20}, {kStop, false, 2},  {kStop, true, 0.5},
                           {kStart, true, 2},   {kStop, true, 20},   {kStop, true, 20},  {kStop, true, 2},
                           {kStop, true, 0.5},  {kStop, true, 20},   {kStop, true, 20},  {kStop, true, 2},
                           {kStop, true, 2},    {kStop, true, 0.5},  {kStop, true, 2},   {kStop, true, 20},
                           {kStop, true, 2},    {kStop, true, 0.5},  {kStop, true, 0.5}, {kStop, true, 2},
                           {kStop, true, 0.5},  {kStart, true, 20},  {kStop, true, 20},  {kStop, true, 0.5}}},
  };
  for (const Drawn& drawn : sites) {
    Site site = makeSite(drawn.gateways, drawn.rate, drawn.loss, drawn.seed);
    for (const Second& second : drawn.seconds) {
      play(site, drawn.seed, second);
    }
    CAPTURE(drawn.seed);
    CHECK(static_cast<double>(site.mostRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(drawn.rate));
  }
}

}  // namespace
}  // namespace quincewick::quota
