// Rate limits that servers set for all gateways together, on a site of gateways in virtual time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "quota_site.h"

namespace quincewick::quota {
namespace {

// A request's cost is the time in which its server accepts one request.
const RateLimit kSecondsASecond{LimitUnit::kRequests, 1, 0, 1};
const LimitTolerance kTolerance{absl::Seconds(4), 0.5, 0};

Site makeSite(size_t count, double rate, double loss, uint64_t seed) {
  return {count, kSecondsASecond, kTolerance, loss, seed, [rate](Site&) { return 1 / rate; }};
}

// The most requests that a server that set the rate may get in 4 s.
double allowedIn4Seconds(double rate) {
  return 1.5 * rate * 4 + 5;
}

// Costs are in seconds, so the demand per second is the multiple of the rate.
void runAt(Site& site, double times_the_rate, absl::Duration time) {
  run(site, time, times_the_rate);
}

TEST_CASE("a server with excess demand gets its rate, hardly less and never more") {
  for (const double rate : {0.25, 1.0, 1.1, 20.0, 200.0}) {
    for (const size_t gateways : {1, 7, 79}) {
      Site site = makeSite(gateways, rate, 0, 1);
      runAt(site, 10, absl::Seconds(5));
      const absl::Time from = site.now();
      runAt(site, 10, absl::Seconds(30));
      CAPTURE(rate, gateways);
      CHECK(static_cast<double>(site.maxRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(rate));
      CHECK(site.grantedSince(from) >= 0.9 * 30);
    }
  }
}

TEST_CASE("the whole fleet's gateways together keep to a rate below one request a gateway") {
  Site site = makeSite(985, 1, 0, 2);
  runAt(site, 100, absl::Seconds(8));
  CHECK(static_cast<double>(site.maxRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(1));
}

// One second on a site: a fault of one gateway, and the demand as a multiple of the rate.
struct Second {
  Fault fault = Fault::kNothing;
  bool affects_owner = false;  // the first in rank; otherwise the seed selects one
  double times_the_rate = 1;
};

void play(Site& site, uint32_t seed, const Second& second) {
  apply(site, second.fault, second.affects_owner ? site.owner() : seed % site.size());
  runAt(site, second.times_the_rate, absl::Seconds(1));
}

// Requests of gateways that are partitioned, frozen or just started aren't counted: a partitioned owner can't
// know at once that another gateway owns its limits.
TEST_CASE("no 4 s exceed a server's rate whatever gateways crash, freeze, slow down or are partitioned") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const double rate = *rc::gen::element(0.25, 0.5, 1.0, 1.1, 3.0, 20.0, 100.0);
    Site site = makeSite(*rc::gen::inRange<size_t>(2, 80), rate, *rc::gen::element(0.0, 0.025), seed);
    for (int second = 0; second < 24; ++second) {
      const auto fault = static_cast<Fault>(*rc::gen::inRange(0, 8));
      const bool affects_owner = *rc::gen::inRange(0, 3) == 0;
      play(site, seed, {fault, affects_owner, *rc::gen::element(0.5, 2.0, 20.0)});
    }
    RC_ASSERT(static_cast<double>(site.maxRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(rate));
  }));
}

// Guards against a burst of first requests: while three owners didn't respond, each gateway sent a request by
// its even share, and 12, 35 and 13 requests arrived in 4 s.
TEST_CASE("gateways without a responding owner don't each use a share of a rate below one request") {
  using enum Fault;
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
    CHECK(static_cast<double>(site.maxRequestsIn(absl::Seconds(4))) <= allowedIn4Seconds(drawn.rate));
  }
}

}  // namespace
}  // namespace quincewick::quota
