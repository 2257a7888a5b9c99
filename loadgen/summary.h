// Figures of a run: percentiles, hit rate, waste, errors and violations, as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "loadgen/driver.h"
#include "loadgen/outcome.h"
#include "loadgen/workload.h"

namespace quincewick::loadgen {

// What the run was, for the head of the result.
struct RunDescription {
  std::string workload_file;
  std::vector<std::string> marks;  // "SECONDS:TEXT": faults and other events, shown in the report
};

// The result. Times in seconds; all latencies count from the intended send time. Percentiles are exact
// (nearest rank). "waste": prompt tokens that an earlier request had sent and that were computed again.
nlohmann::json summarise(const Workload& workload, const DriverOptions& options,
                         const RunDescription& description, const RunRecord& record);

// Lines "FIGURE: NOW / BASELINE = RATIO" for the figures that both results have.
std::string compareWithBaseline(const nlohmann::json& result, const nlohmann::json& baseline);

// The number of violations in a result.
uint64_t violationCount(const nlohmann::json& result);

}  // namespace quincewick::loadgen
