#include "emulator/platform_model.h"

#include <type_traits>
#include <utility>

#include "emulator/mix.h"

namespace quincewick::emulator {
namespace {

enum class Service { kTable, kObjects, kMachineList };

Service serviceOf(const PlatformRequest& request) {
  if (std::holds_alternative<MachineListRead>(request)) {
    return Service::kMachineList;
  }
  const bool table = std::holds_alternative<TableTransaction>(request) ||
                     std::holds_alternative<TableRead>(request) || std::holds_alternative<TableScan>(request);
  return table ? Service::kTable : Service::kObjects;
}

constexpr uint64_t kLossStream = 0x6C6F7373;  // keeps the choices of losses apart from those of latencies

}  // namespace

PlatformModel::PlatformModel(PlatformSettings settings)
    : settings_(settings),
      table_bucket_(settings.table_operations_per_second,
                    settings.table_operations_per_second * settings.burst_seconds),
      object_bucket_(settings.object_operations_per_second,
                     settings.object_operations_per_second * settings.burst_seconds),
      list_bucket_(settings.list_operations_per_second,
                   settings.list_operations_per_second * settings.burst_seconds),
      table_(settings.table_limits),
      machines_(settings.machine_list_lag) {}

PlatformAnswer PlatformModel::call(const PlatformRequest& request, absl::Time now) {
  ++counters_.calls;
  PlatformAnswer answer;
  answer.ready_at = now + latencyOf(request);
  if (faults_.down) {
    ++counters_.unavailable;
    answer.result = Error{ErrorCode::kUnavailable, "the service is down"};
    return answer;
  }
  if (!bucketOf(request).take(now)) {
    ++counters_.rate_limited;
    answer.result = Error{ErrorCode::kResourceExhausted, "the service's rate limit is reached"};
    return answer;
  }
  answer.result = carryOut(request, now);
  answer.lost = losesAnswer();
  if (answer.lost) {
    ++counters_.lost;
    answer.result = Error{ErrorCode::kOutcomeUnknown, "the answer was lost", Execution::kUnknown};
  }
  return answer;
}

PlatformResult PlatformModel::carryOut(const PlatformRequest& request, absl::Time now) {
  return std::visit(
      [&](const auto& alternative) -> PlatformResult {
        using Request = std::decay_t<decltype(alternative)>;
        if constexpr (std::is_same_v<Request, TableTransaction>) {
          return table_.transact(alternative);
        } else if constexpr (std::is_same_v<Request, TableRead>) {
          return table_.read(alternative);
        } else if constexpr (std::is_same_v<Request, TableScan>) {
          return table_.scan(alternative);
        } else if constexpr (std::is_same_v<Request, ObjectPut>) {
          return objects_.put(alternative);
        } else if constexpr (std::is_same_v<Request, ObjectGet>) {
          return objects_.get(alternative);
        } else if constexpr (std::is_same_v<Request, ObjectDelete>) {
          return objects_.remove(alternative);
        } else if constexpr (std::is_same_v<Request, ObjectList>) {
          return objects_.list(alternative);
        } else {
          static_assert(std::is_same_v<Request, MachineListRead>);
          return *machines_.read(now);
        }
      },
      request);
}

TokenBucket& PlatformModel::bucketOf(const PlatformRequest& request) {
  switch (serviceOf(request)) {
    case Service::kTable:
      return table_bucket_;
    case Service::kObjects:
      return object_bucket_;
    case Service::kMachineList:
      return list_bucket_;
  }
  return table_bucket_;
}

absl::Duration PlatformModel::latencyOf(const PlatformRequest& request) const {
  absl::Duration base = settings_.table_latency;
  if (serviceOf(request) != Service::kTable) {
    base = serviceOf(request) == Service::kObjects ? settings_.object_latency : settings_.list_latency;
  }
  const double spread = 1 + settings_.latency_spread * mixToUnit(settings_.seed, counters_.calls);
  return base * (spread * faults_.slowdown);
}

bool PlatformModel::losesAnswer() {
  if (faults_.lose_next_answers > 0) {
    --faults_.lose_next_answers;
    return true;
  }
  return faults_.lost_answers > 0 &&
         mixToUnit(settings_.seed ^ kLossStream, counters_.calls) < faults_.lost_answers;
}

}  // namespace quincewick::emulator
