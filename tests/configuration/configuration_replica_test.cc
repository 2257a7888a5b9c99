#include "configuration/configuration_replica.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "tests/configuration/replica_world.h"

namespace quincewick::configuration {
namespace {

std::vector<ObjectChange> tenantWeight(int tenant, int weight) {
  return {{ObjectKey(absl::StrCat("tenants/t", tenant)), absl::StrCat("{weight: ", weight, "}")}};
}

// One thing that happens to the site; `a` and `b` choose where and how.
struct Step {
  int kind = 0;
  uint32_t a = 0;
  uint32_t b = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << "{" << step.kind << "," << step.a << "," << step.b << "}";
}

constexpr int kStepKinds = 40;  // those beyond the faults are proposals

std::vector<ObjectChange> someChange(uint32_t choice) {
  switch (choice % 6) {
    case 0:
      return {{ObjectKey("groups/g"), "{back_ends: \"a=b\"}"}};
    case 1:
      return {{ObjectKey("groups/g"), std::nullopt}};  // invalid while the route stands
    case 2:
      return {{ObjectKey("routes/r"), "{selector: \"\", groups: [g]}"}};  // invalid without the group
    case 3:
      return {{ObjectKey("routes/r"), std::nullopt}};
    default:
      return tenantWeight(static_cast<int>(choice % 3), 1 + static_cast<int>(choice / 6 % 100));
  }
}

void takeStep(ReplicaWorld& world, const Step& step, std::vector<OperationId>& operations) {
  const size_t node = step.a % world.size();
  switch (step.kind) {
    case 0:
      world.store_faults.down = step.b % 2 == 0;
      break;
    case 1:
      world.store_faults.lost_request = 0.3 * (step.a % 2);
      world.store_faults.lost_answer = 0.5 * (step.b % 2);
      world.store_faults.late_effect = 0.4 * (step.b / 2 % 2);
      break;
    case 2:
      world.store_faults.delay = absl::Milliseconds(3 + step.b % 2000);
      break;
    case 3:
      world.network_faults = {0.1 * (step.a % 6), 0.3 * (step.b % 2), 0.3 * (step.b / 2 % 2)};
      break;
    case 4:
      world.cutZone(step.a % 3);
      break;
    case 5:
    case 11:
    case 12:
      world.heal();
      break;
    case 6:
      world.crash(node);
      break;
    case 7:
      world.restart(node);
      break;
    case 8:
      world.pause(node, absl::Milliseconds(step.b % 8000));
      break;
    case 9:
      if (!operations.empty()) {
        world.repeat(node, operations[step.b % operations.size()]);
      }
      break;
    case 10:
      for (size_t other = 0; other < world.size(); ++other) {
        world.restart(other);
      }
      break;
    default:
      operations.push_back(world.propose(node, someChange(step.b), step.b % 3));
  }
  world.run(absl::Milliseconds(step.b % 7 == 0 ? 3000 : step.a % 100));
}

rc::Gen<std::vector<Step>> genSteps() {
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, kStepKinds)),
                                         rc::gen::set(&Step::a, rc::gen::inRange<uint32_t>(0, 1000)),
                                         rc::gen::set(&Step::b, rc::gen::inRange<uint32_t>(0, 10000)));
  constexpr double kLongRuns = 2;
  return rc::gen::scale(kLongRuns, rc::gen::container<std::vector<Step>>(step));
}

TEST_CASE("replicas keep their promises under any order of faults") {
  rc::prop("no reverting, nothing lost, answers are true, and all converge", [] {
    const std::vector<Step> steps = *genSteps();
    WorldOptions options;
    options.seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    ReplicaWorld world(options);
    std::vector<OperationId> operations;
    world.run(absl::Seconds(1));
    for (const Step& step : steps) {
      takeStep(world, step, operations);
    }
    world.heal();
    world.run(absl::Seconds(25));
    world.checkConverged();
    RC_CLASSIFY(world.accepted().size() >= 5, "5 and more accepted");
    RC_CLASSIFY(world.objectCount() > 0, "with snapshots");
    RC_LOG() << absl::StrJoin(world.violations(), "\n");
    RC_ASSERT(world.violations().empty());
  });
}

TEST_CASE("of two operators in a race one wins, and the other is told who") {
  ReplicaWorld world({});
  world.run(absl::Seconds(2));
  world.propose(0, tenantWeight(1, 5));
  world.propose(8, tenantWeight(1, 6));
  world.propose(4, tenantWeight(2, 7));  // does not touch the same object
  world.run(absl::Seconds(3));
  CHECK(world.accepted().size() == 2);
  world.checkConverged();
  CHECK(world.violations() == std::vector<std::string>{});
}

