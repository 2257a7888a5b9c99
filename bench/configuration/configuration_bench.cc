// How fast an accepted change is in force everywhere, and what it costs a node and the store, as the number
// of nodes grows: hollow nodes on virtual time, 12 zones, 1,600 tenants, 1.1 changes a second, 1 % loss, and
// the death of a zone's relay on the way. Also the cost of single steps.
#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <set>

#include "configuration/access_control.h"
#include "tests/configuration/replica_world.h"

namespace quincewick::configuration {
namespace {

constexpr int kTenants = 1600;
constexpr double kChangesPerSecond = 1.1;
constexpr absl::Duration kPhase = absl::Seconds(60);   // before, during and after the relay's absence
constexpr absl::Duration kCatchUp = absl::Seconds(5);  // of a node that starts anew
// A datagram's envelope with its MAC, and the headers of UDP and IP.
constexpr double kOverheadBytes = 120 + 28;

std::string tenantText(int number) {
  return absl::StrCat("{labels: {size: small, site: site-", number % 20, "}, weight: ", 1 + number % 4,
                      ", limits: {requests_per_second: ", 10 + number,
                      "}, caller_keys: [{sha256: ", hashKey(absl::StrCat("tenant-", number, "-", number)),
                      "}]}");
}

std::vector<ObjectChange> allTenants() {
  std::vector<ObjectChange> changes;
  changes.reserve(kTenants);
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    changes.push_back({ObjectKey(absl::StrCat("tenants/tenant-", tenant)), tenantText(tenant)});
  }
  return changes;
}

double percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto place = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(place), values.end());
  return values[place];
}

// Collects, for each version and node, the time from acceptance until it was in force there.
class InForceTimes {
 public:
  explicit InForceTimes(ReplicaWorld& world) : world_(world), held_(world.size()) {
    world.on_in_force = [this](size_t node, ConfigurationVersion version) { note(node, version.value()); };
  }

  // The node starts anew: what it catches up with is not counted, until `resume`.
  void pause(size_t node) { paused_.insert(node); }
  void resume(size_t node) {
    paused_.erase(node);
    held_[node] = world_.replica(node).version().value();
  }

  std::vector<double> seconds;

 private:
  void note(size_t node, uint64_t version) {
    if (paused_.contains(node)) {
      return;
    }
    for (uint64_t step = held_[node] + 1; held_[node] > 0 && step <= version; ++step) {
      const absl::Time accepted = world_.acceptedAt(ConfigurationVersion(step));
      seconds.push_back(absl::ToDoubleSeconds(world_.now() - accepted));
    }
    held_[node] = std::max(held_[node], version);
  }

  ReplicaWorld& world_;
  std::vector<uint64_t> held_;
  std::set<size_t> paused_;
};

void runChanges(ReplicaWorld& world, absl::Duration duration, int& serial) {
  const absl::Time end = world.now() + duration;
  while (world.now() < end) {
    ++serial;
    const size_t node = static_cast<size_t>(serial) * 7 % world.size();
    if (world.isUp(node)) {
      world.propose(node, {{ObjectKey(absl::StrCat("tenants/tenant-", serial % kTenants)),
                            tenantText(kTenants + serial)}});
    }
    world.run(absl::Seconds(1 / kChangesPerSecond));
  }
}

size_t findRelay(ReplicaWorld& world) {
  for (size_t node = 0; node < world.size(); ++node) {
    if (world.replica(node).isRelay()) {
      return node;
    }
  }
  return 0;
}

