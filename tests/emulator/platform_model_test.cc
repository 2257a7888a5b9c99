#include "emulator/platform_model.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <map>

#include "emulator/weight_loader_model.h"

namespace quincewick::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);
constexpr int kKeys = 4;

std::string keyOf(int number) {
  return "key/" + std::to_string(number);
}

// What the table must hold, in its plainest form.
struct OracleTable {
  std::map<std::string, TableItem> items;

  uint64_t versionOf(const std::string& key) const {
    const auto found = items.find(key);
    return found == items.end() ? kAbsentItemVersion : found->second.version;
  }
};

// A transaction whose conditions are sometimes right and sometimes stale.
TableTransaction anyTransaction(const OracleTable& oracle) {
  TableTransaction transaction;
  for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
    const std::string key = keyOf(*rc::gen::inRange(0, kKeys));
    const uint64_t off = *rc::gen::weightedElement<uint64_t>({{5, 0}, {1, 1}});
    transaction.conditions.push_back(TableCondition{key, oracle.versionOf(key) + off});
  }
  const int first = *rc::gen::inRange(0, kKeys);
  for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
    const std::string key = keyOf((first + count) % kKeys);
    const bool deletes = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    const auto value = std::to_string(*rc::gen::inRange(0, 1000));
    transaction.writes.push_back(TableWrite{key, deletes ? std::nullopt : std::optional(value)});
  }
  return transaction;
}

bool holds(const TableTransaction& transaction, const OracleTable& oracle) {
  for (const TableCondition& condition : transaction.conditions) {
    if (oracle.versionOf(condition.key) != condition.version) {
      return false;
    }
  }
  return true;
}

// Every key, as a reader sees it with a call that is never lost.
std::map<std::string, TableItem> readAll(PlatformModel& platform, absl::Time now) {
  platform.faults() = PlatformFaults{};
  std::map<std::string, TableItem> items;
  const PlatformAnswer answer = platform.call(TableScan{"key/", "", 100}, now);
  for (const TableItem& item : std::get<TableItems>(answer.result).items) {
    items[item.key] = item;
  }
  return items;
}

TEST_CASE("a transaction takes effect at once or not at all, and exactly when the service ran it") {
  rc::prop("compare and set under outages, limits and lost answers", [] {
    PlatformSettings settings;
    settings.table_operations_per_second = 20;
    settings.burst_seconds = 0.2;
    PlatformModel platform(settings);
    OracleTable oracle;
    std::map<std::string, uint64_t> greatest;  // versions must rise, also over deletions
    absl::Time now = kStart;
    for (int step = *rc::gen::inRange(0, 40); step > 0; --step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 100));
      platform.faults().down = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
      platform.faults().lose_next_answers = *rc::gen::weightedElement<uint32_t>({{4, 0}, {1, 1}});
      const TableTransaction transaction = anyTransaction(oracle);
      const PlatformAnswer answer = platform.call(transaction, now);
      const auto* error = std::get_if<Error>(&answer.result);
      RC_ASSERT(answer.lost == (error != nullptr && error->code == ErrorCode::kOutcomeUnknown));
      RC_ASSERT(answer.ready_at >= now);
      const bool ran = error == nullptr || answer.lost;
      const bool expected = ran && holds(transaction, oracle);
      RC_ASSERT(std::holds_alternative<TableCommitted>(answer.result) == (expected && !answer.lost));
      RC_ASSERT(std::holds_alternative<TableConflict>(answer.result) == (ran && !expected && !answer.lost));

      now += absl::Seconds(1);  // so that the reading is within the limit
      const std::map<std::string, TableItem> seen = readAll(platform, now);
      for (const TableWrite& write : transaction.writes) {
        if (!expected) {
          continue;
        }
        const auto found = seen.find(write.key);
        RC_ASSERT((found != seen.end()) == write.value.has_value());
        oracle.items.erase(write.key);
        if (write.value) {
          RC_ASSERT(found->second.value == *write.value);
          RC_ASSERT(found->second.version > greatest[write.key]);
          greatest[write.key] = found->second.version;
          oracle.items[write.key] = found->second;
        }
      }
      RC_ASSERT(seen == oracle.items);
    }
  });
}

