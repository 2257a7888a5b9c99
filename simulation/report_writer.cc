#include "simulation/report_writer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <vector>

namespace quincewick::simulation {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;
constexpr double kMedian = 0.5;

double ratio(double part, double whole) {
  return whole == 0 ? 0 : part / whole;
}

Json quantiles(const Samples& samples) {
  return {{"p50", samples.quantile(0.5)}, {"p95", samples.quantile(0.95)}, {"p99", samples.quantile(0.99)}};
}

Json violationsJson(const PromiseViolations& violations) {
  return {{"cross_cache_use", violations.cross_cache_use},
          {"broken_streams", violations.broken_streams},
          {"restart_not_serving", violations.restart_not_serving},
          {"false_not_run", violations.false_not_run},
          {"repeated_actions", violations.repeated_actions},
          {"work_to_leaving", violations.work_to_leaving},
          {"configuration_reverted", violations.configuration_reverted}};
}

ModuleCost moduleTotal(const SimulationReport& report, peer::PeerModule module) {
  ModuleCost total;
  for (const NodeCosts& costs : report.node_costs) {
    const ModuleCost& cost = costs[static_cast<size_t>(module)];
    total.messages += cost.messages;
    total.bytes += cost.bytes;
    total.events += cost.events;
    total.cpu_seconds += cost.cpu_seconds;
  }
  return total;
}

Json modulesJson(const SimulationReport& report) {
  Json modules;
  const double node_seconds = report.measured_seconds * static_cast<double>(report.node_costs.size());
  for (const peer::PeerModule module : node::kControlModules) {
    const ModuleCost total = moduleTotal(report, module);
    modules[std::string(node::moduleName(module))] = {
        {"messages_per_node_second", ratio(static_cast<double>(total.messages), node_seconds)},
        {"bytes_per_node_second", ratio(static_cast<double>(total.bytes), node_seconds)},
        {"events_per_node_second", ratio(static_cast<double>(total.events), node_seconds)}};
  }
  return modules;
}

double mean(const std::vector<double>& values) {
  return values.empty()
             ? 0
             : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double greatest(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

Json memoryJson(std::vector<uint64_t> bytes) {
  if (bytes.empty()) {
    return {{"median", 0}, {"max", 0}};
  }
  std::sort(bytes.begin(), bytes.end());
  const auto middle = static_cast<size_t>(kMedian * static_cast<double>(bytes.size()));
  return {{"median", bytes[middle]}, {"max", bytes.back()}};
}

Json optionsJson(const SimulationOptions& options) {
  return {{"nodes", options.topology.nodes},
          {"engines", options.topology.engines},
          {"zones", options.topology.zones},
          {"duration_seconds", absl::ToDoubleSeconds(options.duration)},
          {"warm_up_seconds", absl::ToDoubleSeconds(options.warm_up)},
          {"seed", options.seed},
          {"rate", options.rate},
          {"tenants", options.workload.tenants.size()},
          {"changes_per_day", options.changes_per_day},
          {"workload", options.workload.name},
          {"faults", options.faults.size()}};
}

Json repeatableJson(const SimulationOptions& options, const SimulationReport& report) {
  const CallerStatistics& callers = report.callers;
  Json json;
  json["options"] = optionsJson(options);
  json["violations"] = violationsJson(report.violations);
  json["time_to_first_token_seconds"] = quantiles(callers.first_token_seconds);
  json["urgent_time_to_first_token_seconds"] = quantiles(callers.urgent_first_token_seconds);
  json["prefix_hit_rate"] =
      ratio(static_cast<double>(callers.cached_tokens), static_cast<double>(callers.prompt_tokens));
  json["recomputed_tokens"] = report.recomputed_tokens;
  json["requests"] = callers.requests;
  json["completed"] = callers.completed;
  json["not_run_refusals"] = callers.not_run_refusals;
  json["other_refusals"] = callers.other_refusals;
  json["cut_streams"] = callers.cut_streams;
  json["unreachable"] = callers.unreachable;
  json["skipped_actions"] = callers.skipped_actions;
  json["output_tokens"] = callers.output_tokens;
  json["placements"] = report.placements;
  json["retried_attempts"] = report.retried_attempts;
  const Samples& in_force = report.operators.in_force_seconds;
  json["configuration_in_force_seconds"] = {
      {"p50", in_force.quantile(0.5)}, {"p99", in_force.quantile(0.99)}, {"max", in_force.maximum()}};
  json["configuration_changes_accepted"] = report.operators.accepted;
  json["configuration_changes_conflicting"] = report.operators.conflicting;
  json["configuration_changes_failed"] = report.operators.failed;
  json["control_bytes_per_node_second"] = mean(report.control_bytes_per_second);
  json["control_bytes_per_node_second_max"] = greatest(report.control_bytes_per_second);
  json["control_messages"] = report.datagrams;
  json["control_modules"] = modulesJson(report);
  json["store_operations_per_second"] = report.store_operations_per_second;
  json["store_bytes_per_second"] = report.store_bytes_per_second;
  json["engine_polls"] = report.owners.polls;
  json["cache_events_read"] = report.owners.cache_events;
  json["load_digests_received"] = report.owners.digests_received;
  json["simulated_events"] = report.events;
  json["faults_injected"] = report.faults;
  return json;
}

std::vector<double> nodeCpu(const SimulationReport& report) {
  std::vector<double> fractions;
  for (const NodeCosts& costs : report.node_costs) {
    double seconds = 0;
    for (const ModuleCost& cost : costs) {
      seconds += cost.cpu_seconds;
    }
    fractions.push_back(ratio(seconds, report.measured_seconds));
  }
  return fractions;
}

Json moduleCpuJson(const SimulationReport& report) {
  Json modules;
  const double node_seconds = report.measured_seconds * static_cast<double>(report.node_costs.size());
  for (const peer::PeerModule module : node::kControlModules) {
    modules[std::string(node::moduleName(module))] =
        ratio(moduleTotal(report, module).cpu_seconds, node_seconds);
  }
  return modules;
}

void addMeasured(const SimulationReport& report, Json& json) {
  const double node_seconds = report.measured_seconds * static_cast<double>(report.node_costs.size());
  const std::vector<double> cpu = nodeCpu(report);
  json["control_cpu_fraction"] = mean(cpu);
  json["control_cpu_fraction_max"] = greatest(cpu);
  json["control_cpu_fraction_modules"] = moduleCpuJson(report);
  json["engine_owner_cpu_fraction"] =
      ratio(report.owners.poll_cpu_seconds + report.owners.digest_cpu_seconds, node_seconds);
  json["control_memory_bytes"] = memoryJson(report.measured.control_memory_bytes);
  json["router_memory_bytes"] = memoryJson(report.measured.router_memory_bytes);
  json["routing_seconds_per_placement"] =
      ratio(report.measured.routing_cpu_seconds, static_cast<double>(report.placements));
  json["stream_cpu_seconds"] = report.measured.stream_cpu_seconds;
  json["wall_seconds"] = report.measured.wall_seconds;
  json["peak_memory_bytes"] = report.measured.peak_memory_bytes;
}

void addLines(const std::string& prefix, const Json& json, std::string& out) {
  for (const auto& [key, value] : json.items()) {
    const std::string name = prefix.empty() ? key : absl::StrCat(prefix, ".", key);
    if (value.is_object()) {
      addLines(name, value, out);
    } else {
      absl::StrAppend(&out, absl::StrFormat("%-52s %s\n", name, value.dump()));
    }
  }
}

}  // namespace

std::string writeRepeatableJson(const SimulationOptions& options, const SimulationReport& report) {
  return repeatableJson(options, report).dump(kIndent) + "\n";
}

std::string writeJson(const SimulationOptions& options, const SimulationReport& report) {
  Json json = repeatableJson(options, report);
  addMeasured(report, json);
  return json.dump(kIndent) + "\n";
}

std::string writeTable(const SimulationOptions& options, const SimulationReport& report) {
  Json json = repeatableJson(options, report);
  addMeasured(report, json);
  std::string out;
  addLines("", json, out);
  return out;
}

}  // namespace quincewick::simulation
