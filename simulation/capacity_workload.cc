#include "simulation/capacity_workload.h"

#include <absl/strings/str_format.h>

#include <array>
#include <cmath>

namespace quincewick::simulation {
namespace {

// Shares of tenants follow a Zipf law with this exponent: a few are large.
constexpr double kTenantExponent = 0.8;

loadgen::KindSpecification inferenceKind(const char* name, const char* model, Urgency urgency, double weight,
                                         uint32_t depth, loadgen::Range output_tokens) {
  loadgen::KindSpecification kind;
  kind.name = RequestKind(name);
  kind.model = ModelName(model);
  kind.urgency = urgency;
  kind.weight = weight;
  kind.tree = 0;
  kind.depth = depth;
  kind.unique_characters = {100, 1500};
  kind.output_tokens = output_tokens;
  kind.deadline = urgency == Urgency::kDeferrable ? absl::Minutes(5) : absl::Seconds(10);
  return kind;
}

}  // namespace

loadgen::Workload capacityWorkload(uint32_t tenants) {
  loadgen::Workload workload;
  workload.name = "capacity";
  workload.hot_shift = absl::Minutes(1);
  for (uint32_t tenant = 0; tenant < tenants; ++tenant) {
    const double weight = std::pow(static_cast<double>(tenant + 1), -kTenantExponent);
    workload.tenants.push_back({TenantId(absl::StrFormat("tenant-%04d", tenant)), weight, ""});
  }
  loadgen::PrefixTree tree;
  tree.name = "documents";
  tree.levels = {{1, 2, 0.0}, {4, 3, 1.0}, {6, 3, 1.0}};
  workload.trees.push_back(std::move(tree));
  workload.kinds = {
      inferenceKind("short-answer", "chat-small", Urgency::kUrgent, 30, 2, {20, 100}),
      inferenceKind("quote", "chat-large", Urgency::kStandard, 30, 3, {100, 400}),
      inferenceKind("draft", "writer", Urgency::kStandard, 20, 2, {300, 700}),
      inferenceKind("check", "reviewer", Urgency::kDeferrable, 20, 3, {200, 506}),
  };
  return workload;
}

}  // namespace quincewick::simulation
