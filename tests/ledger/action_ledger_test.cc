#include "ledger/action_ledger.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <ostream>

#include "tests/ledger/cluster.h"

namespace quincewick::ledger {
namespace {

void settle(Cluster& cluster) {
  cluster.faults = Cluster::Faults();
  cluster.run(absl::Seconds(20));
}

AnswerStatus submitAndWait(Cluster& cluster, size_t node, const ActionKey& key, uint64_t body = 0) {
  const uint64_t id = cluster.submit(node, key, body);
  cluster.run(absl::Seconds(4));
  const auto& answer = cluster.submission(id).answer;
  REQUIRE(answer.has_value());
  return answer->status;
}

TEST_CASE("a key runs once, its outcome is given to repeats at any node, and another body is a conflict") {
  Cluster cluster(ClusterOptions{});
  cluster.run(absl::Seconds(3));
  for (const ActionKey& key : {Cluster::undatedKey(1), cluster.datedKey(2)}) {
    CHECK(submitAndWait(cluster, 0, key) == AnswerStatus::kDone);
    CHECK(submitAndWait(cluster, 4, key) == AnswerStatus::kDone);
    CHECK(submitAndWait(cluster, 3, key, 77) == AnswerStatus::kConflict);
    CHECK(cluster.runs(key) == 1);
  }
  CHECK(cluster.violation().empty());
}

TEST_CASE("with the store down dated keys go on at once, undated ones once the journal's promise is over") {
  ClusterOptions options;
  Cluster cluster(options);
  cluster.run(absl::Seconds(20));
  cluster.faults.store_down = true;
  CHECK(submitAndWait(cluster, 0, cluster.datedKey(1)) == AnswerStatus::kDone);
  const uint64_t refused = cluster.submit(1, Cluster::undatedKey(1));
  cluster.run(absl::Seconds(4));
  CHECK(cluster.submission(refused).answer->status == AnswerStatus::kNotRun);
  cluster.run(options.ledger.journal_promise);
  CHECK(submitAndWait(cluster, 1, Cluster::undatedKey(1)) == AnswerStatus::kDone);
  CHECK(cluster.violation().empty());
}

TEST_CASE("a restart of the whole site forgets no key, and new keys run at once") {
  Cluster cluster(ClusterOptions{});
  cluster.run(absl::Seconds(20));
  const ActionKey dated = cluster.datedKey(1);
  CHECK(submitAndWait(cluster, 0, dated) == AnswerStatus::kDone);
  CHECK(submitAndWait(cluster, 0, Cluster::undatedKey(1)) == AnswerStatus::kDone);
  for (size_t node = 0; node < cluster.nodeCount(); ++node) {
    cluster.crash(node, absl::Milliseconds(500));
  }
  cluster.run(absl::Seconds(4));
  CHECK(submitAndWait(cluster, 1, dated) == AnswerStatus::kUnknown);
  CHECK(submitAndWait(cluster, 2, Cluster::undatedKey(1)) == AnswerStatus::kDone);
  CHECK(submitAndWait(cluster, 2, Cluster::undatedKey(2)) == AnswerStatus::kDone);
  CHECK(submitAndWait(cluster, 2, cluster.datedKey(3)) == AnswerStatus::kDone);
  CHECK(cluster.violation().empty());
}

TEST_CASE("a zone is lost and the others go on; its replacement takes the records over") {
  Cluster cluster(ClusterOptions{});
  cluster.run(absl::Seconds(3));
  const ActionKey key = cluster.datedKey(1);
  CHECK(submitAndWait(cluster, 1, key) == AnswerStatus::kDone);
  cluster.faults.cut_zones = {0};
  CHECK(submitAndWait(cluster, 1, cluster.datedKey(2)) == AnswerStatus::kDone);
  CHECK(submitAndWait(cluster, 0, cluster.datedKey(3)) == AnswerStatus::kUnavailable);
  cluster.run(absl::Seconds(20));
  cluster.faults.cut_zones = {};
  cluster.run(absl::Seconds(10));
  CHECK(submitAndWait(cluster, 0, key) == AnswerStatus::kDone);
  CHECK(cluster.runs(key) == 1);
  CHECK(cluster.violation().empty());
}

TEST_CASE("outcomes are forgotten after the retention, in memory and in the table") {
  ClusterOptions options;
  options.ledger.retention = absl::Seconds(30);
  Cluster cluster(options);
  cluster.run(absl::Seconds(3));
  for (uint64_t number = 0; number < 300; ++number) {
    cluster.submit(number % 5, Cluster::undatedKey(number));
  }
  cluster.run(absl::Seconds(5));
  CHECK(cluster.tableSize() == 301);  // with the view
  CHECK(cluster.ledger(0).recordCount() == 300);
  cluster.run(absl::Seconds(60));
  CHECK(cluster.tableSize() == 1);
  CHECK(cluster.ledger(0).recordCount() == 0);
  CHECK(cluster.ledger(0).recordBytes() == 0);
  CHECK(cluster.violation().empty());
}

TEST_CASE("a full ledger refuses new keys and keeps the old ones") {
  ClusterOptions options;
  options.ledger.maximum_record_bytes = 5000;
  Cluster cluster(options);
  cluster.run(absl::Seconds(3));
  const ActionKey first = cluster.datedKey(0);
  CHECK(submitAndWait(cluster, 0, first) == AnswerStatus::kDone);
  for (uint64_t number = 1; number < 20; ++number) {
    cluster.submit(1, cluster.datedKey(number));
    cluster.run(absl::Milliseconds(100));
  }
  cluster.run(absl::Seconds(3));
  CHECK(submitAndWait(cluster, 2, cluster.datedKey(100)) == AnswerStatus::kFull);
  CHECK(submitAndWait(cluster, 3, first) == AnswerStatus::kDone);
  CHECK(cluster.ledger(0).recordBytes() <= 5000);
  CHECK(cluster.violation().empty());
}

TEST_CASE("messages survive the round trip, and garbage is refused without harm") {
  rc::prop("garbage", [](const std::string& bytes) { RC_ASSERT(!decode(bytes)); });
  rc::prop("broken message", [](uint64_t place, uint8_t byte) {
    TakeoverReply reply;
    ActionRecord record;
    record.key = Cluster::undatedKey(1);
    record.state = RecordState::kDone;
    record.outcome = "outcome";
    reply.records.push_back(record);
    std::string bytes = encode(reply);
    const Result<Message> whole = decode(bytes);
    RC_ASSERT(std::get<TakeoverReply>(whole.value()).records == reply.records);
    RC_ASSERT(!decode(bytes + "x"));
    RC_ASSERT(!decode(bytes.substr(0, place % bytes.size())));
    bytes[place % bytes.size()] = static_cast<char>(byte);
    static_cast<void>(decode(bytes));  // may be another valid message, but must come back
  });
}

// One step of a random schedule.
struct Step {
  uint8_t kind = 0;
  uint32_t pick = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << int{step.kind} << ":" << step.pick;
}

// Callers who submit a few keys over and over at all nodes, between faults of every sort.
class Schedule {
 public:
  explicit Schedule(const ClusterOptions& options) : cluster_(options) { cluster_.run(absl::Seconds(2)); }

