// Each check is shown to fail on a wrong event and to stay silent on the right one.
#include "simulation/promise_observer.h"

#include <catch2/catch.hpp>

namespace quincewick::simulation {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

PromiseObserver makeObserver() {
  return {2, 2, PromiseLimits()};
}

TEST_CASE("a use of foreign cached blocks is counted") {
  PromiseObserver observer = makeObserver();
  observer.crossCacheUses(3);
  CHECK(observer.violations().cross_cache_use == 3);
  CHECK(observer.violations().total() == 3);
}

TEST_CASE("a stream is broken by a gap, a repeat, an early, second or missing part") {
  PromiseObserver observer = makeObserver();
  observer.tokensReceived(1, 0, 10);
  observer.tokensReceived(1, 10, 12);
  observer.streamEnded(1, 12);
  CHECK(observer.violations().broken_streams == 0);
  observer.streamEnded(1, 12);  // a second end marker
  CHECK(observer.violations().broken_streams == 1);
  observer.tokensReceived(2, 0, 5);
  observer.tokensReceived(2, 6, 7);  // a gap
  CHECK(observer.violations().broken_streams == 2);
  observer.tokensReceived(2, 6, 8);  // a repeat
  CHECK(observer.violations().broken_streams == 3);
  observer.streamEnded(2, 9);  // an early end
  CHECK(observer.violations().broken_streams == 4);
  observer.tokensReceived(3, 0, 5);
  observer.streamCut(3, false);
  CHECK(observer.violations().broken_streams == 4);
  observer.streamCut(4, true);  // a planned stop may not cut
  CHECK(observer.violations().broken_streams == 5);
}

TEST_CASE("a node that does not serve in time after its start is counted once") {
  PromiseObserver observer = makeObserver();
  observer.nodeStarted(0, kStart);
  observer.nodeServes(0, kStart + absl::Seconds(1));
  observer.nodeStarted(1, kStart);
  observer.checkRestarts(kStart + absl::Seconds(4));
  CHECK(observer.violations().restart_not_serving == 0);
  observer.checkRestarts(kStart + absl::Seconds(6));
  observer.checkRestarts(kStart + absl::Seconds(7));
  CHECK(observer.violations().restart_not_serving == 1);
  observer.nodeStarted(0, kStart);
  observer.nodeServes(0, kStart + absl::Seconds(9));
  CHECK(observer.violations().restart_not_serving == 2);
}

TEST_CASE("a refusal as not run is false when a back end took the request before or after") {
  PromiseObserver observer = makeObserver();
  observer.refused(1, Execution::kNotRun);
  observer.engineTookRequest(2);
  observer.refused(2, Execution::kUnknown);
  CHECK(observer.violations().false_not_run == 0);
  observer.engineTookRequest(1);
  CHECK(observer.violations().false_not_run == 1);
  observer.refused(2, Execution::kNotRun);
  CHECK(observer.violations().false_not_run == 2);
}

TEST_CASE("an action's second run is counted, and a run refutes a refusal") {
  PromiseObserver observer = makeObserver();
  observer.actionRan(1, "reservation-1");
  observer.actionRan(2, "reservation-2");
  CHECK(observer.violations().repeated_actions == 0);
  observer.actionRan(3, "reservation-1");
  CHECK(observer.violations().repeated_actions == 1);
  observer.refused(3, Execution::kNotRun);
  CHECK(observer.violations().false_not_run == 1);
}

TEST_CASE("new work for an engine that leaves is allowed for some seconds only") {
  PromiseObserver observer = makeObserver();
  observer.engineLeaving(0, kStart);
  observer.workArrived(0, kStart + absl::Seconds(9));
  observer.workArrived(1, kStart + absl::Seconds(60));
  CHECK(observer.violations().work_to_leaving == 0);
  observer.workArrived(0, kStart + absl::Seconds(11));
  CHECK(observer.violations().work_to_leaving == 1);
  observer.engineReturned(0);
  observer.workArrived(0, kStart + absl::Seconds(12));
  CHECK(observer.violations().work_to_leaving == 1);
}

TEST_CASE("a version in force must have been accepted, with that content, and never be older") {
  PromiseObserver observer = makeObserver();
  const ConfigurationVersion first(1);
  const ConfigurationVersion second(2);
  observer.configurationAccepted(first, 11);
  observer.configurationAccepted(second, 22);
  observer.configurationInForce(0, second, 22);
  observer.configurationInForce(1, first, 11);
  CHECK(observer.violations().configuration_reverted == 0);
  observer.configurationInForce(0, first, 11);  // older
  CHECK(observer.violations().configuration_reverted == 1);
  observer.configurationInForce(1, second, 23);  // another content
  CHECK(observer.violations().configuration_reverted == 2);
  observer.configurationInForce(1, ConfigurationVersion(3), 33);  // never accepted
  CHECK(observer.violations().configuration_reverted == 3);
}

}  // namespace
}  // namespace quincewick::simulation