TEST_CASE("a scan in pages gives every item once, in order") {
  rc::prop("pages", [](const std::vector<uint8_t>& numbers) {
    PlatformModel platform(PlatformSettings{});
    std::map<std::string, std::string> expected;
    for (const uint8_t number : numbers) {
      expected[keyOf(number)] = std::to_string(number);
      platform.call(TableTransaction{{}, {{keyOf(number), std::to_string(number)}, {"other", "x"}}}, kStart);
    }
    const auto limit = *rc::gen::inRange<uint32_t>(1, 10);
    std::vector<std::string> seen;
    std::string after;
    while (true) {
      const PlatformAnswer answer = platform.call(TableScan{"key/", after, limit}, kStart);
      const auto& items = std::get<TableItems>(answer.result).items;
      if (items.empty()) {
        break;
      }
      for (const TableItem& item : items) {
        RC_ASSERT(item.value == expected.at(item.key));
        seen.push_back(item.key);
      }
      after = seen.back();
    }
    std::vector<std::string> keys;
    for (const auto& [key, value] : expected) {
      keys.push_back(key);
    }
    RC_ASSERT(seen == keys);
  });
}

TEST_CASE("no more calls get through than the rate and its burst allow") {
  PlatformSettings settings;
  settings.table_operations_per_second = 10;
  settings.burst_seconds = 2;
  PlatformModel platform(settings);
  int through = 0;
  for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
    const PlatformAnswer answer = platform.call(TableRead{{"k"}}, kStart + absl::Milliseconds(millisecond));
    const auto* error = std::get_if<Error>(&answer.result);
    through += error == nullptr ? 1 : 0;
    CHECK((error == nullptr || error->code == ErrorCode::kResourceExhausted));
  }
  CHECK(through >= 10 * 10);
  CHECK(through <= 10 * 10 + 20);
}

TEST_CASE("the machine list shows the truth of a lag ago") {
  PlatformSettings settings;
  settings.machine_list_lag = absl::Seconds(5);
  PlatformModel platform(settings);
  const auto shown = [&](int seconds) {
    const PlatformAnswer answer = platform.call(MachineListRead{}, kStart + absl::Seconds(seconds));
    return std::get<MachineList>(answer.result).machines.size();
  };
  platform.setMachines({Machine{}}, kStart);
  CHECK(shown(0) == 1);
  platform.setMachines({Machine{}, Machine{}}, kStart + absl::Seconds(1));
  platform.setMachines({}, kStart + absl::Seconds(3));
  CHECK(shown(5) == 1);
  CHECK(shown(6) == 2);
  CHECK(shown(8) == 0);
}

TEST_CASE("loads of weights share the bandwidth of the loads that run at full speed") {
  rc::prop("work is conserved", [](const std::vector<uint8_t>& starts) {
    WeightLoaderSettings settings;
    settings.full_speed_loads = *rc::gen::inRange<uint32_t>(1, 4);
    WeightLoaderModel loader(settings);
    absl::Time now = kStart;
    std::map<uint64_t, absl::Time> running;
    uint64_t finished = 0;
    const auto finish = [&](absl::Time until) {
      while (loader.nextWakeup() <= until) {
        const absl::Time due = loader.nextWakeup();
        for (const uint64_t load : loader.takeFinished(due)) {
          RC_ASSERT(due - running.at(load) >= settings.load_time - absl::Microseconds(10));
          running.erase(load);
          ++finished;
        }
      }
    };
    for (size_t index = 0; index < starts.size(); ++index) {
      now += absl::Milliseconds(starts[index]);
      finish(now);
      running[index] = now;
      loader.begin(index, now);
    }
    // Even one after another they would be done by then.
    const absl::Time latest = now + settings.load_time * static_cast<int64_t>(running.size() + 1);
    finish(latest);
    RC_ASSERT(finished == starts.size());
    RC_ASSERT(running.empty());
  });
  WeightLoaderModel loader(WeightLoaderSettings{absl::Milliseconds(600), 2});
  for (uint64_t load = 0; load < 4; ++load) {
    loader.begin(load, kStart);
  }
  CHECK(loader.nextWakeup() == kStart + absl::Milliseconds(1200));
}

}  // namespace
}  // namespace quincewick::emulator
