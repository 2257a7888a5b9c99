#include "loadgen/action_audit.h"

#include <absl/container/btree_map.h>

#include <nlohmann/json.hpp>

namespace quincewick::loadgen {
namespace {

using Json = nlohmann::json;

// All answers that callers got for one key.
struct KeyAnswers {
  std::vector<RequestOutcome*> outcomes;

  bool anyComplete() const {
    for (const RequestOutcome* outcome : outcomes) {
      if (outcome->outcome == OutcomeClass::kComplete) {
        return true;
      }
    }
    return false;
  }

  bool allNotRun() const {
    for (const RequestOutcome* outcome : outcomes) {
      if (outcome->execution != Execution::kNotRun) {
        return false;
      }
    }
    return true;
  }
};

void auditKey(uint64_t runs, const KeyAnswers& answers) {
  RequestOutcome& first = *answers.outcomes.front();
  if (runs > 1) {
    first.violation = Violation::kActionDoubled;
  } else if (runs == 0 && answers.anyComplete()) {
    first.violation = Violation::kActionLost;
  } else if (runs == 1 && answers.allNotRun()) {
    first.violation = Violation::kFalseNotRun;
  }
}

}  // namespace

Result<void> addActionRuns(std::string_view body, ActionRuns& runs) {
  constexpr bool throw_nothing = false;
  const Json json = Json::parse(body, nullptr, throw_nothing);
  if (!json.is_object() || !json.contains("runs") || !json["runs"].is_array()) {
    return fail(ErrorCode::kInternal, "an action server's list of runs is malformed");
  }
  const bool is_named = json.contains("log") && json["log"].is_string();
  if (is_named && !runs.logs.insert(json["log"].get<std::string>()).second) {
    return outcome::success();
  }
  for (const Json& run : json["runs"]) {
    if (!run.is_object() || !run.contains("kind") || !run.contains("key") || !run.contains("count") ||
        !run["kind"].is_string() || !run["key"].is_string() || !run["count"].is_number_unsigned()) {
      return fail(ErrorCode::kInternal, "an action server's run is malformed");
    }
    runs.counts[{run["kind"].get<std::string>(), run["key"].get<std::string>()}] +=
        run["count"].get<uint64_t>();
  }
  return outcome::success();
}

void auditActions(const Workload& workload, const ActionRuns& runs, std::vector<RequestOutcome>& outcomes) {
  absl::btree_map<std::pair<std::string, std::string>, KeyAnswers> by_key;
  for (RequestOutcome& outcome : outcomes) {
    const KindSpecification& kind = workload.kinds[outcome.arrival.kind];
    if (kind.type == KindType::kAction) {
      by_key[{kind.name.value(), outcome.arrival.idempotency_key}].outcomes.push_back(&outcome);
    }
  }
  for (const auto& [key, answers] : by_key) {
    const auto found = runs.counts.find(key);
    auditKey(found == runs.counts.end() ? 0 : found->second, answers);
  }
}

}  // namespace quincewick::loadgen