  void step(const Step& step) {
    const size_t node = step.pick % cluster_.nodeCount();
    switch (step.kind) {
      case 0:
      case 1:
      case 2:
        submitHerd(step.pick);
        break;
      case 3:
        cluster_.crash(node, absl::Milliseconds(step.pick % 3000));
        break;
      case 4:
        cluster_.pause(node, absl::Milliseconds(step.pick % 20000));
        break;
      case 5:
        cluster_.faults.cut_zones = {step.pick % 4};
        break;
      case 6:
        cluster_.faults.cut_zones = {};
        break;
      case 7:
        cluster_.faults.store_down = step.pick % 3 != 0;
        break;
      case 8:
        cluster_.faults.loss = (step.pick % 4) * 0.1;
        cluster_.faults.repetition = (step.pick % 3) * 0.2;
        cluster_.faults.delay = (step.pick % 5) * 0.1;
        break;
      case 9:
        cluster_.faults.table_answer_loss = (step.pick % 3) * 0.3;
        cluster_.faults.table_loss = (step.pick % 2) * 0.3;
        break;
      case 10:
        cluster_.faults.dispatch_uncertain = (step.pick % 3) * 0.2;
        cluster_.faults.dispatch_not_sent = (step.pick % 2) * 0.4;
        break;
      case 11:
        for (size_t one = 0; one < cluster_.nodeCount(); ++one) {
          cluster_.crash(one, absl::Milliseconds(step.pick % 5000 + 100 * one));
        }
        break;
      case 12:
        cluster_.faults.membership_stale = (step.pick % 3) * 0.45;
        cluster_.faults.membership_wrong = (step.pick % 4) * 0.2;
        break;
      default:
        cluster_.run(absl::Milliseconds(step.pick * 10));
    }
    cluster_.run(absl::Milliseconds(step.pick % 300));
  }

  Cluster& cluster() { return cluster_; }

 private:
  // The same key at one to three nodes at once; old keys come again.
  void submitHerd(uint32_t pick) {
    if (keys_.empty() || pick % 3 == 0) {
      keys_.push_back(pick % 2 == 0 ? cluster_.datedKey(keys_.size()) : Cluster::undatedKey(keys_.size()));
    }
    const ActionKey key = keys_[keys_.size() - 1 - pick % std::min<size_t>(keys_.size(), 4)];
    for (uint32_t copy = 0; copy <= pick % 3; ++copy) {
      cluster_.submit((pick + copy) % cluster_.nodeCount(), key);
    }
  }

  Cluster cluster_;
  std::vector<ActionKey> keys_;
};

TEST_CASE("under any faults a key runs at most once, and what is said of it is true") {
  rc::prop("at most once", [](uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = *rc::gen::element<size_t>(3, 5, 7);
    Schedule schedule(options);
    const auto step = rc::gen::apply(
        [](uint8_t kind, uint32_t pick) {
          return Step{kind, pick};
        },
        rc::gen::inRange<uint8_t>(0, 15), rc::gen::inRange<uint32_t>(0, 1000));
    for (const Step& one : *rc::gen::container<std::vector<Step>>(60, step)) {
      schedule.step(one);
      RC_ASSERT(schedule.cluster().violation() == "");
    }
    settle(schedule.cluster());
    RC_ASSERT(schedule.cluster().violation() == "");
    // Everything heals: each node serves new keys again.
    for (size_t node = 0; node < schedule.cluster().nodeCount(); ++node) {
      const uint64_t id = schedule.cluster().submit(node, schedule.cluster().datedKey(1000 + node));
      schedule.cluster().run(absl::Seconds(3));
      RC_ASSERT(schedule.cluster().submission(id).answer.has_value());
      RC_ASSERT(schedule.cluster().submission(id).answer->status == AnswerStatus::kDone);
    }
    RC_ASSERT(schedule.cluster().violation() == "");
  });
}

}  // namespace
}  // namespace quincewick::ledger