TEST_CASE("a herd restarted with the store down takes the newest version from a single peer") {
  ReplicaWorld world({});
  world.run(absl::Seconds(2));
  for (int change = 1; change <= 30; ++change) {
    world.propose(static_cast<size_t>(change) % world.size(), tenantWeight(change, 2));
    world.run(absl::Milliseconds(300));
  }
  REQUIRE(world.accepted().size() == 30);
  world.store_faults.down = true;
  for (size_t node = 1; node < world.size(); ++node) {
    world.restart(node);
  }
  world.run(absl::Seconds(1));
  world.checkConverged();
  CHECK(world.violations() == std::vector<std::string>{});
}

TEST_CASE("a whole site restarted with the store down waits, or runs on its initial policy") {
  const bool has_initial_policy = GENERATE(false, true);
  ReplicaWorld world({});
  world.run(absl::Seconds(2));
  world.propose(0, tenantWeight(1, 5));
  world.run(absl::Seconds(2));
  if (has_initial_policy) {
    world.initial_policy.emplace().tenants[TenantId("initial")];
  }
  world.store_faults.down = true;
  for (size_t node = 0; node < world.size(); ++node) {
    world.restart(node);
  }
  world.run(absl::Seconds(5));
  for (size_t node = 0; node < world.size(); ++node) {
    CHECK(world.replica(node).isReady() == has_initial_policy);
    CHECK(world.replica(node).policy().tenants.contains(TenantId("initial")) == has_initial_policy);
  }
  world.store_faults.down = false;
  world.run(absl::Seconds(5));
  world.checkConverged();
  CHECK(world.replica(0).policy().tenants.contains(TenantId("t1")));
  CHECK(world.violations() == std::vector<std::string>{});
}

TEST_CASE("the log stays short, and every record is kept for audit") {
  ReplicaWorld world({});
  world.run(absl::Seconds(2));
  for (int change = 1; change <= 100; ++change) {
    world.propose(static_cast<size_t>(change) % world.size(), tenantWeight(change % 7, 1 + change));
    world.run(absl::Milliseconds(500));
  }
  CHECK(world.accepted().size() == 100);
  CHECK(world.logLength() <= 24);  // three intervals of eight
  world.checkConverged();
  CHECK(world.violations() == std::vector<std::string>{});
}

TEST_CASE("going back is a new version with the old contents") {
  ReplicaWorld world({});
  world.run(absl::Seconds(2));
  world.propose(0, tenantWeight(1, 5));
  world.run(absl::Seconds(1));
  const Policy before = world.replica(0).policy();
  world.propose(0, tenantWeight(1, 6));
  world.run(absl::Seconds(1));
  world.propose(0, {{ObjectKey("tenants/t1"), std::nullopt}, {ObjectKey("tenants/t2"), "{}"}});
  world.run(absl::Seconds(1));
  world.propose(3, world.replica(3).changesBackTo(ConfigurationVersion(1)).value());
  world.run(absl::Seconds(1));
  CHECK(world.accepted().size() == 4);
  CHECK(world.replica(0).policy() == before);
  CHECK_FALSE(world.replica(0).changesBackTo(ConfigurationVersion(5)));
  CHECK(world.violations() == std::vector<std::string>{});
}

TEST_CASE("a proposal is judged by what the store held after it came, not by an older poll") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    WorldOptions options;
    options.seed = seed;
    ReplicaWorld world(options);
    world.run(absl::Seconds(2));
    size_t relay = 0;  // of zone 0, to which every third node belongs
    while (!world.replica(relay).isRelay()) {
      relay += options.zones;
    }
    world.cutZone(0);
    world.store_faults.delay = absl::Milliseconds(400);
    world.propose(1, {{ObjectKey("groups/g"), "{back_ends: \"a=b\"}"}});
    for (int step = 0; step < 5000 && world.accepted().empty(); ++step) {
      world.run(absl::Milliseconds(1));
    }
    world.propose(relay, {{ObjectKey("routes/r"), "{selector: \"\", groups: [g]}"}});
    world.run(absl::Seconds(4));
    CHECK(world.accepted().size() == 2);
    CHECK(world.violations() == std::vector<std::string>{});
  }
}

TEST_CASE("decoders survive any bytes") {
  rc::prop("garbage and mutated messages are errors or messages", [](std::string bytes) {
    const Result<PeerMessage> message = decodePeerMessage(bytes);
    RC_ASSERT((!message || !encodePeerMessage(message.value()).empty()));
    std::string real = encodePeerMessage(ChangeBatch{
        {{ConfigurationVersion(1), OperationId("o"), "a", "c", absl::UnixEpoch(), tenantWeight(1, 2)}}});
    real[*rc::gen::inRange<size_t>(0, real.size())] = *rc::gen::arbitrary<char>();
    const Result<PeerMessage> decoded = decodePeerMessage(real);
    RC_ASSERT((!decoded || !encodePeerMessage(decoded.value()).empty()));
    const Result<Document> document = Document::decode(bytes);
    RC_ASSERT((!document || !document.value().encode().empty()));
  });
}

}  // namespace
}  // namespace quincewick::configuration