void inForceTime(benchmark::State& state) {
  for (auto _ : state) {
    WorldOptions options;
    options.zones = 12;
    options.nodes = static_cast<uint32_t>(state.range(0));
    options.zone_distance = absl::Milliseconds(50);
    options.snapshot_interval = 256;
    options.check_documents = false;
    const size_t heap_before = mallinfo2().uordblks;
    ReplicaWorld world(options);
    world.network_faults.loss = 0.01;
    world.membership_lag = absl::Seconds(5);
    world.run(absl::Seconds(3));
    world.propose(0, allTenants());
    world.run(absl::Seconds(20));
    const double heap = static_cast<double>(mallinfo2().uordblks - heap_before);

    InForceTimes times(world);
    for (size_t node = 0; node < world.size(); ++node) {
      world.on_in_force(node, world.replica(node).version());
    }
    const WorldCounters before = world.counters();
    const absl::Time began = world.now();
    int serial = 0;
    runChanges(world, kPhase, serial);
    const size_t relay = findRelay(world);
    world.crash(relay);
    runChanges(world, kPhase, serial);
    world.restart(relay);
    times.pause(relay);
    runChanges(world, kCatchUp, serial);
    times.resume(relay);
    runChanges(world, kPhase, serial);
    const WorldCounters after = world.counters();
    const double duration = absl::ToDoubleSeconds(world.now() - began);
    const auto nodes = static_cast<double>(world.size());
    world.run(absl::Seconds(10));
    world.checkConverged();
    if (!world.violations().empty()) {
      state.SkipWithError(world.violations().front().c_str());
      return;
    }
    const auto messages = static_cast<double>(after.messages - before.messages);
    const auto payload = static_cast<double>(after.message_bytes - before.message_bytes);
    state.counters["p50_ms"] = 1000 * percentile(times.seconds, 0.5);
    state.counters["p99_ms"] = 1000 * percentile(times.seconds, 0.99);
    state.counters["max_ms"] = 1000 * percentile(times.seconds, 1);
    state.counters["store_reads_s"] = static_cast<double>(after.store_reads - before.store_reads) / duration;
    state.counters["store_writes_s"] =
        static_cast<double>(after.store_writes - before.store_writes) / duration;
    state.counters["bytes_node_s"] = (payload + messages * kOverheadBytes) / nodes / duration;
    state.counters["cpu_us_node_s"] =
        absl::ToDoubleMicroseconds(after.handling - before.handling) / nodes / duration;
    state.counters["heap_kb_node"] = heap / nodes / 1024;
  }
}
BENCHMARK(inForceTime)->Arg(12)->Arg(50)->Arg(130)->Arg(410)->Iterations(1)->Unit(benchmark::kSecond);

void appendOneChange(benchmark::State& state) {
  Document document;
  ChangeRecord record;
  record.version = ConfigurationVersion(1);
  record.operation = OperationId("operation-0");
  record.changes = allTenants();
  document.append(record);
  int serial = 0;
  for (auto _ : state) {
    record.version = document.version().next();
    record.operation = OperationId(absl::StrCat("operation-", ++serial));
    record.changes = {{ObjectKey("tenants/tenant-7"), tenantText(serial)}};
    document.append(record);
  }
}
BENCHMARK(appendOneChange)->Unit(benchmark::kMicrosecond);

void checkWholePolicy(benchmark::State& state) {
  const Policy policy = changedPolicy({}, allTenants()).value.value();
  for (auto _ : state) {
    benchmark::DoNotOptimize(changedPolicy(policy, {{ObjectKey("tenants/tenant-7"), tenantText(1)}}));
  }
}
BENCHMARK(checkWholePolicy)->Unit(benchmark::kMicrosecond);

void decodeSnapshot(benchmark::State& state) {
  Document document;
  document.append({ConfigurationVersion(1), OperationId("o"), "a", "", absl::UnixEpoch(), allTenants()});
  const std::string bytes = document.encode();
  state.counters["bytes"] = static_cast<double>(bytes.size());
  for (auto _ : state) {
    benchmark::DoNotOptimize(Document::decode(bytes));
  }
}
BENCHMARK(decodeSnapshot)->Unit(benchmark::kMillisecond);

void authenticateCaller(benchmark::State& state) {
  const AccessControl access(changedPolicy({}, allTenants()).value.value());
  int number = 0;
  for (auto _ : state) {
    number = (number + 1) % kTenants;
    benchmark::DoNotOptimize(
        access.authenticateCaller(absl::StrCat("tenant-", number, "-", number), absl::UnixEpoch()));
  }
}
BENCHMARK(authenticateCaller);

}  // namespace
}  // namespace quincewick::configuration
