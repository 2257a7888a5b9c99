// Weighs the designs of the action ledger: latency from submission to dispatch, store writes, messages,
// goodput and availability in virtual time; processor time and memory of the real code.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bench/ledger/prototypes.h"
#include "tests/ledger/cluster.h"

namespace quincewick::ledger {
namespace {

constexpr absl::Duration kStoreLatency = absl::Milliseconds(5);
constexpr absl::Duration kBetweenZones = absl::Microseconds(1200);
constexpr double kStoreLimit = 1000;  // calls/s
constexpr int kOutageSeconds = 600;
constexpr int kOutageRate = 20;  // claims/s

double percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

struct Report {
  std::vector<double> latencies;  // ms
  uint64_t asked = 0;
  double store_writes = 0;
  double messages = 0;
  double message_bytes = 0;
};

void publish(benchmark::State& state, Report& report, double seconds) {
  const auto granted = static_cast<double>(report.latencies.size());
  state.counters["p50_ms"] = percentile(report.latencies, 0.5);
  state.counters["p99_ms"] = percentile(report.latencies, 0.99);
  state.counters["claims_per_s"] = granted / seconds;
  state.counters["granted_share"] = granted / static_cast<double>(report.asked);
  state.counters["writes_per_claim"] = report.store_writes / std::max(granted, 1.0);
  state.counters["messages_per_claim"] = report.messages / std::max(granted, 1.0);
  state.counters["bytes_per_claim"] = report.message_bytes / std::max(granted, 1.0);
}

// Load on one of the prototypes: `rate` claims/s for `seconds`.
template <class Claim>
Report loadPrototype(VirtualTime& time, TableModel& table, int rate, int seconds, const Claim& claim) {
  time.runUntil(time.now() + absl::Seconds(1));
  Report report;
  const uint64_t writes_before = table.writes;
  const absl::Duration gap = absl::Seconds(1) / rate;
  const absl::Time start = time.now();
  for (int number = 0; number < rate * seconds; ++number) {
    time.runUntil(start + gap * number);
    ++report.asked;
    claim(static_cast<uint64_t>(number), [&report, &time, asked = time.now()](bool granted) {
      if (granted) {
        report.latencies.push_back(absl::ToDoubleMilliseconds(time.now() - asked));
      }
    });
  }
  time.runUntil(time.now() + absl::Seconds(3));
  report.store_writes = static_cast<double>(table.writes - writes_before);
  return report;
}

enum class KeyForm { kDated, kUndated };

Report loadLedger(Cluster& cluster, KeyForm form, int rate, int seconds) {
  Report report;
  const uint64_t writes_before = cluster.tableWrites();
  const uint64_t messages_before = cluster.messages();
  const uint64_t bytes_before = cluster.messageBytes();
  const absl::Duration gap = absl::Seconds(1) / rate;
  std::vector<uint64_t> ids;
  for (int number = 0; number < rate * seconds; ++number) {
    cluster.run(gap);
    const auto unique = static_cast<uint64_t>(number);
    const ActionKey key = form == KeyForm::kDated ? cluster.datedKey(unique) : Cluster::undatedKey(unique);
    ids.push_back(cluster.submit(static_cast<size_t>(number) % cluster.nodeCount(), key));
  }
  cluster.run(absl::Seconds(3));
  report.asked = ids.size();
  for (const uint64_t id : ids) {
    const Cluster::Submission& submission = cluster.submission(id);
    if (submission.dispatched_at) {
      report.latencies.push_back(absl::ToDoubleMilliseconds(*submission.dispatched_at - submission.at));
    }
  }
  report.store_writes = static_cast<double>(cluster.tableWrites() - writes_before);
  report.messages = static_cast<double>(cluster.messages() - messages_before);
  report.message_bytes = static_cast<double>(cluster.messageBytes() - bytes_before);
  return report;
}

ClusterOptions siteOptions() {
  ClusterOptions options;
  options.nodes = 3;
  options.between_zones = kBetweenZones;
  options.store_latency = kStoreLatency;
  options.store_calls_per_second = kStoreLimit;
  return options;
}

void tablePerClaim(benchmark::State& state) {
  const bool outage = state.range(0) == 0;
  for (auto _ : state) {
    VirtualTime time;
    TableModel table(time, kStoreLatency, kStoreLimit);
    TablePerClaim design(time, table);
    table.down = outage;
    const int seconds = outage ? kOutageSeconds : 10;
    const int rate = outage ? kOutageRate : static_cast<int>(state.range(0));
    Report report = loadPrototype(time, table, rate, seconds,
                                  [&](uint64_t /*key*/, ClaimDone done) { design.claim(std::move(done)); });
    publish(state, report, seconds);
  }
}

void leasedGroupCommit(benchmark::State& state) {
  const bool outage = state.range(0) == 0;
  for (auto _ : state) {
    VirtualTime time;
    TableModel table(time, kStoreLatency, kStoreLimit);
    LeasedGroupCommit design(time, table, kBetweenZones);
    time.runUntil(time.now() + absl::Seconds(1));
    table.down = outage;
    const int seconds = outage ? kOutageSeconds : 10;
    const int rate = outage ? kOutageRate : static_cast<int>(state.range(0));
    Report report = loadPrototype(time, table, rate, seconds,
                                  [&](uint64_t key, ClaimDone done) { design.claim(key, std::move(done)); });
    publish(state, report, seconds);
  }
}

void quorum(benchmark::State& state, KeyForm form) {
  const bool outage = state.range(0) == 0;
  for (auto _ : state) {
    Cluster cluster(siteOptions());
    cluster.run(absl::Seconds(20));
    cluster.faults.store_down = outage;
    const int seconds = outage ? kOutageSeconds : 10;
    const int rate = outage ? kOutageRate : static_cast<int>(state.range(0));
    Report report = loadLedger(cluster, form, rate, seconds);
    publish(state, report, seconds);
  }
}

void quorumDatedKeys(benchmark::State& state) {
  quorum(state, KeyForm::kDated);
}

void quorumUndatedKeys(benchmark::State& state) {
  quorum(state, KeyForm::kUndated);
}

// All nodes lose their memory at once and start again half a second later, while callers go on.
void restartOfTheSite(benchmark::State& state) {
  const KeyForm form = state.range(0) == 0 ? KeyForm::kDated : KeyForm::kUndated;
  for (auto _ : state) {
    Cluster cluster(siteOptions());
    cluster.run(absl::Seconds(20));
    for (size_t node = 0; node < cluster.nodeCount(); ++node) {
      cluster.crash(node, absl::Milliseconds(500));
    }
    Report report = loadLedger(cluster, form, kOutageRate, 10);
    publish(state, report, 10);
  }
}

// Processor time of one action at a member that is its own majority: claim, dispatch, outcome.
void actionAtOneNode(benchmark::State& state) {
  LedgerOptions options;
  options.maximum_record_bytes = uint64_t{4} * 1024 * 1024 * 1024;
  const Member self{NodeId("node-1"), Incarnation(1), ZoneName("hall-a")};
  ActionLedger ledger(self, options);
  std::mt19937_64 random(1);
  absl::Time now = absl::FromUnixSeconds(1800000000);
  uint64_t versions = 0;
  const auto answer_store = [&](const std::vector<LedgerAction>& actions) {
    std::vector<PlatformReply> replies;
    for (const LedgerAction& action : actions) {
      if (const auto* call = std::get_if<PlatformCall>(&action)) {
        const bool read = std::holds_alternative<TableRead>(call->request);
        replies.push_back(PlatformReply{call->id, read ? PlatformResult(TableItems{{TableItem{"", "", 0}}})
                                                       : PlatformResult(TableCommitted{{++versions}})});
      }
    }
    return replies;
  };
  while (!ledger.voting()) {
    now += absl::Milliseconds(100);
    for (const PlatformReply& reply : answer_store(ledger.handle(Tick{}, now, random))) {
      for (const PlatformReply& next : answer_store(ledger.handle(reply, now, random))) {
        ledger.handle(next, now, random);
      }
    }
  }
  uint64_t number = 0;
  const struct mallinfo2 before = mallinfo2();
  for (auto _ : state) {
    now += absl::Microseconds(10);
    ++number;
    const uint64_t milliseconds = static_cast<uint64_t>(absl::ToUnixMillis(now));
    const std::string time = absl::StrCat(absl::Hex(milliseconds, absl::kZeroPad12));
    const ActionKey key{TenantId("school"),
                        IdempotencyKey(absl::StrCat(time.substr(0, 8), "-", time.substr(8), "-7000-8000-",
                                                    absl::Hex(number, absl::kZeroPad12)))};
    const auto actions =
        ledger.handle(SubmitAction{SubmissionId(number), key, BodyHash{1, number}}, now, random);
    const auto& dispatch = std::get<DispatchAction>(actions.front());
    const auto answers = ledger.handle(
        DispatchFinished{dispatch.claim, DispatchResult::kDone, std::string(100, 'x')}, now, random);
    benchmark::DoNotOptimize(answers);
  }
  const struct mallinfo2 after = mallinfo2();
  state.counters["bytes_per_key"] = static_cast<double>(after.uordblks - before.uordblks) /
                                    static_cast<double>(std::max<size_t>(ledger.recordCount(), 1));
  state.counters["accounted_bytes_per_key"] = static_cast<double>(ledger.recordBytes()) /
                                              static_cast<double>(std::max<size_t>(ledger.recordCount(), 1));
}

// The argument is the rate of claims a second; 0 stands for the ten-minute outage.
BENCHMARK(tablePerClaim)->Arg(100)->Arg(2000)->Arg(0)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(leasedGroupCommit)->Arg(100)->Arg(2000)->Arg(0)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(quorumDatedKeys)->Arg(100)->Arg(2000)->Arg(0)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(quorumUndatedKeys)->Arg(100)->Arg(2000)->Arg(0)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(restartOfTheSite)->Arg(0)->Arg(1)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(actionAtOneNode)->Iterations(200000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace quincewick::ledger
